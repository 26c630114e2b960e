"""The in-memory log of a replica: the entries after the last snapshot."""

import bisect

from ..errors import InvariantBroken
from ..wire import codec
from ..wire.generated.ttypes import EntryKind, LogEntry, Membership


class RaftLog:
    """The log entries after ``base_index``, the last index that a snapshot covers.

    The effective membership is the latest one in the log, committed or not.
    The log therefore keeps the index of each membership, so that truncation
    restores the previous one.
    """

    def __init__(self, membership: Membership, base_index: int = 0, base_term: int = 0):
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []
        self._memberships: list[tuple[int, Membership]] = [(base_index, membership)]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership:
        """Return the latest membership in the log."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the entry that holds the latest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership that is effective at ``index``."""
        return next(
            membership
            for entry_index, membership in reversed(self._memberships)
            if entry_index <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None if this log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def first_index_of_term_at(self, index: int) -> int:
        """Return the index of the first held entry with the term of the one at ``index``."""
        term = self.term_at(index)
        # Terms never decrease along a log.
        return self.base_index + 1 + bisect.bisect_left(self._entries, term, key=lambda e: e.term)

    def last_index_of_terms_up_to(self, term: int) -> int:
        """Return the index of the last entry whose term is not later; at least the base index."""
        return self.base_index + bisect.bisect_right(self._entries, term, key=lambda e: e.term)

    def entries(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def append(self, entry: LogEntry) -> None:
        """Append an entry; raises InvariantBroken if its index leaves a gap or repeats."""
        if entry.index != self.last_index + 1:
            raise InvariantBroken(
                f"entry {entry.index} does not follow the last index {self.last_index}"
            )
        self._entries.append(entry)
        if entry.kind == EntryKind.MEMBERSHIP:
            self._memberships.append((entry.index, codec.decode(Membership, entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all entries after it."""
        del self._entries[index - self.base_index - 1 :]
        while self._memberships[-1][0] >= index:
            self._memberships.pop()

    def compact(self, index: int) -> None:
        """Remove the entries up to ``index``, inclusive, which a snapshot now covers."""
        if index <= self.base_index:
            return
        base_term = self.term_at(index)
        membership = self.membership_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, base_term
        later = [
            (entry_index, newer) for entry_index, newer in self._memberships if entry_index > index
        ]
        self._memberships = [(index, membership), *later]

    def reset(self, index: int, term: int, membership: Membership) -> None:
        """Replace the whole log by an installed snapshot that ends at ``index``."""
        self._entries = []
        self.base_index, self.base_term = index, term
        self._memberships = [(index, membership)]
