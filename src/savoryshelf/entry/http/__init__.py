"""The HTTP interfaces of an entry host: for callers, operators and targets."""
