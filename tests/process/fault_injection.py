"""Runs load against a site while a test injects faults, then checks the guarantees."""

import contextlib

from standins.load import LoadPlan, find_violations, format_summary
from standins.site import Site


def load_plan_for(site, seconds, seed=1, **changes):
    values = {
        "entry_urls": site.entry_urls,
        "token": site.team_token(),
        "service": "quotes",
        "critical_per_s": 25.0,
        "jobs_per_s": 4.0,
        "job_classes": ["routing", "truck-dispatch"],
        "unrepeatable_classes": {"truck-dispatch"},
        "seconds": seconds,
        "seed": seed,
    }
    return LoadPlan(**values | changes)


@contextlib.contextmanager
def site_under_load(tmp_path, seconds=8.0, load=None, prepare=None, partitioned="", **options):
    """Yield a site under load; afterwards assert that no guarantee was violated.

    ``prepare`` may route the control connections of the host named ``partitioned`` through
    relays, and returns the relays; ``site.partition`` and ``site.heal`` act on them.
    """
    site = Site(str(tmp_path), **options)
    relays = prepare(site, partitioned) if prepare else []
    site.partition = lambda: [relay.partition() for relay in relays]
    site.heal = lambda: [relay.heal() for relay in relays]
    with site.running():
        with site.under_load(load_plan_for(site, seconds, **(load or {}))) as results:
            yield site
        site.load_results = results[0]
    record_check = site.check_record(site.load_results)
    violations = find_violations(site.load_results, record_check)
    assert violations == [], format_summary(site.load_results, record_check)
