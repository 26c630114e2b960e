"""Benchmarks: critical-path latency, commits, failover, recovery, policies and capacity."""
