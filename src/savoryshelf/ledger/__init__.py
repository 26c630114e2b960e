"""The job ledger: acceptance, attempts, evictions and results of batch jobs."""
