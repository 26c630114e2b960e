"""The queue of critical requests that wait for capacity; the caller bounds its length."""

from collections import OrderedDict

import eventlet
from eventlet.event import Event


class AdmissionQueue:
    """FIFO queue; each request leaves at its own timeout."""

    def __init__(self):
        self._event_by_id: OrderedDict[str, Event] = OrderedDict()

    def __len__(self) -> int:
        return len(self._event_by_id)

    def wait(self, request_id: str, seconds: float) -> bool:
        """Wait for capacity; return False on timeout, True if some may be free."""
        event = self._event_by_id[request_id] = Event()
        try:
            with eventlet.Timeout(seconds, False):
                event.wait()
                return True
            return False
        finally:
            self._event_by_id.pop(request_id, None)

    def wake_one(self) -> None:
        """Wake the first request in the queue: capacity may be free."""
        if self._event_by_id:
            _, event = self._event_by_id.popitem(last=False)
            event.send(None)
