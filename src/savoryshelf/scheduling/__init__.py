"""Scheduling decisions: batch placement, worker ownership, eviction and quarantine."""
