"""Metrics, structured logs and the HTTP endpoints for operations."""
