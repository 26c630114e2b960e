"""What a replica has received of its leader's log, for the lines that tell of it."""

import attrs


@attrs.define
class Reception:
    """What one leader has sent of its log in one term; times are those of the core."""

    sender: str = ""
    term: int = 0
    began_at: float = float("-inf")
    heard_at: float = float("-inf")
    progressed_at: float = float("-inf")
    """When an entry or a part of a snapshot came that was missing."""

    entries: int = 0
    snapshot_bytes: int = 0
    snapshots: int = 0
    """Complete ones."""

    rejected: int = 0
    """Requests that follow an entry which this replica lacks."""

    leader_commit_index: int = 0
    """What is committed, as far as the leader has told."""

    def record_progress(self, now: float, entries: int = 0, snapshot_bytes: int = 0) -> None:
        """Record what has arrived, if anything."""
        if entries or snapshot_bytes:
            self.progressed_at = now
            self.entries += entries
            self.snapshot_bytes += snapshot_bytes

    def stalls_by(self, last_index: int, now: float, silent_seconds: float) -> str:
        """Return why nothing arrives; empty if something does, or nothing is missing."""
        if not self.sender:
            return "no leader has sent anything"
        if now - self.heard_at > silent_seconds:
            return "no message from the leader"
        if self.leader_commit_index and last_index >= self.leader_commit_index:
            return ""
        if now - self.progressed_at <= silent_seconds:
            return ""
        if self.rejected:
            return "what arrives follows entries that are missing"
        return "the leader sends nothing that is missing"
