"""The retry budget: retries are a share of first attempts, so that they cannot storm."""

MAX_BURST_RETRIES = 10.0


class RetryBudget:
    """A bucket that first attempts fill by ``ratio`` each and a retry empties by one."""

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._tokens = MAX_BURST_RETRIES

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(MAX_BURST_RETRIES, self._tokens + self.ratio)

    def try_take(self) -> bool:
        """Take one retry out of the budget; return False when it is used up."""
        if self.ratio <= 0 or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
