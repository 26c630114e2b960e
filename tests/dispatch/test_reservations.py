"""What reservations promise, whatever steps wait and whatever becomes of the workers."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from savoryshelf.dispatch.reservations import MAX_RESERVED_SHARE, Reservations, Room, Rooms
from savoryshelf.tasks.worker import ResourceUsage
from savoryshelf.wire.generated.ttypes import RunOutcome

from ..tasks.builders import (
    accept,
    ledger,
    manifest,
    queue,
    record_intent,
    settle_run,
    step,
    worker,
)

MILLICORES = 4000
JOBS = ["00000000000000a0", "00000000000000a1", "00000000000000a2"]
PREFIXES = ["/urgent/", "/quotes/"]
"""Of the queues, the most urgent first."""

large_steps = st.builds(
    step,
    st.integers(1, 4),
    millicores=st.sampled_from([2500, 4000]),
    gang=st.booleans(),
    max_per_worker=st.integers(0, 1),
    estimated_ms=st.sampled_from([500, 4000]),
)


class Waiting:
    """Workers, some with finite or long-running runs, and large steps of different urgency."""

    def __init__(self, worker_count, steps, lasting_on, finite_on):
        self.worker_count, self.steps, self.finite_on = worker_count, steps, finite_on
        self.reservations, self.now = Reservations(), 100.0
        self.ledger = ledger(*[worker(f"w{n}") for n in range(self.worker_count)])
        self.ledger.put_manifest(
            manifest(2, [queue(p.strip("/"), p, priority=n) for n, p in enumerate(PREFIXES)])
        )
        self.accept_on(lasting_on, "00000000000000f0", lasting=True)
        self.accept_on(finite_on, "00000000000000f1")
        for job_id, (spec, prefix) in zip(JOBS, self.steps, strict=False):
            accept(self.ledger, spec, job_id=job_id, prefix=prefix)
        self.placeable = {(f"w{n}", 1) for n in range(self.worker_count)}

    def accept_on(self, numbers, job_id, **fields):
        """Accept a step with a run on each of these workers."""
        if numbers:
            accept(self.ledger, step(len(numbers), **fields), job_id=job_id)
        for index, number in enumerate(sorted(numbers)):
            record_intent(self.ledger, f"{job_id}.0.0.{index}", 1, (f"w{number}", 1))

    @property
    def groups(self):
        """Return the large steps that wait, the most urgent first."""
        groups = self.ledger.startable_group_by_key.values()
        groups = [group for group in groups if group.job.job_id in JOBS]
        return sorted(groups, key=lambda group: (group.job.queue.priority, group.key))

    def rooms(self):
        """Return the workers that may be reserved."""
        workers = self.ledger.worker_by_incarnation
        return [Room(workers[key], ResourceUsage()) for key in sorted(self.placeable)]

    def plan(self):
        """Begin a pass, and reserve for each step; return what the pass knows of the workers."""
        self.now += 0.05
        self.begin_pass()
        rooms = Rooms({room.worker.key: room for room in self.rooms()})
        for group in self.groups:
            self.reserve(group, rooms)
        return rooms

    def begin_pass(self):
        self.reservations.begin_pass(self.ledger, self.placeable, 0, self.now)

    def reserve(self, group, rooms=None, run_counts=(), count=None):
        """Reserve for a step whose tasks all wait, unless there is a ``count``."""
        rooms = rooms or Rooms({room.worker.key: room for room in self.rooms()})
        count = len(group.startable_indexes) if count is None else count
        self.reservations.reserve(group, rooms, Counter(dict(run_counts)), count, self.now)

    def reserved(self):
        """Return the reserved workers by step, as each worker tells."""
        return {
            group.key: [key for key in self.ledger.worker_by_incarnation
                        if key in self.reservations.workers_of(group.key)]
            for group in self.groups
        }  # fmt: skip

    def end_finite_runs(self):
        """Let what is finite on the workers end."""
        for index, number in enumerate(sorted(self.finite_on)):
            incarnation = f"w{number}", 1
            settle_run(
                self.ledger, f"00000000000000f1.0.0.{index}", RunOutcome.DONE, 1, incarnation
            )


waiting = st.integers(1, 25).flatmap(
    lambda count: st.builds(
        Waiting,
        st.just(count),
        st.lists(st.tuples(large_steps, st.sampled_from(PREFIXES)), min_size=1, max_size=3),
        st.sets(st.integers(0, count - 1)),
        st.sets(st.integers(0, count - 1)),
    )
)


def all_reserved(state):
    return [key for keys in state.reserved().values() for key in keys]


# Guards against a service that is idle for the sake of large tasks.
@given(waiting, st.integers(1, 4))
def test_no_more_than_the_allowed_share_is_reserved_and_no_worker_twice(state, passes):
    for _ in range(passes):
        state.plan()
        names = all_reserved(state)
        holders = [group for group in state.groups if state.reservations.workers_of(group.key)]
        allowed = max(1, MAX_RESERVED_SHARE * state.worker_count)
        if len(holders) == 1 and holders[0].spec.gang:
            allowed = max(allowed, holders[0].spec.count)
        assert len(names) <= allowed
        assert len(names) == len(set(names))


@given(waiting, st.data())
def test_only_workers_that_may_be_used_are_reserved(state, data):
    for _ in range(3):
        keys = sorted(state.placeable)
        state.placeable = set(data.draw(st.lists(st.sampled_from(keys), min_size=1)))
        state.plan()
        assert set(all_reserved(state)) <= state.placeable


# Guards against workers that stay reserved for nothing.
@given(waiting, st.data())
def test_a_worker_that_cannot_be_used_is_released(state, data):
    state.plan()
    gone = data.draw(st.sampled_from(sorted(state.placeable)))
    state.placeable.discard(gone)
    state.begin_pass()
    assert all(state.reservations.is_open_to(group, gone) for group in state.groups)
    assert gone not in all_reserved(state)


@given(waiting)
def test_workers_of_a_step_with_no_task_to_start_are_released(state):
    state.plan()
    ended = state.groups[0]
    state.ledger.cancel(ended.job.job_id)
    held = state.reservations.workers_of(ended.key)
    state.begin_pass()
    assert state.reservations.workers_of(ended.key) == []
    assert all(state.reservations.is_open_to(g, key) for g in state.groups for key in held)


@given(waiting)
def test_workers_are_released_once_the_need_of_their_step_is_met(state):
    state.plan()
    met = state.groups[0]
    state.reserve(met, count=0)
    assert state.reservations.workers_of(met.key) == []


@given(waiting)
def test_a_reservation_keeps_out_others_that_are_not_more_urgent_and_nobody_else(state):
    state.plan()
    for group in state.groups:
        for other in state.groups:
            for key in state.reservations.workers_of(group.key):
                is_open = state.reservations.is_open_to(other, key)
                more_urgent = other.job.queue.priority < group.job.queue.priority
                assert is_open == (other is group or more_urgent)
    free = state.placeable - set(all_reserved(state))
    assert all(state.reservations.is_open_to(g, key) for g in state.groups for key in free)


# Guards against large tasks that wait without end: a reservation that moves is never of use.
@given(waiting, st.integers(1, 4))
def test_a_step_keeps_its_workers_until_they_are_free(state, passes):
    state.plan()
    before = state.reserved()
    for _ in range(passes):
        state.plan()
    assert state.reserved() == before
    state.end_finite_runs()
    for room in state.rooms():
        for group in state.groups:
            if room.worker.key in before[group.key]:
                assert room.worker.fits(group.spec)


@given(waiting)
def test_reserved_workers_have_room_beside_their_long_running_runs(state):
    state.plan()
    for group in state.groups:
        keys = state.reservations.workers_of(group.key)
        rooms = [room for room in state.rooms() if room.worker.key in keys]
        assert all(room.worker.fits_without_finite_runs(group.spec) for room in rooms)
        slots = sum(room.slots_without_finite_runs(group.spec, 0) for room in rooms)
        if group.spec.gang and keys:
            # Its members start together: less room than for all would be idle for nothing.
            assert slots >= group.spec.count


@given(waiting)
def test_no_worker_is_reserved_for_a_step_of_which_it_has_as_many_runs_as_it_may(state):
    for group in state.groups:
        state.reserve(group, run_counts=dict.fromkeys(state.placeable, 1))
        assert not (group.spec.max_per_worker and state.reservations.workers_of(group.key))


# Guards against LOST: overdue work may use a worker that has been reserved for long.
@given(waiting, st.integers(1, 4))
def test_a_reservation_that_is_renewed_grows_old(state, passes):
    state.plan()
    began_at, reserved = state.now, state.reserved()
    for _ in range(passes):
        state.plan()
    workers = state.ledger.worker_by_incarnation
    for group in state.groups:
        for each in (workers[key] for key in reserved[group.key]):
            # Where there is room, other preferences may have delayed a start before.
            is_recent = not each.fits(group.spec)
            assert state.reservations.is_recent(each, group.spec, began_at + 1.4) == is_recent
            assert not state.reservations.is_recent(each, group.spec, began_at + 1.6)


# Guards against a step that is given up though a worker has room for it but for finite runs.
@given(waiting)
def test_only_a_step_without_room_beside_long_running_runs_is_given_up(state):
    rooms = state.plan()
    for group in state.groups:
        fitting = [r for r in state.rooms() if r.worker.fits_without_finite_runs(group.spec)]
        assert not (fitting and rooms.is_hopeless(group.spec))
        assert fitting or not state.reservations.workers_of(group.key)


# Guards against the most urgent step waiting without a worker of its own.
@given(waiting)
def test_the_first_step_that_may_be_reserved_for_gets_a_worker(state):
    state.plan()
    first = next(
        (
            group
            for group in state.groups
            if not group.spec.gang
            and any(
                r.worker.fits_without_finite_runs(group.spec) and not r.worker.fits(group.spec)
                for r in state.rooms()
            )
        ),
        None,
    )
    assert first is None or all_reserved(state)
