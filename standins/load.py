"""An open-loop load generator that records the outcome of every request.

Arrivals do not wait for responses, and latency is measured from the intended
start, so a stalled system shows as slow responses rather than as fewer
requests (no coordinated omission).

``python -m standins.load PLAN LEDGER`` sends the plan in the JSON file PLAN
and writes the results to LEDGER.
"""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

if __name__ == "__main__":
    eventlet.monkey_patch()

import json  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
import click  # noqa: E402
import urllib3  # noqa: E402
from cattrs.preconf.json import make_converter  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from .record import RecordCheck  # noqa: E402

HTTP_TIMEOUT_SECONDS = 8.0
READINESS_POLL_SECONDS = 0.2
READINESS_TIMEOUT_SECONDS = 0.5
MAX_SENDS = 20
RESEND_DELAY_SECONDS = 0.3
RESULT_TIMEOUT_SECONDS = 60.0
MAX_LATENCY_US = 600_000_000
CONVERTER = make_converter()


@attrs.define
class LoadPlan:
    """What to send, at which average rate and to which entry hosts."""

    entry_urls: list[str]
    token: str
    service: str
    critical_per_s: float
    jobs_per_s: float
    job_classes: list[str]
    unrepeatable_classes: set[str]
    seconds: float
    seed: int = 1
    work_ms: float = 20.0
    """Mean run time of a critical request; each draws 0.5 to 1.5 times as much."""

    run_s: float = 1.0
    """Mean run time of a job; each draws 0.5 to 1.5 times as much."""

    body_bytes: int = 200
    urgent_share: float = 0.1
    """Fraction of jobs that are sent as urgent."""

    warm_up_s: float = 0.0
    """The latency histogram leaves out requests that arrive in this first part of the load."""


@attrs.define
class SentRequest:
    """One request or job that was sent, and its outcome."""

    key: str
    kind: str
    outcome: str = "unsent"
    """One of unsent, answered, refused (not run), unknown, accepted, done, failed, cancelled, lost.

    A job is lost if it was accepted and its end is not known ``RESULT_TIMEOUT_SECONDS`` later.
    """

    reason: str = ""
    """The word "unrepeatable" for a job whose class is not repeatable, otherwise empty."""

    job_id: str = ""
    done: bool = False
    """Whether the entry host has reported the end of the job."""

    detail: str = ""
    """For an unknown outcome: URL, time sent, time of failure and error."""


@attrs.define
class LoadResults:
    """All requests that were sent, and their outcomes."""

    lines: list[SentRequest] = attrs.field(factory=list)
    """In order of arrival."""

    encoded_latency_us: str = ""
    """Latency histogram of critical requests, in the encoding of HdrHistogram."""

    wrong_answers: list[str] = attrs.field(factory=list)
    """Keys of requests and jobs whose result was not the expected one."""

    reasons: dict[str, int] = attrs.field(factory=dict)
    """Number of refusals and failed calls by reason."""

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile (0 to 100) of the latency of answered critical requests, in ms."""
        histogram = HdrHistogram.decode(self.encoded_latency_us)
        return histogram.get_value_at_percentile(percentile) / 1000

    def share_within(self, target_ms: float) -> float:
        """Return the fraction of answered critical requests with a latency up to ``target_ms``."""
        histogram = HdrHistogram.decode(self.encoded_latency_us)
        total = histogram.get_total_count()
        counted = sum(
            item.count_at_value_iterated_to
            for item in histogram.get_recorded_iterator()
            if item.value_iterated_to <= target_ms * 1000
        )
        return counted / total if total else 0.0

    def count(self, kind: str, outcome: str) -> int:
        """Return the number of requests of a kind with an outcome."""
        return sum(1 for sent in self.lines if (sent.kind, sent.outcome) == (kind, outcome))


class LoadGenerator:
    """Sends the load of a plan and collects the results."""

    def __init__(self, plan: LoadPlan):
        self.plan = plan
        self.results = LoadResults()
        self._latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._rng = random.Random(plan.seed)
        self._ready_urls: list[str] = []
        self._started = 0.0
        self._pool = eventlet.GreenPool(4000)
        self._http = urllib3.PoolManager(
            num_pools=32, maxsize=256, retries=False, timeout=HTTP_TIMEOUT_SECONDS
        )
        self._headers = {"Authorization": f"Bearer {plan.token}"}

    def run(self) -> LoadResults:
        """Send all requests, wait for accepted jobs to end, and return the results."""
        eventlet.spawn_n(self._watch_readiness)
        started = self._started = time.monotonic()
        arrivals = sorted([*self._arrivals("critical"), *self._arrivals("job")])
        for number, (arrival_s, kind) in enumerate(arrivals):
            eventlet.sleep(max(0.0, started + arrival_s - time.monotonic()))
            sent = SentRequest(f"{kind}-{self.plan.seed}-{number}", kind)
            self.results.lines.append(sent)
            send = self._send_critical if kind == "critical" else self._run_job
            self._pool.spawn_n(send, sent, started + arrival_s)
        self._pool.waitall()
        self.results.encoded_latency_us = self._latency_us.encode().decode()
        return self.results

    def _arrivals(self, kind: str):
        rate_per_s = self.plan.critical_per_s if kind == "critical" else self.plan.jobs_per_s
        arrival_s = 0.0
        while rate_per_s > 0:
            arrival_s += self._rng.expovariate(rate_per_s)
            if arrival_s >= self.plan.seconds:
                return
            yield arrival_s, kind

    def _choose_entry_url(self) -> str:
        """Return the URL of a random ready entry host, as the platform's load balancer does.

        If none is ready, it is that of a random entry host.
        """
        return self._rng.choice(self._ready_urls or self.plan.entry_urls)

    def _watch_readiness(self) -> None:
        while True:
            self._ready_urls = [url for url in self.plan.entry_urls if self._is_ready(url)]
            eventlet.sleep(READINESS_POLL_SECONDS)

    def _is_ready(self, url: str) -> bool:
        try:
            answer = self._http.request("GET", url + "/readyz", timeout=READINESS_TIMEOUT_SECONDS)
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return answer.status == 200

    def _body(self, sent: SentRequest) -> bytes:
        plan = self.plan
        work_ms = plan.work_ms * self._rng.uniform(0.5, 1.5)
        run_s = plan.run_s * self._rng.uniform(0.5, 1.5)
        spec = {"key": sent.key, "work_ms": work_ms, "run_s": run_s, "padding": ""}
        spec["padding"] = "x" * max(0, plan.body_bytes - len(json.dumps(spec)))
        return json.dumps(spec).encode()

    # ------------------------------------------------------------------ critical

    def _send_critical(self, sent: SentRequest, intended_start: float) -> None:
        body = self._body(sent)
        url = f"{self._choose_entry_url()}/v1/services/{self.plan.service}"
        try:
            response = self._http.request("POST", url, body=body, headers=self._headers)
        except urllib3.exceptions.NewConnectionError:
            self._record_outcome(sent, "refused", "connection refused")
            return
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._record_outcome(sent, "unknown", type(error).__name__)
            failed_s = time.monotonic() - self._started
            sent_s = intended_start - self._started
            sent.detail = f"{url} sent at {sent_s:.2f} s, failed at {failed_s:.2f} s: {error!r}"
            return
        if response.status == 200:
            self._record_outcome(sent, "answered")
            if intended_start >= self._started + self.plan.warm_up_s:
                self._latency_us.record_value(int((time.monotonic() - intended_start) * 1e6))
            if response.data != b"answer to " + body:
                self.results.wrong_answers.append(sent.key)
            return
        self._record_refusal(sent, response)

    # ----------------------------------------------------------------------- jobs

    def _run_job(self, sent: SentRequest, intended_start: float) -> None:
        body = self._body(sent)
        class_name = self._rng.choice(self.plan.job_classes)
        if class_name in self.plan.unrepeatable_classes:
            sent.reason = "unrepeatable"
        headers = self._headers | {"Idempotency-Key": sent.key}
        if self._rng.random() < self.plan.urgent_share:
            headers["Savoryshelf-Urgent"] = "1"
        if self._submit(sent, class_name, body, headers):
            self._wait_for_result(sent, body)

    def _submit(self, sent: SentRequest, class_name: str, body: bytes, headers: dict) -> bool:
        """Submit a job; return whether it was accepted.

        It is sent again with the same idempotency key until the outcome is known,
        up to ``MAX_SENDS`` times in all.  A refusal is of one send: the job stays unknown if
        an earlier send may have been accepted.
        """
        is_unknown = False
        for _ in range(MAX_SENDS):
            url = f"{self._choose_entry_url()}/v1/jobs/{class_name}"
            try:
                response = self._http.request("POST", url, body=body, headers=headers)
            except (urllib3.exceptions.HTTPError, OSError):
                sent.outcome, is_unknown = "unknown", True
                eventlet.sleep(RESEND_DELAY_SECONDS)
                continue
            if response.status == 202:
                sent.job_id = json.loads(response.data)["job_id"]
                self._record_outcome(sent, "accepted")
                return True
            self._record_refusal(sent, response)
            if is_unknown:
                sent.outcome = "unknown"
            is_unknown = sent.outcome == "unknown"
            if response.status < 500:
                return False
            eventlet.sleep(RESEND_DELAY_SECONDS)
        return False

    def _wait_for_result(self, sent: SentRequest, body: bytes) -> None:
        deadline = time.monotonic() + RESULT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            url = f"{self._choose_entry_url()}/v1/jobs/{sent.job_id}/result?wait=4"
            try:
                response = self._http.request("GET", url, headers=self._headers)
            except (urllib3.exceptions.HTTPError, OSError):
                eventlet.sleep(RESEND_DELAY_SECONDS)
                continue
            if response.status == 200:
                sent.done = True
                self._record_outcome(sent, "done")
                if response.data != b"result of " + body:
                    self.results.wrong_answers.append(sent.key)
                return
            state = _reason(response)
            if state in ("job_failed", "job_unknown", "job_cancelled"):
                sent.done = True
                self._record_outcome(sent, state.removeprefix("job_"))
                return
            eventlet.sleep(RESEND_DELAY_SECONDS)
        self._record_outcome(sent, "lost")

    def _record_outcome(self, sent: SentRequest, outcome: str, reason: str = "") -> None:
        sent.outcome = outcome
        if reason:
            self.results.reasons[reason] = self.results.reasons.get(reason, 0) + 1

    def _record_refusal(self, sent: SentRequest, response) -> None:
        certainty = "unknown"
        try:
            certainty = json.loads(response.data)["certainty"]
        except (ValueError, KeyError):
            certainty = "unknown"
        outcome = "refused" if certainty == "not run" else "unknown"
        self._record_outcome(sent, outcome, _reason(response))


def _reason(response) -> str:
    try:
        return json.loads(response.data)["reason"]
    except (ValueError, KeyError):
        return f"status {response.status}"


def unrepeatable_keys(results: LoadResults) -> set[str]:
    """Return the keys of jobs whose class is not repeatable."""
    return {sent.key for sent in results.lines if sent.reason == "unrepeatable"}


def find_violations(results: LoadResults, check: RecordCheck) -> list[str]:
    """Return the violations of guarantees that the results and the record show."""
    violations = list(check.violations)
    violations += [f"wrong answer: {key}" for key in results.wrong_answers]
    for sent in results.lines:
        ran = sent.key in check.critical_run_keys or sent.key in check.started_keys
        if sent.outcome == "refused" and ran:
            violations.append(f"refused as not run, but ran: {sent.key}")
        if sent.outcome in ("lost", "unsent"):
            violations.append(f"lost: {sent.key}")
    return violations


def format_summary(results: LoadResults, check: RecordCheck) -> str:
    """Return a text summary of the results."""
    rows = [("", "sent", "answered or ended", "refused, not run", "unknown", "lost")]
    for kind in ("critical", "job"):
        answered = results.count(kind, "answered") + results.count(kind, "done")
        ended = results.count(kind, "failed") + results.count(kind, "cancelled")
        rows.append(
            (
                kind,
                sum(1 for sent in results.lines if sent.kind == kind),
                answered + ended,
                results.count(kind, "refused"),
                results.count(kind, "unknown"),
                results.count(kind, "lost"),
            )
        )
    lines = ["".join(f"{cell!s:>18}" for cell in row) for row in rows]
    p50, p99 = results.latency_ms(50), results.latency_ms(99)
    lines.append(f"critical latency: p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    lines.append(
        f"ran twice {len(check.run_twice_keys)}, "
        f"overlapping attempts {len(check.overlapping_keys)}, "
        f"over capacity {len(check.over_capacity)}, capacity refusals {check.capacity_refusals}, "
        f"wrong answers {len(results.wrong_answers)}"
    )
    lines.append(f"refusal reasons: {results.reasons or 'none'}")
    return "\n".join(lines)


@click.command()
@click.argument("plan_path")
@click.argument("ledger_path")
def main(plan_path: str, ledger_path: str) -> None:
    """Send the load planned in PLAN_PATH and write the results to LEDGER_PATH.

    Both files are JSON: a ``LoadPlan`` and its ``LoadResults``.
    """
    with open(plan_path, encoding="utf-8") as file:
        plan = CONVERTER.loads(file.read(), LoadPlan)
    results = LoadGenerator(plan).run()
    with open(ledger_path, "w", encoding="utf-8") as file:
        file.write(CONVERTER.dumps(results))


if __name__ == "__main__":
    main()
