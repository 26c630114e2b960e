"""The job ledger: each job accepted once, started, settled, evicted and resumed."""
