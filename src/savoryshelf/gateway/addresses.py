"""Which control hosts another process knows, and which of them answer.

This module does no I/O and reads no clock.
"""

import random

MAX_EARLIER_ADDRESSES = 8
"""Bound on the addresses that are neither in the newest settings nor of members."""


class AddressBook:
    """The addresses of the newest settings and of the group's members, and some earlier ones.

    The earlier ones are asked only while none of the others answers, or while none of them knows
    a leader for long: a view may come from a host that has left the group.
    """

    def __init__(self, seeds: list[str]):
        self._seeds = list(dict.fromkeys(seeds))
        self._members: list[str] = []
        self._earlier: list[str] = []
        self._failed: set[str] = set()
        """Addresses whose last call failed; a host that is gone takes a call's whole time."""

        self._answered: set[str] = set()
        """Addresses whose last call was answered."""

    def update_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds by those of newer settings."""
        self._replace(list(dict.fromkeys(seeds)), self._members)

    def update_members(self, members: list[str]) -> None:
        """Replace the members by those of a newer view; an empty view tells nothing."""
        if members:
            self._replace(self._seeds, list(dict.fromkeys(members)))

    def _replace(self, seeds: list[str], members: list[str]) -> None:
        before = [*self.current(), *self._earlier]
        self._seeds, self._members = seeds, members
        current = set(self.current())
        earlier = dict.fromkeys(each for each in before if each not in current)
        self._earlier = list(earlier)[:MAX_EARLIER_ADDRESSES]
        known = current.union(self._earlier)
        self._failed &= known
        self._answered &= known

    def current(self) -> list[str]:
        """Return the addresses of the members and of the newest settings."""
        return list(dict.fromkeys([*self._members, *self._seeds]))

    def to_search(self, has_contact: bool = True) -> list[str]:
        """Return the addresses to ask for the leader.

        ``has_contact`` tells whether the leader was known not long ago.
        """
        current = self.current()
        if has_contact and self._answered.intersection(current):
            return current
        return [*current, *self._earlier]

    def record_answer(self, address: str) -> None:
        """Note that a call to this address was answered."""
        self._failed.discard(address)
        self._answered.add(address)

    def record_failure(self, address: str) -> None:
        """Note that a call to this address was not answered."""
        self._answered.discard(address)
        self._failed.add(address)

    def has_failed(self, address: str) -> bool:
        """Return whether the last call to this address failed."""
        return address in self._failed

    def choose(self) -> str:
        """Return an address to call while no leader is known: one that answers, if there is one.

        Empty if no address is known.
        """
        addresses = self.to_search()
        answering = [each for each in addresses if each in self._answered]
        untried = [each for each in addresses if each not in self._failed]
        return random.choice(answering or untried or addresses or [""])
