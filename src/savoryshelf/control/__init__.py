"""The control role: the replicated state of a site and the control loop of its leader."""
