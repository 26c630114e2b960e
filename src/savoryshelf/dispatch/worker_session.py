"""An agent's session with one incarnation of a worker.

One green thread long-polls the worker while runs may exist there; each start,
stop and speed call has a green thread of its own.  A run counts as ended
only in one of these cases:

- The worker reports its end.
- A poll that lists all runs and ends does not list it, and was sent after the run's last start
  or stop was confirmed; no listed end that cannot be read may be its end.  If a row of the runs
  cannot be read, a stop has to have been confirmed a while before.
- Another incarnation answers at the worker's address.
- Every lease of the worker has expired.

Each call is preceded by a check of the agent's permission, without a pause in between.
"""

import math
import random

import attrs
import eventlet
from eventlet.event import Event
from eventlet.semaphore import Semaphore

from ..observability import metrics
from ..observability.logs import log_event
from ..tasks.crashes import SURVIVAL_MS, is_suspect
from ..tasks.worker import Worker
from ..wire.generated.ttypes import ContactLoss, EndEvidence, RunEnd, RunOutcome
from .late_starts import CALL_TOKENS, call_token, look_pause
from .placement import WorkerView
from .run_speeds import RunSpeeds
from .throttling import FULL_SPEED_PERCENT, ColocationHistory
from .unsettled_runs import UnsettledState
from .worker_api import (
    CallRejected,
    Fenced,
    IncarnationReplaced,
    NotDelivered,
    Overtaken,
    PollResult,
    RunStatus,
    StartRequest,
    StartResult,
    WorkerIncarnation,
    WorkerUnresponsive,
)
from .worker_clock import MIN_CLOCK_RATE, WorkerClock

POLL_WAIT_MS = 2000
"""How long a worker holds a poll open while no run ends, in ms: the maximum it allows."""

SHARED_POLL_WAIT_MS = 400
"""``POLL_WAIT_MS`` where best-effort runs share the processors with serving runs, in ms.

A serving run that misses its latency target has to be noticed within a second.
"""

DRAINING_LEASE_MS = 2500
"""Length of a lease of a worker that drains, in ms, unless all are shorter.

Only the end of its lease tells that it has exited, and tasks should have a run again within 3 s.
It holds beyond a poll without an answer (1.4 s), a retry and the poll that renews it.
"""

RETRY_SECONDS = 0.25
"""Pause before a call is retried, in seconds; jittered by up to half of it either way."""

STOP_LAG_SECONDS = 1.0
"""How long polls may still list a run whose stop was confirmed, in seconds.

Covers one stop call and one long poll.
"""

IMAGE_EXCLUSION_SECONDS = 3.0
"""How long the image of an evicted run is kept off the worker, in seconds.

The load peaks of a serving run last about as long.
"""

MAX_CONCURRENT_STARTS = 4
"""Bound on the start calls in flight to one worker; more connections cost more than they save."""

PROOF_SECONDS = SURVIVAL_MS / 1000 + 0.05
"""Time after which a worker is asked whether it has outlived the start of a suspect."""

IDLE_CHECK_SECONDS = 0.5
"""How often an idle session checks whether it was closed, in seconds.

The agent closes it once the worker's incarnation has been replaced.
"""

MAX_REFUSED_POLL_SECONDS = 1.0
"""A worker that refuses polls for this long counts as unresponsive, so its lease can expire.

A refused poll renews no lease.  A few tries: unhealthy workers refuse part of their calls.
"""

MAX_DOUBT_SECONDS = 2.0
"""How long a run may be in doubt until it is ended.

If stops go unconfirmed, it is ended by a new token, which makes a new session that has to learn
all runs of the worker again.  If rows that cannot be read may hide it, it is ended by a stop.
"""

MAX_LOGGED_ITEMS = 40
"""Bound on the numbers and runs that one log line names."""

MAX_REPORT_DELAY_SECONDS = 0.25
"""How long the end of an incarnation is not reported while starts are under way, in seconds.

A run whose start did not reach it is no suspect of a crash; a round trip or two tell.
"""

MAX_CLEARING_SECONDS = 0.75
"""How long the end of an incarnation is not reported while the next one runs late starts.

A task whose run is stopped there does not start beside it: a stop takes up to 0.2 s.
"""

CLEARING_CHECK_SECONDS = 0.05
"""How often to ask whether late runs have ended, in seconds."""

REPORT_CHECK_SECONDS = 0.01
"""How often to look whether starts are still under way, in seconds."""

PERMISSION_CHECK_SECONDS = 0.05
"""How often a session without permission to call its worker checks for it, in seconds."""


@attrs.define
class CallCompletion:
    """When a run's last start or stop was confirmed, on this host's clock, in seconds.

    Polls sent later list the run if it exists.
    """

    completed_at: float


class WorkerSession:
    """Polls and calls one incarnation of a worker for as long as this host is its agent."""

    def __init__(
        self, agent, worker: Worker, lease_ms: int, previous: "WorkerSession | None" = None
    ):
        """Begin to poll; ``previous`` is the session that this one replaces.

        It was this agent's too, and no other has been the worker's agent since it began.
        """
        self._agent = agent
        self.worker = worker
        record = worker.record
        self.fencing_token = record.fencing_token
        """The ledger's token of this session: another assignment makes another session."""

        self._raises = 0
        """How often the token of the calls was raised above those of unanswered starts."""

        self.is_fenced = False
        """Whether the worker has rejected the token; it is not called any more then."""

        self.needs_new_token = False
        """Whether the worker answers polls, but not the stop of a run that may still start.

        Under another token the start is refused, so the next session's first poll settles the run.
        """

        self.incarnation = WorkerIncarnation(
            record.life.worker_id, record.life.born_ms, record.address
        )
        self.clock = WorkerClock() if previous is None else previous.clock
        self.status_by_run: dict[tuple[str, int], RunStatus] = {}
        self._speeds = RunSpeeds(
            {run: None for run, task in worker.task_by_run.items() if task.step.spec.filling}
        )
        self.baseline_by_image: dict[str, float] = {}
        """Utilisation of serving runs without interference, by image, as of the last poll."""

        self._excluded_until_by_image: dict[str, float] = {}
        self._history = ColocationHistory()
        self.last_contact_at = float("-inf")
        self._alive_at = float("-inf")
        """When the newest poll that this incarnation answered was sent, in monotonic seconds."""

        self._heard_at = float("-inf") if previous is None else previous._heard_at
        """When this incarnation last answered a call of any kind, in monotonic seconds."""

        self._unanswered_since = None if previous is None else previous._unanswered_since
        """When the first call since then went unanswered."""

        self.is_unresponsive = previous is not None and previous.is_unresponsive
        self._silent_since = agent.now()
        """Since when the worker has been unresponsive, if it is, in monotonic seconds."""

        self.is_state_known = False
        """Whether this incarnation has answered a poll, so that its runs are known.

        Until then nothing but a heartbeat says that it exists.  Late starts that it runs on orders
        for an earlier incarnation end first: as long as it is not known, it replaces no other.
        """

        self._answered_at: float | None = None
        """When the first poll was answered, in monotonic seconds."""

        self.has_ended = False
        """Whether the incarnation was reported as ended; no call may be made after that."""

        self.end_evidence = EndEvidence.SILENT
        """What that rests on."""

        self._successor: WorkerIncarnation | None = None
        """The incarnation that was found in place of this one."""

        self._lease_ms = lease_ms
        self._taken_over_at = agent.now() if previous is None else previous._taken_over_at
        self._confirmed_at_by_run: dict[tuple[str, int], float] = {
            run: agent.now() for run in worker.task_by_run
        }
        """When the last start or stop of each run was confirmed, in monotonic seconds.

        For runs placed before this session: when the session began.
        """

        self._started_at_by_run: dict[tuple[str, int], float] = {}
        """When the start of each run was confirmed, or the first poll that lists it was sent."""

        self._undelivered_starts: set[tuple[str, int]] = set()
        """The runs whose start call has not reached the worker, or not been sent yet."""

        self._in_doubt_since_by_run: dict[tuple[str, int], float] = {}
        """Since when the start call of a run is unanswered, until a stop is confirmed."""

        self._start_unanswered_at = float("-inf")
        """When the newest start call went unanswered, in monotonic seconds."""

        self._stopped_at_by_run: dict[tuple[str, int], float] = {}
        self._unknown_runs: set[tuple[str, int, str]] = set()
        """The runs of the last poll that the ledger does not have here, and how they ended."""

        self._unreadable_numbers: frozenset[int] = frozenset()
        self._unnumbered_ends = 0
        """The listed ends that cannot be read: their numbers, and how many have none either."""

        self._settled_up_to = 0
        """The number up to which ends had been settled when these were listed."""

        self._maybe_ended_runs: set[tuple[str, int]] = set()
        """The runs of finite tasks of which they may be the ends."""

        self._maybe_ended_long_running: set[tuple[str, int]] = set()
        """The unlisted runs of long-running tasks of which such ends may have been."""

        self._reported_ends: set[tuple[str, int]] = set()
        """The runs that the newest poll tells to have ended, or that it should list."""

        self._unapplied_refusals: set[tuple[str, int]] = set()
        """The runs whose starts were refused or not sent, until that is applied here."""

        self._unreadable_since: float | None = None
        """When the first of the newest polls that all list a run which cannot be read was sent."""

        self._may_omit_ends = False
        """Whether the newest poll may omit ends."""

        self._has_long_poll = False
        """Whether the open poll began when no best-effort run shared the worker."""

        self._starts_in_flight: set[tuple[str, int]] = set()
        self._stops_in_flight: set[tuple[str, int]] = set()
        self._start_slots = Semaphore(MAX_CONCURRENT_STARTS)
        self._clock_check = Semaphore(1)
        self._wake = Event()
        self.is_closed = False
        self._threads = [eventlet.spawn(self._run)]

    # ------------------------------------------------------------ called by the agent

    def close(self) -> None:
        """End the session: stop polling and retrying."""
        self.is_closed = True
        for thread in self._threads:
            thread.kill()

    def wake(self) -> None:
        """End the idle wait, because a run is being started or stopped."""
        if not self._wake.ready():
            self._wake.send(None)

    @property
    def is_responsive(self) -> bool:
        """Return whether the worker answers and its runs are known."""
        return self.is_state_known and not self.is_unresponsive and not self.is_fenced

    def excluded_images(self) -> dict[str, float]:
        """Return the best-effort images kept off this worker, and for how many more seconds."""
        now = self._agent.now()
        return {i: until - now for i, until in self._excluded_until_by_image.items() if now < until}

    def check_incarnation(self) -> None:
        """Find out at once whether this incarnation still answers at its address.

        A call on an open connection may have to wait for its timeout to tell.
        """
        self._overtake_starts()
        self._agent.worker_api.disconnect(self.incarnation)
        eventlet.spawn_n(self._poll_now)

    def view(self) -> WorkerView:
        """Return the worker's state for throttling."""
        return WorkerView(
            self.worker,
            self.is_responsive,
            self.status_by_run,
            self.baseline_by_image,
            frozenset(self.excluded_images()),
        )

    def idle_seconds_by_run(self) -> dict[tuple[str, int], float]:
        """Return the runs that may exist and are not at work, and for how long.

        Infinity for a run whose start is in doubt: it may never have been at work.
        """
        now = self._agent.now()
        runs = self.worker.task_by_run.keys()
        idle = dict.fromkeys(self._stops_in_flight & runs, 0.0)
        for run in self.maybe_paused_runs():
            idle[run] = self._history.paused_seconds(run, now)
        return idle | dict.fromkeys(self._in_doubt_since_by_run.keys() & runs, math.inf)

    def exclude_image(self, image: str) -> None:
        """Keep a best-effort image off this worker for a while, after a run of it was evicted."""
        self._excluded_until_by_image[image] = self._agent.now() + IMAGE_EXCLUSION_SECONDS

    def start(self, task: str, run: int) -> None:
        """Send the start call of a run whose intent has just been applied here.

        The call carries the checkpoint as of now.  It may be sent later, when another one is
        known, but all members of a gang have to resume from the same.
        """
        self._starts_in_flight.add((task, run))
        self._undelivered_starts.add((task, run))
        # From now on the run may exist without being listed.
        self._confirmed_at_by_run.pop((task, run), None)
        self.wake()
        assigned_task = self.worker.task_by_run.get((task, run))
        checkpoint = assigned_task.checkpoint if assigned_task is not None else ""
        self._agent.start_calls.add(self._send_start, task, run, checkpoint)

    def stop(self, task: str, run: int) -> None:
        """Stop a run; an unanswered call is retried until the session or the term ends.

        Does nothing while the start call is in flight; once it is answered, the run is
        stopped if it is in the ledger's ``runs_to_stop``.
        """
        if self.is_stopping(task, run) or (task, run) in self._starts_in_flight:
            return
        self._stops_in_flight.add((task, run))
        self.wake()
        eventlet.spawn_n(self._send_stop, task, run)

    def is_stopping(self, task: str, run: int) -> bool:
        """Return whether a stop is in flight, or so recent that polls may still list the run."""
        if (task, run) in self._stops_in_flight:
            return True
        stopped_at = self._stopped_at_by_run.get((task, run))
        return stopped_at is not None and self._agent.now() - stopped_at < STOP_LAG_SECONDS

    def set_speed(self, task: str, run: int, speed_percent: int) -> None:
        """Throttle a run or restore its speed.

        Its newest speed is ordered until the worker confirms it, or the run is being stopped.
        """
        if self.speed_percent_by_run.get((task, run), FULL_SPEED_PERCENT) == speed_percent:
            return
        if self._speeds.request((task, run), speed_percent):
            eventlet.spawn_n(self._send_speeds, task, run)

    @property
    def speed_percent_by_run(self) -> dict[tuple[str, int], int | None]:
        """Return the speed last requested of each run, in percent; None if it is not known."""
        return self._speeds.requested_percent_by_run

    def maybe_paused_runs(self) -> set[tuple[str, int]]:
        """Return the runs that exist and may be paused."""
        return self._speeds.maybe_paused(self.worker.task_by_run.keys())

    def worked_ms_by_run(self) -> dict[tuple[str, int], int]:
        """Return how long the worker is known to have outlived the start of its runs, in ms.

        Holds -1 for runs whose start call did not reach it, and no run whose start is in doubt.
        """
        worked_ms_by_run = {}
        for key in self.worker.task_by_run:
            if key in self._started_at_by_run:
                seconds = max(0.0, self._alive_at - self._started_at_by_run[key])
                worked_ms_by_run[key] = int(1000 * seconds)
            elif key in self._undelivered_starts:
                worked_ms_by_run[key] = -1
        return worked_ms_by_run

    def contact_loss(self) -> ContactLoss:
        """Return when contact was lost; a negative time if this incarnation has never answered."""
        now = self._agent.now()
        if math.isinf(self._heard_at):
            return ContactLoss(-1, -1)
        unanswered_since = now if self._unanswered_since is None else self._unanswered_since
        return ContactLoss(int(1000 * (now - self._heard_at)), int(1000 * (now - unanswered_since)))

    def lease_has_expired(self) -> bool:
        """Return whether no run started before now can still be running in this incarnation."""
        now = self._agent.now()
        elapsed = now - self._taken_over_at
        if elapsed * 1000 * MIN_CLOCK_RATE < self._lease_ms + self._agent.takeover_slack_ms:
            # An earlier leader may have granted a lease of up to this length.
            return False
        if not self.clock.has_reading:
            # Without a reading, this session has sent no deadline.
            return True
        return self.clock.all_deadlines_passed(now)

    def lease_seconds_left(self) -> float:
        """Return for how long leases may still hold; 0 once every lease has expired."""
        now = self._agent.now()
        earlier_ms = self._lease_ms + self._agent.takeover_slack_ms
        earlier_seconds = earlier_ms / 1000 / MIN_CLOCK_RATE - (now - self._taken_over_at)
        return max(0.0, earlier_seconds, self.clock.seconds_until_deadlines_passed(now))

    def unlisted_runs(self) -> set[tuple[str, int]]:
        """Return the runs that may exist and that the newest poll does not list.

        If the worker does not answer, these are all: what was listed before may have ended.
        """
        runs = self.worker.task_by_run.keys()
        return set(runs) if self.is_unresponsive else runs - self.status_by_run.keys()

    def unsettled_states(self, run: tuple[str, int]) -> list[UnsettledState]:
        """Return what keeps a run that is not listed from being settled, for the log."""
        is_starting, is_undelivered = run in self._starts_in_flight, run in self._undelivered_starts
        applies = {
            UnsettledState.INCARNATION_ENDED: self.has_ended,
            UnsettledState.START_IN_FLIGHT: is_starting and not is_undelivered,
            UnsettledState.START_QUEUED: is_starting and is_undelivered,
            UnsettledState.FENCED: self.is_fenced,
            UnsettledState.NEEDS_TOKEN: self.needs_new_token,
            UnsettledState.START_IN_DOUBT: run in self._in_doubt_since_by_run,
            UnsettledState.NO_PERMISSION: not self._may_call(),
            UnsettledState.STATE_UNKNOWN: not self.is_state_known,
            UnsettledState.UNRESPONSIVE: self.is_unresponsive,
            UnsettledState.ENDED_NOT_COMMITTED: run
            in self._reported_ends | self._unapplied_refusals,
            UnsettledState.NOT_CONFIRMED: run not in self._confirmed_at_by_run,
            UnsettledState.UNREADABLE_RUNS: self._unreadable_since is not None,
            UnsettledState.UNREADABLE_ENDS: run in self._maybe_ended_runs,
            UnsettledState.LIST_CUT_SHORT: self._may_omit_ends,
        }
        return [state for state, is_so in applies.items() if is_so] or [
            UnsettledState.AWAITING_POLL
        ]

    # -------------------------------------------------------------------- polling

    def _run(self) -> None:
        while not self.is_closed:
            if self._is_idle():
                self._wait_for_work()
                continue
            if not self._may_call():
                eventlet.sleep(PERMISSION_CHECK_SECONDS)
                continue
            wait_ms = self._poll_wait_ms()
            self._has_long_poll = wait_ms > SHARED_POLL_WAIT_MS
            try:
                self._poll(wait_ms)
            except IncarnationReplaced as error:
                self._end_incarnation(str(error))
                return
            except Fenced as error:
                self._mark_fenced(error)
            except CallRejected as error:
                log_event("worker:rejects", worker=self.incarnation.worker_id, why=str(error))
                if (
                    self._agent.now() - self.last_contact_at > MAX_REFUSED_POLL_SECONDS
                    and self._is_over_without_answer(error)
                ):
                    return
                self._wait_before_retry()
            except WorkerUnresponsive as error:
                if self._is_over_without_answer(error):
                    return
                self._wait_for_answer()
            except Exception as error:
                # Without this thread the worker's runs would never end.
                log_event("worker:poll_failed", worker=self.incarnation.worker_id, why=repr(error))
                self._wait_before_retry()

    def _is_over_without_answer(self, error: Exception) -> bool:
        """Mark the worker as unresponsive; end its incarnation if nothing can run there any more.

        Return whether it ended.
        """
        self._mark_unresponsive(error)
        # A worker that announced its shutdown works on for a while if nobody confirms that, and
        # may accept no call meanwhile: neither silence nor a refusal tells that it has exited.
        if not self.lease_has_expired():
            return False
        self._end_incarnation("lease expired", EndEvidence.SILENT)
        return True

    def _end_incarnation(self, why: str, evidence: EndEvidence = EndEvidence.REPLACED) -> None:
        if self.has_ended:
            return
        if self._may_have_lapsed():
            # Its runs may have ended before it did, so that it has not crashed under them.
            evidence = EndEvidence.SILENT
        self.has_ended, self.end_evidence = True, evidence
        if self._starts_in_flight or self._has_to_clear_successor():
            eventlet.spawn_n(self._report_end, why)
        else:
            self._agent.incarnation_ended(self, why)

    def _may_have_lapsed(self) -> bool:
        """Return whether the lease of this incarnation may be over."""
        holds_lease = self.clock.holds_lease(self._agent.now())
        return self.lease_has_expired() if holds_lease is None else not holds_lease

    def _report_end(self, why: str) -> None:
        """Report the end of the incarnation once the starts under way tell if they reached it."""
        with eventlet.Timeout(MAX_REPORT_DELAY_SECONDS, False):
            while self._starts_in_flight:
                eventlet.sleep(REPORT_CHECK_SECONDS)
        if self._has_to_clear_successor():
            with eventlet.Timeout(MAX_CLEARING_SECONDS, False):
                self._stop_late_runs(self._successor)
        self._agent.incarnation_ended(self, why)

    def _has_to_clear_successor(self) -> bool:
        """Return whether the next incarnation may run starts that were sent to this one."""
        return self._successor is not None and self._may_have_late_starts()

    def _stop_late_runs(self, successor: WorkerIncarnation) -> None:
        """Stop what the next incarnation runs on orders that were meant for another one.

        Its first answer to a token above those of all such orders lists them, and no more follow.
        Runs that the ledger has there are its own.
        """
        token = call_token(self.fencing_token, CALL_TOKENS - 1)
        key, api, stopped = (successor.worker_id, successor.born_ms), self._agent.worker_api, set()
        try:
            while self._has_permission():
                result = api.poll(successor, token, 0, 0, 0)
                worker = self._agent.ledger.worker_by_incarnation.get(key)
                assigned = worker.task_by_run if worker is not None else {}
                late = {(status.task, status.run) for status in result.running} - assigned.keys()
                for task, run in late - stopped:
                    log_event("run:late", task=task, run=run, worker=key[0], born=key[1])
                    api.stop(successor, task, run, token)
                stopped |= late
                if not late:
                    break
                eventlet.sleep(CLEARING_CHECK_SECONDS)
        except Exception as error:
            # The next incarnation's own session stops them.
            log_event("worker:not_cleared", worker=key[0], born=key[1], why=repr(error))
        finally:
            if key not in self._agent.session_by_incarnation:
                api.disconnect(successor)

    def _may_have_late_starts(self) -> bool:
        """Return whether starts that went unanswered may be carried out by the next incarnation."""
        late_starts, worker_id = self._agent.late_starts, self.incarnation.worker_id
        return (
            late_starts.are_possible(worker_id, self._agent.now()) or self._has_unanswered_start()
        )

    def _has_unanswered_start(self) -> bool:
        return bool(self._starts_in_flight - self._undelivered_starts)

    @property
    def call_token(self) -> int:
        """Return the token of the calls that are sent now."""
        return call_token(self.fencing_token, self._raises)

    def _overtake_starts(self) -> None:
        """Raise the token of all later calls above those of the starts without an answer so far."""
        if self._has_unanswered_start():
            self._raise_token()

    def _raise_token(self) -> None:
        # The last one is that of the calls to the next incarnation.
        if self._raises < CALL_TOKENS - 2:
            self._raises += 1
        elif not self.needs_new_token:
            self.needs_new_token = True
            self._agent.state_changed(self)

    def _may_call(self) -> bool:
        return not self.has_ended and self._has_permission()

    def _has_permission(self) -> bool:
        if self.is_closed or self.is_fenced:
            return False
        # The worker may have another agent already, before this session is closed for it.
        if self.worker.record.fencing_token != self.fencing_token:
            return False
        return self._agent.may_call_workers()

    def _poll_wait_ms(self) -> int:
        if not self.is_state_known or self.is_unresponsive or self._hidden_runs():
            return 0
        is_short = self.worker.is_shared or self.worker.record.draining
        return SHARED_POLL_WAIT_MS if is_short else POLL_WAIT_MS

    def _granted_lease_ms(self) -> int:
        if self.worker.record.draining:
            return min(self._lease_ms, DRAINING_LEASE_MS)
        return self._lease_ms

    def _is_idle(self) -> bool:
        """Return whether no poll is needed until the next run is placed here.

        An unresponsive worker gets no run, so only polls can tell that it answers again.
        """
        return (
            not self.worker.task_by_run
            and self.is_state_known
            and self.clock.has_reading
            and not self.is_unresponsive
            and not self._may_have_late_starts()
        )

    def _wait_for_work(self) -> None:
        if self._wake.ready():
            self._wake = Event()
        with eventlet.Timeout(IDLE_CHECK_SECONDS, False):
            self._wake.wait()

    def _wait_before_retry(self) -> None:
        eventlet.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _wait_for_answer(self) -> None:
        """Wait before the next look at a silent worker: shorter if late starts may reach it.

        The look that finds the lease expired comes as soon as that may be so.
        """
        seconds = RETRY_SECONDS * random.uniform(0.5, 1.5)
        seconds = min(seconds, max(REPORT_CHECK_SECONDS, self.lease_seconds_left()))
        now = self._agent.now()
        if self._may_have_late_starts() and self._agent.late_starts.may_look(now):
            seconds = min(seconds, look_pause(now - self._silent_since))
        eventlet.sleep(seconds)

    def _poll(self, wait_ms: int) -> None:
        sent_at = self._agent.now()
        # The lease of an unresponsive worker must be able to expire, so it is not
        # renewed by a poll that may go unanswered as well.
        renews_lease = self.clock.has_recent_reading(sent_at) and not self.is_unresponsive
        # Checked after the clock was read: a process may be stopped between the two.
        renews_lease = renews_lease and self._may_call()
        lease_ms = self._granted_lease_ms()
        deadline_ms = self.clock.extend_deadline(sent_at, lease_ms) if renews_lease else 0
        seen_end = self.worker.record.seen_end
        result = self._call("poll", self.call_token, seen_end, deadline_ms, wait_ms)
        if deadline_ms:
            self.clock.confirm_deadline(deadline_ms, sent_at)
        now = self._agent.now()
        self.last_contact_at = now
        self._note_alive(result, sent_at)
        if self.is_unresponsive:
            log_event("worker:answers_again", worker=self.incarnation.worker_id)
        self.is_unresponsive = False
        self.clock.record_reading(result.clock_ms, now)
        renewal_error = None
        if deadline_ms == 0 and (result.running or self.worker.task_by_run):
            # This poll only read the worker's clock; the lease is still to be renewed.
            try:
                self._renew_lease()
            except (WorkerUnresponsive, CallRejected, IncarnationReplaced) as error:
                renewal_error = error
        # What was listed holds, whether or not the next call was answered.
        self._process_poll(result, sent_at)
        if renewal_error is not None:
            raise renewal_error
        if not self.is_state_known:
            eventlet.sleep(CLEARING_CHECK_SECONDS)
        if result.unreadable_runs or result.unreadable_ends:
            # A worker answers at once while an end is not acknowledged.
            self._wait_before_retry()

    def _renew_lease(self) -> None:
        now = self._agent.now()
        if not self._may_call():
            return
        deadline_ms = self.clock.extend_deadline(now, self._granted_lease_ms())
        seen_end = self.worker.record.seen_end
        self._call("poll", self.call_token, seen_end, deadline_ms, 0)
        self.clock.confirm_deadline(deadline_ms, now)

    def _note_survivors(self) -> None:
        """Ask the worker which runs it has outlived; leaves ends to the polls of the session."""
        if not self._may_call():
            return
        sent_at, seen_end = self._agent.now(), self.worker.record.seen_end
        try:
            result = self._call("poll", self.call_token, seen_end, 0, 0)
        except NotDelivered as error:
            self._mark_unresponsive(error)
        except IncarnationReplaced as error:
            self._end_incarnation(str(error))
        except (WorkerUnresponsive, CallRejected) as error:
            log_event("worker:poll_failed", worker=self.incarnation.worker_id, why=str(error))
        else:
            self._note_alive(result, sent_at)

    def _note_alive(self, result: PollResult, sent_at: float) -> None:
        self._alive_at = max(self._alive_at, sent_at)
        for status in result.running:
            self._started_at_by_run.setdefault((status.task, status.run), sent_at)

    def _process_poll(self, result: PollResult, sent_at: float) -> None:
        self.status_by_run = {(status.task, status.run): status for status in result.running}
        ends = [
            RunEnd(end.task, end.run, end.outcome, end.checkpoint, end.number)
            for end in result.ends
            if end.number > self.worker.record.seen_end
        ]
        ended_runs = {(end.task, end.run) for end in ends}
        if not result.unreadable_runs:
            self._unreadable_since = None
        elif self._unreadable_since is None:
            self._unreadable_since = sent_at
        self._may_omit_ends = result.may_omit_ends
        self._log_unknown_runs(ends)
        if result.may_omit_ends:
            log_event(
                "worker:more_ends", worker=self.incarnation.worker_id, listed=len(result.ends),
                seen_end=self.worker.record.seen_end, runs=len(self.worker.task_by_run),
            )  # fmt: skip
        self._note_unreadable_ends(result, ended_runs)
        ends, seen_end = self._settleable_ends(ends)
        ends += self._missing_runs(result, ended_runs, sent_at)
        self._reported_ends = ended_runs | {(end.task, end.run) for end in ends}
        if ends:
            self._agent.settle_ends(self, seen_end, ends)
        self.is_state_known = self.is_state_known or not self._has_late_runs()
        self._stop_hidden_runs(ended_runs, sent_at)
        self._stop_unexpected_runs(ended_runs)
        self._expire_exclusions()
        self._agent.poll_completed(self, self._history)

    def _has_late_runs(self) -> bool:
        """Return whether the newest of the first polls lists runs that the ledger has elsewhere."""
        if self._answered_at is None:
            self._answered_at = self._agent.now()
        if self._agent.now() - self._answered_at >= MAX_CLEARING_SECONDS:
            return False
        return bool(self.status_by_run.keys() - self.worker.task_by_run.keys())

    def _log_unknown_runs(self, ends: list[RunEnd]) -> None:
        """Log, once each, the listed runs and ends that the ledger does not have here."""
        how_by_run = dict.fromkeys(self.status_by_run, "running")
        how_by_run |= {(end.task, end.run): RunOutcome(end.outcome).name.lower() for end in ends}
        unknown = {
            (*run, how) for run, how in how_by_run.items() if run not in self.worker.task_by_run
        }
        for task_name, run, how in sorted(unknown - self._unknown_runs):
            task = self._agent.ledger.find_task(task_name)
            if task is not None and task.done and task.step.spec.gang and run == task.runs:
                # One end that is done completes all members of a gang.
                continue
            log_event(
                "run:unknown", task=task_name, run=run, worker=self.incarnation.worker_id,
                born=self.incarnation.born_ms, how=how, newest_run=task.runs if task else 0,
                task_known=task is not None, task_done=task is not None and task.done,
            )  # fmt: skip
        self._unknown_runs = unknown

    def _note_unreadable_ends(self, result: PollResult, ended_runs: set) -> None:
        """Note which runs the listed ends that cannot be read may be ends of.

        A run that is placed after such an end was first listed is none of them.
        """
        settled_up_to = self.worker.record.seen_end
        numbers = frozenset(n for n in result.unreadable_end_numbers if n > settled_up_to)
        unnumbered = result.unreadable_ends - len(result.unreadable_end_numbers)
        # Without a number, an end cannot be told from one listed before the last acknowledgement.
        known_unnumbered = self._unnumbered_ends if settled_up_to == self._settled_up_to else 0
        is_new = bool(numbers - self._unreadable_numbers) or unnumbered > known_unnumbered
        self._unreadable_numbers, self._unnumbered_ends = numbers, unnumbered
        self._settled_up_to = settled_up_to
        long_running = {
            key
            for key in self._unlisted_runs(ended_runs)
            if self.worker.task_by_run[key].step.spec.lasting
        }
        # A long-running task is started again however its run has ended.
        self._maybe_ended_long_running &= long_running
        self._maybe_ended_long_running |= long_running if is_new else set()
        unlisted = self._unlisted_runs(ended_runs) - long_running
        self._maybe_ended_runs &= unlisted if numbers or unnumbered else set()
        if not is_new or not unlisted:
            return
        self._maybe_ended_runs |= unlisted - self._undelivered_starts
        names = sorted(f"{task}:{run}" for task, run in self._maybe_ended_runs)
        log_event(
            "worker:unreadable_ends", worker=self.incarnation.worker_id, runs=len(names),
            numbers=sorted(numbers)[:MAX_LOGGED_ITEMS], without_number=unnumbered,
            maybe_ended=names[:MAX_LOGGED_ITEMS],
        )  # fmt: skip

    def _settleable_ends(self, ends: list[RunEnd]) -> tuple[list[RunEnd], int]:
        """Return the ends to be settled now, and the number up to which they are acknowledged.

        An end that cannot be read is not acknowledged while a run may have ended so: that run may
        be done, and then its task must not start again.  Later ends are settled all the same,
        but a failure counts each time that it is settled, so it waits.
        """
        if not self._maybe_ended_runs:
            return ends, max((end.number for end in ends), default=0)
        last = self.worker.record.seen_end
        if not self._unnumbered_ends:
            last = min(self._unreadable_numbers) - 1
        settled = [
            end
            for end in ends
            if end.number <= last
            or (end.outcome != RunOutcome.FAILED and (end.task, end.run) in self.worker.task_by_run)
        ]
        return settled, max((end.number for end in settled if end.number <= last), default=0)

    def _expire_exclusions(self) -> None:
        now = self._agent.now()
        for image in [i for i, until in self._excluded_until_by_image.items() if until <= now]:
            del self._excluded_until_by_image[image]

    def _missing_runs(self, result: PollResult, ended_runs: set, sent_at: float) -> list[RunEnd]:
        """Return ends for the runs that this poll should have listed and did not."""
        missing = []
        if result.may_omit_ends:
            return missing
        for key in self._unlisted_runs(ended_runs):
            if key in self._starts_in_flight or key in self._maybe_ended_runs:
                continue
            if result.unreadable_runs and not self._has_been_stopped(key, sent_at):
                continue
            if self._confirmed_at_by_run.get(key, float("inf")) < sent_at:
                missing.append(RunEnd(*key, RunOutcome.NEVER_RAN, "", 0))
                log_event("run:missing", task=key[0], run=key[1], worker=self.incarnation.worker_id)
        return missing

    def _unlisted_runs(self, ended_runs: set) -> set[tuple[str, int]]:
        return self.worker.task_by_run.keys() - self.status_by_run.keys() - ended_runs

    def _has_been_stopped(self, key: tuple[str, int], at: float) -> bool:
        """Return whether a run had been stopped for certain by then, so that no row is of it."""
        stopped_at = self._stopped_at_by_run.get(key)
        return stopped_at is not None and at - stopped_at >= STOP_LAG_SECONDS

    def _hidden_runs(self) -> set[tuple[str, int]]:
        """Return the unlisted runs that a row which cannot be read may be of.

        Those that are known to have started here are none, if their ends can be read.
        """
        if self._unreadable_since is None:
            return set()
        have_listed_ends = self._started_at_by_run.keys() - self._maybe_ended_long_running
        return self._unlisted_runs(self._reported_ends) - have_listed_ends

    def _stop_hidden_runs(self, ended_runs: set, sent_at: float) -> None:
        """Stop runs that have been hidden for a while, so that they can be settled."""
        if self._unreadable_since is None or sent_at - self._unreadable_since < MAX_DOUBT_SECONDS:
            return
        for key in self._hidden_runs() - ended_runs:
            confirmed_at = self._confirmed_at_by_run.get(key, float("inf"))
            if sent_at - confirmed_at >= MAX_DOUBT_SECONDS:
                self.stop(*key)

    def _stop_unexpected_runs(self, ended_runs: set) -> None:
        """Stop listed runs that should not run here; drop the data kept on runs that are gone."""
        runs_to_stop = self._agent.ledger.runs_to_stop
        for key in self.status_by_run:
            is_assigned = key in self.worker.task_by_run
            if key not in ended_runs and (not is_assigned or key in runs_to_stop):
                self.stop(*key)
        for key in self._started_at_by_run.keys() - self.worker.task_by_run.keys():
            del self._started_at_by_run[key]
        self._undelivered_starts &= self.worker.task_by_run.keys()
        self._unapplied_refusals &= self.worker.task_by_run.keys()
        for key in self._in_doubt_since_by_run.keys() - self.worker.task_by_run.keys():
            del self._in_doubt_since_by_run[key]
        for key in self._confirmed_at_by_run.keys() - self.worker.task_by_run.keys():
            self._confirmed_at_by_run.pop(key, None)
            self._stopped_at_by_run.pop(key, None)
            self._speeds.forget(key)

    def _mark_unresponsive(self, error: Exception) -> None:
        if not self.is_unresponsive:
            self._silent_since = self._agent.now()
            log_event("worker:silent", worker=self.incarnation.worker_id, why=str(error))
            self.is_unresponsive = True
            self._agent.state_changed(self)

    def _mark_fenced(self, error: Exception) -> None:
        if not self.is_fenced:
            log_event(
                "worker:fenced", worker=self.incarnation.worker_id, token=self.fencing_token,
                why=str(error),
            )  # fmt: skip
        self.is_fenced = True
        self._agent.state_changed(self)

    # --------------------------------------------------------- calls to the worker

    def _call(self, method: str, *arguments):
        """Call the worker; an error of any other kind than the declared ones is no answer.

        It may come from what the worker, or another writer in its place, has said of itself.
        """
        token, sent_at = self.call_token, self._agent.now()
        try:
            answer = getattr(self._agent.worker_api, method)(self.incarnation, *arguments)
        except Fenced as error:
            self._note_answer(sent_at)
            if token < self.call_token:
                raise Overtaken(str(error)) from error
            raise
        except CallRejected:
            self._note_answer(sent_at)
            raise
        except IncarnationReplaced as error:
            self._note_no_answer()
            self._successor = error.successor
            raise
        except WorkerUnresponsive:
            self._note_no_answer()
            self._overtake_starts()
            raise
        except Exception as error:
            self._overtake_starts()
            log_event(
                "worker:call_failed", worker=self.incarnation.worker_id, call=method,
                why=repr(error),
            )  # fmt: skip
            self._note_no_answer()
            raise WorkerUnresponsive(repr(error)) from error
        self._note_answer(sent_at)
        return answer

    def _note_answer(self, sent_at: float) -> None:
        # An answer may be read long after it was given, and its worker be gone by then.
        self._heard_at, self._unanswered_since = max(self._heard_at, sent_at), None

    def _note_no_answer(self) -> None:
        if self._unanswered_since is None:
            self._unanswered_since = self._agent.now()

    def _send_start(self, task: str, run: int, checkpoint: str) -> None:
        key, queued_at = (task, run), self._agent.now()
        try:
            with self._start_slots:
                if self._start_unanswered_at > queued_at:
                    # Waiting for another timeout would cost the task more than another worker.
                    result = StartResult.NOT_SENT
                else:
                    result = self._call_start(task, run, checkpoint)
        except WorkerUnresponsive as error:
            if isinstance(error, NotDelivered):
                self._undelivered_starts.add(key)
            if key not in self._undelivered_starts:
                self._start_unanswered(task, run, error)
                return
            # Either the start or the poll before it failed without the start being sent.
            self._mark_unresponsive(error)
            result = StartResult.NOT_SENT
        except IncarnationReplaced as error:
            # Calls reach the incarnation that they name or none.
            self._undelivered_starts.add(key)
            self._starts_in_flight.discard(key)
            self._end_incarnation(str(error))
            return
        except Fenced as error:
            self._starts_in_flight.discard(key)
            self._mark_fenced(error)
            return
        except Overtaken:
            # Of the poll before the start, as in the next case.
            result = StartResult.OVERTAKEN
        except CallRejected:
            # Of the poll before the start, which was not sent.
            result = StartResult.UNHEALTHY
        except Exception as error:
            # The run would count as being started for good, and no poll would settle it.
            log_event("run:start_failed", task=task, run=run, why=repr(error))
            self._in_doubt_since_by_run[key] = self._agent.now()
            self._starts_in_flight.discard(key)
            self.stop(task, run)
            return
        self._starts_in_flight.discard(key)
        if result is None:
            # Not sent, so a poll sent from now on that does not list the run settles it.
            self._confirmed_at_by_run[key] = self._agent.now()
            self._poll_until_answered(key)
            return
        if result is StartResult.FENCED:
            self._mark_fenced(Fenced("start"))
            return
        if result is StartResult.STARTED:
            self._confirmed_at_by_run[key] = self._started_at_by_run[key] = self._agent.now()
            assigned_task = self.worker.task_by_run.get(key)
            if key in self._agent.ledger.runs_to_stop:
                self.stop(task, run)
            elif assigned_task is not None:
                if is_suspect(assigned_task):
                    eventlet.spawn_after(PROOF_SECONDS, self._note_survivors)
                self._agent.run_started(self, assigned_task, run)
                if self._has_long_poll and self.worker.is_shared:
                    # The open poll would report too late how serving runs fare beside this one.
                    self._has_long_poll = False
                    eventlet.spawn_n(self._poll_until_shared)
            return
        metrics.RETRIES.labels(f"start {result.value}").inc()
        log_event(
            "run:rejected", task=task, run=run, worker=self.incarnation.worker_id, why=result.value
        )
        self._unapplied_refusals.add(key)
        self._agent.start_rejected(self, task, run, result)

    def _start_unanswered(self, task: str, run: int, error: Exception) -> None:
        """Stop a run whose start may still arrive: only a confirmed stop rules that out."""
        self._start_unanswered_at = self._agent.now()
        self._agent.late_starts.note(self.incarnation.worker_id, self._agent.now())
        metrics.RETRIES.labels("start unanswered").inc()
        log_event(
            "run:in_doubt", task=task, run=run, worker=self.incarnation.worker_id, why=str(error)
        )
        self._in_doubt_since_by_run[task, run] = self._agent.now()
        self._starts_in_flight.discard((task, run))
        self._agent.start_unanswered(self)
        self.stop(task, run)

    def _call_start(self, task: str, run: int, checkpoint: str) -> StartResult | None:
        assigned_task = self.worker.task_by_run.get((task, run))
        if assigned_task is None or not self._may_call():
            return None
        with self._clock_check:
            if not self.clock.has_recent_reading(self._agent.now()):
                self._poll(0)
        if not self._may_call():
            return None
        if is_suspect(assigned_task):
            self._note_survivors()
            if not self._may_call():
                return None
        if (task, run) in self._agent.ledger.runs_to_stop or self.worker.record.leaving:
            # Its job was cancelled, or the worker has announced its exit, while the start waited.
            return None
        if self.worker.is_over_capacity:
            # Its capacity shrank after the run was placed; it may not guard it itself.
            return StartResult.NO_CAPACITY
        # Read before the check: a process may be stopped between the two.
        now = self._agent.now()
        if not self._may_call():
            return None
        request = StartRequest(
            task=task,
            run=run,
            body=assigned_task.step.job.spec.body,
            deadline_ms=self.clock.extend_deadline(now, self._granted_lease_ms()),
            fencing_token=self.call_token,
            checkpoint=checkpoint,
        )
        self._undelivered_starts.discard((task, run))
        if not self.clock.holds_lease(now):
            # Nothing else runs there, and what this call starts has the lease that it grants.
            self.clock.confirm_deadline(request.deadline_ms, now)
        result, clock_ms = self._call("start", request)
        if result is StartResult.STARTED:
            self.clock.confirm_deadline(request.deadline_ms, now)
        if clock_ms is not None:
            self.clock.record_reading(clock_ms, self._agent.now())
        if result is StartResult.FENCED and request.fencing_token < self.call_token:
            return StartResult.OVERTAKEN
        return result

    def _send_stop(self, task: str, run: int) -> None:
        key = (task, run)
        try:
            is_confirmed = self._stop_until_confirmed(task, run)
        finally:
            self._stops_in_flight.discard(key)
        if not is_confirmed:
            return
        self._in_doubt_since_by_run.pop(key, None)
        was_running = key in self.status_by_run
        self._stopped_at_by_run[key] = self._agent.now()
        self._confirmed_at_by_run[key] = self._agent.now()
        if not was_running:
            self._poll_until_answered(key)

    def _stop_until_confirmed(self, task: str, run: int) -> bool:
        """Send a stop until the worker confirms it; return whether it did.

        A worker that refuses the call has done nothing, so the run may still start.
        """
        is_logged = False
        while not (self.is_closed or self.has_ended or self.is_fenced):
            if not self._may_call():
                eventlet.sleep(PERMISSION_CHECK_SECONDS)
                continue
            sent_at = self._agent.now()
            try:
                self._call("stop", task, run, self.call_token)
                return True
            except Fenced as error:
                self._mark_fenced(error)
            except IncarnationReplaced as error:
                self._end_incarnation(str(error))
            except (WorkerUnresponsive, CallRejected) as error:
                metrics.RETRIES.labels("stop unconfirmed").inc()
                if not is_logged:
                    is_logged = True
                    log_event(
                        "run:stop_unconfirmed", task=task, run=run,
                        worker=self.incarnation.worker_id, why=str(error),
                    )  # fmt: skip
                self._request_token_if_in_doubt((task, run), sent_at)
                self._wait_before_retry()
        return False

    def _request_token_if_in_doubt(self, key: tuple[str, int], sent_at: float) -> None:
        """Ask for a new token if the worker, which did not confirm a stop, answers a poll."""
        since = self._in_doubt_since_by_run.get(key)
        if since is None or self.needs_new_token or self._agent.now() - since < MAX_DOUBT_SECONDS:
            return
        self._poll_now()
        is_listed = key in self.status_by_run
        if self._alive_at < sent_at or is_listed or key not in self.worker.task_by_run:
            return
        log_event(
            "worker:needs_token", worker=self.incarnation.worker_id, task=key[0], run=key[1],
            token=self.fencing_token,
        )  # fmt: skip
        self.needs_new_token = True
        self._agent.state_changed(self)

    def _poll_until_answered(self, key: tuple[str, int]) -> None:
        """Settle a run that may not exist by a poll of its own.

        The open poll was sent too early for that, and the next one is held open as well.
        """
        while not (self.is_closed or self.has_ended or self.is_fenced):
            if key not in self.worker.task_by_run or self._poll_now():
                return
            self._wait_before_retry()

    def _poll_until_shared(self) -> None:
        """Poll in short intervals until the long poll that is open now has been answered."""
        until = self._agent.now() + POLL_WAIT_MS / 1000
        while not (self.is_closed or self.has_ended or self.is_fenced):
            eventlet.sleep(SHARED_POLL_WAIT_MS / 1000)
            if self._agent.now() >= until or not self.worker.is_shared:
                return
            self._poll_now()

    def _poll_now(self) -> bool:
        """Poll instead of waiting for the open poll to return; return whether it was answered."""
        if not self._may_call():
            return False
        try:
            self._poll(0)
        except IncarnationReplaced as error:
            self._end_incarnation(str(error))
            return False
        except Exception as error:
            log_event("worker:poll_failed", worker=self.incarnation.worker_id, why=repr(error))
            return False
        return True

    def _send_speeds(self, task: str, run: int) -> None:
        try:
            self._order_newest_speed(task, run)
        finally:
            self._speeds.end_order((task, run))

    def _order_newest_speed(self, task: str, run: int) -> None:
        """Order the newest speed of a run until the worker confirms it."""
        key, is_logged = (task, run), False
        while self._is_throttled(key):
            if not self._may_call():
                eventlet.sleep(PERMISSION_CHECK_SECONDS)
                continue
            speed_percent = self.speed_percent_by_run[key]
            try:
                self._call("set_speed", task, run, speed_percent, self.call_token)
                if self._speeds.confirm(key, speed_percent):
                    return
            except Fenced as error:
                self._mark_fenced(error)
            except IncarnationReplaced as error:
                self._end_incarnation(str(error))
            except (WorkerUnresponsive, CallRejected) as error:
                metrics.RETRIES.labels("speed unconfirmed").inc()
                if not is_logged:
                    is_logged = True
                    log_event(
                        "run:speed_unconfirmed", task=task, run=run, speed_percent=speed_percent,
                        worker=self.incarnation.worker_id, why=str(error),
                    )  # fmt: skip
                if not isinstance(error, (NotDelivered, CallRejected)):
                    # The worker would carry it out late, after a newer one, under the same token.
                    self._raise_token()
                self._wait_before_retry()

    def _is_throttled(self, key: tuple[str, int]) -> bool:
        """Return whether the speed of a run still matters here."""
        if self.is_closed or self.has_ended or self.is_fenced:
            return False
        return key in self.worker.task_by_run and not self.is_stopping(*key)
