"""Operators' declarations: their files, their validation and the version in force."""
