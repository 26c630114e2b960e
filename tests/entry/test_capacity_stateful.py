"""Critical and batch work never exceed a worker's capacity, also with abandoned requests."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from savoryshelf.entry.targets import LATE_ARRIVAL_SECONDS, OwnedTarget, ResourceDemand
from savoryshelf.wire.generated.ttypes import WorkerStanding

from .fakes import owned

SLOTS, CORES, RESERVE = 2, 3.0, 1
demands = st.sampled_from([ResourceDemand(0.5, 1), ResourceDemand(2.0, 1)])


class Capacity(RuleBasedStateMachine):
    """Compares the owner's accounting with what a worker without checks of its own runs."""

    def __init__(self):
        super().__init__()
        each = owned("w0", slots=SLOTS, cores=CORES)
        self.now = 100.0
        self.target = OwnedTarget(each.worker, 1, WorkerStanding.ACTIVE, self.now, 10.0)
        self.in_flight = {}
        self.running = {}
        self.batch = {}
        self.abandoned_at = {}
        self.number = 0

    def next_id(self):
        self.number += 1
        return f"r{self.number}"

    @rule(demand=demands)
    def dispatch_critical(self, demand):
        if self.target.fits(demand):
            request_id = self.next_id()
            self.target.reserve(request_id, demand)
            self.in_flight[request_id] = demand

    @rule(demand=demands)
    def start_batch(self, demand):
        if self.target.fits_batch(demand, RESERVE):
            attempt_id = (self.next_id(), 1)
            self.target.batch_by_id[attempt_id] = demand
            self.batch[attempt_id] = demand

    @precondition(lambda self: self.in_flight)
    @rule(index=st.integers(0, 9))
    def a_request_arrives(self, index):
        request_id = sorted(self.in_flight)[index % len(self.in_flight)]
        self.running[request_id] = self.in_flight.pop(request_id)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 9))
    def a_request_is_answered(self, index):
        request_id = sorted(self.running)[index % len(self.running)]
        del self.running[request_id]
        with self.target.reservation(request_id):
            pass

    @precondition(lambda self: self.target.critical_by_id)
    @rule(index=st.integers(0, 9))
    def a_request_is_abandoned(self, index):
        reserved_ids = sorted(self.target.critical_by_id)
        request_id = reserved_ids[index % len(reserved_ids)]
        with self.target.reservation(request_id):
            self.target.abandon(request_id, self.now)
        self.abandoned_at[request_id] = self.now

    @precondition(lambda self: self.batch)
    @rule(index=st.integers(0, 9))
    def a_batch_attempt_ends(self, index):
        attempt_id = sorted(self.batch)[index % len(self.batch)]
        del self.batch[attempt_id]
        del self.target.batch_by_id[attempt_id]

    @rule()
    def the_worker_reports(self):
        self.target.record_report(self.now, set(self.running))

    @rule(seconds=st.sampled_from([0.5, 3.0, 6.0]))
    def advance_time(self, seconds):
        """An abandoned request arrives within LATE_ARRIVAL_SECONDS, or never."""
        self.now += seconds
        for request_id, since in self.abandoned_at.items():
            if self.now - since >= LATE_ARRIVAL_SECONDS:
                self.in_flight.pop(request_id, None)

    @invariant()
    def the_worker_never_runs_more_than_it_holds(self):
        everything = [*self.running.values(), *self.batch.values()]
        assert len(everything) <= SLOTS
        assert sum(demand.cores for demand in everything) <= CORES

    @invariant()
    def batch_work_never_uses_the_critical_reserve(self):
        assert len(self.batch) <= SLOTS - RESERVE


Capacity.TestCase.settings = settings(max_examples=200, stateful_step_count=60)
TestCapacity = Capacity.TestCase
