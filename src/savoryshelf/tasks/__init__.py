"""Replicated state of jobs that consist of many tasks."""
