"""The daemon ``savoryshelfd``."""
