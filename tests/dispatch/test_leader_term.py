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
        self.losses = {}
        self.commit_seconds = COMMIT_SECONDS
        self.core = types.SimpleNamespace(term=1, seconds_since_quorum_contact=lambda now: 0.0)

    def propose(self, payload):
        name, body = codec.sole_field(codec.decode(TaskCommand, payload).body)
        if name == "end_lives" and body.losses:
            proposed_at = SystemClock().monotonic()
            for life, loss in zip(body.lives, body.losses, strict=True):
                self.losses[life.worker_id] = (proposed_at, loss)
        eventlet.sleep(self.commit_seconds)
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
def committing_term(on_virtual_time):
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


# Guards against LOST jobs: of workers lost together each counted as lost alone, since the reports
# of their ends had waited in the leader, behind commits that took seconds.
def test_the_time_that_a_report_waits_for_commits_is_no_later_loss(committing_term):
    replica, term = committing_term
    replica.commit_seconds = 0.3
    received_at = {}
    for number in range(4):
        ended = EndLives(
            [WorkerLife(f"w{number}", 1)], [], [7], crashed=bool(number % 2),
            evidence=EndEvidence.REPLACED, losses=[ContactLoss(500, 400)],
        )  # fmt: skip
        ends = [RunEnd("t", 1, RunOutcome.DONE, "", 1)]
        settlement = SettleRuns(WorkerLife("v", 1), 1, ends, 3)
        term.receive_report(report(number + 1, [ended], [settlement]))
        received_at[f"w{number}"] = SystemClock().monotonic()
        eventlet.sleep(0.1)
    eventlet.sleep(3.0)
    for worker_id, (proposed_at, loss) in replica.losses.items():
        lost_before = proposed_at - loss.unanswered_ms / 1000
        assert abs(received_at[worker_id] - 0.4 - lost_before) < 0.05
        assert loss.heard_ms - loss.unanswered_ms == 100
    assert replica.losses.keys() == received_at.keys()


def test_an_unknown_time_of_loss_stays_unknown(committing_term):
    replica, term = committing_term
    ended = EndLives([WorkerLife("w", 1)], [], [7], crashed=True, losses=[ContactLoss(-1, -1)])
    term.receive_report(report(1, [ended]))
    eventlet.sleep(5 * COMMIT_SECONDS)
    assert replica.losses["w"][1] == ContactLoss(-1, -1)
