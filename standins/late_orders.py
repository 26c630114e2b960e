"""Orders to start that a worker leaves unanswered: it carries them out late or never.

Those that it has not carried out when it crashes may reach its next incarnation, as on a network
that delivers what was sent to an address, whoever listens there.
"""

import random
import threading
import time

import attrs

SAME_INCARNATION_SHARE = 0.2
LATE_SECONDS = (0.0, 4.0)
NEXT_INCARNATION_SHARE = 0.7
SOON_SHARE = 0.8
SOON_SECONDS = (0.0, 0.5)
"""When most orders meant for the incarnation before are carried out, from the boot on."""


@attrs.frozen(eq=False)
class HeldOrder:
    """An order without an answer, when it came, and the number of the incarnation that got it."""

    expected_id: str | None
    path: str
    body: dict
    at: float
    incarnation: int


class LateOrders:
    """The orders that one worker holds back; ``share`` of its orders to start are."""

    def __init__(self, rng: random.Random):
        self.share = 0.0
        self.held_count = 0
        self._rng = rng
        self._held: list[HeldOrder] = []
        self._lock = threading.Lock()

    def hold(self, incarnation, expected_id: str | None, path: str, body: dict) -> bool:
        """Return whether an incarnation leaves this call unanswered."""
        if not path.endswith("/run-start") or not self.share:
            return False
        with self._lock:
            if self._rng.random() >= self.share:
                return False
            order = HeldOrder(expected_id, path, body, time.monotonic(), incarnation.number)
            self._held.append(order)
            self.held_count += 1
            is_carried_out = self._rng.random() < SAME_INCARNATION_SHARE
            seconds = self._rng.uniform(*LATE_SECONDS)
        if is_carried_out:
            self._spawn(self._carry_out_if_held, incarnation, order, seconds)
        return True

    def pass_on(self, incarnation) -> None:
        """Let a new incarnation carry out some of what the one before has not."""
        with self._lock:
            held, self._held = self._held, []
            chosen = [order for order in held if self._rng.random() < NEXT_INCARNATION_SHARE]
            delays = [
                self._rng.uniform(
                    *(SOON_SECONDS if self._rng.random() < SOON_SHARE else LATE_SECONDS)
                )
                for _ in chosen
            ]
        for order, seconds in zip(chosen, delays, strict=True):
            self._spawn(self._carry_out, incarnation, order, seconds)

    def _carry_out_if_held(self, incarnation, order: HeldOrder, seconds: float) -> None:
        if incarnation.wait_for_end(seconds):
            return
        with self._lock:
            if order not in self._held:
                return
            self._held.remove(order)
        self._carry_out(incarnation, order, 0.0)

    @staticmethod
    def _carry_out(incarnation, order: HeldOrder, seconds: float) -> None:
        if not incarnation.wait_for_end(seconds):
            incarnation.answer(order.expected_id, order.path, order.body, order)

    @staticmethod
    def _spawn(function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()
