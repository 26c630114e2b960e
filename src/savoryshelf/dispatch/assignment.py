"""Decides which control host is the agent of each worker.

This module does no I/O and reads no clock.  A small fleet is called by the leader alone, which
saves a hop.  In a larger one the other hosts call the workers, and the leader has its
time for decisions and commits.
"""

from collections import Counter

import attrs

from ..tasks.job import IncarnationKey

MAX_WORKERS_OF_LEADER = 64
"""Number of workers up to which the leader calls all of them itself.

Calling one costs 2 to 5 ms of a core each second.
"""

MIN_OTHER_AGENTS = 2
"""With fewer other hosts than this the leader is an agent too, however large the fleet."""

MAX_MOVES = 8
"""Workers that are moved at once to even out the load; each is polled anew."""

UNEVEN_LOAD = 1.25
"""Ratio of an agent's workers to the mean above which some of them are moved."""

REMOTE_LOAD_FACTOR = 1.5
"""How much more an agent in another region must be preferred by its load to get a worker."""


@attrs.frozen
class AssignableAgent:
    """An agent that may be assigned workers."""

    agent_id: str
    region: str
    is_leader: bool = False


@attrs.frozen
class AssignableWorker:
    """A worker and its agent; None if it has none or its agent may not keep it."""

    key: IncarnationKey
    region: str
    agent_id: str | None = None
    may_move: bool = True
    """Whether it may be taken from an agent that could keep it."""


def plan_assignments(
    workers: list[AssignableWorker], agents: list[AssignableAgent], fleet_size: int, may_move: bool
) -> dict[IncarnationKey, str]:
    """Return the new agent of each worker that is to get one.

    ``fleet_size`` counts the workers to be left as they are too.  With ``may_move`` some
    workers may be moved from an agent that could keep them.
    """
    preferred = _preferred_agents(fleet_size, agents)
    if not preferred:
        return {}
    known_ids = {agent.agent_id for agent in agents}
    load_by_agent = Counter(w.agent_id for w in workers if w.agent_id in known_ids)
    planned: dict[IncarnationKey, str] = {}
    for worker in workers:
        if worker.agent_id not in known_ids:
            chosen = _best_agent(worker, preferred, load_by_agent)
            planned[worker.key] = chosen
            load_by_agent[chosen] += 1
    if may_move and not planned:
        planned = _plan_moves(workers, preferred, fleet_size, load_by_agent)
    return planned


def _preferred_agents(worker_count: int, agents: list[AssignableAgent]) -> list[AssignableAgent]:
    others = [agent for agent in agents if not agent.is_leader]
    leader = [agent for agent in agents if agent.is_leader]
    if worker_count <= MAX_WORKERS_OF_LEADER:
        return leader or others
    return others if len(others) >= MIN_OTHER_AGENTS else agents


def _best_agent(
    worker: AssignableWorker, preferred: list[AssignableAgent], load_by_agent: Counter
) -> str:
    def cost(agent: AssignableAgent) -> float:
        load = load_by_agent[agent.agent_id] + 1
        return load if agent.region == worker.region else load * REMOTE_LOAD_FACTOR

    return min(preferred, key=cost).agent_id


def _plan_moves(
    workers: list[AssignableWorker],
    preferred: list[AssignableAgent],
    fleet_size: int,
    load_by_agent: Counter,
) -> dict[IncarnationKey, str]:
    preferred_ids = {agent.agent_id for agent in preferred}
    is_small = fleet_size <= MAX_WORKERS_OF_LEADER
    mean_load = fleet_size / len(preferred)
    planned: dict[IncarnationKey, str] = {}
    for worker in workers:
        if len(planned) == MAX_MOVES:
            break
        if not worker.may_move:
            continue
        load = load_by_agent[worker.agent_id]
        # In a small fleet one agent has all workers, and keeps them when the leader changes.
        is_misplaced = worker.agent_id not in preferred_ids and not is_small
        is_overloaded = not is_small and load > UNEVEN_LOAD * mean_load + 1
        if not (is_misplaced or is_overloaded):
            continue
        chosen = _best_agent(worker, preferred, load_by_agent)
        if not is_misplaced and load_by_agent[chosen] + 1 >= load:
            continue
        planned[worker.key] = chosen
        load_by_agent[worker.agent_id] -= 1
        load_by_agent[chosen] += 1
    return planned
