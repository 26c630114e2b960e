"""Seeded days of five control hosts that end with the loss of two disks.

``python -m tests.dispatch.control_days FIRST-LAST`` plays a range of seeds and prints, for each,
its troubles, when a leader could serve, and when there were five voters again.
"""

import json
import random
import sys

import attrs
import eventlet

from .control_hosts import SYNC_SECONDS, propose, simulated_network

CATCH_UP_SECONDS = 4.0
"""A machine counts as lost until it has been back for this long."""

RECOVERY_SECONDS = 12.0
"""After the machines are back, the group has to be complete within this time."""

TOLERANCE = 2
POWER_LOSS_SECONDS = 1.4
START_SECONDS = (0.4, 0.9)
"""From the power, or the end of the previous process, until a process runs."""

SLOW_SYNC_SECONDS = 30 * SYNC_SECONDS
CALM_TIMEOUT_SECONDS = 100.0

TROUBLES = (
    *["wipe"] * 4, "reboot", "kill", "freeze", "cut", "half", "gone", "gone", "gone_term",
    "planned", "planned", "term", "herd", "reset", "slow", "hang", "one_way",
)  # fmt: skip


@attrs.define
class Outcome:
    """What was done on a day, and how long the group needed after it."""

    seed: int
    troubles: list = attrs.field(factory=list)
    leader_after: float = float("inf")
    """Seconds from the final fault until a leader could serve."""

    complete_after: float = float("inf")
    """Seconds from the return of the two machines until there were five voters."""

    findings: list = attrs.field(factory=list)


class Day:
    """Draws and acts the troubles of one day; never more machines are lost than are allowed."""

    def __init__(self, network, seed):
        self.outcome = Outcome(seed)
        self._network, self._rng = network, random.Random(f"day-{seed}")
        self._lost_until: dict[str, float] = {}
        """By address; infinite while a machine is down."""

        self._successors: dict[str, str] = {}
        self._seeds: list[str] = []
        self._in_trouble: set[str] = set()
        self._last_back = None
        self._next_number = 5
        self._proposed = 0
        self._acknowledged: set[bytes] = set()

    def run(self):
        """Play the day; return its outcome."""
        network, rng = self._network, self._rng
        network.loss = rng.choice([0.0, 0.0, 0.005, 0.02])
        network.snapshot_every = rng.choice([100, 400, 5000])
        ips = [f"10.0.0.{number}" for number in range(5)]
        self._seeds = sorted(rng.sample(ips, 3))
        regions = rng.sample(rng.choice(["ppppb", "pppbb"]), 5)
        for ip, region in zip(ips, regions, strict=True):
            machine = network.add(ip, region)
            eventlet.spawn_after(rng.uniform(0.0, 0.3), machine.run, self._seeds, True)
        eventlet.spawn(self._propose, rng.choice([5, 15, 30]))
        with eventlet.Timeout(CALM_TIMEOUT_SECONDS):
            while not network.is_complete():
                eventlet.sleep(0.1)
        eventlet.spawn(self._hold_processes)
        self._sleep(0.0, 3.0)
        for _ in range(rng.choice([1, 1, 2, 2, 3, 4])):
            self._make_trouble()
            self._sleep(0.0, rng.choice([0.5, 2.0, 6.0]))
        with eventlet.Timeout(CALM_TIMEOUT_SECONDS):
            self._wait_until_two_may_be_lost(is_early=rng.random() < 0.4)
        self._lose_two_disks()
        return self.outcome

    # ------------------------------------------------------------------ machines

    @property
    def _machines(self):
        return self._network.machine_by_ip

    def _sleep(self, low, high):
        eventlet.sleep(self._rng.uniform(low, high))

    def _propose(self, per_s):
        while True:
            eventlet.sleep(1 / per_s)
            self._proposed += 1
            propose(self._network, str(self._proposed).encode(), self._acknowledged.add)

    def _hold_processes(self):
        """Now and then let a process have no processor for some tenths of a second."""
        while True:
            self._sleep(0.5, 4.0)
            machine = self._rng.choice(list(self._machines.values()))
            until = self._network.now + self._rng.choice([0.05, 0.1, 0.2, 0.3])
            machine.frozen_until = max(machine.frozen_until, until)

    def _leader_ip(self):
        leader = self._network.leader()
        return leader.machine.ip if leader else None

    def _start(self, machine):
        """Start a process after the usual time, with the first seeds or others."""
        self._sleep(*START_SECONDS)
        seeds = self._seeds
        if self._rng.random() < 0.5:
            seeds = self._rng.sample(list(self._machines), 3)
        machine.run(seeds)

    # ------------------------------------------------------------------ losses

    def _lost(self):
        now = self._network.now
        return {ip for ip, until in self._lost_until.items() if until > now}

    def _may_lose(self, ip):
        return len(self._lost() | {ip}) <= TOLERANCE

    def _lose(self, ip):
        self._in_trouble.add(ip)
        self._lost_until[ip] = float("inf")

    def _is_back(self, ip):
        until = self._lost_until[ip] = self._network.now + CATCH_UP_SECONDS
        self._last_back = ip
        for removed, successor in self._successors.items():
            if successor == ip and self._lost_until.get(removed) == float("inf"):
                self._lost_until[removed] = until

    def _is_done(self, ip):
        self._in_trouble.discard(ip)

    def _say(self, *words):
        self.outcome.troubles.append((round(self._network.seconds, 2), *words))

    # ------------------------------------------------------------------ troubles

    def _make_trouble(self):
        kind = self._rng.choice(TROUBLES)
        ip = self._draw_target()
        is_calm = not self._in_trouble and not self._lost()
        if kind == "herd":
            if is_calm:
                self._say(kind)
                for each in self._machines:
                    eventlet.spawn(self._lose_power, each, self._rng.uniform(0.5, 2.0))
        elif kind == "half":
            ips = self._rng.sample(list(self._machines), 2)
            seconds = self._rng.uniform(1.0, 6.0)
            self._say(kind, ips, round(seconds, 1))
            eventlet.spawn(self._split, ips, seconds)
        elif kind == "reset":
            self._say(kind)
            for machine in self._machines.values():
                machine.connection_generation += 1
        elif ip is not None and (is_calm or kind != "planned"):
            self._say(kind, ip, "leads" if ip == self._leader_ip() else "follows")
            eventlet.spawn(getattr(self, f"_{kind}"), ip)

    def _draw_target(self):
        targets = [ip for ip in self._machines if ip not in self._in_trouble and self._may_lose(ip)]
        if not targets:
            return None
        leader, draw = self._leader_ip(), self._rng.random()
        if leader in targets and draw < 0.35:
            return leader
        if self._last_back in targets and draw < 0.6:
            return self._last_back
        return self._rng.choice(targets)

    def _wipe(self, ip):
        self._lose_power(ip, self._rng.uniform(0.3, 3.0), loses_disk=True)

    def _reboot(self, ip):
        self._lose_power(ip, self._rng.uniform(0.3, 3.0))

    def _lose_power(self, ip, seconds, loses_disk=False):
        self._lose(ip)
        machine = self._machines[ip]
        machine.lose_power(loses_disk)
        eventlet.sleep(seconds)
        machine.has_power = True
        self._is_back(ip)
        self._start(machine)
        self._is_done(ip)

    def _kill(self, ip):
        self._restart(ip, leaves=False)

    def _term(self, ip):
        self._restart(ip, leaves=True)

    def _restart(self, ip, leaves):
        self._lose(ip)
        machine = self._machines[ip]
        if leaves and machine.process:
            machine.process.leave()
        machine.kill()
        self._sleep(0.1, 0.4)
        self._is_back(ip)
        self._start(machine)
        self._is_done(ip)

    def _freeze(self, ip):
        seconds = self._rng.uniform(1.0, 10.0)
        self._machines[ip].frozen_until = self._network.now + seconds
        self._wait_lost(ip, seconds)

    def _slow(self, ip):
        disk = self._machines[ip].disk
        disk.sync_seconds = SLOW_SYNC_SECONDS
        self._wait_lost(ip, self._rng.uniform(1.0, 5.0))
        disk.sync_seconds = SYNC_SECONDS

    def _hang(self, ip):
        seconds = self._rng.uniform(1.0, 5.0)
        self._machines[ip].disk.hangs_until = self._network.now + seconds
        self._wait_lost(ip, seconds)

    def _cut(self, ip):
        links = self._network.cut([ip])
        self._wait_lost(ip, self._rng.uniform(1.0, 10.0))
        self._network.cut_links -= links

    def _one_way(self, ip):
        others, is_mute = set(self._machines) - {ip}, self._rng.random() < 0.5
        links = {(ip, each) if is_mute else (each, ip) for each in others}
        self._network.cut_links |= links
        self._wait_lost(ip, self._rng.uniform(1.0, 6.0))
        self._network.cut_links -= links

    def _wait_lost(self, ip, seconds):
        self._lose(ip)
        eventlet.sleep(seconds)
        self._is_back(ip)
        self._is_done(ip)

    def _split(self, ips, seconds):
        """Split the machines; what could not catch up meanwhile counts as lost until it could."""
        began_at, links = self._network.now, self._network.cut(ips)
        eventlet.sleep(seconds)
        self._network.cut_links -= links
        caught_up_at = self._network.now + CATCH_UP_SECONDS
        for ip, until in self._lost_until.items():
            if until > began_at:
                self._lost_until[ip] = max(until, caught_up_at)

    def _gone(self, ip):
        self._replace(ip, leaves=False)

    def _gone_term(self, ip):
        self._replace(ip, leaves=True)

    def _replace(self, ip, leaves):
        self._lose(ip)
        self._remove(ip, leaves)
        self._sleep(0.0, 2.0)
        successor = self._add_successor(ip)
        self._is_back(successor.ip)
        self._start(successor)
        self._is_done(successor.ip)

    def _planned(self, ip):
        """Remove a machine once its successor has had the time to catch up."""
        self._in_trouble.add(ip)
        successor = self._add_successor(ip)
        self._is_back(successor.ip)
        self._start(successor)
        while self._lost_until[successor.ip] > self._network.now:
            eventlet.sleep(0.1)
        self._sleep(0.0, 3.0)
        self._remove(ip, leaves=True)
        self._say("removed", ip)
        self._is_done(successor.ip)

    def _add_successor(self, ip):
        new_ip = self._successors[ip] = f"10.0.0.{self._next_number}"
        self._next_number += 1
        self._in_trouble.add(new_ip)
        return self._network.add(new_ip, self._network.region_by_ip[ip])

    def _remove(self, ip, leaves):
        machine = self._machines[ip]
        if leaves and machine.process:
            machine.process.leave()
        machine.lose_power(loses_disk=True)
        del self._machines[ip]
        self._is_done(ip)

    # ------------------------------------------------------------------ final fault

    def _wait_until_two_may_be_lost(self, is_early):
        """Wait until all count as there, or until those that do not may be among the two."""
        while True:
            eventlet.sleep(0.02)
            lost = self._lost()
            may_be_lost = len(lost) <= TOLERANCE and lost <= self._machines.keys()
            is_calm = not self._in_trouble and not self._network.cut_links
            if is_calm and self._network.leader() and (not lost or is_early and may_be_lost):
                break
        if not lost:
            self._sleep(0.0, self._rng.choice([0.05, 1.0]))

    def _draw_victims(self):
        victims = sorted(self._lost())
        others = self._rng.sample(list(self._machines), len(self._machines))
        if self._rng.random() < 0.7:
            preferred = (self._leader_ip(), self._last_back)
            others = [ip for ip in preferred if ip in self._machines] + others
        return list(dict.fromkeys(victims + others))[:TOLERANCE]

    def _lose_two_disks(self):
        network, victims = self._network, self._draw_victims()
        survivors = [ip for ip in self._machines if ip not in victims]
        survivors_do = self._rng.choice(["run", "run", "run", "run", "_lose_power", "_kill"])
        self._say("final fault", victims, "leader", self._leader_ip(), survivors_do)
        acknowledged = set(self._acknowledged)
        began_at = network.now
        for ip in victims:
            eventlet.spawn(self._lose_power, ip, POWER_LOSS_SECONDS, True)
        for ip in survivors:
            if survivors_do == "_lose_power":
                eventlet.spawn(self._lose_power, ip, POWER_LOSS_SECONDS)
            elif survivors_do == "_kill":
                eventlet.spawn(self._kill, ip)
        back_at = began_at + POWER_LOSS_SECONDS
        while network.now < back_at + RECOVERY_SECONDS:
            eventlet.sleep(0.05)
            if network.leader() and self.outcome.leader_after == float("inf"):
                self.outcome.leader_after = round(network.now - began_at, 2)
            if network.now > back_at and network.is_complete():
                self.outcome.complete_after = round(network.now - back_at, 2)
                break
        self._judge(acknowledged)

    def _judge(self, acknowledged):
        network, findings = self._network, self.outcome.findings
        if self.outcome.leader_after == float("inf"):
            findings.append("no leader")
        elif self.outcome.complete_after == float("inf"):
            findings.append("not complete")
        leader = network.leader()
        if leader and (missing := acknowledged - set(leader.state_machine.applied)):
            findings.append(f"{len(missing)} acknowledged commands are lost")
        findings += network.errors


def play(seed, log=None):
    """Play the day of a seed; return its outcome."""
    with simulated_network(seed, log) as network:
        return Day(network, seed).run()


if __name__ == "__main__":
    FIRST, LAST = map(int, sys.argv[1].split("-"))
    for number in range(FIRST, LAST + 1):
        print(json.dumps(attrs.asdict(play(number))), flush=True)
