"""Network partitions: a host keeps running, but its control connections pass no data."""

import time

from standins.relay import Relay
from standins.site import Site

from .fault_injection import site_under_load


def add_relays(site, partitioned_name):
    """Route every connection between one host and the other control hosts through a relay."""
    relays = []
    for name, process in site.process_by_name.items():
        if name[0] not in "ce":
            continue
        hosts = []
        for number, address in enumerate(site.control_addresses):
            is_partitioned = partitioned_name in (name, f"c{number}") and name != f"c{number}"
            if is_partitioned:
                relays.append(Relay(address))
                address = relays[-1].address
            hosts.append(f"c{number}={address}@fd")
        process.environment["SAVORYSHELF_CONTROL_HOSTS"] = ",".join(hosts)
    return relays


def test_a_partitioned_control_host_does_not_lead_and_catches_up_after_healing(tmp_path):
    with site_under_load(tmp_path, seconds=14.0, prepare=add_relays, partitioned="c0") as site:
        time.sleep(2)
        site.partition()
        site.wait_for(lambda: site.leader() != "c0", "a leader on the majority side")
        for number in range(20):
            version = site.view("status")["configuration_version"]
            change = site.declarations | {"site": f"change-{number}"}
            assert site.apply(change, version, f"during-partition-{number}")[0] == 200
        site.heal()

        def caught_up():
            status = site.view("status")
            return status and all(r["behind"] < 5 for r in status["replicas"])

        site.wait_for(caught_up, "the partitioned host to catch up")


def test_a_partitioned_entry_host_stops_admitting_and_recovers_after_healing(tmp_path):
    with site_under_load(tmp_path, seconds=22.0, prepare=add_relays, partitioned="e1") as site:
        time.sleep(2)
        site.partition()
        url = site.entry_urls[1]
        site.wait_for(
            lambda: site.http.request("GET", url + "/readyz").status == 503,
            "the entry host to report that it is not ready",
        )
        status, content = site.call(
            "POST", "/v1/services/quotes", site.team_token(), url, body=b"{}"
        )
        assert (status, content["reason"]) == (503, "isolated")
        assert content["certainty"] == "not run"
        change = site.declarations | {"site": "changed during the partition"}
        version = site.view("status")["configuration_version"]
        assert site.apply(change, version, "during-partition")[0] == 200
        site.heal()

        def is_in_force_everywhere():
            entries = (site.view("status") or {"entries": []})["entries"]
            versions = [e["configuration_version"] for e in entries]
            return versions == [version + 1] * 2

        site.wait_for(is_in_force_everywhere, "the change to be in force on both entry hosts")


def test_a_change_is_in_force_on_every_entry_host(tmp_path):
    site = Site(str(tmp_path), entries=3, workers=2)
    with site.running():
        change = site.declarations | {"services": {}}
        assert site.apply(change, 1, "no-services")[0] == 200

        def is_refused_everywhere():
            answers = [
                site.call("POST", "/v1/services/quotes", site.team_token(), url, body=b"{}")
                for url in site.entry_urls
            ]
            return all(status == 404 for status, _ in answers)

        site.wait_for(is_refused_everywhere, "every entry host to refuse the service")
