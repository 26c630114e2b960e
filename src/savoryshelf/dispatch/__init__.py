"""Dispatch by the leader: places runs, calls and polls workers, and commits how runs ended."""
