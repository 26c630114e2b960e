"""What the leader knows of the agents and, from their reports, of the workers.

This module does no I/O; times are seconds on the leader's monotonic clock.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable

import attrs

from ..tasks.job import IncarnationKey
from ..tasks.worker import Worker, incarnation_key
from ..wire.generated.ttypes import AgentReport, PairWeight, WorkerState
from .agent_id import replica_of
from .interference import MAX_IMAGES
from .placement import WorkerView

AGENT_TIMEOUT_SECONDS = 1.0
"""Time without a report after which an agent's workers are given to others.

Longer than its permission: it has stopped calling them by then unless its clock is off.
"""

MAX_APPLY_LAG_SECONDS = 1.0
"""Age of the newest commit that an agent has applied above which its workers are given to others.

Its disk may be stalled: it cannot start runs then, although it reports.
"""

MAX_AGENT_LAG_SECONDS = 0.1
"""Mean lag of an agent's timers above which its workers are given to others.

Its host is slow or has too much to do: it would start runs late and notice their ends late.
"""

MAX_REPLACED_IDS = 100
"""Bound on the ids of earlier agents that are remembered; a late report comes within seconds."""

COMMIT_SAMPLE_SECONDS = 0.1
"""Time between two samples of the commit index."""


@attrs.define
class _KnownAgent:
    region: str
    reported_at: float
    number: int
    leaving: bool
    applied_index: int
    timer_lag_seconds: float


@attrs.define
class _KnownWorker:
    """The state that its agent reported last."""

    agent_id: str
    state: WorkerState
    excluded_until_by_image: dict[str, float]


@attrs.define
class AgentFleet:
    """The agents that report to this leader, and the states of their workers."""

    _agent_by_id: dict[str, _KnownAgent] = attrs.field(factory=dict)
    _worker_by_incarnation: dict[IncarnationKey, _KnownWorker] = attrs.field(factory=dict)
    _weights_by_pair: dict[tuple[str, str], dict[str, PairWeight]] = attrs.field(factory=dict)
    _replaced_ids: dict[str, None] = attrs.field(factory=dict)
    """Agents of earlier incarnations of their processes, oldest first: late reports may come."""

    _commit_samples: deque[tuple[float, int]] = attrs.field(factory=deque)

    def record_report(self, report: AgentReport, now: float) -> bool:
        """Take a report into account; return whether the states of some workers are missing.

        A report that is older than one that came before is ignored.
        """
        known = self._agent_by_id.get(report.agent_id)
        if report.agent_id in self._replaced_ids or (known and report.number <= known.number):
            return False
        if known is None:
            self._drop_earlier_incarnations(report.agent_id)
        is_complete = report.is_full or (known is not None and report.number == known.number + 1)
        self._agent_by_id[report.agent_id] = _KnownAgent(
            report.region, now, report.number, report.leaving, report.applied_index,
            report.timer_lag_seconds,
        )  # fmt: skip
        for state in report.states:
            known_worker = self._worker_by_incarnation.get(incarnation_key(state.life))
            if known_worker and state.fencing_token < known_worker.state.fencing_token:
                # Of an earlier agent, or of an earlier session of the same.
                continue
            excluded_until = {i: now + ms / 1000 for i, ms in state.exclusion_ms_by_image.items()}
            self._worker_by_incarnation[incarnation_key(state.life)] = _KnownWorker(
                report.agent_id, state, excluded_until
            )
        return not is_complete

    def _drop_earlier_incarnations(self, agent_id: str) -> None:
        """Drop the agents of earlier incarnations of the same process: they make no calls."""
        replica_id = replica_of(agent_id)
        for earlier in [each for each in self._agent_by_id if replica_of(each) == replica_id]:
            del self._agent_by_id[earlier]
            self._replaced_ids[earlier] = None
        while len(self._replaced_ids) > MAX_REPLACED_IDS:
            del self._replaced_ids[next(iter(self._replaced_ids))]

    def record_commit_index(self, index: int, now: float) -> None:
        """Take a sample of the commit index, if one is due."""
        samples = self._commit_samples
        if not samples or now - samples[-1][0] >= COMMIT_SAMPLE_SECONDS:
            samples.append((now, index))
        while len(samples) > 1 and now - samples[1][0] >= MAX_APPLY_LAG_SECONDS:
            samples.popleft()

    def is_live(self, agent_id: str | None, now: float) -> bool:
        """Return whether the agent reports, keeps up with the log, and is not leaving."""
        agent = self._agent_by_id.get(agent_id)
        if agent is None or agent.leaving or now - agent.reported_at > AGENT_TIMEOUT_SECONDS:
            return False
        return agent.applied_index >= self._index_to_have_applied(now)

    def _index_to_have_applied(self, now: float) -> int:
        if not self._commit_samples:
            return 0
        sampled_at, index = self._commit_samples[0]
        return index if now - sampled_at >= MAX_APPLY_LAG_SECONDS else 0

    def usable_agents(self, now: float) -> dict[str, str]:
        """Return the region of each agent that may have workers, by its id.

        Those that lag are left out, unless half of the live ones do: then all have too much
        to do, and fewer would have more.
        """
        live = {key: a for key, a in self._agent_by_id.items() if self.is_live(key, now)}
        prompt = {key: a for key, a in live.items() if a.timer_lag_seconds <= MAX_AGENT_LAG_SECONDS}
        usable = prompt if 2 * len(prompt) > len(live) else live
        return {agent_id: agent.region for agent_id, agent in usable.items()}

    def typical_timer_lag(self, now: float) -> float:
        """Return the median timer lag of the live agents, in seconds.

        One slow host says nothing about the others.
        """
        lags = [
            agent.timer_lag_seconds
            for agent_id, agent in self._agent_by_id.items()
            if self.is_live(agent_id, now)
        ]
        return statistics.median(lags) if lags else 0.0

    def is_fenced(self, worker: Worker) -> bool:
        """Return whether the worker rejects the fencing token of its agent, or should do so."""
        known = self._worker_by_incarnation.get(worker.key)
        return (
            known is not None
            and known.state.fenced
            and known.state.fencing_token == worker.record.fencing_token
        )

    def answers(self, worker: Worker) -> bool:
        """Return whether the worker's present agent has reported that it answers calls."""
        state = self._present_state(worker)
        return state is not None and state.responsive

    def is_silent(self, worker: Worker) -> bool:
        """Return whether the worker's present agent has reported that it does not answer calls."""
        state = self._present_state(worker)
        return state is not None and not state.responsive

    def _present_state(self, worker: Worker) -> WorkerState | None:
        known = self._worker_by_incarnation.get(worker.key)
        if known is None or known.state.fencing_token != worker.record.fencing_token:
            return None
        return known.state

    def views(self, workers: Iterable[Worker], now: float) -> list[WorkerView]:
        """Return the state of each worker that its present agent has reported."""
        is_live_by_agent = {agent_id: self.is_live(agent_id, now) for agent_id in self._agent_by_id}
        views = []
        for worker in workers:
            record = worker.record
            known = self._worker_by_incarnation.get(worker.key)
            if known is None or known.state.fencing_token != record.fencing_token:
                continue
            is_responsive = known.state.responsive and is_live_by_agent.get(record.agent_id, False)
            unreported_seconds = 0.0
            if not is_live_by_agent.get(record.agent_id, False):
                agent = self._agent_by_id.get(record.agent_id)
                unreported_seconds = now - agent.reported_at if agent else 0.0
            excluded = {
                image: until - now
                for image, until in known.excluded_until_by_image.items()
                if now < until
            }
            idle_runs = known.state.idle_runs or ()
            views.append(
                WorkerView(
                    worker,
                    is_responsive,
                    {},
                    known.state.baseline_by_image,
                    frozenset(excluded),
                    {
                        (idle.task, idle.run): idle.idle_ms / 1000
                        if idle.idle_ms >= 0
                        else math.inf
                        for idle in idle_runs
                    },
                    excluded,
                    unreported_seconds,
                )
            )
        return views

    def has_idle_runs(self) -> bool:
        """Return whether any agent has reported a run that is not at work."""
        return any(known.state.idle_runs for known in self._worker_by_incarnation.values())

    def forget(self, incarnations: set[IncarnationKey], now: float) -> None:
        """Drop all workers but these, and the agents that have not reported for long."""
        for key in self._worker_by_incarnation.keys() - incarnations:
            del self._worker_by_incarnation[key]
        for agent_id, agent in list(self._agent_by_id.items()):
            if now - agent.reported_at > 60 * AGENT_TIMEOUT_SECONDS:
                del self._agent_by_id[agent_id]
                for weight_by_agent in self._weights_by_pair.values():
                    weight_by_agent.pop(agent_id, None)

    def merge_weights(self, report: AgentReport) -> list[PairWeight]:
        """Return the weights of the reported pairs over all agents.

        Those of one pair are averaged by the information behind them.
        """
        merged = []
        for weight in report.weights:
            pair = weight.filling_image, weight.serving_image
            weight_by_agent = self._weights_by_pair.setdefault(pair, {})
            if len(self._weights_by_pair) > MAX_IMAGES**2:
                del self._weights_by_pair[next(iter(self._weights_by_pair))]
            weight_by_agent[report.agent_id] = weight
            information = sum(each.information for each in weight_by_agent.values())
            mean = sum(e.weight * e.information for e in weight_by_agent.values()) / information
            merged.append(PairWeight(*pair, mean, information))
        return merged
