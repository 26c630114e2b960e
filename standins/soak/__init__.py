"""Randomized fault soak: real processes, faults from outside, judged by what callers see."""
