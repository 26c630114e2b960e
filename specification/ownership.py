"""Ownership of a worker: leases, epochs, adoption, and a freeze before a write.

There are two entry hosts, and one worker with capacity for one request.  Control
assigns the worker to one host under an epoch and a lease.  A host may freeze
between its check of the lease and its write, which may then arrive at any later time.
"""

from minicheck import Protocol

from .model import specification

HOSTS = (0, 1)
LEASE = 2
MAX_EPOCH = 3
NO_OWNER = -1

WAIT_FOR_LEASE = "ownership moves only after the old lease has expired"
FENCE = "a worker refuses every epoch except the latest it was adopted under"
COUNT_RUNNING = "a new owner counts the requests that the worker reports as running"
STOP_AT_LEASE = "a host without a lease makes no decision"
COUNT_UNTIL_REPORTED = "an abandoned request counts as running until the worker reports otherwise"
GUARDS = (WAIT_FOR_LEASE, FENCE, COUNT_RUNNING, STOP_AT_LEASE, COUNT_UNTIL_REPORTED)

# State: owner and epoch in the replicated log; per host (known epoch, remaining
# lease time, requests it counts on the worker, whether it has adopted the worker,
# epoch of a write in flight or 0); latest epoch the worker was adopted under;
# running requests; remaining lease time on the granter's clock; whether a host
# ever made a decision after its worker had been reassigned.
_HOST = (0, 0, 0, False, 0)
_START = (NO_OWNER, 0, (_HOST, _HOST), 0, 0, 0, False)


def _with_item(hosts, index, host):
    return tuple(host if i == index else each for i, each in enumerate(hosts))


@specification("ownership", GUARDS)
def make(guards: frozenset[str]) -> Protocol:
    """Return the model with these guards active."""

    def transitions(state):
        owner, epoch, hosts, worker_epoch, running, granted, stale = state
        steps = []
        may_move = owner == NO_OWNER or granted == 0 or WAIT_FOR_LEASE not in guards
        for h in HOSTS:
            if epoch < MAX_EPOCH and may_move and h != owner:
                after_assignment = (h, epoch + 1, hosts, worker_epoch, running, 0, stale)
                steps.append((f"assign to {h}", after_assignment))
            steps += _host(state, h)
        if granted or any(host[1] for host in hosts):
            # The granter's lease timer never expires before the holder's.
            after_tick = tuple(
                (known_epoch, max(0, remaining - 1), in_use, adopted, pending_epoch)
                for known_epoch, remaining, in_use, adopted, pending_epoch in hosts
            )
            remaining = max(0, granted - 1)
            steps.append(
                ("time passes", (owner, epoch, after_tick, worker_epoch, running, remaining, stale))
            )
        if running:
            done = (owner, epoch, hosts, worker_epoch, running - 1, granted, stale)
            steps.append(("finish", done))
        return steps

    def _host(state, h):
        owner, epoch, hosts, worker_epoch, running, granted, stale = state
        known_epoch, remaining, in_use, adopted, pending_epoch = hosts[h]
        may_decide = remaining > 0 or STOP_AT_LEASE not in guards

        def next_state(host, **changes):
            after = {"worker_epoch": worker_epoch, "granted": granted, "stale": stale} | changes
            return (
                owner,
                epoch,
                _with_item(hosts, h, host),
                after["worker_epoch"],
                running,
                after["granted"],
                after["stale"],
            )

        if owner == h and (remaining < LEASE or known_epoch != epoch):
            kept = (in_use, adopted) if known_epoch == epoch else (0, False)
            yield f"renew {h}", next_state((epoch, LEASE, *kept, pending_epoch), granted=LEASE)
        if (
            known_epoch
            and not adopted
            and may_decide
            and (known_epoch >= worker_epoch or FENCE not in guards)
        ):
            counted = running if COUNT_RUNNING in guards else 0
            host = (known_epoch, remaining, counted, True, pending_epoch)
            yield f"adopt by {h}", next_state(host, worker_epoch=max(worker_epoch, known_epoch))
        if adopted and in_use == 0 and not pending_epoch and may_decide:
            stale_after = stale or owner != h
            yield (
                f"decide to dispatch {h}",
                next_state((known_epoch, remaining, 1, adopted, known_epoch), stale=stale_after),
            )
        if pending_epoch:
            yield from _arrives(state, h)
        is_reported_ended = running == 0 and not pending_epoch
        if (
            adopted
            and in_use
            and (is_reported_ended or COUNT_UNTIL_REPORTED not in guards)
            and may_decide
        ):
            yield (
                f"{h} stops counting the request",
                next_state((known_epoch, remaining, 0, adopted, pending_epoch)),
            )

    def _arrives(state, h):
        owner, epoch, hosts, worker_epoch, running, granted, stale = state
        known_epoch, remaining, in_use, adopted, pending_epoch = hosts[h]
        after = _with_item(hosts, h, (known_epoch, remaining, in_use, adopted, 0))
        is_current = pending_epoch == worker_epoch or FENCE not in guards
        now_running = min(running + 1, 2) if is_current else running
        step = (owner, epoch, after, worker_epoch, now_running, granted, stale)
        yield f"write of {h} arrives", step

    return Protocol(
        name="ownership",
        candidate=False,
        fields=("owner", "epoch", "hosts", "worker_epoch", "running", "granted", "stale"),
        initial=_START,
        transitions=transitions,
        invariants={
            "a worker never exceeds its capacity": lambda s: s["running"] <= 1,
            "at most one host holds the worker's lease": lambda s: (
                sum(1 for host in s["hosts"] if host[1] > 0) <= 1
            ),
            "no host makes a decision for a worker that was reassigned": lambda s: not s["stale"],
        },
    )
