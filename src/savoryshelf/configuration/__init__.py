"""Operators' declarations: their files, their checks, and the version in force."""
