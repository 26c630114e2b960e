"""The soak's judge knows why lives of workers ended, and what late orders excuse."""

import math
import pathlib
import types

import pytest

from standins.platform import RunRecord
from standins.soak.deployment import Exit, Host
from standins.soak.judge import Observations, judge
from standins.soak.lives import (
    FENCED,
    HEARD_OF,
    KEPT,
    LISTED,
    USED,
    given_up_at,
    late_pairs,
    starts_beyond_budget,
)

TASK = "00000000000000aa.0.0.0"


def crash(number, worker="", lasted=1.0, workers_down=1, incarnation=1, **fields):
    """Return a run that began at ``10 * number`` and ended with its worker."""
    began_at = 10.0 * number
    return RunRecord(
        TASK, number, began_at, began_at + lasted, "crashed", is_lost=True,
        lost_at=began_at + lasted, worker_id=worker or f"w{number}", incarnation=incarnation,
        workers_down=workers_down, **fields,
    )  # fmt: skip


# Guards against jobs that fail for crashes that no task caused: they were counted by lives.
@pytest.mark.parametrize(
    ("records", "at"),
    [
        ([crash(1)], math.inf),
        ([crash(1), crash(2)], 21.0),
        # Two crashes of one worker.
        ([crash(1, "w1"), crash(2, "w1", incarnation=2)], math.inf),
        # All workers, or three, were restarted at the same moment: no task's doing.
        ([crash(1), crash(2, workers_down=7)], math.inf),
        ([crash(n, workers_down=3) for n in (1, 2, 3, 4, 5, 6)], math.inf),
        ([crash(1), crash(2, workers_down=3), crash(3)], 31.0),
        ([crash(1, workers_down=2), crash(2, workers_down=2)], 21.0),
        # Cut off: the run lapsed, and its life goes on.
        ([crash(1), RunRecord(TASK, 2, 20.0, 23.0, "lapsed", worker_id="w2")], math.inf),
        # Its end was unread when its worker crashed.
        (
            [
                crash(1),
                RunRecord(TASK, 2, 20.0, 20.1, "done", worker_id="w2", is_lost=True, lost_at=22.0),
            ],
            22.0,
        ),
        # Five crashed right after its starts, whatever the cause; of three workers at least.
        ([crash(n, lasted=0.2, workers_down=7) for n in range(1, 5)], math.inf),
        ([crash(n, lasted=0.2, workers_down=7) for n in range(1, 6)], 50.2),
        ([crash(n, lasted=0.3, workers_down=7) for n in range(1, 6)], math.inf),
        (
            [crash(n, f"w{n % 2}", 0.2, workers_down=7, incarnation=n) for n in range(1, 9)],
            math.inf,
        ),
        ([crash(n, f"w{n % 3}", 0.2, workers_down=7, incarnation=n) for n in range(1, 6)], 50.2),
    ],
)
def test_a_task_is_given_up_only_for_crashes_that_it_may_have_caused(records, at):
    assert given_up_at(records) == pytest.approx(at)
    assert given_up_at(reversed(records)) == pytest.approx(at)


@pytest.mark.parametrize(
    ("records", "found"),
    [
        ([crash(n, lasted=0.02) for n in range(1, 6)], []),
        ([crash(n, lasted=0.02) for n in range(1, 7)], [6]),
        ([crash(n, lasted=0.02) for n in range(1, 8)], [6, 7]),
        ([crash(n, lasted=0.02, workers_down=7) for n in range(1, 7)], [6]),
        # Three workers have to have crashed: then it is no matter which.
        ([crash(n, f"w{n % 2}", 0.02) for n in range(1, 9)], []),
        ([crash(n, f"w{max(n % 2, n - 3)}", 0.02) for n in range(1, 9)], [8]),
        # A worker that goes on for a while was not crashed by the start.
        ([crash(n) for n in range(1, 8)], []),
        # Starts that were ordered of former lives are no orders to these.
        ([crash(n, lasted=0.02, incarnation=2, ordered_in=1) for n in range(1, 9)], []),
    ],
)  # fmt: skip
def test_after_crashes_of_three_workers_no_three_more_starts_follow(records, found):
    assert [record.number for record in starts_beyond_budget(records)] == found


def observed(records, answers=(), cuts=(), core=(), core_cuts=()):
    """Return what was seen of the runs; w1 is in its second life, with these answers."""
    host = Host("ip", "core", pathlib.Path(), signals=[(at, "SIGKILL") for at in core])
    host.exits += [Exit(at, -9, None, True) for at in core]
    workers = [
        types.SimpleNamespace(
            worker_id=worker_id,
            records=[record for record in records if record.worker_id == worker_id],
            up=[(0.0, 999.0)],
            answers=lambda incarnation: list(answers),
        )
        for worker_id in sorted({record.worker_id for record in records})
    ]
    deployment = types.SimpleNamespace(
        entries=[], hosts=[host], workers=workers, acknowledged_version=0,
        acknowledged_at_by_version={}, manifest_reads=[],
        partitions_of=lambda worker_id: list(cuts), cuts_of=lambda host: list(core_cuts),
    )  # fmt: skip
    return Observations(deployment, [], {})


def late(started_at, ended_at, outcome="stopped", **fields):
    """Return a run of w1 in its second life, which was ordered of its first one."""
    return RunRecord(
        TASK, 1, started_at, ended_at, outcome, worker_id="w1", incarnation=2, ordered_in=1,
        fencing_token=5, **fields,
    )  # fmt: skip


def other(started_at, ended_at, outcome="done", **fields):
    return RunRecord(TASK, 2, started_at, ended_at, outcome, worker_id="w2", **fields)


HELD = [(50.0, "hold", 5), (50.1, "hold", 6), (50.3, "hold", 6)]
"""The second life boots at 49.9 s, and is called with a higher token at once."""

OWN = RunRecord("00000000000000ab.0.0.0", 1, 50.1, 50.2, "done", worker_id="w1", incarnation=2)

NOTED = other(45.0, 46.0, is_acknowledged=True)


# Guards against runs twice that the judge of two lives did not know: the order of one, the run of
# the next.
@pytest.mark.parametrize(
    ("records", "answers", "reason"),
    [
        # Before the new life had answered anybody; ended as soon as that was possible.
        ([other(45.0, 60.0), late(49.95, 50.4)], HELD, ""),
        ([other(45.0, 60.0), late(49.95, 51.9)], HELD, ""),
        # Both go on although the run is listed.
        ([other(45.0, 60.0), late(49.95, 52.1)], HELD, KEPT),
        # Nobody calls the new life.
        ([other(45.0, 80.0), late(49.95, 70.0)], [], ""),
        ([other(45.0, 80.0), late(62.0, 63.0)], [(61.5, "hold", 5)], ""),
        # It was called, but not with a higher token than that of the order.
        ([other(45.0, 80.0), late(62.0, 63.0)], [(60.9, "hold", 5)], HEARD_OF),
        ([other(45.0, 60.0), late(50.5, 50.9), OWN], [(50.0, "hold", 5)], USED),
        # The stand-in must refuse that by itself.
        ([other(45.0, 60.0), late(50.2, 50.4)], HELD, FENCED),
        # The other one is started after the late one: an order under way, or knowingly.
        ([late(49.95, 52.0), other(50.9, 60.0)], HELD, ""),
        ([late(49.95, 52.0), other(51.1, 60.0)], HELD, LISTED),
        ([late(49.95, 52.0), other(51.1, 60.0)], [], ""),
        ([late(49.95, 51.5), other(51.3, 60.0, ordered_at=50.9)], HELD, ""),
        # Only a list tells of the run.
        ([late(49.95, 52.0), other(51.1, 60.0)], [(50.0, "run-stop", 6)], ""),
        # Callers know the life by its heartbeats, and have to ask it for a list.
        ([late(49.95, 52.9), other(51.9, 60.0)], [(50.0, "heartbeat", 0)], ""),
        ([late(49.95, 55.0), other(52.1, 60.0)], [(50.0, "heartbeat", 0)], LISTED),
        ([other(45.0, 60.0), late(51.1, 51.2)], [(50.0, "heartbeat", 0)], HEARD_OF),
        ([other(45.0, 60.0), late(49.95, 52.9)], [(50.0, "heartbeat", 0)], ""),
        ([other(45.0, 60.0), late(49.95, 53.1)], [(50.0, "heartbeat", 0)], KEPT),
        # A life that was heard of before has to be asked for a list within a second.
        ([late(49.95, 55.0), other(51.6, 60.0)], [(49.5, "hold", 5)], LISTED),
        ([late(49.95, 52.4), other(51.4, 60.0)], [(49.5, "hold", 5)], ""),
        ([other(45.0, 60.0), late(49.95, 52.6)], [(49.5, "hold", 5)], KEPT),
        # It was done, and that was acknowledged.
        ([late(49.95, 50.05, "done", is_acknowledged=True), other(51.4, 60.0)], HELD, LISTED),
        ([NOTED, late(49.95, 50.05)], HELD, ""),
        ([NOTED, late(62.0, 63.0)], [(60.9, "hold", 5)], HEARD_OF),
    ],
)  # fmt: skip
def test_a_late_start_excuses_only_what_no_caller_could_prevent(records, answers, reason):
    seen = observed(records, answers)
    (pair,) = late_pairs(seen)
    assert pair.late.is_late and not pair.other.is_late
    assert pair.reason == reason
    kinds = [finding.kind for finding in judge(seen) if finding.kind.startswith("TWICE")]
    assert kinds == ["TWICE LATE"] * bool(reason)


def test_runs_that_no_former_life_was_ordered_to_start_are_no_late_pairs():
    ordered = [other(45.0, 60.0), RunRecord(TASK, 3, 50.0, 51.0, worker_id="w1", ordered_in=1)]
    seen = observed(ordered, HELD)
    assert not list(late_pairs(seen))
    assert [each.kind for each in judge(seen) if each.kind.startswith("TWICE")] == ["TWICE"]


def test_a_late_pair_tells_whether_the_life_had_been_called():
    records = [other(45.0, 60.0), late(49.95, 50.2)]
    for answers, was_called in (
        (HELD, False),
        ([(49.94, "heartbeat", 0), *HELD], False),
        ([(49.94, "hold", 5), *HELD], True),
    ):
        (pair,) = late_pairs(observed(records, answers))
        assert pair.was_called_before == was_called and not pair.reason


@pytest.mark.parametrize(
    ("cuts", "core", "core_cuts", "is_found"),
    [
        ([], [], [], True),
        # Cut off, or the leader lost, before a stop could come: the next list counts.
        ([(50.5, 56.0)], [], [], False),
        ([(50.5, 56.0)], [45.0], [], False),
        ([(40.0, 49.0), (60.0, 61.0)], [], [], True),
        ([], [51.5], [], False),
        ([], [53.0], [], True),
        ([], [47.0], [], False),
        ([], [45.0], [], True),
        # Control hosts are cut off from each other: so long before, and all the while.
        ([], [], [(40.0, 47.0)], False),
        ([], [], [(40.0, 58.0)], False),
        ([], [], [(40.0, 45.9), (53.0, 58.0)], True),
    ],
)
def test_time_bounds_hold_while_callers_are_in_touch(cuts, core, core_cuts, is_found):
    records = [other(45.0, 80.0), late(49.95, 55.5)]
    (pair,) = late_pairs(observed(records, HELD, cuts, core, core_cuts))
    assert bool(pair.reason) == is_found
