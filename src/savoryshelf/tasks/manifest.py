"""Which queue a path leads to under a manifest."""

from ..wire.generated.ttypes import Manifest, QueueSpec


def find_queue(manifest: Manifest, host: str, path: str) -> QueueSpec | None:
    """Return the queue with the longest prefix of ``path`` on that host, or None."""
    matching = [q for q in manifest.queues if q.host == host and path.startswith(q.path_prefix)]
    return max(matching, key=lambda queue: len(queue.path_prefix), default=None)
