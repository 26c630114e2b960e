"""Prometheus metrics: counters, gauges and latency percentiles."""

import time

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily

REGISTRY = CollectorRegistry()

REFUSALS = Counter(
    "savoryshelf_refusals", "Requests refused, by reason code.", ["reason"], registry=REGISTRY
)
UNAVAILABLE_CALLS = Counter(
    "savoryshelf_unavailable_calls",
    "Calls of workers and operators that this control host could not answer, by reason.",
    ["reason"],
    registry=REGISTRY,
)
LEADER_UNKNOWN_ANSWERS = Counter(
    "savoryshelf_leader_unknown_answers",
    "Peers that were told that this host does not lead and knows no leader, by what they called.",
    ["call"],
    registry=REGISTRY,
)
RETRIES = Counter(
    "savoryshelf_retries", "Attempts repeated, by reason.", ["reason"], registry=REGISTRY
)
REQUESTS = Counter(
    "savoryshelf_requests", "Critical requests answered.", ["service"], registry=REGISTRY
)
EVICTIONS = Counter(
    "savoryshelf_evictions", "Batch attempts evicted, by reason.", ["reason"], registry=REGISTRY
)
LINK_BYTES = Counter(
    "savoryshelf_link_bytes",
    "Bytes over links, by direction and kind (control, critical, batch).",
    ["direction", "kind"],
    registry=REGISTRY,
)
LOG_COMMITS = Counter(
    "savoryshelf_log_commits", "Log entries applied by this replica.", registry=REGISTRY
)
LOG_WRITES = Counter(
    "savoryshelf_log_writes", "Synced writes of the log (group commits).", registry=REGISTRY
)
DISK_REFUSALS = Counter(
    "savoryshelf_disk_refusals",
    "Attempts to write that the disk refused for lack of space; they are repeated.",
    registry=REGISTRY,
)
RUN_ENDS = Counter(
    "savoryshelf_run_ends", "Ends of runs of tasks, by outcome.", ["outcome"], registry=REGISTRY
)
LEADER = Gauge("savoryshelf_leader", "1 where this replica leads.", registry=REGISTRY)
LEADER_CONTACT_SECONDS = Gauge(
    "savoryshelf_leader_contact_seconds",
    "Time since this replica heard a leader; 0 where it leads, infinite if it never has.",
    registry=REGISTRY,
)
REPLICA_TURN_SECONDS = Gauge(
    "savoryshelf_replica_turn_seconds",
    "Time since the thread of this replica completed a turn.",
    registry=REGISTRY,
)
CONFIGURATION_VERSION = Gauge(
    "savoryshelf_configuration_version", "Version in force here.", registry=REGISTRY
)
TIMER_LAG = Gauge(
    "savoryshelf_timer_lag_seconds", "Mean lag of the leader's timers.", registry=REGISTRY
)
QUARANTINED_WORKERS = Gauge(
    "savoryshelf_quarantined_workers",
    "Workers that the leader passes over since runs fail there.",
    registry=REGISTRY,
)
OVERDUE_STEPS = Gauge(
    "savoryshelf_overdue_steps",
    "Steps with startable work that the leader has not started for longer than it may defer.",
    registry=REGISTRY,
)
LEFT_OUT_WORKERS = Counter(
    "savoryshelf_left_out_workers",
    "Workers left out for overdue work, by reason, once for each step and second that is logged.",
    ["reason"],
    registry=REGISTRY,
)
UNSETTLED_RUNS = Gauge(
    "savoryshelf_unsettled_runs",
    "Runs that may exist and that their workers do not list, by what keeps them unsettled.",
    ["state"],
    registry=REGISTRY,
)
HELD_TASKS = Gauge(
    "savoryshelf_held_tasks",
    "Tasks that are not started for the crashes of workers under them.",
    registry=REGISTRY,
)
START_RATE = Gauge(
    "savoryshelf_best_effort_start_rate",
    "Best-effort starts per second that the leader allows.",
    registry=REGISTRY,
)

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class LatencyRecorder:
    """Latency histogram for each value of one label, exposed as quantiles in seconds."""

    def __init__(self, name: str, description: str, label: str):
        self._name, self._description, self._label = name, description, label
        self._histogram_by_value: dict[str, HdrHistogram] = {}

    def record(self, value: str, seconds: float) -> None:
        """Record one latency under a value of the label."""
        histogram = self._histogram_by_value.get(value)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histogram_by_value[value] = histogram
        histogram.record_value(max(LOWEST_LATENCY_US, int(seconds * 1e6)))

    def collect(self):
        """Yield the histograms as one summary family (collector protocol of prometheus_client)."""
        family = SummaryMetricFamily(self._name, self._description, labels=[self._label])
        for value, histogram in self._histogram_by_value.items():
            for percentile in PERCENTILES:
                seconds = histogram.get_value_at_percentile(percentile) / 1e6
                family.add_sample(
                    family.name,
                    {self._label: value, "quantile": str(percentile / 100)},
                    seconds,
                )
            family.add_sample(
                family.name + "_count", {self._label: value}, histogram.get_total_count()
            )
        yield family


LATENCIES = LatencyRecorder(
    "savoryshelf_critical_latency_seconds", "Latency of critical answers.", "service"
)
JOB_CALL_SECONDS = LatencyRecorder(
    "savoryshelf_job_call_seconds", "Time until the leader's answer to a caller.", "verb"
)
START_DELAY_SECONDS = LatencyRecorder(
    "savoryshelf_start_delay_seconds",
    "Time from a job's acceptance to its first start, by the priority of its queue.",
    "priority",
)
PASS_SECONDS = LatencyRecorder(
    "savoryshelf_placement_seconds", "Processor time of one placement.", "outcome"
)
for _recorder in (LATENCIES, JOB_CALL_SECONDS, START_DELAY_SECONDS, PASS_SECONDS):
    REGISTRY.register(_recorder)

PROCESSOR_SECONDS = Gauge(
    "savoryshelf_processor_seconds", "Processor time that this process has used.", registry=REGISTRY
)
PROCESSOR_SECONDS.set_function(time.process_time)


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
