"""A replica that applies proposals at once, and a clock that a test sets."""

import types

from savoryshelf.clock import SystemClock


class FakeReplica:
    """A replica whose proposals are applied at once."""

    leader_address = leader_name = "c0"

    def __init__(self, state_machine, is_leader=True):
        self._state_machine = state_machine
        self.is_leader = is_leader
        self.commits = 0
        self.leader_contact_age = 0.0
        self.on_confirm = lambda: None
        """Called while leadership is confirmed."""

        self.core = types.SimpleNamespace(
            seconds_since_quorum_contact=lambda now: 0.0,
            seconds_since_leader_contact=lambda now: self.leader_contact_age,
        )

    def confirm_leadership(self):
        self.on_confirm()

    def propose(self, payload):
        self.commits += 1
        return self._state_machine.apply(payload)


class FakeClock(SystemClock):
    """A clock whose steady time a test sets."""

    seconds = 0.0

    def monotonic(self):
        return self.seconds
