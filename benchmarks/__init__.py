"""Measurements: speed against a direct call, commits, and the slopes behind CAPACITY.md."""
