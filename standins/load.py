"""An open-loop load tool with a ledger of its own.

Arrivals do not wait for answers, and latency counts from the intended start,
so a stalled system shows as slow answers rather than as fewer requests.

``python -m standins.load PLAN LEDGER`` sends the plan of one JSON file and
writes the ledger to another.
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

from .record import Verdict  # noqa: E402

HTTP_TIMEOUT_SECONDS = 8.0
READINESS_POLL_SECONDS = 0.2
READINESS_TIMEOUT_SECONDS = 0.5
RESENDS = 20
RESEND_PAUSE_SECONDS = 0.3
RESULT_PATIENCE_SECONDS = 60.0
MAX_LATENCY_US = 600_000_000
CONVERTER = make_converter()


@attrs.define
class Plan:
    """What to send."""

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
    run_s: float = 1.0
    body_bytes: int = 200
    urgent_share: float = 0.1
    warm_up_s: float = 0.0
    """Answers to what was meant to be sent before this are not in the histogram."""


@attrs.define
class Sent:
    """One line of the ledger."""

    key: str
    kind: str
    outcome: str = "unsent"
    reason: str = ""
    job_id: str = ""
    done: bool = False
    detail: str = ""
    """Of an unknown outcome: where it was sent, when, when it failed and how."""


@attrs.define
class Ledger:
    """Everything that was sent and what came back."""

    lines: list[Sent] = attrs.field(factory=list)
    encoded_latency_us: str = ""
    """The latency histogram of critical answers, in hdrhistogram's own encoding."""

    wrong_answers: list[str] = attrs.field(factory=list)
    reasons: dict[str, int] = attrs.field(factory=dict)

    def latency_ms(self, percentile: float) -> float:
        """Return that percentile of the critical latency."""
        histogram = HdrHistogram.decode(self.encoded_latency_us)
        return histogram.get_value_at_percentile(percentile) / 1000

    def share_within(self, target_ms: float) -> float:
        """Return which share of the answers came within that time."""
        histogram = HdrHistogram.decode(self.encoded_latency_us)
        total = histogram.get_total_count()
        counted = sum(
            item.count_at_value_iterated_to
            for item in histogram.get_recorded_iterator()
            if item.value_iterated_to <= target_ms * 1000
        )
        return counted / total if total else 0.0

    def count(self, kind: str, outcome: str) -> int:
        """Return how many lines of a kind ended like that."""
        return sum(1 for line in self.lines if (line.kind, line.outcome) == (kind, outcome))


class Load:
    """Sends a plan and keeps the ledger."""

    def __init__(self, plan: Plan):
        self.plan = plan
        self.ledger = Ledger()
        self._latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._randomness = random.Random(plan.seed)
        self._ready_urls: list[str] = []
        self._started = 0.0
        self._pool = eventlet.GreenPool(4000)
        self._http = urllib3.PoolManager(
            num_pools=32, maxsize=256, retries=False, timeout=HTTP_TIMEOUT_SECONDS
        )
        self._headers = {"Authorization": f"Bearer {plan.token}"}

    def run(self) -> Ledger:
        """Send everything, wait for what was accepted, and return the ledger."""
        eventlet.spawn_n(self._watch_readiness)
        started = self._started = time.monotonic()
        arrivals = sorted([*self._arrivals("critical"), *self._arrivals("job")])
        for number, (at, kind) in enumerate(arrivals):
            eventlet.sleep(max(0.0, started + at - time.monotonic()))
            line = Sent(f"{kind}-{self.plan.seed}-{number}", kind)
            self.ledger.lines.append(line)
            send = self._send_critical if kind == "critical" else self._send_job
            self._pool.spawn_n(send, line, started + at)
        self._pool.waitall()
        self.ledger.encoded_latency_us = self._latency_us.encode().decode()
        return self.ledger

    def _arrivals(self, kind: str):
        per_s = self.plan.critical_per_s if kind == "critical" else self.plan.jobs_per_s
        at = 0.0
        while per_s > 0:
            at += self._randomness.expovariate(per_s)
            if at >= self.plan.seconds:
                return
            yield at, kind

    def _entry(self) -> str:
        """Choose as the platform's balancer does: any entry host that said it is ready."""
        return self._randomness.choice(self._ready_urls or self.plan.entry_urls)

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

    def _body(self, line: Sent) -> bytes:
        plan = self.plan
        work_ms = plan.work_ms * self._randomness.uniform(0.5, 1.5)
        run_s = plan.run_s * self._randomness.uniform(0.5, 1.5)
        spec = {"key": line.key, "work_ms": work_ms, "run_s": run_s, "padding": ""}
        spec["padding"] = "x" * max(0, plan.body_bytes - len(json.dumps(spec)))
        return json.dumps(spec).encode()

    # ------------------------------------------------------------------ critical

    def _send_critical(self, line: Sent, intended: float) -> None:
        body = self._body(line)
        url = f"{self._entry()}/v1/services/{self.plan.service}"
        try:
            response = self._http.request("POST", url, body=body, headers=self._headers)
        except urllib3.exceptions.NewConnectionError:
            self._note(line, "refused", "connection refused")
            return
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._note(line, "unknown", type(error).__name__)
            failed_s = time.monotonic() - self._started
            sent_s = intended - self._started
            line.detail = f"{url} sent at {sent_s:.2f} s, failed at {failed_s:.2f} s: {error!r}"
            return
        if response.status == 200:
            self._note(line, "answered")
            if intended >= self._started + self.plan.warm_up_s:
                self._latency_us.record_value(int((time.monotonic() - intended) * 1e6))
            if response.data != b"answer to " + body:
                self.ledger.wrong_answers.append(line.key)
            return
        self._note_refusal(line, response)

    # ----------------------------------------------------------------------- jobs

    def _send_job(self, line: Sent, intended: float) -> None:
        body = self._body(line)
        class_name = self._randomness.choice(self.plan.job_classes)
        if class_name in self.plan.unrepeatable_classes:
            line.reason = "unrepeatable"
        headers = self._headers | {"Idempotency-Key": line.key}
        if self._randomness.random() < self.plan.urgent_share:
            headers["Savoryshelf-Urgent"] = "1"
        if self._submit(line, class_name, body, headers):
            self._fetch(line, body)

    def _submit(self, line: Sent, class_name: str, body: bytes, headers: dict) -> bool:
        """Send under one key until the answer is certain."""
        for _ in range(RESENDS):
            url = f"{self._entry()}/v1/jobs/{class_name}"
            try:
                response = self._http.request("POST", url, body=body, headers=headers)
            except (urllib3.exceptions.HTTPError, OSError):
                line.outcome = "unknown"
                eventlet.sleep(RESEND_PAUSE_SECONDS)
                continue
            if response.status == 202:
                line.job_id = json.loads(response.data)["job_id"]
                self._note(line, "accepted")
                return True
            if response.status < 500:
                self._note_refusal(line, response)
                return False
            self._note_refusal(line, response)
            eventlet.sleep(RESEND_PAUSE_SECONDS)
        return False

    def _fetch(self, line: Sent, body: bytes) -> None:
        deadline = time.monotonic() + RESULT_PATIENCE_SECONDS
        while time.monotonic() < deadline:
            url = f"{self._entry()}/v1/jobs/{line.job_id}/result?wait=4"
            try:
                response = self._http.request("GET", url, headers=self._headers)
            except (urllib3.exceptions.HTTPError, OSError):
                eventlet.sleep(RESEND_PAUSE_SECONDS)
                continue
            if response.status == 200:
                line.done = True
                self._note(line, "done")
                if response.data != b"result of " + body:
                    self.ledger.wrong_answers.append(line.key)
                return
            state = _reason(response)
            if state in ("job_failed", "job_unknown", "job_cancelled"):
                line.done = True
                self._note(line, state.removeprefix("job_"))
                return
            eventlet.sleep(RESEND_PAUSE_SECONDS)
        self._note(line, "lost")

    def _note(self, line: Sent, outcome: str, reason: str = "") -> None:
        line.outcome = outcome
        if reason:
            self.ledger.reasons[reason] = self.ledger.reasons.get(reason, 0) + 1

    def _note_refusal(self, line: Sent, response) -> None:
        certainty = "unknown"
        try:
            certainty = json.loads(response.data)["certainty"]
        except (ValueError, KeyError):
            certainty = "unknown"
        outcome = "refused" if certainty == "not run" else "unknown"
        self._note(line, outcome, _reason(response))


def _reason(response) -> str:
    try:
        return json.loads(response.data)["reason"]
    except (ValueError, KeyError):
        return f"status {response.status}"


def unrepeatable_keys(ledger: Ledger) -> set[str]:
    """Return the keys of the jobs which may not be repeated."""
    return {line.key for line in ledger.lines if line.reason == "unrepeatable"}


def broken_promises(ledger: Ledger, verdict: Verdict) -> list[str]:
    """Return every promise that ledger and record together show broken."""
    broken = list(verdict.broken)
    broken += [f"wrong answer: {key}" for key in ledger.wrong_answers]
    for line in ledger.lines:
        ran = line.key in verdict.critical_run_keys or line.key in verdict.started_keys
        if line.outcome == "refused" and ran:
            broken.append(f"refused as not run, but ran: {line.key}")
        if line.outcome in ("lost", "unsent"):
            broken.append(f"lost: {line.key}")
    return broken


def table(ledger: Ledger, verdict: Verdict) -> str:
    """Return a short table for people."""
    rows = [("", "sent", "answered once", "refused, not run", "unknown", "lost")]
    for kind in ("critical", "job"):
        answered = ledger.count(kind, "answered") + ledger.count(kind, "done")
        ended = ledger.count(kind, "failed") + ledger.count(kind, "cancelled")
        rows.append(
            (
                kind,
                sum(1 for line in ledger.lines if line.kind == kind),
                answered + ended,
                ledger.count(kind, "refused"),
                ledger.count(kind, "unknown"),
                ledger.count(kind, "lost"),
            )
        )
    lines = ["".join(f"{cell!s:>18}" for cell in row) for row in rows]
    p50, p99 = ledger.latency_ms(50), ledger.latency_ms(99)
    lines.append(f"critical latency: p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    lines.append(
        f"doubled {len(verdict.doubled)}, in two places {len(verdict.overlapping)}, "
        f"over capacity {len(verdict.over_capacity)}, guard refusals {verdict.guard_refusals}, "
        f"wrong answers {len(ledger.wrong_answers)}"
    )
    lines.append(f"refusal reasons: {ledger.reasons or 'none'}")
    return "\n".join(lines)


@click.command()
@click.argument("plan_path")
@click.argument("ledger_path")
def main(plan_path: str, ledger_path: str) -> None:
    """Send a plan and write the ledger."""
    with open(plan_path, encoding="utf-8") as file:
        plan = CONVERTER.loads(file.read(), Plan)
    ledger = Load(plan).run()
    with open(ledger_path, "w", encoding="utf-8") as file:
        file.write(CONVERTER.dumps(ledger))


if __name__ == "__main__":
    main()
