"""A bounded line of critical requests which wait for room."""

from collections import OrderedDict

import eventlet
from eventlet.event import Event


class AdmissionQueue:
    """First come, first served; each waiter leaves by its own deadline."""

    def __init__(self):
        self._event_by_id: OrderedDict[str, Event] = OrderedDict()

    def __len__(self) -> int:
        return len(self._event_by_id)

    def wait(self, request_id: str, seconds: float) -> bool:
        """Wait for room; return whether there may be some."""
        event = self._event_by_id[request_id] = Event()
        try:
            with eventlet.Timeout(seconds, False):
                event.wait()
                return True
            return False
        finally:
            self._event_by_id.pop(request_id, None)

    def wake_one(self) -> None:
        """Tell the first in line that there may be room."""
        if self._event_by_id:
            _, event = self._event_by_id.popitem(last=False)
            event.send(None)
