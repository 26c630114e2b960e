"""The retry budget: limits retries to a share of first attempts to prevent retry storms."""

MAX_BURST_RETRIES = 10.0


class RetryBudget:
    """Token bucket: each first attempt adds ``ratio`` tokens, each retry takes one."""

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._tokens = MAX_BURST_RETRIES

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(MAX_BURST_RETRIES, self._tokens + self.ratio)

    def try_take(self) -> bool:
        """Take one token for a retry; return False if the budget is spent."""
        if self.ratio <= 0 or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
