"""The peer interface of an entry host: serves requests that other entry hosts forward."""

from ..wire.peers import PeerHandler
from .critical import CriticalPath


class EntryHandler(PeerHandler):
    """Handles the calls of one peer connection."""

    def __init__(self, cluster_key: str, critical: CriticalPath):
        super().__init__(cluster_key)
        self._critical = critical

    def serve(self, request):
        """Run a forwarded critical request on this host's workers."""
        self.require_authenticated()
        return self._critical.serve_spilled(request)
