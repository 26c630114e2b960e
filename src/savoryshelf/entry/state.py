"""The state of an entry host; after a restart, control and the workers supply it again."""

import secrets

import attrs

from ..configuration.declarations import Declarations, from_document
from ..errors import RequestRefused
from ..wire.generated.ttypes import EntryPeer, WorkerAnnouncement
from .lease import ControlLease
from .targets import OwnedTargets

MAX_PENDING_ANNOUNCEMENTS = 2000


@attrs.define
class EntryState:
    """State shared by the green threads of one entry process; each field has a single writer."""

    entry_id: str
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(6))
    lease: ControlLease = attrs.field(factory=ControlLease)
    configuration_version: int = 0
    declarations: Declarations | None = None
    targets: OwnedTargets = attrs.field(factory=OwnedTargets)
    peers: list[EntryPeer] = attrs.field(factory=list)
    announcement_by_id: dict[str, WorkerAnnouncement] = attrs.field(factory=dict)
    is_stopping: bool = False
    has_left: bool = False

    def update_configuration(self, version: int, document: str) -> bool:
        """Apply a configuration and return True, or return False if it is not newer."""
        if version <= self.configuration_version:
            return False
        self.declarations = from_document(document)
        self.configuration_version = version
        return True

    def require_declarations(self, now: float) -> Declarations:
        """Return the current configuration; raises RequestRefused without it or without a lease."""
        if not self.lease.is_valid(now):
            raise RequestRefused("isolated", "this entry host holds no valid lease from control")
        if self.declarations is None:
            raise RequestRefused("no_configuration", "no configuration is in force yet")
        return self.declarations

    @property
    def report_interval_s(self) -> float:
        """Return the seconds between two reports of a worker."""
        return self.declarations.limits.report_interval_s if self.declarations else 2.0

    def peer_with_free_slots(self) -> EntryPeer | None:
        """Return the entry host with the most free slots as last reported, or None."""
        peer = max(self.peers, key=lambda each: each.free_slots, default=None)
        return peer if peer is not None and peer.free_slots > 0 else None

    def is_ready(self, now: float) -> bool:
        """Return whether the load balancer should send requests to this host."""
        return not self.is_stopping and self.lease.is_valid(now) and self.declarations is not None

    def add_announcement(self, announcement: WorkerAnnouncement) -> None:
        """Keep a worker's newest announcement for the next sync; drop the oldest over the limit."""
        self.announcement_by_id[announcement.worker_id] = announcement
        while len(self.announcement_by_id) > MAX_PENDING_ANNOUNCEMENTS:
            del self.announcement_by_id[next(iter(self.announcement_by_id))]
