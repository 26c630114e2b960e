"""Calls to the control leader; follows a change of leader."""

import random

import eventlet

from ..errors import ControlUnavailable, PeerUnreachable, RefusedByControl
from ..observability import metrics
from ..wire.generated import ControlService, ttypes
from ..wire.peers import CALL_TIMEOUT_SECONDS, PeerPool

RETRY_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.1


class ControlClient:
    """Caches the leader's address and follows redirects to a new leader."""

    def __init__(self, address_by_name: dict[str, str], cluster_key: str):
        self._address_by_name = address_by_name
        self._addresses = addresses = list(address_by_name.values())
        self._cluster_key = cluster_key
        self._pool_by_address: dict[str, PeerPool] = {}
        self._leader = random.choice(addresses)

    def call(
        self,
        method: str,
        *arguments,
        idempotent: bool = True,
        retry_seconds: float = RETRY_SECONDS,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ):
        """Call the leader, retrying on other control hosts for ``retry_seconds``.

        A call that is not idempotent is not retried once its outcome is
        unknown.  Raises ControlUnavailable or RefusedByControl.
        """
        outcome_unknown = False
        with eventlet.Timeout(retry_seconds + timeout, ControlUnavailable(self._addresses, True)):
            deadline = eventlet.hubs.get_hub().clock() + retry_seconds
            while True:
                try:
                    return self._pool(self._leader).call(method, *arguments, timeout=timeout)
                except ttypes.Refused as error:
                    raise RefusedByControl(error.reason, error.detail) from None
                except ttypes.NotLeader as error:
                    self._switch_leader(self._leader_address(error))
                except PeerUnreachable as error:
                    outcome_unknown = outcome_unknown or error.sent
                    self._switch_leader("")
                except ttypes.Unavailable as error:
                    outcome_unknown = outcome_unknown or error.outcome_unknown
                metrics.RETRIES.labels("control").inc()
                is_unsafe_to_retry = outcome_unknown and not idempotent
                if is_unsafe_to_retry or eventlet.hubs.get_hub().clock() > deadline:
                    raise ControlUnavailable(self._addresses, outcome_unknown)
                eventlet.sleep(RETRY_INTERVAL_SECONDS * random.uniform(0.5, 1.5))

    def _leader_address(self, error: ttypes.NotLeader) -> str:
        """Return the leader's address from this host's settings, or else the one in the error."""
        return self._address_by_name.get(error.leader_name) or error.leader_address

    def _switch_leader(self, leader_address: str) -> None:
        others = [address for address in self._addresses if address != self._leader]
        self._leader = leader_address or random.choice(others or self._addresses)

    def _pool(self, address: str) -> PeerPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = PeerPool(ControlService, address, self._cluster_key)
            self._pool_by_address[address] = pool
        return pool
