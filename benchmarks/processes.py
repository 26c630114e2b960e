"""Reads the resource usage of processes: processor time, memory and control traffic."""

import os

import attrs
from prometheus_client.parser import text_string_to_metric_families

from standins.site import Site

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Usage:
    """Processor time and sent control bytes since the start of a process, and its memory."""

    cpu_s: float
    memory_mb: float
    control_bytes: float


def usage_of(site: Site, name: str) -> Usage:
    """Return the usage of one process of a site."""
    pid = site.process_by_name[name].popen.pid
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
    memory_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    return Usage(cpu_s, memory_mb, _control_bytes(site, name))


def _control_bytes(site: Site, name: str) -> float:
    """Return the bytes that a process sent on control and replication links."""
    url = site.metrics_url(name)
    text = site.http.request("GET", url).data.decode()
    total = 0.0
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            is_sent = sample.labels.get("direction") == "sent"
            for_control = sample.labels.get("kind") in ("control", "replication")
            if sample.name == "savoryshelf_link_bytes_total" and is_sent and for_control:
                total += sample.value
    return total


def daemons(site: Site) -> list[str]:
    """Return the names of the control and entry processes."""
    return [name for name in site.process_by_name if name[0] in "ce" and name[1:].isdigit()]
