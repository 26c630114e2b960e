"""Stand-ins of the platform, of workers and of requesters for the cases of this review."""
