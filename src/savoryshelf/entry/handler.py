"""The peers' port of an entry host: takes requests which other entry hosts hand over."""

from ..wire.peers import PeerHandler
from .critical import CriticalPath


class EntryHandler(PeerHandler):
    """Serves one connection."""

    def __init__(self, cluster_key: str, critical: CriticalPath):
        super().__init__(cluster_key)
        self._critical = critical

    def serve(self, request):
        """Run a critical request here."""
        self.require_authenticated()
        return self._critical.serve_spilled(request)
