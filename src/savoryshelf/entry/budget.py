"""The retry budget: retries are a share of first attempts, so that they cannot storm."""

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A bucket that first attempts fill by ``ratio`` each and a retry empties by one."""

    def __init__(self, ratio: float):
        self.ratio = ratio
        self._saved = MAX_SAVED_RETRIES

    def first_attempt(self) -> None:
        """Count a first attempt."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self.ratio)

    def take(self) -> bool:
        """Take one retry out of the budget; return False when it is used up."""
        if self.ratio <= 0 or self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
