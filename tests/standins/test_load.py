"""What the load generator makes of the answers to the sends of one job."""

import json

import pytest
import urllib3

from standins import load
from standins.load import LoadGenerator, LoadPlan, SentRequest, find_violations
from standins.record import RecordCheck

KEY = "job-1-7"
NO_ANSWER = urllib3.exceptions.ReadTimeoutError(None, "/", "no answer")


class FakeAnswer:
    def __init__(self, status, **content):
        self.status = status
        self.data = json.dumps(content).encode()


ISOLATED = FakeAnswer(503, reason="isolated", certainty="not run")
UNCERTAIN = FakeAnswer(503, reason="control_unavailable", certainty="unknown")
KEY_REUSED = FakeAnswer(409, reason="key_reused", certainty="not run")


class FakeHttp:
    """Gives the answers in turn, the last one again and again."""

    def __init__(self, *answers):
        self._answers = list(answers)

    def request(self, method, url, **options):
        answer = self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


def violations_of_a_job_that_ran(monkeypatch, *answers):
    """Return its outcome and the violations, if the record shows that the job has run."""
    monkeypatch.setattr(load, "RESEND_DELAY_SECONDS", 0.0)
    plan = LoadPlan(["http://e0"], "token", "quotes", 0.0, 1.0, ["routing"], set(), 1.0)
    generator = LoadGenerator(plan)
    generator._http = FakeHttp(*answers)
    sent = SentRequest(KEY, "job")
    generator.results.lines.append(sent)
    generator._submit(sent, "routing", b"", {})
    return sent.outcome, find_violations(generator.results, RecordCheck(started_keys={KEY}))


# Guards against a job that was accepted by a send without an answer, and that counts as refused
# since a later send is.  A refusal is of the send that it answers.
@pytest.mark.parametrize("first", [NO_ANSWER, UNCERTAIN], ids=["no answer", "unknown"])
@pytest.mark.parametrize("last", [ISOLATED, KEY_REUSED], ids=["isolated", "key reused"])
def test_a_refusal_after_a_send_of_unknown_outcome_leaves_the_job_unknown(monkeypatch, first, last):
    outcome, violations = violations_of_a_job_that_ran(monkeypatch, first, last)
    assert (outcome, violations) == ("unknown", [])


@pytest.mark.parametrize("answers", [[ISOLATED], [ISOLATED, KEY_REUSED]], ids=["all", "in turn"])
def test_a_job_all_of_whose_sends_are_refused_and_that_ran_is_a_violation(monkeypatch, answers):
    outcome, violations = violations_of_a_job_that_ran(monkeypatch, *answers)
    assert (outcome, violations) == ("refused", [f"refused as not run, but ran: {KEY}"])
