"""Agents of a worker: assignments with fencing tokens, permission to call, and settled runs.

There are two agents, and one worker that executes one run at a time.  The log assigns the
worker to an agent under a token and places runs on it.  A start is sent once and may arrive
at any time until its deadline; the report that a worker is lost may reach the log late.
"""

from minicheck import Protocol

from .model import bound, specification

AGENTS = (0, 1)
LEASE = 2
PERMISSION = 2
MAX_TOKEN = bound(3, 2)
NO_AGENT = -1

FENCE = "a worker refuses tokens lower than the highest that it has seen"
NEW_TOKEN = "each assignment has a token of its own, also one to the same agent"
CURRENT_REPORT = "the log ignores what an agent reports under an earlier token"
CALL_WITH_PERMISSION = "an agent calls workers only with permission"
CURRENT_PERMISSION = "permission is valid only once the newest assignment is applied"
WAIT_FOR_PERMISSION = "a worker is lost only after its lease and an earlier agent's permission"
GUARDS = (
    FENCE,
    NEW_TOKEN,
    CURRENT_REPORT,
    CALL_WITH_PERMISSION,
    CURRENT_PERMISSION,
    WAIT_FOR_PERMISSION,
)

# A run in the log: none, placed and its start not sent, placed and its start sent (or never
# to be sent, since the worker got another agent).
NONE, UNSENT, SENT = range(3)

# State: agent and token in the log; the run placed there; per agent (token that it calls
# with or 0, remaining permission, token and remaining time to the deadline of its start in
# flight, whether it knows of that start, token of its report that the worker is lost, time
# without an answer); the worker's highest token, executing runs, and remaining lease.
_AGENT = (0, 0, 0, 0, False, 0, 0)
_START = (NO_AGENT, 0, NONE, (_AGENT, _AGENT), 0, 0, 0)


def _with_item(agents, index, agent):
    return tuple(agent if i == index else each for i, each in enumerate(agents))


@specification("agents", GUARDS)
def make(guards: frozenset[str]) -> Protocol:
    """Return the model with these guards active."""
    wait = LEASE + (PERMISSION if WAIT_FOR_PERMISSION in guards else 0)

    def transitions(state):
        owner, token, run, agents, seen, running, lease = state
        steps = []
        for a in AGENTS:
            if token < MAX_TOKEN:
                is_same = a == owner and NEW_TOKEN not in guards
                next_token = token if is_same else token + 1
                placed = SENT if run == UNSENT else run
                # The agent may be a new incarnation: it knows nothing of its earlier starts.
                known, permission, order, remaining, knows, lost, _ = agents[a]
                restarted = (
                    (0, permission, order, remaining, False, lost, 0) if a == owner else agents[a]
                )
                after = _with_item(agents, a, restarted)
                steps.append(
                    (f"assign to {a}", (a, next_token, placed, after, seen, running, lease))
                )
            steps += _agent(state, a)
        if owner != NO_AGENT and run == NONE:
            steps.append(("place a run", (owner, token, UNSENT, agents, seen, running, lease)))
        if running:
            ended = (owner, token, run, agents, seen, running - 1, lease)
            steps.append(("a run ends", ended))
        steps.append(("time passes", _after_tick(state)))
        return steps

    def _after_tick(state):
        owner, token, run, agents, seen, running, lease = state
        after = tuple(
            (
                known,
                max(0, permission - 1),
                order if remaining > 1 else 0,
                max(0, remaining - 1),
                knows and remaining > 1,
                lost,
                min(wait, silence + 1) if known else 0,
            )
            for known, permission, order, remaining, knows, lost, silence in agents
        )
        left = max(0, lease - 1)
        return (owner, token, run, after, seen, running if left else 0, left)

    def _agent(state, a):
        owner, token, run, agents, seen, running, lease = state
        known, permission, order, remaining, knows, lost, silence = agents[a]

        def next_state(agent, **changes):
            values = {
                "owner": owner, "run": run, "seen": seen, "running": running, "lease": lease,
            } | changes  # fmt: skip
            return (
                values["owner"], token, values["run"], _with_item(agents, a, agent),
                values["seen"], values["running"], values["lease"],
            )  # fmt: skip

        applied = token if owner == a else 0
        # An agent that takes the worker for lost does not call it again under that token.
        if known != applied and lost != applied:
            yield (
                f"{a} applies",
                next_state((applied, permission, order, remaining, knows, lost, 0)),
            )
        is_current = known == applied or CURRENT_PERMISSION not in guards
        if permission < PERMISSION and is_current:
            yield (
                f"{a} gets permission",
                next_state((known, PERMISSION, order, remaining, knows, lost, silence)),
            )
        may_call = known and (permission or CALL_WITH_PERMISSION not in guards)
        if may_call and run == UNSENT and known == token and not order:
            # The deadline of the start extends the lease.
            sent = (known, permission, known, LEASE, True, lost, min(silence, wait - LEASE))
            yield f"{a} sends the start", next_state(sent, run=SENT)
        if may_call and (known >= seen or FENCE not in guards):
            yield _polls(state, a, next_state)
        if known and silence >= wait and not knows and not lost:
            yield (
                f"{a} loses the worker",
                next_state((0, permission, order, remaining, False, known, 0)),
            )
        if order:
            arrived = (known, permission, 0, 0, False, lost, silence)
            if order >= seen or FENCE not in guards:
                yield (
                    f"start of {a} arrives",
                    next_state(
                        arrived, seen=max(seen, order), running=min(2, running + 1),
                        lease=max(lease, remaining),
                    ),
                )  # fmt: skip
            else:
                yield f"start of {a} is refused", next_state(arrived)
        if lost:
            reported = (known, permission, order, remaining, knows, 0, silence)
            is_valid = lost == token or CURRENT_REPORT not in guards
            ended = {"run": NONE, "owner": NO_AGENT} if is_valid else {}
            yield f"report of {a} arrives", next_state(reported, **ended)

    def _polls(state, a, next_state):
        _, token, run, agents, seen, running, lease = state
        known, permission, order, remaining, knows, lost, silence = agents[a]
        is_gone = run == SENT and not running and not knows
        settled = NONE if is_gone and known == token else run
        return (
            f"{a} polls",
            next_state(
                (known, permission, order, remaining, knows, lost, min(silence, wait - LEASE)),
                run=settled,
                seen=max(seen, known), lease=LEASE if running else lease,
            ),
        )  # fmt: skip

    return Protocol(
        name="agents",
        candidate=False,
        fields=("owner", "token", "run", "agents", "seen", "running", "lease"),
        initial=_START,
        transitions=transitions,
        invariants={
            "a run that the log has settled does not execute": lambda s: (
                s["running"] == 0 or s["run"] != NONE
            ),
            "a worker executes one run at a time": lambda s: s["running"] <= 1,
        },
    )
