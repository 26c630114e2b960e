"""What the leader commits of the agents' reports, over a log whose commits take time."""

import types

import eventlet
import pytest

from savoryshelf.clock import SystemClock
from savoryshelf.dispatch.leader_term import DispatchSettings, LeaderTerm
from savoryshelf.tasks.state_machine import TaskStateMachine
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import (
    AgentReport,
    ContactLoss,
    EndEvidence,
    EndLives,
    RunAge,
    RunEnd,
    RunOutcome,
    SettleRuns,
    TaskCommand,
    WorkerLife,
)

COMMIT_SECONDS = 0.04
"""A commit across regions."""

INCARNATIONS = 40
SETTLE_SECONDS = 1.0
"""An agent's session polls again after this time without having seen its ends committed."""


class SlowReplica:
    """A leader's replica that commits after a round trip; concurrent commits share it."""

    is_leader = True

    def __init__(self):
        self.names = []
        self.ended = []
        self.worked = []
        self.evidence = {}
        self.core = types.SimpleNamespace(term=1, seconds_since_quorum_contact=lambda now: 0.0)

    def propose(self, payload):
        eventlet.sleep(COMMIT_SECONDS)
        name, body = codec.sole_field(codec.decode(TaskCommand, payload).body)
        self.names.append(name)
        if name == "end_lives":
            tokens = body.fencing_tokens or [None] * len(body.lives)
            self.ended += [
                (incarnation, token, bool(body.crashed))
                for incarnation, token in zip(body.lives, tokens, strict=True)
            ]
            self.worked += body.worked or []
            self.evidence |= {life.worker_id: body.evidence for life in body.lives}
            assert len(body.losses or body.lives) == len(body.lives)
        return []


@pytest.fixture
def committing_term():
    replica = SlowReplica()
    term = LeaderTerm(replica, TaskStateMachine(), SystemClock(), DispatchSettings(600))
    thread = eventlet.spawn(term._commit_reports)
    yield replica, term
    thread.kill()


def report(number, ended_lives=(), settlements=()):
    return AgentReport(
        agent_id="c1.disk/1", number=number, is_full=False, leaving=False, applied_index=0,
        timer_lag_seconds=0.0, states=[], settlements=list(settlements),
        ended_lives=list(ended_lives), rejections=[], weights=[], region="",
    )  # fmt: skip


# Guards against runs whose ends wait for the commits of many lost workers, one after the other.
def test_ends_of_runs_do_not_wait_for_each_of_many_lost_workers(committing_term):
    replica, term = committing_term
    incarnations = [WorkerLife(f"w{number}", 1) for number in range(INCARNATIONS)]
    term.receive_report(
        report(1, [EndLives([incarnation], [], [7]) for incarnation in incarnations])
    )
    eventlet.sleep(COMMIT_SECONDS / 2)
    ends = [RunEnd("t", 1, RunOutcome.DONE, "", 1)]
    term.receive_report(report(2, (), [SettleRuns(WorkerLife("v", 1), 1, ends, 3)]))
    eventlet.sleep(SETTLE_SECONDS / 2)
    assert "settle_batch" in replica.names
    assert replica.ended == [(incarnation, 7, False) for incarnation in incarnations]


def test_ended_incarnations_keep_their_tokens_crashes_and_ages(committing_term):
    replica, term = committing_term
    incarnations = [WorkerLife(f"w{number}", 1) for number in range(4)]
    ages = [RunAge(f"t{number}", 1, number) for number in range(4)]
    tokens, crashed = [7, None, 9, 11], [True, False, False, True]
    ended = [
        EndLives([incarnation], [], [token] if token else None, crashed=crash, worked=[age])
        for incarnation, token, crash, age in zip(incarnations, tokens, crashed, ages, strict=True)
    ]
    term.receive_report(report(1, ended))
    eventlet.sleep(10 * COMMIT_SECONDS)
    by_worker = sorted(replica.ended, key=lambda each: each[0].worker_id)
    assert by_worker == list(zip(incarnations, tokens, crashed, strict=True))
    assert sorted(replica.worked, key=lambda age: age.task) == ages


# Guards against LOST by an agent of an earlier version: without evidence, the ledger fails jobs
# by the rule of that version.
def test_ends_are_committed_with_what_they_rest_on(committing_term):
    replica, term = committing_term
    reported = [EndEvidence.REPLACED, EndEvidence.SILENT, EndEvidence.REPLACED, None]
    ended = [
        EndLives(
            [WorkerLife(f"w{number}", 1)], [], [7], True, evidence=evidence,
            losses=[ContactLoss(2, 1)] if evidence else None,
        )
        for number, evidence in enumerate(reported)
    ]  # fmt: skip
    ended.append(EndLives([WorkerLife("w4", 1)], [], [7]))
    term.receive_report(report(1, ended))
    eventlet.sleep(10 * COMMIT_SECONDS)
    expected = [*reported[:3], EndEvidence.SILENT, None]
    assert replica.evidence == {f"w{number}": each for number, each in enumerate(expected)}
