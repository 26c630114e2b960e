"""The command-line program ``savoryshelf``, for operators and callers."""
