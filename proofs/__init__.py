"""Mutation tests: removing any guard of the product must make one of its tests fail."""
