"""Registered workers (targets) and entry hosts of a site, and the ownership of workers."""
