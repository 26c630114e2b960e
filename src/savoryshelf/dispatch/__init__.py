"""Dispatch: the leader places runs and commits how they ended, agents call and poll workers."""
