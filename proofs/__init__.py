"""Shows that the tests see what they are for: each guard removed must make one fail."""
