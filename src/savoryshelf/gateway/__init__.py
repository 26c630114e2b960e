"""The client with which other processes reach the control leader."""
