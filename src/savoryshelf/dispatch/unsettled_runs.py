"""Logs the runs that may exist and that their workers do not list, and what keeps them so.

A task can't start again until such a run is settled.  This changes nothing of what is settled.
The bounds of volume are ``LINE_SECONDS`` and ``MAX_LINES``.
"""

import enum
from collections import Counter
from collections.abc import Iterable

import attrs

from ..observability import metrics
from ..observability.logs import log_event
from ..tasks.job import IncarnationKey

MAX_UNSETTLED_SECONDS = 2.0
"""Time after which a run that is not listed is named."""

LOOK_SECONDS = 0.5
"""Time between two looks for such runs, in seconds."""

LINE_SECONDS = 1.0
"""Time between two times that lines are written, in seconds: a worker has one at most in it."""

MAX_LINES = 6
"""Workers that are named at one time, those with the longest wait first."""


class UnsettledState(enum.Enum):
    """What keeps a run that is not listed from being settled.

    The values are words of the log and labels of a metric.  Of several that apply to a run, the
    first one comes first: nothing else can settle it before that has changed.
    """

    INCARNATION_ENDED = "incarnation_ended"
    """The end of the worker's incarnation is reported, and not committed here."""

    START_IN_FLIGHT = "start_in_flight"
    START_QUEUED = "start_queued"
    """Its start call has not been sent yet: it waits for others or for a poll."""

    FENCED = "fenced"
    NEEDS_TOKEN = "needs_token"
    START_IN_DOUBT = "start_in_doubt"
    """Its start call was not answered, and its stop is not confirmed."""

    NO_PERMISSION = "no_permission"
    """The agent may not call the worker: no leader has answered its reports, or it has moved."""

    STATE_UNKNOWN = "state_unknown"
    """No poll of this session has been answered yet."""

    UNRESPONSIVE = "unresponsive"
    ENDED_NOT_COMMITTED = "ended_not_committed"
    """Its end, or that it never ran, is reported to the leader, and not applied here."""

    NOT_CONFIRMED = "not_confirmed"
    """Neither a start nor a stop is confirmed, so no poll settles it."""

    UNREADABLE_RUNS = "unreadable_runs"
    UNREADABLE_ENDS = "unreadable_ends"
    LIST_CUT_SHORT = "list_cut_short"
    AWAITING_POLL = "awaiting_poll"
    """Nothing but the answer to a poll that is sent after the start or stop was confirmed."""


@attrs.define
class UnsettledRuns:
    """Since when runs have not been listed, at one agent; times are monotonic seconds."""

    _since_by_run: dict[tuple[IncarnationKey, tuple[str, int]], float] = attrs.field(factory=dict)
    _logged_at: float = float("-inf")

    def look(self, sessions: Iterable, wall_ms: int, now: float) -> None:
        """Take note of the runs that are not listed, and log those that have been so for long."""
        unlisted = [(session, run) for session in sessions for run in session.unlisted_runs()]
        since = self._since_by_run
        self._since_by_run = {
            (session.worker.key, run): since.get((session.worker.key, run), now)
            for session, run in unlisted
        }
        if now - self._logged_at < LINE_SECONDS:
            return
        self._logged_at = now
        overdue_by_session: dict = {}
        for session, run in unlisted:
            seconds = now - self._since_by_run[session.worker.key, run]
            if seconds > MAX_UNSETTLED_SECONDS:
                overdue_by_session.setdefault(session, []).append((-seconds, run))
        self._count_states(overdue_by_session)
        worst = sorted(overdue_by_session, key=lambda session: min(overdue_by_session[session]))
        for session in worst[:MAX_LINES]:
            runs, further = overdue_by_session[session], max(0, len(worst) - MAX_LINES)
            _log(session, runs, further, wall_ms, now)

    @staticmethod
    def _count_states(overdue_by_session: dict) -> None:
        counts = Counter(
            session.unsettled_states(run)[0]
            for session, runs in overdue_by_session.items()
            for _, run in runs
        )
        for state in UnsettledState:
            metrics.UNSETTLED_RUNS.labels(state.value).set(counts[state])


def _log(
    session, runs: list[tuple[float, tuple[str, int]]], further: int, wall_ms: int, now: float
) -> None:
    negative_seconds, (task, run) = min(runs)
    state, *others = (each.value for each in session.unsettled_states((task, run)))
    has_contact = session.last_contact_at > float("-inf")
    log_event(
        "run:unsettled", task=task, run=run, worker=session.incarnation.worker_id,
        born=session.incarnation.born_ms, token=session.fencing_token, state=state, also=others,
        seconds=round(-negative_seconds, 2), since_ms=wall_ms + int(1000 * negative_seconds),
        was_listed=(task, run) in session.status_by_run, runs=len(runs),
        contact_seconds_ago=round(now - session.last_contact_at, 2) if has_contact else None,
        lease_expired=session.lease_has_expired(),
        lease_seconds_left=round(session.lease_seconds_left(), 2), further_workers=further,
    )  # fmt: skip
