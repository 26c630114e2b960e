"""Faults of a soak: a series is a pure function of the seed, and each kind knows how to act."""

import contextlib
import random
import signal
import threading
import time
from collections.abc import Callable

import attrs

from savoryshelf.registry import registry_decorator

from ..links import ways_between
from ..platform import MAX_HOLD_MS, heartbeat, restart_together
from ..relay import BOTH_WAYS, TO_CLIENT, TO_UPSTREAM

QUIET_SECONDS = 2.0
"""Time at the start and the end of a series in which no fault begins."""

BURST_INTERVAL_SECONDS = 7.0
BURST_SPREAD_SECONDS = 2.5
FAULTS_PER_BURST = (2, 5)
FAULT_SECONDS = (0.3, 3.0)
DELAY_STEP_SECONDS = 0.005

WORKER_FAULT_INTERVAL_SECONDS = (0.5, 2.5)
DOWN_SECONDS = (0.02, 0.3)
HEARTBEAT_LATE_SECONDS = (0.0, 1.0)
"""How long after it listens a restarted worker sends its first heartbeat."""

LULL_SHARE = 0.35
LULL_SECONDS = 2.0
"""Time until most workers are idle after most callers have paused."""

LULL_SERIES = 2
"""Series of restarts in a lull."""

CLOSING_SERIES = ("end", "middle", "middle and end", "in a row")
DARK_SECONDS = (0.3, 5.0)
MIDDLE_SHARE = (0.25, 0.6)
LAST_SECONDS = 1.5
"""A closing at the end begins so long before the end of the series at most."""

NEXT_CLOSING_SECONDS = (0.5, 4.0)
CALM_SHARE = 0.5
"""Share of the series in which nothing else begins for a while after a closing in the middle."""

CALM_SECONDS = 10.0
WORKER_FAULT_SHARE = 0.4
"""Share of the faults of workers that are kept where there are closings."""

DISK_SHARE = 0.2
ACCEPTANCE_SECONDS = 2.0
"""How long a closing waits for a job that is accepted."""

WORKERS_IN_DARK_SHARE = 0.6
HEAL_AFTER_SECONDS = (-0.5, 3.0)
"""When a worker that is cut while all hosts are dark is reached again, from their start on."""

CRASH_SERIES = ("together", "unanswered", "both")
TOGETHER_INTERVAL_SECONDS = (5.0, 9.0)
TOGETHER_SECONDS = 6.0
"""Time before the end of a series in which workers are not lost together any more."""

RESTARTS_TOGETHER = (1, 3)
TOGETHER_DOWN_SECONDS = (0.1, 0.8)
NEXT_LOSS_SECONDS = (0.5, 3.0)
"""When the workers that restarted together do so again, or are cut off, from the restart on."""

CUT_BEYOND_LEASE_SECONDS = (0.3, 3.0)
UNANSWERED_INTERVAL_SECONDS = (1.5, 4.0)
UNANSWERED_SHARE = (0.4, 1.0)
UNANSWERED_WORKERS = (2, 4)
SHARE_IN_TURN = (0.1, 0.4)
RESTARTS_IN_TURN = (5, 9)
TURN_SECONDS = (0.2, 0.8)
SOON_DOWN_SECONDS = (0.02, 0.6)

CUT_SECONDS = (2.0, 9.0)
POWER_LOST_SECONDS = (0.5, 3.0)
NEXT_CUT_SECONDS = (1.0, 5.0)
"""When the next links are cut after the last ones were healed."""

CATCH_UP_SECONDS = 4.0
"""How long a host counts as lost after it is back; from then on others may be lost (catchUpS)."""

CATCH_UP_SECONDS_WITHOUT_LOSSES = 8.0
"""Time in which no link is cut after hosts came back with empty disks, in series without losses."""

CLOSING_RECOVERY_SECONDS = 12.0
"""Time after all hosts ended at once in which no disks are lost (recoveryS)."""

LOSS_DRAWS = 50
"""Times that are drawn for a loss in the series, until one is apart from the closings."""

FINAL_LOSSES_SHARE = 0.5
"""Share of the series that end with losses of disks in place of their last fault."""

LEADER_SHARE = 0.5
"""Share of the losses that take the leader's disk."""

LEADER_ASKED_SECONDS = 0.5
"""How long before a loss the leader is asked for."""

FAR_SECONDS = (0.02, 0.08)
"""Delays of each way between the two regions, one of which a seed draws."""

RESET_INTERVAL_SECONDS = (1.0, 6.0)
RETRY_SECONDS = 0.2
AWAY_SECONDS = 4.0
"""How long a control host counts as unavailable after it was stopped, killed or reached again."""

MAX_CONTROLS_AWAY = 2
"""Control hosts that are unavailable at once, where links are laid."""

_KINDS: dict[str, Callable] = {}
"""Functions by kind of fault; arguments are the deployment and the fault.  They run in a thread."""

_WORKER_KINDS: dict[str, Callable] = {}
"""The same for faults of workers' incarnations, which have a generator of their own."""

_CLOSING_KINDS: dict[str, Callable] = {}
"""The same for the end of all hosts at once."""

_RARE_CLOSING_KINDS: dict[str, Callable] = {}
"""The same for those of which a series has one at most."""

_TOGETHER_KINDS: dict[str, Callable] = {}
"""The same for workers that are lost together, with a generator shared with the next ones."""

_UNANSWERED_KINDS: dict[str, Callable] = {}
"""The same for orders without an answer that outlive the life they were meant for."""

_LINK_KINDS: dict[str, Callable] = {}
"""The same for links between hosts that are cut."""

_POWER_KINDS: dict[str, Callable] = {}
"""The same for hosts that lose power."""

_DISK_KINDS: dict[str, Callable] = {}
"""The same for those of which a series has one at most, as they take disks."""

_RESET_KINDS: dict[str, Callable] = {}
"""The same for hosts whose connections are reset."""

_LAST_KINDS: dict[str, Callable] = {}
"""The same for the last fault of such a series, after all others."""

_LAST_DISK_KINDS: dict[str, Callable] = {}
"""The same for those that take disks, as long as no other fault of the series does."""

_LOSS_KINDS: dict[str, Callable] = {}
"""The same for disks that are lost while the successors of others catch up."""

_BESIDE_KINDS: dict[str, Callable] = {}
"""The same for what is done beside each of these."""

_kind = registry_decorator(_KINDS)
_worker_kind = registry_decorator(_WORKER_KINDS)
_closing_kind = registry_decorator(_CLOSING_KINDS)
_rare_closing_kind = registry_decorator(_RARE_CLOSING_KINDS)
_together_kind = registry_decorator(_TOGETHER_KINDS)
_unanswered_kind = registry_decorator(_UNANSWERED_KINDS)
_link_kind = registry_decorator(_LINK_KINDS)
_power_kind = registry_decorator(_POWER_KINDS)
_disk_kind = registry_decorator(_DISK_KINDS)
_reset_kind = registry_decorator(_RESET_KINDS)
_last_kind = registry_decorator(_LAST_KINDS)
_last_disk_kind = registry_decorator(_LAST_DISK_KINDS)
_loss_kind = registry_decorator(_LOSS_KINDS)
_beside_kind = registry_decorator(_BESIDE_KINDS)

_CONTROLS_AWAY = {
    "control_stopped": 1, "control_killed": 1, "control_paused": 1,
    "leader_stopped": 1, "leader_killed": 1, "leader_paused": 1,
    "core_cut_in_two": 2, "core_cut_alone": 1, "core_cut_leader": 1, "core_cut_one_way": 1,
    "entries_cut_from_core": 1, "power_lost": 2, "power_and_disks_lost": 2,
    "disks_lost_in_turn": 2,
}  # fmt: skip
"""How many control hosts a fault makes unavailable; a cut of entry hosts counts as one."""


@attrs.frozen
class Fault:
    """A fault that begins ``at`` seconds into a run and lasts for ``seconds``.

    ``target`` selects a host, relay or worker, modulo their number; it also sets a delay.
    """

    at: float
    kind: str
    target: int
    seconds: float


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the series of a seed: bursts of faults that overlap, each with a planned stop."""
    rng = random.Random(seed)
    faults, burst_at = [], QUIET_SECONDS
    while burst_at + BURST_SPREAD_SECONDS < seconds - QUIET_SECONDS:
        kinds = [rng.choice(["rolled", "entry_stopped"])]
        kinds += rng.choices(list(_KINDS), k=rng.randint(*FAULTS_PER_BURST) - 1)
        for kind in kinds:
            at = burst_at + rng.uniform(0, BURST_SPREAD_SECONDS)
            lasts = rng.uniform(*FAULT_SECONDS)
            faults.append(Fault(round(at, 2), kind, rng.randrange(100), round(lasts, 2)))
        burst_at += BURST_INTERVAL_SECONDS * rng.uniform(0.7, 1.3)
    faults += _draw_worker_faults(random.Random(f"workers of {seed}"), seconds)
    return sorted(faults, key=lambda fault: fault.at)


def _draw_worker_faults(rng: random.Random, seconds: float) -> list[Fault]:
    faults, at = [], QUIET_SECONDS
    while at < seconds - QUIET_SECONDS:
        lasts = round(rng.uniform(*FAULT_SECONDS), 2)
        is_lull = rng.random() < LULL_SHARE
        kind = "workers_restarted_in_lull" if is_lull else rng.choice(list(_WORKER_KINDS))
        faults.append(Fault(round(at, 2), kind, rng.randrange(100), lasts))
        at += rng.uniform(*WORKER_FAULT_INTERVAL_SECONDS)
        if kind == "workers_restarted_in_lull":
            at += LULL_SECONDS + LULL_SERIES * lasts
    return faults


def draw_closings(seed: int, seconds: float, faults: list[Fault]) -> list[Fault]:
    """Return the series with times at which all hosts end at once, and with fewer other faults."""
    rng = random.Random(f"closings of {seed}")
    series = rng.choice(CLOSING_SERIES)
    middle = seconds * rng.uniform(*MIDDLE_SHARE)
    second = middle + rng.uniform(*NEXT_CLOSING_SECONDS)
    last = seconds - rng.uniform(0, LAST_SECONDS)
    times = {"end": [last], "middle": [middle], "middle and end": [middle, last]}
    kept = [f for f in faults if f.kind not in _WORKER_KINDS or rng.random() < WORKER_FAULT_SHARE]
    closings = [
        Fault(
            round(at, 2),
            rng.choice(list(_CLOSING_KINDS)),
            rng.randrange(100),
            round(rng.uniform(*DARK_SECONDS), 2),
        )
        for at in times.get(series, [middle, second])
    ]
    # One control host of three may lose its disk, so only one closing of a series takes one.
    if rng.random() < DISK_SHARE:
        number = rng.randrange(len(closings))
        closings[number] = attrs.evolve(closings[number], kind="all_ended_and_a_disk_lost")
    if series == "middle" and rng.random() < CALM_SHARE:
        calm_from = closings[0].at + closings[0].seconds
        kept = [f for f in kept if not calm_from < f.at < calm_from + CALM_SECONDS]
    return sorted([*kept, *closings], key=lambda fault: fault.at)


def draw_crashes(seed: int, seconds: float, faults: list[Fault]) -> list[Fault]:
    """Return the series with workers that are lost together, and orders that outlive lives."""
    rng = random.Random(f"crashes of {seed}")
    series, added = rng.choice(CRASH_SERIES), []
    if series != "unanswered":
        until = seconds - TOGETHER_SECONDS
        added += _draw_each(rng, _TOGETHER_KINDS, TOGETHER_INTERVAL_SECONDS, until)
    if series != "together":
        until = seconds - QUIET_SECONDS
        added += _draw_each(rng, _UNANSWERED_KINDS, UNANSWERED_INTERVAL_SECONDS, until)
    return sorted([*faults, *added], key=lambda fault: fault.at)


def _draw_each(
    rng: random.Random, kinds: dict, interval_seconds: tuple[float, float], until: float
) -> list[Fault]:
    faults, at = [], QUIET_SECONDS + rng.uniform(0, interval_seconds[0])
    while at < until:
        lasts = round(rng.uniform(*FAULT_SECONDS), 2)
        faults.append(Fault(round(at, 2), rng.choice(list(kinds)), rng.randrange(100), lasts))
        at += rng.uniform(*interval_seconds)
    return faults


def draw_cuts(
    seed: int,
    seconds: float,
    faults: list[Fault],
    catch_up_seconds: float = CATCH_UP_SECONDS_WITHOUT_LOSSES,
) -> list[Fault]:
    """Return the series with links that are cut and power that is lost, one after the other.

    The manifest changes meanwhile.  Other faults of control hosts are left out where too many
    would be unavailable at once.
    """
    rng = random.Random(f"cuts of {seed}")
    changes_rng = random.Random(f"changes beside cuts of {seed}")
    kept: list[Fault] = []
    changes: list[Fault] = []
    may_lose_disks = all(fault.kind not in _RARE_CLOSING_KINDS for fault in faults)
    at, away_until = QUIET_SECONDS + rng.uniform(0, NEXT_CUT_SECONDS[0]), 0.0
    while at < seconds - QUIET_SECONDS:
        kind = rng.choice([*_LINK_KINDS, *_POWER_KINDS, *(_DISK_KINDS if may_lose_disks else ())])
        lasts = rng.uniform(*(CUT_SECONDS if kind in _LINK_KINDS else POWER_LOST_SECONDS))
        if kept and _CONTROLS_AWAY[kept[-1].kind] + _CONTROLS_AWAY[kind] > MAX_CONTROLS_AWAY:
            at = max(at, away_until)
        kept.append(Fault(round(at, 2), kind, rng.randrange(100), round(lasts, 2)))
        # What is in force meanwhile is what hosts that are cut off must not contradict.
        changed_at = at + changes_rng.uniform(0, lasts / 2)
        change = Fault(round(changed_at, 2), "manifest_changed_beside_cut", 0, round(lasts, 2))
        changes.append(change)
        away_until = at + lasts + AWAY_SECONDS
        at += lasts + rng.uniform(*NEXT_CUT_SECONDS)
        if kind in _DISK_KINDS:
            may_lose_disks = False
            at += catch_up_seconds
    for fault in faults:
        near = (each for each in kept if _may_be_away_at_once(each, fault))
        away = sum(_CONTROLS_AWAY.get(each.kind, 0) for each in near)
        if fault.kind not in _CONTROLS_AWAY or away < MAX_CONTROLS_AWAY:
            kept.append(fault)
    return sorted([*kept, *changes], key=lambda fault: fault.at)


def draw_resets(seed: int, seconds: float, faults: list[Fault]) -> list[Fault]:
    """Return the series with hosts whose connections are reset, and a last fault after its end.

    That one takes as many control hosts as there may be without, and leaves those that were reset.
    """
    rng = random.Random(f"resets of {seed}")
    added = _draw_each(rng, _RESET_KINDS, RESET_INTERVAL_SECONDS, seconds)
    at = max([seconds, *(fault.at + fault.seconds for fault in faults)]) + AWAY_SECONDS
    are_disks_lost = any("disk" in fault.kind for fault in faults)
    kind = rng.choice([*_LAST_KINDS, *(() if are_disks_lost else _LAST_DISK_KINDS)])
    lasts = round(rng.uniform(*POWER_LOST_SECONDS), 2)
    last = Fault(round(at, 2), kind, rng.randrange(100), lasts)
    return [*sorted([*faults, *added], key=lambda fault: fault.at), last]


def draw_losses(seed: int, seconds: float, faults: list[Fault]) -> list[Fault]:
    """Return the series with disks that are lost in turn: once in it, and once as its last fault.

    The one in the series is left out where all hosts end at once.  The last one takes the place of
    the former last fault, or that one stays.  Faults that make control hosts unavailable are left
    out beside them.
    """
    rng = random.Random(f"losses of {seed}")
    is_final = rng.random() < FINAL_LOSSES_SHARE
    final = _draw_loss(rng, seconds)
    drawn = [_draw_loss(rng, rng.uniform(QUIET_SECONDS, seconds)) for _ in range(LOSS_DRAWS)]
    added = [
        each
        for each in drawn
        if each.at + each.seconds < seconds and _is_apart_from_closings(each, faults)
    ][:1]
    rest = [fault for fault in faults if fault.kind not in _LAST_KINDS | _LAST_DISK_KINDS]
    last = [fault for fault in faults if fault not in rest]
    kept = [
        fault
        for fault in rest
        if fault.kind not in _CONTROLS_AWAY
        or not any(_may_be_away_at_once(each, fault) for each in added)
    ]
    series = sorted([*kept, *added], key=lambda fault: fault.at)
    if last and not is_final:
        return [*series, *last]
    at = max([seconds, *(fault.at + fault.seconds for fault in series)]) + AWAY_SECONDS
    closed_until = (each.at + each.seconds for each in series if _is_closing(each))
    at = max([at, *(until + CLOSING_RECOVERY_SECONDS for until in closed_until)])
    return [*series, attrs.evolve(final, at=round(at, 2))]


def _draw_loss(rng: random.Random, at: float) -> Fault:
    downs = 2 * rng.uniform(*POWER_LOST_SECONDS)
    lasts = round(downs + CATCH_UP_SECONDS, 2)
    return Fault(round(at, 2), rng.choice(list(_LOSS_KINDS)), rng.randrange(100), lasts)


def _is_closing(fault: Fault) -> bool:
    return fault.kind in _CLOSING_KINDS | _RARE_CLOSING_KINDS


def _is_apart_from_closings(loss: Fault, faults: list[Fault]) -> bool:
    """Return whether no closing is beside a loss, and the group has recovered from any before."""
    return not any(
        loss.at - CLOSING_RECOVERY_SECONDS - fault.seconds < fault.at
        and fault.at < loss.at + loss.seconds + AWAY_SECONDS
        for fault in faults
        if _is_closing(fault)
    )


def draw_far_seconds(seed: int) -> float:
    """Return the delay of each way between the two regions, in a series with losses."""
    return random.Random(f"links of {seed}").choice(FAR_SECONDS)


def _may_be_away_at_once(one: Fault, other: Fault) -> bool:
    first, second = sorted((one, other), key=lambda fault: fault.at)
    return second.at < first.at + first.seconds + AWAY_SECONDS


def inject(deployment, fault: Fault) -> None:
    """Carry out a fault and wait until it is over."""
    kinds = _KINDS | _WORKER_KINDS | _CLOSING_KINDS | _RARE_CLOSING_KINDS
    kinds |= _TOGETHER_KINDS | _UNANSWERED_KINDS | _LINK_KINDS | _POWER_KINDS | _DISK_KINDS
    kinds |= _BESIDE_KINDS | _RESET_KINDS | _LAST_KINDS | _LAST_DISK_KINDS | _LOSS_KINDS
    kinds[fault.kind](deployment, fault)


@_kind("rolled")
def _roll(deployment, fault) -> None:
    for host in deployment.entries:
        host.send(signal.SIGTERM)
        time.sleep(fault.seconds / len(deployment.entries))


@_kind("entry_stopped")
def _stop_entry(deployment, fault) -> None:
    deployment.entry(fault.target).send(signal.SIGTERM)


@_kind("entry_killed")
def _kill_entry(deployment, fault) -> None:
    deployment.entry(fault.target).send(signal.SIGKILL)


@_kind("entry_paused")
def _pause_entry(deployment, fault) -> None:
    _pause(deployment.entry(fault.target), fault)


@_kind("control_stopped")
def _stop_control(deployment, fault) -> None:
    deployment.control(fault.target).send(signal.SIGTERM)


@_kind("control_killed")
def _kill_control(deployment, fault) -> None:
    deployment.control(fault.target).send(signal.SIGKILL)


@_kind("control_paused")
def _pause_control(deployment, fault) -> None:
    _pause(deployment.control(fault.target), fault)


@_kind("leader_stopped")
def _stop_leader(deployment, fault) -> None:
    deployment.leader().send(signal.SIGTERM)


@_kind("leader_killed")
def _kill_leader(deployment, fault) -> None:
    deployment.leader().send(signal.SIGKILL)


@_kind("leader_paused")
def _pause_leader(deployment, fault) -> None:
    _pause(deployment.leader(), fault)


def _pause(host, fault: Fault) -> None:
    host.send(signal.SIGSTOP)
    time.sleep(fault.seconds)
    host.send(signal.SIGCONT)


@_kind("settings_changed")
def _change_settings(deployment, fault) -> None:
    """Rotate the seeds of all hosts of a role, and tell half of the hosts by a signal."""
    hosts = deployment.entries if fault.target % 2 else deployment.controls
    deployment.rotate_seeds()
    for number, host in enumerate(hosts):
        deployment.write_settings(host)
        if number % 2 == 0:
            host.send(signal.SIGHUP)


@_kind("manifest_changed")
def _change_manifest(deployment, fault) -> None:
    for _ in range(1 + fault.target % 3):
        deployment.change_manifest()
        time.sleep(fault.seconds / 3)


@_kind("callers_delayed")
def _delay_callers(deployment, fault) -> None:
    _delay(deployment.entry_relay(fault.target), fault)


@_kind("callers_reset")
def _reset_callers(deployment, fault) -> None:
    deployment.entry_relay(fault.target).reset()


@_kind("callers_silenced")
def _silence_callers(deployment, fault) -> None:
    deployment.entry_relay(fault.target).silence()


@_kind("callers_cut_one_way")
def _cut_callers(deployment, fault) -> None:
    way = TO_CLIENT if fault.target % 2 else TO_UPSTREAM
    _cut(deployment.entry_relay(fault.target), fault, (way,))


@_kind("worker_cut")
def _cut_worker(deployment, fault) -> None:
    _cut(deployment.worker_relay(fault.target), fault, BOTH_WAYS)


@_kind("worker_delayed")
def _delay_worker(deployment, fault) -> None:
    _delay(deployment.worker_relay(fault.target), fault)


def _delay(relay, fault: Fault) -> None:
    relay.delay_s = fault.target * DELAY_STEP_SECONDS
    time.sleep(fault.seconds)
    relay.delay_s = 0.0


def _cut(relay, fault: Fault, directions: tuple[str, ...]) -> None:
    relay.partition(directions)
    time.sleep(fault.seconds)
    relay.heal()


@_worker_kind("worker_restarted")
def _restart_worker(deployment, fault) -> None:
    _restart(deployment.worker(fault.target), _details(fault))


@_worker_kind("workers_restarted")
def _restart_workers(deployment, fault) -> None:
    """Restart one worker after the other."""
    rng, count = _details(fault), len(deployment.workers)
    for number in range(count):
        _restart(deployment.worker(fault.target + number), rng)
        time.sleep(fault.seconds / count)


@_worker_kind("workers_restarted_in_lull")
def _restart_idle_workers(deployment, fault) -> None:
    """Restart all workers several times while few callers are active, so that most are idle."""
    with deployment.lull():
        time.sleep(LULL_SECONDS)
        for _ in range(LULL_SERIES):
            _restart_workers(deployment, fault)
        time.sleep(HEARTBEAT_LATE_SECONDS[1])


@_worker_kind("worker_restarted_behind_cut")
def _restart_cut_worker(deployment, fault) -> None:
    """Restart a worker that control hosts can't reach; its heartbeats reach them."""
    rng, relay = _details(fault), deployment.worker_relay(fault.target)
    relay.partition()
    time.sleep(rng.uniform(0, fault.seconds))
    _restart(deployment.worker(fault.target), rng)
    time.sleep(rng.uniform(0, fault.seconds))
    relay.heal()


@_worker_kind("heartbeat_of_another_writer")
def _send_foreign_heartbeat(deployment, fault) -> None:
    """Send a heartbeat with a later start under the id of a worker that lives."""
    rng, worker = _details(fault), deployment.worker(fault.target)
    address = rng.choice(
        [worker.address, deployment.worker(fault.target + 1).address, "127.0.0.1:9"]
    )
    service = rng.choice(["svc", "another"])
    body = heartbeat(address, service=service, born=int(time.time() * 1000))
    deployment.send_heartbeat(worker, body)


@_worker_kind("leave_meets_next_life")
def _leave_late(deployment, fault) -> None:
    """Restart a worker that drains; its leave comes late, for half of them as it is cut off."""
    rng, worker = _details(fault), deployment.worker(fault.target)
    relay = deployment.worker_relay(fault.target)
    worker.draining = True
    time.sleep(fault.seconds)
    _restart(worker, rng)
    time.sleep(rng.uniform(*HEARTBEAT_LATE_SECONDS))
    if rng.random() < 0.5:
        relay.partition()
        time.sleep(rng.uniform(0, fault.seconds))
    deployment.send_leave(worker)
    time.sleep(rng.uniform(0, fault.seconds))
    relay.heal()


@_together_kind("all_workers_lost")
def _lose_all_workers(deployment, fault) -> None:
    _lose_together(deployment, fault, len(deployment.workers))


@_together_kind("half_of_workers_lost")
def _lose_half_of_workers(deployment, fault) -> None:
    """Lose the workers of one failure domain."""
    _lose_together(deployment, fault, (len(deployment.workers) + 1) // 2)


def _lose_together(deployment, fault, count: int) -> None:
    """Restart workers at the same moment, some times, and then cut them off while they go on."""
    rng = _details(fault)
    numbers = range(fault.target, fault.target + count)
    for _ in range(rng.randint(*RESTARTS_TOGETHER)):
        next_at = time.monotonic() + rng.uniform(*NEXT_LOSS_SECONDS)
        restart_together(
            [deployment.worker(number) for number in numbers],
            lambda: (rng.uniform(*TOGETHER_DOWN_SECONDS), rng.uniform(*HEARTBEAT_LATE_SECONDS)),
        )
        time.sleep(max(0.0, next_at - time.monotonic()))
    for number in numbers:
        deployment.worker_relay(number).partition()
    time.sleep(MAX_HOLD_MS / 1000 + rng.uniform(*CUT_BEYOND_LEASE_SECONDS))
    for number in numbers:
        deployment.worker_relay(number).heal()


@_unanswered_kind("starts_unanswered")
def _leave_starts_unanswered(deployment, fault) -> None:
    """Let workers answer only some orders to start, and restart each after a while."""
    rng = _details(fault)
    threads = [
        threading.Thread(
            target=_hold_back_and_restart,
            args=(deployment.worker(fault.target + n), random.Random(rng.random()), fault.seconds),
        )
        for n in range(rng.randint(*UNANSWERED_WORKERS))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@_unanswered_kind("starts_unanswered_in_turn")
def _leave_starts_unanswered_in_turn(deployment, fault) -> None:
    """Let all workers leave some orders to start unanswered, and restart one after the other."""
    rng = _details(fault)
    for worker in deployment.workers:
        worker.late_orders.share = rng.uniform(*SHARE_IN_TURN)
    for number in range(rng.randint(*RESTARTS_IN_TURN)):
        time.sleep(rng.uniform(*TURN_SECONDS))
        worker = deployment.worker(fault.target + number)
        worker.restart(rng.uniform(*SOON_DOWN_SECONDS), rng.uniform(*HEARTBEAT_LATE_SECONDS))
    for worker in deployment.workers:
        worker.late_orders.share = 0.0


def _hold_back_and_restart(worker, rng: random.Random, seconds: float) -> None:
    worker.late_orders.share = rng.uniform(*UNANSWERED_SHARE)
    time.sleep(rng.uniform(FAULT_SECONDS[0], seconds))
    worker.restart(rng.uniform(*SOON_DOWN_SECONDS), rng.uniform(*HEARTBEAT_LATE_SECONDS))
    worker.late_orders.share = 0.0


@_beside_kind("manifest_changed_beside_cut")
def _change_until_acknowledged(deployment, fault) -> None:
    """Send changes until one is acknowledged, also by the next leader."""
    until = time.monotonic() + fault.seconds
    while time.monotonic() < until and not deployment.change_manifest():
        time.sleep(RETRY_SECONDS)


@_link_kind("core_cut_in_two")
def _cut_core_in_two(deployment, fault) -> None:
    """Cut two control hosts off from the others, half of the time from some entry hosts too."""
    some = _two_controls(deployment, fault)
    others = [host for host in deployment.controls if host not in some]
    others += deployment.entries[::2] if fault.target % 2 else []
    _cut_links(deployment, fault, some, others)


@_link_kind("core_cut_alone")
def _cut_one_control(deployment, fault) -> None:
    _cut_links(deployment, fault, [deployment.control(fault.target)], deployment.hosts)


@_link_kind("core_cut_leader")
def _cut_leader(deployment, fault) -> None:
    _cut_links(deployment, fault, [deployment.leader()], deployment.hosts)


@_link_kind("core_cut_one_way")
def _cut_one_way(deployment, fault) -> None:
    """Let nothing reach a control host, the leader for half of the targets, or nothing leave it."""
    is_leader, is_deaf = fault.target % 2, fault.target // 2 % 2
    host = deployment.leader() if is_leader else deployment.control(fault.target)
    ways = deployment.links.ways_of([host.ip])
    with deployment.links.are_cut(way for way in ways if way[is_deaf] == host.ip):
        time.sleep(fault.seconds)


@_link_kind("entries_cut_from_core")
def _cut_entries(deployment, fault) -> None:
    """Cut half of the entry hosts off from the leader and another control host."""
    entries = deployment.entries[fault.target % 2 :: 2]
    _cut_links(deployment, fault, entries, _two_controls(deployment, fault, with_leader=True))


def _two_controls(deployment, fault: Fault, with_leader: bool = False) -> list:
    first = deployment.leader() if with_leader else deployment.control(fault.target)
    others = [host for host in deployment.controls if host is not first]
    return [first, _details(fault).choice(others)]


def _cut_links(deployment, fault: Fault, some: list, others: list) -> None:
    ways = ways_between([host.ip for host in some], [host.ip for host in others])
    with deployment.links.are_cut(dict.fromkeys(ways)):
        time.sleep(fault.seconds)


@_power_kind("power_lost")
def _lose_power(deployment, fault, are_disks_lost: bool = False) -> None:
    """Let two control hosts lose power, one of them the leader for half of the targets."""
    hosts = _two_controls(deployment, fault, with_leader=bool(fault.target % 2))
    deployment.lose_power_of(hosts, fault.seconds, are_disks_lost)


@_disk_kind("power_and_disks_lost")
def _lose_power_and_disks(deployment, fault) -> None:
    _lose_power(deployment, fault, are_disks_lost=True)


@_reset_kind("control_reset")
def _reset_control(deployment, fault) -> None:
    deployment.control(fault.target).reset_connections()


@_reset_kind("leader_reset")
def _reset_leader(deployment, fault) -> None:
    deployment.leader().reset_connections()


@_reset_kind("controls_reset")
def _reset_controls(deployment, fault) -> None:
    """Reset the connections of several control hosts, at times of all."""
    _reset_some(deployment.controls, fault)


@_reset_kind("entries_reset")
def _reset_entries(deployment, fault) -> None:
    _reset_some(deployment.entries, fault)


def _reset_some(hosts: list, fault: Fault) -> None:
    rng = _details(fault)
    for host in rng.sample(hosts, rng.randint(min(2, len(hosts)), len(hosts))):
        host.reset_connections()


@_last_kind("others_lost_after_resets")
def _lose_others_after_resets(deployment, fault, are_disks_lost: bool = False) -> None:
    """Reset the connections of a majority of the control hosts; then the others lose power."""
    leader, count = deployment.leader(), (len(deployment.controls) - 1) // 2
    others = [host for host in deployment.controls if host is not leader]
    lost = [leader, *_details(fault).sample(others, count - 1)]
    for host in others:
        if host not in lost:
            host.reset_connections()
    time.sleep(fault.seconds)
    deployment.lose_power_of(lost, fault.seconds, are_disks_lost)


@_last_disk_kind("other_disks_lost_after_resets")
def _lose_other_disks_after_resets(deployment, fault) -> None:
    _lose_others_after_resets(deployment, fault, are_disks_lost=True)


@_loss_kind("disks_lost_in_turn")
def _lose_disks_in_turn(deployment, fault) -> None:
    """Let hosts lose their disks, one or as many as may; then as many others, once those count.

    The leader is among the first, or the second, for half of them each.
    """
    rng, most = _details(fault), (len(deployment.controls) - 1) // 2
    down_seconds = (fault.seconds - CATCH_UP_SECONDS) / 2
    first = _hosts_to_lose(deployment, rng, rng.randint(1, most), [])
    deployment.lose_power_of(first, down_seconds, are_disks_lost=True)
    second_at = time.monotonic() + CATCH_UP_SECONDS
    time.sleep(CATCH_UP_SECONDS - LEADER_ASKED_SECONDS)
    second = _hosts_to_lose(deployment, rng, most, first)
    time.sleep(max(0.0, second_at - time.monotonic()))
    deployment.lose_power_of(second, down_seconds, are_disks_lost=True)


def _hosts_to_lose(deployment, rng: random.Random, count: int, spared: list) -> list:
    """Return control hosts that are not spared, the leader among them by chance, or not at all."""
    takes_leader, leader = rng.random() < LEADER_SHARE, deployment.leader()
    hosts = [host for host in deployment.controls if host not in spared]
    others = [host for host in hosts if host is not leader]
    rng.shuffle(others)
    some = [leader] if takes_leader and leader in hosts else []
    return [*some, *others][:count]


@_closing_kind("all_ended")
def _end_all(deployment, fault) -> None:
    """End all hosts at the same moment, while workers go on, crash, are cut or silent."""
    with _power_lost(deployment, fault):
        pass


@_closing_kind("all_ended_after_acceptance")
def _end_all_after_acceptance(deployment, fault) -> None:
    """End all hosts right after a job was accepted."""
    deployment.job_accepted.clear()
    deployment.job_accepted.wait(ACCEPTANCE_SECONDS)
    _end_all(deployment, fault)


@_rare_closing_kind("all_ended_and_a_disk_lost")
def _end_all_and_lose_a_disk(deployment, fault) -> None:
    """End all hosts; one control host starts again with an empty disk."""
    with _power_lost(deployment, fault):
        deployment.control(fault.target).lose_disk()


@contextlib.contextmanager
def _power_lost(deployment, fault):
    """End all hosts; the block runs while they are dark, and afterwards it waits for that to end.

    What some of the workers do meanwhile is a detail of the fault.
    """
    rng, until = _details(fault), time.monotonic() + fault.seconds
    deployment.lose_power(until)
    threads = []
    if rng.random() < WORKERS_IN_DARK_SHARE:
        count = len(deployment.workers)
        for number in rng.sample(range(count), rng.randint(1, count)):
            act, details = rng.choice(_ACTIONS_IN_DARK), random.Random(rng.random())
            arguments = (deployment, number, details, fault.seconds)
            threads.append(threading.Thread(target=act, args=arguments))
    for thread in threads:
        thread.start()
    yield
    for thread in threads:
        thread.join()
    time.sleep(max(0.0, until - time.monotonic()))


def _restart_in_dark(deployment, number: int, rng: random.Random, dark_seconds: float) -> None:
    time.sleep(rng.uniform(0, dark_seconds))
    _restart(deployment.worker(number), rng)


def _cut_in_dark(deployment, number: int, rng: random.Random, dark_seconds: float) -> None:
    began = rng.uniform(0, dark_seconds)
    time.sleep(began)
    deployment.worker_relay(number).partition()
    time.sleep(max(0.0, dark_seconds - began + rng.uniform(*HEAL_AFTER_SECONDS)))
    deployment.worker_relay(number).heal()


def _silence_in_dark(deployment, number: int, rng: random.Random, dark_seconds: float) -> None:
    deployment.worker(number).is_silent = True
    _cut_in_dark(deployment, number, rng, dark_seconds)
    deployment.worker(number).is_silent = False


def _drain_in_dark(deployment, number: int, rng: random.Random, dark_seconds: float) -> None:
    """Let a worker announce that it leaves, and start again while or after the hosts are dark."""
    deployment.worker(number).draining = True
    _restart_in_dark(deployment, number, rng, dark_seconds + HEAL_AFTER_SECONDS[1])


_ACTIONS_IN_DARK = (_restart_in_dark, _cut_in_dark, _silence_in_dark, _drain_in_dark)


def _details(fault: Fault) -> random.Random:
    """Return a generator for what a fault does not say: its details follow from it."""
    return random.Random(repr(fault))


def _restart(worker, rng: random.Random) -> None:
    worker.restart(rng.uniform(*DOWN_SECONDS), rng.uniform(*HEARTBEAT_LATE_SECONDS))
