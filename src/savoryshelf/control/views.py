"""Operators' views of a site as JSON, each registered under its name.

Operators and their tools read the keys, so the keys must not change.
"""

import json
from collections import Counter
from collections.abc import Callable

from ..ledger.state import Job
from ..registry import registry_decorator
from ..wire.generated import ttypes
from ..wire.generated.ttypes import WorkerStanding

VIEWS: dict[str, Callable] = {}
MAX_JOBS_LISTED = 500


_view = registry_decorator(VIEWS)


@_view("status")
def _status(site, argument: str) -> str:
    state, core = site.state_machine.state, site.replica.core
    sessions = site.sessions.by_id
    now = site.clock.monotonic()
    return json.dumps(
        {
            "leader": core.replica_id,
            "term": core.term,
            "commit_index": core.commit_index,
            "configuration_version": state.configuration.version,
            "replicas": [_replica(core, member, now) for member in core.log.membership.members],
            "entries": [
                {
                    "entry_id": entry.entry_id,
                    "url": entry.http_url,
                    "failure_domain": entry.failure_domain,
                    "workers": len(state.fleet.owned_by(entry.entry_id)),
                    "free_slots": session.free_slots if session else None,
                    "configuration_version": session.configuration_version if session else None,
                    "heard_s_ago": round(now - session.last_sync_at, 1) if session else None,
                }
                for entry in state.fleet.entries_by_id.values()
                for session in [sessions.get(entry.entry_id)]
            ],
            "workers_missing": _workers_missing(site),
            "workers_by_standing": Counter(
                WorkerStanding(w.standing).name.lower() for w in state.fleet.workers_by_id.values()
            ),
            "jobs_by_state": Counter(job.state.value for job in state.ledger.by_id.values()),
        }
    )


def _workers_missing(site) -> int:
    """Return how many of the declared workers are lost or have never announced themselves."""
    declarations = site.state_machine.declarations
    if declarations is None:
        return 0
    workers = site.state_machine.state.fleet.workers_by_id.values()
    present = sum(1 for worker in workers if worker.standing != WorkerStanding.LOST)
    return max(0, declarations.fleet.workers - present)


def _replica(core, member, now: float) -> dict:
    progress = (
        core.leader_state.progress_by_id.get(member.replica_id) if core.leader_state else None
    )
    is_self = member.replica_id == core.replica_id
    seconds_since_contact = 0.0 if is_self else (now - progress.acked_at if progress else None)
    return {
        "replica_id": member.replica_id,
        "address": member.address,
        "failure_domain": member.failure_domain,
        "votes": member.voter,
        "behind": 0 if is_self or not progress else core.log.last_index - progress.match_index,
        "heard_s_ago": None
        if seconds_since_contact in (None, float("inf"))
        else round(seconds_since_contact, 1),
    }


@_view("targets")
def _targets(site, argument: str) -> str:
    state, note_by_worker_id = site.state_machine.state, site.sessions.latest_notes()
    rows = []
    for worker in sorted(state.fleet.workers_by_id.values(), key=lambda w: w.worker_id):
        note = note_by_worker_id.get(worker.worker_id)
        rows.append(
            {
                "worker_id": worker.worker_id,
                "standing": WorkerStanding(worker.standing).name.lower(),
                "owner": worker.owner_id,
                "epoch": worker.epoch,
                "incarnation": worker.incarnation,
                "url": worker.url,
                "rack": worker.rack,
                "failure_domain": worker.failure_domain,
                "slots": worker.slots,
                "batch_running": len(state.ledger.placed_on(worker.worker_id, worker.incarnation)),
                "critical_in_flight": note.critical_in_flight if note else None,
                "adopted": note.adopted if note else None,
                "quarantined": note.quarantined if note else None,
                "slowdown": round(note.slowdown, 2) if note else None,
            }
        )
    return json.dumps(rows)


@_view("jobs")
def _jobs(site, argument: str) -> str:
    jobs = [
        job
        for job in site.state_machine.state.ledger.by_id.values()
        if not argument or argument in (job.state.value, job.team, job.class_name)
    ]
    return json.dumps([_job_row(job) for job in jobs[-MAX_JOBS_LISTED:]])


@_view("explain")
def _explain(site, argument: str) -> str:
    job = site.state_machine.state.ledger.by_id.get(argument)
    if job is None:
        raise ttypes.Refused("no_such_job", f"no job {argument!r} is known")
    events = [{"at_ms": e.at_ms, "event": e.event, "detail": e.detail} for e in job.story]
    return json.dumps({**_job_row(job), "key": job.key, "story": events})


def _job_row(job: Job) -> dict:
    return {
        "job_id": job.job_id,
        "team": job.team,
        "class": job.class_name,
        "state": job.state.value,
        "urgent": job.urgent,
        "attempt": job.attempt,
        "worker": job.worker_id,
        "evictions": job.evictions,
        "reason": job.reason,
        "trace_id": job.trace_id,
    }


@_view("history")
def _history(site, argument: str) -> str:
    return json.dumps(
        [
            {
                "version": change.version,
                "author": change.author,
                "at_ms": change.at_ms,
                "operation_id": change.operation_id,
            }
            for change in site.state_machine.state.configuration.history
        ]
    )


@_view("configuration")
def _configuration(site, argument: str) -> str:
    configuration = site.state_machine.state.configuration
    document, version = configuration.document, configuration.version
    if argument:
        matching = [c for c in configuration.history if str(c.version) == argument]
        if not matching:
            raise ttypes.Refused("no_such_version", f"version {argument!r} is not in the history")
        document, version = matching[0].document, matching[0].version
    return json.dumps({"version": version, "document": document})
