"""Lookup of queues in a manifest by host and path."""

from ..wire.generated.ttypes import Manifest, QueueSpec


def find_queue(manifest: Manifest, host: str, path: str) -> QueueSpec | None:
    """Return the queue of that host with the longest prefix of ``path``, or None."""
    matching = [q for q in manifest.queues if q.host == host and path.startswith(q.path_prefix)]
    return max(matching, key=lambda queue: len(queue.path_prefix), default=None)
