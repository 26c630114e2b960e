"""Ids of agents: the replica on the agent's host, and the incarnation of the agent."""

import secrets


def new_agent_id(replica_id: str) -> str:
    """Return an id for one incarnation of the agent on a replica's host."""
    return f"{replica_id}/{secrets.token_hex(4)}"


def replica_of(agent_id: str) -> str:
    """Return the id of the replica on whose host an agent is."""
    return agent_id.partition("/")[0]
