"""What the leader does by itself: leases that lapse, ownership, placement, evictions, expiry."""

import random

from ..ledger.state import Job, JobState
from ..observability import metrics
from ..scheduling import eviction, interference, ownership, placement
from ..scheduling.quarantine import may_quarantine
from ..targets.state import EntryHost, Worker
from ..wire.generated import ttypes
from ..wire.generated.ttypes import WorkerStanding
from .repair import GroupRepair
from .sessions import EntrySessions
from .site_service import SiteControl

ROUND_SECONDS = 0.25
REPAIR_SECONDS = 1.0
EXPIRY_SECONDS = 60.0
REBALANCE_SECONDS = 2.0
MIN_WEIGHT = 1e-6
SETTLING_SECONDS = 2.0
"""A new leader waits this long for entry hosts to report before it moves workers."""


class LeaderDuties:
    """Runs the duties in rounds while this host leads, and sleeps while it does not."""

    def __init__(
        self,
        site: SiteControl,
        repair: GroupRepair,
        placement_policy: str,
        interference_policy: str,
        randomness,
    ):
        self._site = site
        self._repair = repair
        self._choose = placement.POLICIES[placement_policy]
        self._randomness: random.Random = randomness
        self._interference = interference.POLICIES[interference_policy]()
        self._overload = ownership.OverloadWatch()
        self._led_term = 0
        self._next_by_duty: dict[str, float] = {}

    def run(self) -> None:
        """Run rounds for ever."""
        while True:
            self._site.clock.sleep(ROUND_SECONDS * self._randomness.uniform(0.8, 1.2))
            if not self._site.replica.is_leader:
                continue
            try:
                self._round()
            except (ttypes.NotLeader, ttypes.Unavailable):
                # Deposed in the middle: the next leader takes it from the log.
                continue

    def _round(self) -> None:
        now = self._site.clock.monotonic()
        term = self._site.replica.core.term
        if term != self._led_term:
            self._site.sessions = EntrySessions(now)
            self._site.confirm_leadership()
            self._led_term = term
        if self._is_due("repair", REPAIR_SECONDS, now):
            self._repair.step()
        if self._is_due("expiry", EXPIRY_SECONDS, now):
            self._expire_records()
        self._remove_lapsed_entries(now)
        self._assign_workers(now)
        self._evict_from_leaving_workers()
        self._relieve_disturbed_workers(now)
        self._place()

    def _is_due(self, duty: str, interval: float, now: float) -> bool:
        if now < self._next_by_duty.get(duty, 0.0):
            return False
        self._next_by_duty[duty] = now + interval
        return True

    # ---------------------------------------------------------------- ownership

    def _remove_lapsed_entries(self, now: float) -> None:
        sessions = self._site.sessions
        for entry in list(self._site.state_machine.state.fleet.entries_by_id.values()):
            if not sessions.surely_lapsed(entry, now):
                continue
            sessions.begin_removal(entry.entry_id)
            try:
                removal = ttypes.RemoveEntry(entry.entry_id, entry.incarnation)
                self._site.commit(remove_entry=removal)
            finally:
                sessions.end_removal(entry.entry_id)

    def _present_entries(self) -> list[EntryHost]:
        sessions = self._site.sessions.by_id
        return [
            entry
            for entry in self._site.state_machine.state.fleet.entries_by_id.values()
            if entry.entry_id in sessions and not sessions[entry.entry_id].is_leaving
        ]

    def _assign_workers(self, now: float) -> None:
        fleet = self._site.state_machine.state.fleet
        if now - self._site.sessions.elected_at < SETTLING_SECONDS:
            return
        present = self._present_entries()
        free = {each.entry_id: each.free_slots for each in self._site.sessions.by_id.values()}
        self._overload.observe(free, now)
        assignments = ownership.assign_unowned(
            fleet, present, self._site.sessions.has_let_go, self._overload.starving(now)
        )
        if assignments:
            self._site.commit(assign_workers=ttypes.AssignWorkers(assignments))
        elif self._is_due("rebalance", REBALANCE_SECONDS, now):
            self._rebalance(present, free, now)

    def _rebalance(self, present: list[EntryHost], free: dict[str, int], now: float) -> None:
        fleet = self._site.state_machine.state.fleet
        load = {
            worker_id: note.critical_in_flight + note.batch_running
            for worker_id, note in self._site.sessions.notes().items()
        }
        release = None
        if self._overload.may_move(now):
            if self._overload.starving(now):
                release = ownership.relieve(fleet, present, free, load)
            if release is not None:
                self._overload.moved(now)
            else:
                release = ownership.rebalance(fleet, present, load)
        if release is not None:
            self._site.commit(release_worker=release)

    # ---------------------------------------------------------------- placement

    def _place(self) -> None:
        declarations = self._site.state_machine.declarations
        queued = self._site.state_machine.state.ledger.queued()
        if declarations is None or not queued:
            return
        demands = [d for d in map(self._demand, queued) if d is not None]
        rooms = self._rooms()
        quota_by_team = {name: team.max_running for name, team in declarations.teams.items()}
        placements = placement.place(
            demands, rooms, self._running_by_team(), quota_by_team, self._choose, self._randomness
        )
        if placements:
            self._commit_starts(placements)
        placed = {each.demand.job_id for each in placements}
        self._make_room_for_urgent([d for d in demands if d.urgent and d.job_id not in placed])

    def _demand(self, job: Job) -> placement.Demand | None:
        declared = self._site.state_machine.declarations.batch_classes.get(job.class_name)
        if declared is None:
            return None
        return placement.Demand(
            job_id=job.job_id,
            attempt=job.attempt + 1,
            team=job.team,
            urgent=job.urgent,
            submitted_ms=job.submitted_ms,
            cores=declared.cores,
            memory_mb=declared.memory_mb,
            accelerators=declared.accelerators,
            avoid_worker_id=job.last_worker_id,
        )

    def _rooms(self) -> list[placement.Room]:
        notes = self._site.sessions.notes()
        quarantined = sum(1 for note in notes.values() if note.quarantined)
        # Where most of the fleet is kept away, the cause is common to all.
        heeds_quarantine = may_quarantine(quarantined - 1, len(notes))
        rooms = []
        for worker in self._site.state_machine.state.fleet.workers_by_id.values():
            note = notes.get(worker.worker_id)
            usable = note is not None and note.adopted and note.epoch == worker.epoch
            kept_away = heeds_quarantine and usable and note.quarantined
            if worker.is_schedulable and usable and not kept_away:
                rooms.append(self._room(worker, note))
        return rooms

    def _room(self, worker: Worker, note: ttypes.WorkerNote) -> placement.Room:
        declarations = self._site.state_machine.declarations
        reserve = declarations.limits.critical_reserve_slots
        room = placement.Room(
            worker_id=worker.worker_id,
            incarnation=worker.incarnation,
            rack=worker.rack,
            slots=self._batch_slots(worker, reserve),
            # What is kept for critical requests is kept in every size alike.
            cores=worker.cores * (1 - reserve / max(1, worker.slots)),
            memory_mb=worker.memory_mb * (1 - reserve / max(1, worker.slots)),
            accelerators=worker.accelerators,
            total_slots=max(1, worker.slots),
            slowdown=note.slowdown or 1.0,
        )
        for job in self._site.state_machine.state.ledger.placed_on(worker.worker_id):
            demand = self._demand(job)
            if demand is not None:
                room.take(demand)
        return room

    def _batch_slots(self, worker: Worker, reserve: int) -> int:
        limit = self._interference.batch_limit(worker.worker_id)
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
        stopping = (WorkerStanding.LEAVING, WorkerStanding.DRAINED)
        keys = [
            ttypes.AttemptKey(job.job_id, job.attempt, 0)
            for worker in state.fleet.workers_by_id.values()
            if worker.standing in stopping
            for job in state.ledger.placed_on(worker.worker_id)
            if job.state is JobState.RUNNING
        ]
        self._request_evictions(keys, "worker is leaving")

    def _relieve_disturbed_workers(self, now: float) -> None:
        declarations = self._site.state_machine.declarations
        if declarations is None:
            return
        notes = self._site.sessions.notes()
        self._interference.observe(self._observations(notes), now)
        weights = declarations.weights
        weight = weights.evictions / max(weights.tail_latency, MIN_WEIGHT)
        worker_id = self._interference.must_yield(weight, now)
        if worker_id is None:
            return
        candidates = [c for c in self._candidates() if c.worker_id == worker_id]
        if not candidates:
            return
        victim = min(candidates, key=lambda c: eviction.cost(c, weights.evictions))
        self._interference.yielded(worker_id, now)
        key = ttypes.AttemptKey(victim.job_id, victim.attempt, 0)
        self._request_evictions([key], "disturbs critical requests")

    def _observations(self, notes: dict[str, ttypes.WorkerNote]):
        state = self._site.state_machine.state
        reserve = self._site.state_machine.declarations.limits.critical_reserve_slots
        return {
            worker_id: interference.Observation(
                pressure=(note.pressure_tenths or 0) / 10,
                batch_running=len(state.ledger.placed_on(worker_id)),
                batch_slots=max(0, state.fleet.workers_by_id[worker_id].slots - reserve),
            )
            for worker_id, note in notes.items()
            if worker_id in state.fleet.workers_by_id
        }

    def _make_room_for_urgent(self, waiting: list[placement.Demand]) -> None:
        limits = self._site.state_machine.declarations.limits
        patience_ms = limits.urgent_wait_s * 1000
        now_ms = self._site.clock.wall_ms()
        overdue = [d for d in waiting if now_ms - d.submitted_ms >= patience_ms]
        if not overdue or self._evictions_pending():
            return
        victims = self._victims_for(min(overdue, key=lambda demand: demand.submitted_ms))
        keys = [ttypes.AttemptKey(v.job_id, v.attempt, 0) for v in victims]
        self._request_evictions(keys, "room for urgent work")

    def _evictions_pending(self) -> bool:
        placed = self._site.state_machine.state.ledger.placed()
        return any(job.state is JobState.EVICTING for job in placed)

    def _victims_for(self, demand: placement.Demand) -> list[eviction.Candidate]:
        shortfalls = {
            room.worker_id: eviction.Shortfall(
                slots=1 - room.slots,
                cores=demand.cores - room.cores,
                memory_mb=demand.memory_mb - room.memory_mb,
                accelerators=demand.accelerators - room.accelerators,
            )
            for room in self._rooms()
        }
        weight = self._site.state_machine.declarations.weights.evictions
        return eviction.choose_victims(shortfalls, self._candidates(), weight)

    def _candidates(self) -> list[eviction.Candidate]:
        now_ms = self._site.clock.wall_ms()
        found = []
        for job in self._site.state_machine.state.ledger.placed():
            size = self._demand(job)
            if job.state is not JobState.RUNNING or job.urgent or size is None:
                continue
            found.append(
                eviction.Candidate(
                    job_id=job.job_id,
                    attempt=job.attempt,
                    worker_id=job.worker_id,
                    cores=size.cores,
                    memory_mb=size.memory_mb,
                    accelerators=size.accelerators,
                    ran_s=max(0, now_ms - job.started_ms) / 1000,
                    evictions=job.evictions,
                )
            )
        return found

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
