"""The command line ``savoryshelf``, for operators and callers."""
