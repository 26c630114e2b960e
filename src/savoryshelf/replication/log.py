"""The log as a replica holds it in memory: entries since the last snapshot."""

from ..errors import InvariantBroken
from ..wire import codec
from ..wire.generated.ttypes import EntryKind, LogEntry, Membership


class RaftLog:
    """Entries by index, above a base which a snapshot covers.

    The membership in force is the latest in the log, committed or not, so the
    log also remembers where each one stands: cutting the log brings the
    previous one back.
    """

    def __init__(self, membership: Membership, base_index: int = 0, base_term: int = 0):
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []
        self._memberships: list[tuple[int, Membership]] = [(base_index, membership)]

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the entry that holds the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at ``index``."""
        return next(
            membership
            for entry_index, membership in reversed(self._memberships)
            if entry_index <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None if it is not held here."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from ``first`` to ``last``, both included."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise InvariantBroken(f"entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)
        if entry.kind == EntryKind.MEMBERSHIP:
            self._memberships.append((entry.index, codec.decode(Membership, entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        del self._entries[index - self.base_index - 1 :]
        while self._memberships[-1][0] >= index:
            self._memberships.pop()

    def compact(self, index: int) -> None:
        """Drop the entries up to ``index``, which a snapshot now covers."""
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
        """Forget everything: an installed snapshot replaces the log."""
        self._entries = []
        self.base_index, self.base_term = index, term
        self._memberships = [(index, membership)]
