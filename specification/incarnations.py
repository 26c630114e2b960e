"""Incarnations of one worker id: which calls, answers, ends and leaves belong to which process.

Processes of a worker follow one another at one address under the same id; each knows nothing
of the one before.  At a second address a process of another deployment answers under that id.
The ledger learns of incarnations by heartbeats, which may come late or from another writer, and
places runs of one task on them.  An agent's session starts, stops and polls; it belongs to one
incarnation under one token.  Calls of earlier sessions may still arrive, but no new ones are
sent: that takes the permission of ``agents.py``.

Where calls outlive their process, starts that went unanswered may be carried out by the next
one, which takes them until a call shows it a higher token.  What is carried out before the first
call there, of a run that has been settled, is left out: no guard rules that out.

The models share these steps; each has the parts that its guards need.  Where there are leaves,
two things are assumed.  Nothing runs or starts in a process from its leave on.  And a leave of
a process whose draining was never noted does not meet a later incarnation that drains.
"""

from typing import NamedTuple

from minicheck import Protocol

from .model import bound, is_small, specification

LEASE = 1
NOBODY, ELSEWHERE = 0, -1
OWN_ADDRESS, OTHER_ADDRESS = range(2)

CONNECTION = "a connection to a worker belongs to one incarnation"
QUESTION = "the question which incarnation answers on a connection acknowledges no end"
COMMIT_FIRST = "an end is acknowledged only after its commit"
NEW_TOKEN = "each assignment has a token of its own"
CURRENT_REPORT = "the ledger ignores what is reported under an earlier token"
CONFIRMED_FIRST = "only a list asked for after a run's start or stop was confirmed can lack the run"
WAIT_FOR_LEASE = "an incarnation that does not answer is over only after its lease"
NO_MORE_CALLS = "a session that has reported the end of its incarnation makes no more calls"
HEARTBEAT = "a heartbeat ends no incarnation"
ANSWERED = "a later incarnation ends an earlier one only once it has answered itself"
SAME_ADDRESS = "a later incarnation ends only those that had its address"
LATER = "an incarnation that has answered ends no later one"
ADDRESS = "the address of an incarnation does not change"
ALONE = "a leave counts only if no other incarnation, live or drained before, may have sent it"
DRAINS = "a leave counts only for an incarnation that has reported that it drains"
STAYS_ENDED = "an incarnation that has left and ended is not taken up again"
UNNAMED = "a process that says when it was born is no incarnation without a birth"
IGNORE_EARLIER = (
    "the heartbeat of an incarnation that was born earlier is ignored while a later one is there"
)
RAISED = "the question on a new connection shows a higher token than those of all starts before"
CLEARED = "late runs of the next incarnation end before the end of the earlier one is reported"
EMPTY = "an incarnation counts as one that answers once it runs nothing meant for an earlier one"
STARTS_GUARDS = (CONNECTION, NEW_TOKEN, CONFIRMED_FIRST, WAIT_FOR_LEASE, LATER)
REPORTS_GUARDS = (CURRENT_REPORT, NO_MORE_CALLS)
ENDS_GUARDS = (CONNECTION, QUESTION, COMMIT_FIRST)
WRITERS_GUARDS = (HEARTBEAT, ANSWERED, SAME_ADDRESS, ADDRESS)
LEAVES_GUARDS = (ALONE, DRAINS)
LEFT_GUARDS = (STAYS_ENDED,)
CLOCKS_GUARDS = (IGNORE_EARLIER,)
CALLS_GUARDS = (RAISED, CLEARED, EMPTY)
UNNAMED_GUARDS = (UNNAMED,)
GUARDS = frozenset(
    (
        *STARTS_GUARDS,
        *REPORTS_GUARDS,
        *ENDS_GUARDS,
        *WRITERS_GUARDS,
        *LEAVES_GUARDS,
        *LEFT_GUARDS,
        *CLOCKS_GUARDS,
        *CALLS_GUARDS,
        *UNNAMED_GUARDS,
    )
)

# The start of the run in the ledger: not sent yet, sent, or confirmed (or its stop).
UNSENT, SENT, CONFIRMED = range(3)
# Kinds of ends; one `done` whose lease lapsed before it was acknowledged does not count.
DONE, OTHER, LAPSED = range(3)


class Scope(NamedTuple):
    """What a model has."""

    guards: frozenset[str]
    processes: int
    max_token: int
    max_run: int = 2
    """Highest run that is placed on an incarnation; the next one starts elsewhere at the latest."""

    has_late_starts: bool = False
    """Whether starts may be carried out late and go unanswered; otherwise they are immediate."""

    has_late_reports: bool = False

    has_late_calls: bool = False
    """Whether starts outlive the process that they were sent to, and may reach the next one."""

    has_ends: bool = False
    has_writers: bool = False
    has_leaves: bool = False
    has_clock_steps: bool = False
    """Whether the wall clock steps back between two processes: the later is born earlier."""

    has_unnamed: bool = False
    """Whether another writer names an incarnation without saying when it was born."""

    @property
    def incarnations(self) -> range:
        """Return the numbers of all incarnations; that of another writer is the last."""
        return range(1, self.processes + (self.has_writers or self.has_unnamed) + 1)

    def is_born_earlier(self, number: int, other: int) -> bool:
        """Return whether an incarnation says that it was born before another."""
        return number > other if self.has_clock_steps or self.has_unnamed else number < other

    def is_meant(self, number: int, boot: int) -> bool:
        """Return whether a session takes a process for the incarnation that it calls."""
        is_unnamed = self.has_unnamed and number == self.incarnations[-1]
        return number == boot or (is_unnamed and UNNAMED not in self.guards)


class Process(NamedTuple):
    """What the process that is up knows; nothing of it outlives the process."""

    seen_token: int = 0
    """As it is shown to workers: between the tokens of two sessions there is a raised one."""

    is_asked: bool = False
    """Whether it has answered a call; known only where starts outlive their process."""

    running: tuple[int, ...] = ()
    ends: tuple[tuple[int, int], ...] = ()
    """Run and kind of each end, in the order of their numbers."""

    acknowledged: int = 0
    """Number of the last end that it does not list any more."""

    refused: int = 0
    """Starts of runs up to this number are refused."""


class Incarnation(NamedTuple):
    """An incarnation in the ledger, and the session under its present token."""

    is_live: bool = False
    address: int = OWN_ADDRESS
    token: int = 0
    seen_end: int = 0
    answered: bool = False
    drains: bool = False
    """Whether it has reported that it drains; known after its end too."""

    leaving: bool = False
    """Whether its leave was taken; known after its end too."""

    lease: int = 0
    """Longest lease that may be left."""

    is_over: bool = False
    """Whether the session has reported its end."""


class State(NamedTuple):
    """A state of the models."""

    boot: int = 0
    """Number of the process that is up, or was last."""

    up: bool = False
    process: Process = Process()
    drained: tuple[int, ...] = ()
    left: tuple[int, ...] = ()
    """Processes whose draining, or leave, may still arrive, any number of times."""

    incarnations: tuple[Incarnation, ...] = ()
    newest_token: int = 0
    run: int = 0
    place: int = NOBODY
    """The incarnation on which the run may exist."""

    start: int = UNSENT
    done: bool = False
    flight: tuple[tuple[int, int, int], ...] = ()
    """Starts that may be carried out: run, incarnation, token.  Their deadline is the lease's."""

    report: tuple | None = None
    """A report that may arrive late: incarnation, token, and the list or None for its end."""

    done_acknowledged: bool = False
    started_after_done: bool = False
    """Whether a run has started since a listed end that counts if it is acknowledged."""

    started_twice: bool = False
    acknowledged_early: bool = False


def _with_incarnation(state, number, **changes):
    incarnations = list(state.incarnations)
    incarnations[number - 1] = incarnations[number - 1]._replace(**changes)
    return state._replace(incarnations=tuple(incarnations))


def _with_process(state, **changes):
    return state._replace(process=state.process._replace(**changes))


def _release(state, number, run):
    """Return the state once a run that was placed on an incarnation may be started again."""
    if (state.place, state.run) != (number, run):
        return state
    return state._replace(place=NOBODY, start=UNSENT)


def _end_incarnation(state, number):
    """Record the end of an incarnation; its run is released."""
    after = _with_incarnation(
        state, number, is_live=False, token=0, answered=False, lease=0, is_over=False
    )
    return _release(after, number, state.run)


def _end_run(process, run, kind, scope):
    return process._replace(
        running=tuple(each for each in process.running if each != run),
        ends=(*process.ends, (run, kind)) if scope.has_ends else (),
        refused=max(process.refused, run),
    )


def _note_start(state):
    process = state.process
    listed = process.ends[process.acknowledged :]
    return state._replace(
        started_twice=state.started_twice or state.done_acknowledged,
        started_after_done=state.started_after_done or any(kind == DONE for _, kind in listed),
    )


def _acknowledge(state, number):
    """Return the state after a call with this `lastSeen` has reached the process that is up."""
    process = state.process
    upto = min(number, len(process.ends))
    if upto <= process.acknowledged:
        return state
    is_done = any(kind == DONE for _, kind in process.ends[process.acknowledged : upto])
    is_early = upto > state.incarnations[state.boot - 1].seen_end
    return _with_process(
        state._replace(
            acknowledged_early=state.acknowledged_early or is_early,
            done_acknowledged=state.done_acknowledged or is_done,
            started_twice=state.started_twice or (is_done and state.started_after_done),
        ),
        acknowledged=upto,
    )


def _worker(state, scope):
    """Yield what processes do without being called, late starts, and the passing of time."""
    process = state.process
    if not state.up and state.boot < scope.processes:
        yield "a process starts", state._replace(boot=state.boot + 1, up=True)
    if state.up:
        is_bound = CONNECTION in scope.guards and not scope.has_late_calls
        yield (
            "the process ends",
            state._replace(
                up=False,
                process=Process(),
                flight=() if is_bound else state.flight,
                started_after_done=False,
            ),
        )
        if scope.has_leaves:
            yield from _announces(state)
    if scope.has_ends:
        for run in process.running:
            for kind, title in ((DONE, "done"), (OTHER, "failed")):
                ended = _end_run(process, run, kind, scope)
                yield f"run {run} ends {title}", state._replace(process=ended)
    if state.up:
        for order in state.flight:
            yield from _late_start(state, order, scope)
    yield "the leases run out", _after_leases(state)


def _announces(state):
    """Yield what the process that is up says before it ends: that it drains, and that it leaves."""
    may_mislead = any(not state.incarnations[number - 1].drains for number in state.left)
    if state.boot not in state.drained:
        if not may_mislead:
            yield "the process drains", state._replace(drained=(*state.drained, state.boot))
    elif state.boot not in state.left:
        after = _with_process(state, running=())
        yield "the process leaves", after._replace(left=(*state.left, state.boot))


def _after_leases(state):
    """Return the state once all leases have run out: runs are killed, late starts refused."""
    ends = tuple((run, LAPSED if kind == DONE else kind) for run, kind in state.process.ends)
    over = _with_process(state, running=(), ends=ends)
    return over._replace(
        incarnations=tuple(incarnation._replace(lease=0) for incarnation in state.incarnations),
        flight=(),
        started_after_done=False,
    )


def _late_start(state, order, scope):
    run, number, token = order
    process = state.process
    is_settled = (state.place, state.run) != (number, run)
    if scope.has_late_calls and not process.is_asked and is_settled and number != state.boot:
        return
    after = state._replace(flight=tuple(each for each in state.flight if each != order))
    is_refused = (
        _shown(token) < process.seen_token or run <= process.refused or state.boot in state.left
    )
    if is_refused or run in process.running:
        yield f"the start of run {run} is refused", after
        return
    started = _started(after, run, token)
    yield f"the start of run {run} is carried out without an answer", started
    if scope.has_late_calls and number != state.boot:
        # The connection for the answer has ended.
        return
    if (state.place, state.run, state.incarnations[number - 1].token) == (number, run, token):
        yield f"the start of run {run} is carried out", started._replace(start=CONFIRMED)


def _started(state, run, token):
    running = tuple(sorted((*state.process.running, run)))
    return _with_process(_note_start(state), seen_token=_shown(token), running=running)


def _shown(token, is_raised=False):
    """Return the token that workers are shown by calls of a session, or by its raised ones."""
    return 2 * token + is_raised


def _ledger(state, scope):
    """Yield heartbeats, leaves, assignments, placements and late reports."""
    for number in range(1, state.boot + 1):
        yield f"heartbeat of incarnation {number}", _note(state, number, OWN_ADDRESS, scope)
    if scope.has_writers:
        for number in (*range(1, state.boot + 1), scope.incarnations[-1]):
            for address in (OWN_ADDRESS, OTHER_ADDRESS):
                title = f"another writer names incarnation {number} at address {address}"
                yield title, _note(state, number, address, scope)
    if scope.has_unnamed:
        title = "another writer names an incarnation without its birth"
        yield title, _note(state, scope.incarnations[-1], OWN_ADDRESS, scope)
    for number in state.drained:
        noted = _with_incarnation(_note(state, number, OWN_ADDRESS, scope), number, drains=True)
        yield f"heartbeat of incarnation {number}, which drains", noted
    for number in state.left:
        yield f"leave of incarnation {number}", _note_leave(state, scope)
    is_waiting = not state.done and state.place == NOBODY
    for number, incarnation in zip(scope.incarnations, state.incarnations, strict=True):
        if not incarnation.is_live:
            continue
        if state.newest_token < scope.max_token:
            yield f"incarnation {number} gets an agent", _assign(state, number, scope)
        may_place = is_waiting and state.run < scope.max_run
        if (
            may_place
            and incarnation.token
            and not incarnation.drains
            and incarnation.address == OWN_ADDRESS
        ):
            placed = state._replace(run=state.run + 1, place=number, start=UNSENT)
            yield f"run {state.run + 1} is placed on incarnation {number}", placed
        yield from _ends_of_replaced(state, number, scope)
    if is_waiting and state.run:
        placed = _note_start(state)._replace(run=state.run + 1, place=ELSEWHERE)
        yield f"run {state.run + 1} starts on another worker", placed
    if state.report is not None:
        arrived = state._replace(report=None)
        yield "the report arrives late", _commit(arrived, state.report, scope)
        yield "the report is lost", arrived


def _note(state, number, address, scope):
    incarnation = state.incarnations[number - 1]
    if scope.has_clock_steps and IGNORE_EARLIER in scope.guards:
        for other, later in zip(scope.incarnations, state.incarnations, strict=True):
            if later.is_live and scope.is_born_earlier(number, other):
                return state
    if incarnation.leaving and not incarnation.is_live and STAYS_ENDED in scope.guards:
        return state
    if incarnation.is_live and ADDRESS in scope.guards:
        address = incarnation.address
    after = _with_incarnation(state, number, is_live=True, address=address)
    if HEARTBEAT not in scope.guards:
        for other in range(1, number):
            if after.incarnations[other - 1].is_live:
                after = _end_incarnation(after, other)
    return after


def _note_leave(state, scope):
    """Return the state after a leave, which does not say which incarnation it is of."""
    known = zip(scope.incarnations, state.incarnations, strict=True)
    possible = [number for number, each in known if each.is_live or each.drains]
    if ALONE in scope.guards and len(possible) > 1:
        return state
    for number in possible:
        incarnation = state.incarnations[number - 1]
        if incarnation.is_live and (incarnation.drains or DRAINS not in scope.guards):
            state = _with_incarnation(state, number, leaving=True)
    return state


def _assign(state, number, scope):
    """Give an incarnation an agent; a run there is settled by the first list of the session."""
    token = state.incarnations[number - 1].token
    if not token or NEW_TOKEN in scope.guards:
        token = state.newest_token + 1
    lease = LEASE if WAIT_FOR_LEASE in scope.guards else 0
    after = _with_incarnation(
        state, number, token=token, answered=False, lease=lease, is_over=False
    )
    after = after._replace(newest_token=max(state.newest_token, token))
    return after._replace(start=CONFIRMED) if state.place == number else after


def _ends_of_replaced(state, number, scope):
    """Yield the ends of the incarnations that this one has replaced."""
    incarnation = state.incarnations[number - 1]
    if not incarnation.token or (ANSWERED in scope.guards and not incarnation.answered):
        return
    for other, earlier in zip(scope.incarnations, state.incarnations, strict=True):
        if other == number or not earlier.is_live:
            continue
        is_earlier = scope.is_born_earlier(other, number) or LATER not in scope.guards
        if is_earlier and (
            earlier.address == incarnation.address or SAME_ADDRESS not in scope.guards
        ):
            yield (
                f"incarnation {number} has replaced incarnation {other}",
                _end_incarnation(state, other),
            )


def _commit(state, report, scope):
    """Return the state after the ledger has committed a report."""
    number, token, answer = report
    incarnation = state.incarnations[number - 1]
    if not incarnation.is_live or (CURRENT_REPORT in scope.guards and incarnation.token != token):
        return state
    if answer is None:
        return _end_incarnation(state, number)
    running, ends, expected = answer
    is_current = incarnation.token == token
    has_late_runs = scope.has_late_calls and EMPTY in scope.guards and set(running) - {expected}
    has_answered = is_current and not has_late_runs
    state = _with_incarnation(
        state, number, answered=incarnation.answered or has_answered,
        seen_end=max(incarnation.seen_end, len(ends)),
    )  # fmt: skip
    for run, kind in ends[incarnation.seen_end :]:
        state = state._replace(done=state.done or kind != OTHER)
        state = _release(state, number, run)
    is_missing = expected and expected not in running and expected not in dict(ends)
    return _release(state, number, expected) if is_missing else state


def _reported(title, state, report, scope):
    number, _, answer = report
    after = _commit(state, report, scope)
    yield title, after
    says_nothing = after == state and answer is not None
    if scope.has_late_reports and state.report is None and not says_nothing:
        if answer is None and NO_MORE_CALLS in scope.guards:
            state = _with_incarnation(state, number, is_over=True)
        yield f"{title}, reported late", state._replace(report=report)


def _session(state, number, scope):
    """Yield the calls and conclusions of the session of an incarnation."""
    incarnation = state.incarnations[number - 1]
    if not incarnation.is_live or not incarnation.token or incarnation.is_over:
        return
    over = number, incarnation.token, None
    if not incarnation.lease:
        yield from _reported(f"the lease of incarnation {number} is over", state, over, scope)
    if incarnation.leaving:
        title = f"incarnation {number} does not answer after its leave"
        yield from _reported(title, state, over, scope)
    if incarnation.address == OTHER_ADDRESS:
        if number <= scope.processes:
            yield from _reported(f"another answers for incarnation {number}", state, over, scope)
        else:
            listed = number, incarnation.token, ((), (), 0)
            yield from _reported(f"incarnation {number} is polled", state, listed, scope)
        return
    has_start = state.place == number and state.start == UNSENT
    if has_start:
        # No connection is made, or the question on it goes unanswered.
        yield f"incarnation {number} is not reached", _release(state, number, state.run)
    if not state.up:
        return
    is_meant = scope.is_meant(number, state.boot)
    is_raised = scope.has_late_calls and RAISED in scope.guards and not is_meant
    shown = _shown(incarnation.token, is_raised)
    if shown < state.process.seen_token:
        return
    # Each call may be the first of a connection, whose question shows the token.
    state = _with_process(state, seen_token=shown, is_asked=scope.has_late_calls)
    if not is_meant:
        yield from _meets_another(state, number, scope)
        if CONNECTION in scope.guards:
            return
    if has_start:
        yield from _starts(state, number, scope)
    if state.place == number and state.start == SENT:
        yield from _stops(state, number, scope)
    if scope.is_meant(number, state.boot):
        yield from _polls(state, number, scope)


def _meets_another(state, number, scope):
    """Yield what a poll does that reaches another process than the one meant."""
    incarnation = state.incarnations[number - 1]
    if not {CONNECTION, QUESTION} <= scope.guards:
        state = _acknowledge(state, incarnation.seen_end)
    over = number, incarnation.token, None
    cleared = state
    if scope.has_late_calls and CLEARED in scope.guards:
        for run in state.process.running:
            if (state.place, state.run) != (state.boot, run):
                cleared = cleared._replace(process=_end_run(cleared.process, run, OTHER, scope))
    yield from _reported(f"another answers for incarnation {number}", cleared, over, scope)
    yield f"another answers for incarnation {number}, and its answer is lost", state


def _starts(state, number, scope):
    token = state.incarnations[number - 1].token
    state = _with_incarnation(state, number, lease=LEASE)
    if scope.has_late_starts:
        flight = tuple(sorted((*state.flight, (state.run, number, token))))
        yield f"incarnation {number} is sent the start", state._replace(start=SENT, flight=flight)
    elif state.boot in state.left or state.run <= state.process.refused:
        yield f"incarnation {number} refuses the start", _release(state, number, state.run)
    else:
        started = _started(state, state.run, token)._replace(start=CONFIRMED)
        yield f"incarnation {number} starts run {state.run}", started


def _stops(state, number, scope):
    process = state.process
    if state.run in process.running:
        process = _end_run(process, state.run, OTHER, scope)
    stopped = state._replace(process=process._replace(refused=max(process.refused, state.run)))
    yield f"incarnation {number} confirms a stop", stopped._replace(start=CONFIRMED)
    yield f"incarnation {number} is stopped without an answer", stopped


def _polls(state, number, scope):
    incarnation = state.incarnations[number - 1]
    last_seen = incarnation.seen_end if COMMIT_FIRST in scope.guards else len(state.process.ends)
    is_confirmed = state.start == CONFIRMED or CONFIRMED_FIRST not in scope.guards
    expected = state.run if state.place == number and is_confirmed else 0
    polled = _acknowledge(state, last_seen)
    listed = polled.process.running, polled.process.ends, expected
    for after, title in (
        (polled, f"incarnation {number} is polled"),
        (
            _with_incarnation(polled, number, lease=LEASE),
            f"the lease of incarnation {number} is renewed",
        ),
    ):
        yield from _reported(title, after, (number, incarnation.token, listed), scope)
        yield f"{title} without an answer", after


def _is_over(state, scope):
    """Return whether no run works or can start any more, and no end waits to be acknowledged."""
    can_place = not state.done and state.place == NOBODY
    may_run = state.place > NOBODY or state.process.running or state.flight
    has_end = len(state.process.ends) > state.process.acknowledged
    return not (can_place or may_run or has_end)


def _protocol(name: str, scope: Scope) -> Protocol:
    def transitions(state):
        if _is_over(state, scope):
            return
        yield from _worker(state, scope)
        yield from _ledger(state, scope)
        for number in scope.incarnations:
            yield from _session(state, number, scope)

    def is_alone(state):
        return len(state["process"].running) + (state["place"] == ELSEWHERE) <= 1

    invariants = {"at most one run of the task works at a time": is_alone}
    if scope.has_ends:
        invariants |= {
            "no run starts after an end done that is acknowledged": lambda s: (
                not s["started_twice"]
            ),
            "no end is acknowledged before its commit": lambda s: not s["acknowledged_early"],
        }
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(incarnations=(Incarnation(),) * len(scope.incarnations)),
        transitions=transitions,
        invariants=invariants,
    )


def _model(
    name: str, guards: tuple[str, ...], *, only_at_full_bounds: tuple[str, ...] = (), **parts
) -> None:
    """Register a model with these parts, of which these guards can be removed."""

    @specification(name, guards, only_at_full_bounds)
    def make(active: frozenset[str]) -> Protocol:
        return _protocol(name, Scope(guards=active | (GUARDS - set(guards)), **parts))


_model(
    "incarnations-starts",
    STARTS_GUARDS,
    processes=2,
    max_token=bound(3, 2),
    max_run=bound(2, 1),
    has_late_starts=True,
    has_late_reports=not is_small(),
)
_model(
    "incarnations-reports",
    REPORTS_GUARDS,
    processes=1,
    max_token=bound(4, 2),
    max_run=bound(2, 1),
    has_late_starts=True,
    has_late_reports=True,
)
_model(
    "incarnations-ends",
    ENDS_GUARDS,
    only_at_full_bounds=(QUESTION,),
    processes=2,
    max_token=bound(3, 2),
    max_run=bound(2, 1),
    has_ends=True,
    has_late_reports=not is_small(),
)
_model(
    "incarnations-writers",
    WRITERS_GUARDS,
    processes=bound(2, 1),
    max_token=bound(3, 2),
    max_run=bound(2, 1),
    has_writers=True,
)
_model(
    "incarnations-leaves",
    LEAVES_GUARDS,
    processes=2,
    max_token=bound(3, 1),
    max_run=bound(2, 1),
    has_leaves=True,
)
_model(
    "incarnations-calls",
    CALLS_GUARDS,
    processes=2,
    max_token=bound(3, 2),
    max_run=bound(2, 1),
    has_late_starts=True,
    has_late_calls=True,
)
_model(
    "incarnations-clocks",
    CLOCKS_GUARDS,
    processes=bound(3, 2),
    max_token=bound(3, 2),
    max_run=bound(2, 1),
    has_late_starts=True,
    has_clock_steps=True,
)
_model(
    "incarnations-unnamed",
    UNNAMED_GUARDS,
    processes=1,
    max_token=bound(3, 2),
    max_run=bound(2, 1),
    has_unnamed=True,
)
_model(
    "incarnations-left",
    LEFT_GUARDS,
    processes=bound(2, 1),
    max_token=bound(3, 2),
    max_run=1,
    has_ends=True,
    has_leaves=True,
)
