"""Entry hosts that hand callers' requests to the control leader."""
