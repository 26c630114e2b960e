"""The control loop of the leader.

Each round removes entry hosts whose lease has expired, assigns workers to entry
hosts, requests evictions and places queued jobs; replica replacement and the
expiry of records run at longer intervals.  Decisions are committed to the
replicated log before they take effect, so that a new leader continues from them.
"""

import functools
import random
from collections.abc import Callable

import attrs

from ..leases import ENTRY_LEASE_SECONDS, granter_deadline
from ..ledger.state import Job, JobState
from ..observability import metrics
from ..scheduling import eviction, interference, ownership, placement
from ..scheduling.quarantine import EARLY_PROBE_INTERVAL_SECONDS, may_quarantine
from ..targets.state import EntryHost, Worker
from ..wire.generated import ttypes
from ..wire.generated.ttypes import OutcomeKind, WorkerStanding
from .repair import GroupRepair
from .sessions import EntrySessions
from .site_service import SiteService

ROUND_INTERVAL_SECONDS = 0.25
REPAIR_INTERVAL_SECONDS = 1.0
EXPIRY_INTERVAL_SECONDS = 60.0
REBALANCE_INTERVAL_SECONDS = 2.0
MIN_TAIL_LATENCY_WEIGHT = 1e-6
"""Lower bound of the divisor in the relative eviction weight; ``tail_latency`` may be 0."""

ELECTION_GRACE_SECONDS = 2.0
"""How long a new leader waits for entry hosts to sync before it assigns workers."""


class LeaderLoop:
    """Runs one round after another while this replica leads; otherwise only sleeps."""

    def __init__(
        self,
        site: SiteService,
        repair: GroupRepair,
        placement_policy: str,
        interference_policy: str,
        rng,
    ):
        self._site = site
        self._repair = repair
        self._placement_policy = placement.POLICIES[placement_policy]
        self._rng: random.Random = rng
        self._interference_policy = interference.POLICIES[interference_policy]()
        self._overload_detector = ownership.OverloadDetector()
        self._initialised_term = 0
        # By worker id and earlier incarnation, and the epoch at which that was replaced.
        self._earlier_since: dict[tuple[str, str, int], float] = {}
        self._next_run_by_activity: dict[str, float] = {}
        self._early_start_at_by_worker: dict[str, float] = {}

    def run(self) -> None:
        """Run rounds forever."""
        while True:
            self._site.clock.sleep(ROUND_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))
            if not self._site.replica.is_leader:
                continue
            try:
                self._run_round()
            except (ttypes.NotLeader, ttypes.Unavailable):
                # Leadership was lost or a commit's outcome is unknown.  The next round,
                # here or on the next leader, starts from the replicated state.
                continue

    def _run_round(self) -> None:
        now = self._site.clock.monotonic()
        term = self._site.replica.core.term
        if term != self._initialised_term:
            self._site.sessions = EntrySessions(now)
            self._site.confirm_leadership()
            self._earlier_since = {}
            self._initialised_term = term
        if self._is_due("repair", REPAIR_INTERVAL_SECONDS, now):
            self._repair.step()
        if self._is_due("expiry", EXPIRY_INTERVAL_SECONDS, now):
            self._expire_records()
        self._remove_expired_entries(now)
        self._settle_earlier_incarnations(now)
        self._assign_workers(now)
        self._evict_from_leaving_workers()
        self._evict_for_interference(now)
        self._place()

    def _is_due(self, activity: str, interval: float, now: float) -> bool:
        if now < self._next_run_by_activity.get(activity, 0.0):
            return False
        self._next_run_by_activity[activity] = now + interval
        return True

    # ---------------------------------------------------------------- ownership

    def _remove_expired_entries(self, now: float) -> None:
        sessions = self._site.sessions
        for entry in list(self._site.state_machine.state.fleet.entries_by_id.values()):
            if not sessions.lease_has_expired(entry, now):
                continue
            sessions.begin_removal(entry.entry_id)
            try:
                removal = ttypes.RemoveEntry(entry.entry_id, entry.incarnation)
                self._site.commit(remove_entry=removal)
            finally:
                sessions.end_removal(entry.entry_id)

    def _settle_earlier_incarnations(self, now: float) -> None:
        """Settle as lost the attempts in earlier incarnations that are certain to have ended.

        An incarnation has ended when a later one has answered at its address, or when its
        task lease has expired.  Its last owner may have renewed that until its own
        lease expired; it takes the worker out of use with its next sync.
        """
        state = self._site.state_machine.state
        lease_s = self._site.state_machine.longest_task_lease_s + ENTRY_LEASE_SECONDS
        since_by_incarnation, self._earlier_since = self._earlier_since, {}
        for worker_id, incarnation in state.ledger.incarnations_with_attempts():
            worker = state.fleet.workers_by_id.get(worker_id)
            if worker is not None and worker.incarnation == incarnation:
                continue
            earlier = worker.earlier_lives.get(incarnation) if worker is not None else None
            key = (worker_id, incarnation, earlier.replaced_epoch if earlier is not None else 0)
            since = self._earlier_since[key] = since_by_incarnation.get(key, now)
            is_replaced = earlier is not None and self._answers_at(earlier.url, worker)
            if not is_replaced and now <= granter_deadline(since, lease_s):
                continue
            reason = f"{worker_id} restarted" if is_replaced else f"{worker_id} was lost"
            outcomes = [
                ttypes.AttemptOutcome(
                    ttypes.AttemptKey(job.job_id, job.attempt, 0), OutcomeKind.LOST, reason
                )
                for job in state.ledger.placed_on(worker_id, incarnation)
            ]
            self._site.commit(settle_attempts=ttypes.SettleAttempts(outcomes))

    def _answers_at(self, url: str, worker: Worker) -> bool:
        """Return whether the registered incarnation has answered its owner at that address."""
        note = self._site.sessions.latest_notes().get(worker.worker_id)
        has_answered = note is not None and note.adopted and note.epoch == worker.epoch
        return has_answered and worker.url == url

    def _active_entries(self) -> list[EntryHost]:
        sessions = self._site.sessions.by_id
        return [
            entry
            for entry in self._site.state_machine.state.fleet.entries_by_id.values()
            if entry.entry_id in sessions and not sessions[entry.entry_id].is_leaving
        ]

    def _assign_workers(self, now: float) -> None:
        fleet = self._site.state_machine.state.fleet
        if now - self._site.sessions.elected_at < ELECTION_GRACE_SECONDS:
            return
        active_entries = self._active_entries()
        free_slots_by_entry = {
            session.entry_id: session.free_slots for session in self._site.sessions.by_id.values()
        }
        self._overload_detector.observe(free_slots_by_entry, now)
        assignments = ownership.assign_unowned(
            fleet,
            active_entries,
            self._site.sessions.has_acknowledged_release,
            self._overload_detector.overloaded_entry_ids(now),
        )
        if assignments:
            self._site.commit(assign_workers=ttypes.AssignWorkers(assignments, True))
        elif self._is_due("rebalance", REBALANCE_INTERVAL_SECONDS, now):
            self._rebalance(active_entries, free_slots_by_entry, now)

    def _rebalance(
        self, active_entries: list[EntryHost], free_slots_by_entry: dict[str, int], now: float
    ) -> None:
        fleet = self._site.state_machine.state.fleet
        load_by_worker = {
            worker_id: note.critical_in_flight + note.batch_running
            for worker_id, note in self._site.sessions.latest_notes().items()
        }
        release = None
        if self._overload_detector.may_move(now):
            if self._overload_detector.overloaded_entry_ids(now):
                release = ownership.release_for_overload(
                    fleet, active_entries, free_slots_by_entry, load_by_worker
                )
            if release is not None:
                self._overload_detector.record_move(now)
            else:
                release = ownership.rebalance(fleet, active_entries, load_by_worker)
        if release is not None:
            self._site.commit(release_worker=release)

    # ---------------------------------------------------------------- placement

    def _place(self) -> None:
        declarations = self._site.state_machine.declarations
        queued = self._site.state_machine.state.ledger.queued()
        if declarations is None or not queued:
            return
        demands = [d for d in map(self._demand, queued) if d is not None]
        capacities, kept_back = self._capacities()
        running_by_team = self._running_by_team()
        placements = self._choose_workers(demands, capacities, running_by_team)
        placed = {each.demand.job_id for each in placements}
        unplaced = [demand for demand in demands if demand.job_id not in placed]
        for each in placements:
            running_by_team[each.demand.team] = running_by_team.get(each.demand.team, 0) + 1
        placements += self._place_early(unplaced, capacities, kept_back, running_by_team)
        if placements:
            self._commit_starts(placements)
        placed = {each.demand.job_id for each in placements}
        self._preempt_for_urgent([d for d in demands if d.urgent and d.job_id not in placed])

    def _choose_workers(
        self,
        demands: list[placement.Demand],
        capacities: list[placement.FreeCapacity],
        running_by_team: dict[str, int],
    ) -> list[placement.Placement]:
        teams = self._site.state_machine.declarations.teams
        quota_by_team = {name: team.max_running for name, team in teams.items()}
        return placement.place(
            demands, capacities, running_by_team, quota_by_team, self._placement_policy, self._rng
        )

    def _place_early(
        self,
        unplaced: list[placement.Demand],
        capacities: list[placement.FreeCapacity],
        kept_back: list[placement.FreeCapacity],
        running_by_team: dict[str, int],
    ) -> list[placement.Placement]:
        """Place jobs that no other worker has room for on quarantined ones, at a bounded pace."""
        now = self._site.clock.monotonic()
        started_at = self._early_start_at_by_worker = {
            worker_id: at
            for worker_id, at in self._early_start_at_by_worker.items()
            if now - at < EARLY_PROBE_INTERVAL_SECONDS
        }
        probes = [
            attrs.evolve(capacity, slots=1)
            for capacity in kept_back
            if capacity.slots >= 1 and capacity.worker_id not in started_at
        ]
        if not probes:
            return []
        kept_back_ids = {capacity.worker_id for capacity in kept_back}
        needs_early_start = self._early_start_filter(capacities, kept_back_ids)
        demands = [demand for demand in unplaced if needs_early_start(demand)]
        placements = self._choose_workers(demands, probes, running_by_team)
        started_at.update((each.worker_id, now) for each in placements)
        return placements

    def _early_start_filter(
        self, capacities: list[placement.FreeCapacity], kept_back_ids: set[str]
    ) -> Callable[[placement.Demand], bool]:
        """Return a predicate: whether a job may start on a quarantined worker now.

        While another worker could run the job but is full, one that may not be
        repeated waits for it, and so does one whose last attempt ended on a
        quarantined worker.
        """
        by_id = self._site.state_machine.state.ledger.by_id

        @functools.cache
        def alternatives(cores: float, memory_mb: float, accelerators: int) -> tuple[bool, bool]:
            needed = placement.Demand("", 0, "", False, 0, cores, memory_mb, accelerators)
            return (
                any(capacity.fits(needed) for capacity in capacities),
                any(capacity.could_ever_fit(needed) for capacity in capacities),
            )

        def needs_early_start(demand: placement.Demand) -> bool:
            resources = demand.cores, demand.memory_mb, demand.accelerators
            fits_elsewhere, could_fit_elsewhere = alternatives(*resources)
            if fits_elsewhere:
                return False
            may_fail = by_id[demand.job_id].repeatable
            return not could_fit_elsewhere or (
                may_fail and demand.avoid_worker_id not in kept_back_ids
            )

        return needs_early_start

    def _demand(self, job: Job) -> placement.Demand | None:
        batch_class = self._site.state_machine.declarations.batch_classes.get(job.class_name)
        if batch_class is None:
            return None
        return placement.Demand(
            job_id=job.job_id,
            attempt=job.attempt + 1,
            team=job.team,
            urgent=job.urgent,
            submitted_ms=job.submitted_ms,
            cores=batch_class.cores,
            memory_mb=batch_class.memory_mb,
            accelerators=batch_class.accelerators,
            avoid_worker_id=job.last_worker_id,
        )

    def _capacities(self) -> tuple[list[placement.FreeCapacity], list[placement.FreeCapacity]]:
        """Return the free capacity of each worker in use, and of each kept back by a quarantine."""
        note_by_worker_id = self._site.sessions.latest_notes()
        quarantined = sum(1 for note in note_by_worker_id.values() if note.quarantined)
        # Quarantine is ignored if it covers most workers: the cause is then common to all.
        # ``may_quarantine`` asks about one more worker, so the last one is not counted.
        applies_quarantine = may_quarantine(quarantined - 1, len(note_by_worker_id))
        capacities, kept_back = [], []
        for worker in self._site.state_machine.state.fleet.workers_by_id.values():
            note = note_by_worker_id.get(worker.worker_id)
            is_usable = note is not None and note.adopted and note.epoch == worker.epoch
            if worker.is_schedulable and is_usable:
                is_kept_back = applies_quarantine and note.quarantined
                group = kept_back if is_kept_back else capacities
                group.append(self._free_capacity(worker, note))
        return capacities, kept_back

    def _free_capacity(self, worker: Worker, note: ttypes.WorkerNote) -> placement.FreeCapacity:
        declarations = self._site.state_machine.declarations
        reserve = declarations.limits.critical_reserve_slots
        capacity = placement.FreeCapacity(
            worker_id=worker.worker_id,
            incarnation=worker.incarnation,
            rack=worker.rack,
            slots=self._batch_slots(worker, reserve),
            # The critical reserve takes the same share of cores and memory as of slots.
            cores=worker.cores * (1 - reserve / max(1, worker.slots)),
            memory_mb=worker.memory_mb * (1 - reserve / max(1, worker.slots)),
            accelerators=worker.accelerators,
            total_slots=max(1, worker.slots),
            slowdown=note.slowdown or 1.0,
            max_slots=worker.slots - reserve,
        )
        ledger = self._site.state_machine.state.ledger
        for job in ledger.placed_on(worker.worker_id, worker.incarnation):
            demand = self._demand(job)
            if demand is not None:
                capacity.allocate(demand)
        return capacity

    def _batch_slots(self, worker: Worker, reserve: int) -> int:
        limit = self._interference_policy.batch_limit(worker.worker_id)
        slots = worker.slots - reserve
        return slots if limit is None else min(slots, limit)

    def _running_by_team(self) -> dict[str, int]:
        running: dict[str, int] = {}
        for job in self._site.state_machine.state.ledger.placed():
            running[job.team] = running.get(job.team, 0) + 1
        return running

    def _commit_starts(self, placements: list[placement.Placement]) -> None:
        starts = [
            ttypes.AttemptStart(p.demand.job_id, p.demand.attempt, p.worker_id, p.incarnation)
            for p in placements
        ]
        self._site.commit(start_attempts=ttypes.StartAttempts(starts))

    # ----------------------------------------------------------------- eviction

    def _evict_from_leaving_workers(self) -> None:
        state = self._site.state_machine.state
        draining_standings = (WorkerStanding.LEAVING, WorkerStanding.DRAINED)
        keys = [
            ttypes.AttemptKey(job.job_id, job.attempt, 0)
            for worker in state.fleet.workers_by_id.values()
            if worker.standing in draining_standings
            for job in state.ledger.placed_on(worker.worker_id, worker.incarnation)
            if job.state is JobState.RUNNING
        ]
        self._request_evictions(keys, "worker is leaving")

    def _evict_for_interference(self, now: float) -> None:
        declarations = self._site.state_machine.declarations
        if declarations is None:
            return
        note_by_worker_id = self._site.sessions.latest_notes()
        self._interference_policy.observe(self._observations(note_by_worker_id), now)
        weights = declarations.weights
        weight = weights.evictions / max(weights.tail_latency, MIN_TAIL_LATENCY_WEIGHT)
        worker_id = self._interference_policy.worker_to_evict_from(weight, now)
        if worker_id is None:
            return
        candidates = [c for c in self._candidates() if c.worker_id == worker_id]
        if not candidates:
            return
        victim = min(candidates, key=lambda c: eviction.cost(c, weights.evictions))
        self._interference_policy.record_eviction(worker_id, now)
        key = ttypes.AttemptKey(victim.job_id, victim.attempt, 0)
        self._request_evictions([key], "disturbs critical requests")

    def _observations(self, note_by_worker_id: dict[str, ttypes.WorkerNote]):
        state = self._site.state_machine.state
        reserve = self._site.state_machine.declarations.limits.critical_reserve_slots
        observations = {}
        for worker_id, note in note_by_worker_id.items():
            worker = state.fleet.workers_by_id.get(worker_id)
            if worker is not None:
                observations[worker_id] = interference.WorkerObservation(
                    latency_ratio=(note.pressure_tenths or 0) / 10,
                    batch_running=len(state.ledger.placed_on(worker_id, worker.incarnation)),
                    batch_slots=max(0, worker.slots - reserve),
                )
        return observations

    def _preempt_for_urgent(self, unplaced: list[placement.Demand]) -> None:
        limits = self._site.state_machine.declarations.limits
        max_wait_ms = limits.urgent_wait_s * 1000
        now_ms = self._site.clock.wall_ms()
        overdue = [d for d in unplaced if now_ms - d.submitted_ms >= max_wait_ms]
        if not overdue or self._has_pending_evictions():
            return
        victims = self._victims_for(min(overdue, key=lambda demand: demand.submitted_ms))
        keys = [ttypes.AttemptKey(v.job_id, v.attempt, 0) for v in victims]
        self._request_evictions(keys, "room for urgent work")

    def _has_pending_evictions(self) -> bool:
        placed = self._site.state_machine.state.ledger.placed()
        return any(job.state is JobState.EVICTING for job in placed)

    def _victims_for(self, demand: placement.Demand) -> list[eviction.Candidate]:
        """Return the attempts to evict; on quarantined workers only if no other could run it."""
        capacities, kept_back = self._capacities()
        shortfall_by_worker = {
            capacity.worker_id: eviction.Shortfall(
                slots=1 - capacity.slots,
                cores=demand.cores - capacity.cores,
                memory_mb=demand.memory_mb - capacity.memory_mb,
                accelerators=demand.accelerators - capacity.accelerators,
            )
            for capacity in [c for c in capacities if c.could_ever_fit(demand)] or kept_back
        }
        weight = self._site.state_machine.declarations.weights.evictions
        return eviction.choose_victims(shortfall_by_worker, self._candidates(), weight)

    def _candidates(self) -> list[eviction.Candidate]:
        now_ms = self._site.clock.wall_ms()
        candidates = []
        state = self._site.state_machine.state
        for job in state.ledger.placed():
            demand = self._demand(job)
            if job.state is not JobState.RUNNING or job.urgent or demand is None:
                continue
            if not state.fleet.is_current(*job.incarnation_key):
                continue  # Its eviction makes no room on the incarnation that is registered.
            candidates.append(
                eviction.Candidate(
                    job_id=job.job_id,
                    attempt=job.attempt,
                    worker_id=job.worker_id,
                    cores=demand.cores,
                    memory_mb=demand.memory_mb,
                    accelerators=demand.accelerators,
                    runtime_s=max(0, now_ms - job.started_ms) / 1000,
                    evictions=job.evictions,
                )
            )
        return candidates

    def _request_evictions(self, keys: list[ttypes.AttemptKey], reason: str) -> None:
        if keys:
            self._site.commit(request_evictions=ttypes.RequestEvictions(keys, reason))
            metrics.EVICTIONS.labels(reason).inc(len(keys))

    # ------------------------------------------------------------------- expiry

    def _expire_records(self) -> None:
        declarations = self._site.state_machine.declarations
        if declarations is None:
            return
        before_ms = self._site.clock.wall_ms() - declarations.limits.result_ttl_s * 1000
        self._site.commit(expire_records=ttypes.ExpireRecords(before_ms, before_ms))
