"""Targets and entry hosts: who is there, and which entry host owns which worker."""
