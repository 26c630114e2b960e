"""The control role: the replicated state of a site and the duties of its leader."""
