"""Crashes, freezes, lost disks and misbehaving workers on a site of real processes under load.

Each test injects one fault; ``site_under_load`` then asserts that no guarantee was violated.
"""

import shutil
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from .fault_injection import site_under_load


def follower_of(site):
    leader = site.leader()
    return next(n for n in site.process_by_name if n.startswith("c") and n != leader)


def replica_id_of(site, name):
    """Return the replica id of the host's only member; None if it has none or several."""
    replicas = (site.view("status") or {"replicas": []})["replicas"]
    ids = [r["replica_id"] for r in replicas if r["replica_id"].startswith(name + ".")]
    return ids[0] if len(ids) == 1 else None


def has_settled_membership(site, count=3):
    """Return whether the group has ``count`` voters, each fewer than 50 entries behind."""
    status = site.view("status") or {"replicas": []}
    replicas = status["replicas"]
    return len(replicas) == count and all(r["votes"] and r["behind"] < 50 for r in replicas)


def test_nothing_is_lost_or_run_twice_when_the_control_leader_is_killed(tmp_path):
    with site_under_load(tmp_path) as site:
        time.sleep(2)
        site.process_by_name[site.leader()].kill()


def test_nothing_is_lost_or_run_twice_when_a_control_follower_is_killed_and_restarted(tmp_path):
    with site_under_load(tmp_path) as site:
        time.sleep(2)
        follower = site.process_by_name[follower_of(site)]
        follower.kill()
        time.sleep(2)
        follower.start()


def test_nothing_is_lost_or_run_twice_when_an_entry_host_is_killed(tmp_path):
    with site_under_load(tmp_path, seconds=12.0) as site:
        time.sleep(2)
        site.process_by_name["e1"].kill()
        site.wait_for(
            lambda: all(t["owner"] == "e0" and t["adopted"] for t in site.view("targets")),
            "all workers to be adopted by e0",
        )


def test_nothing_is_lost_or_run_twice_when_all_workers_are_killed_and_restarted(tmp_path):
    with site_under_load(tmp_path, seconds=12.0) as site:
        time.sleep(2)
        workers = site.process_by_name["workers"]
        workers.kill()
        site.record_worker_deaths()
        workers.start()


def test_a_leader_that_resumes_after_a_freeze_violates_no_guarantee(tmp_path):
    with site_under_load(tmp_path, seconds=10.0) as site:
        time.sleep(2)
        frozen = site.process_by_name[site.leader()]
        frozen.signal(signal.SIGSTOP)
        # Longer than the election timeout (1 s by default), so that another host is elected.
        time.sleep(4)
        frozen.signal(signal.SIGCONT)


def test_an_entry_host_that_resumes_after_a_freeze_violates_no_guarantee(tmp_path):
    with site_under_load(tmp_path, seconds=18.0) as site:
        time.sleep(2)
        frozen = site.process_by_name["e1"]
        frozen.signal(signal.SIGSTOP)
        # Longer than the entry lease (6 s) and the task lease (4 s) together.
        time.sleep(11)
        frozen.signal(signal.SIGCONT)


def test_an_entry_host_that_stops_gracefully_cuts_off_nothing(tmp_path):
    with site_under_load(tmp_path, seconds=8.0) as site:
        time.sleep(2)
        assert site.process_by_name["e1"].stop() == 0
    unknown = [line for line in site.load_results.lines if line.outcome == "unknown"]
    assert unknown == []


def test_a_crash_and_restart_of_all_daemons_loses_no_accepted_job(tmp_path):
    with site_under_load(tmp_path, seconds=5.0, load={"critical_per_s": 0.0}) as site:
        time.sleep(3)
        daemons = [p for name, p in site.process_by_name.items() if name not in ("workers", "load")]
        for process in daemons:
            process.kill()
        for process in daemons:
            process.start()


def test_a_rolling_restart_loses_nothing(tmp_path):
    with site_under_load(tmp_path, seconds=15.0) as site:
        for name in ("c0", "c1", "c2", "e0", "e1"):
            process = site.process_by_name[name]
            assert process.stop() == 0
            process.start()
            if name.startswith("c"):
                site.wait_for(
                    lambda: has_settled_membership(site),
                    "the group to have three voters that have caught up",
                )
            else:
                site.wait_for(site._all_ready, "the entry host to be ready")


def test_a_replica_with_a_lost_disk_rejoins_before_a_second_host_fails(tmp_path):
    with site_under_load(tmp_path, seconds=15.0) as site:
        time.sleep(1)
        name = follower_of(site)
        old_id = replica_id_of(site, name)
        site.process_by_name[name].kill()
        shutil.rmtree(tmp_path / f"{name}-data")
        site.process_by_name[name].start()
        site.wait_for(
            lambda: (
                replica_id_of(site, name) not in (old_id, None) and has_settled_membership(site)
            ),
            "the replica to vote under a new identity",
        )
        second_host = next(n for n in ("c0", "c1", "c2") if n not in (name, site.leader()))
        site.process_by_name[second_host].kill()
        site.wait_for(lambda: site.view("status"), "a leader after the second loss")
        assert site.view("status")["commit_index"] > 0


def test_concurrent_changes_from_one_version_have_one_winner(tmp_path):
    with site_under_load(tmp_path, seconds=3.0) as site:
        changes = [site.declarations | {"site": f"site-{number}"} for number in range(4)]
        with ThreadPoolExecutor() as pool:
            racing = [
                pool.submit(site.apply, change, 1, f"operation-{n}", site.entry_urls[n % 2])
                for n, change in enumerate(changes)
            ]
        outcomes = [each.result() for each in racing]
        winners = [n for n, (status, _) in enumerate(outcomes) if status == 200]
        assert len(winners) == 1
        conflicts = [content["reason"] for status, content in outcomes if status == 409]
        assert conflicts == ["version_conflict"] * 3
        winner = winners[0]
        # A resend of the accepted change must get its first result, also from a new leader.
        site.process_by_name[site.leader()].kill()
        resent = site.wait_for(
            lambda: site.apply(changes[winner], 1, f"operation-{winner}"),
            "a response from an entry host",
        )
        while resent[0] == 503:
            resent = site.apply(changes[winner], 1, f"operation-{winner}")
        assert resent == (200, {"version": 2, "duplicate": True})


def test_a_full_disk_stops_the_replica_with_an_error_that_names_the_remedy(tmp_path):
    with site_under_load(tmp_path, seconds=6.0) as site:
        time.sleep(1)
        name = follower_of(site)
        site.process_by_name[name].limit_file_size(4096)
        site.wait_for(
            lambda: site.process_by_name[name].popen.poll() is not None, "the replica to stop"
        )
        assert site.process_by_name[name].popen.returncode == 1
        assert "free or replace the disk" in (tmp_path / f"{name}.log").read_text()


@pytest.mark.parametrize("fault", ["fails_everything", "hangs"])
def test_a_failing_or_hanging_worker_leaves_nine_of_ten_requests_answered(tmp_path, fault):
    options = ["--bad-worker", fault]
    load = {"critical_per_s": 20.0, "jobs_per_s": 0.0}
    with site_under_load(tmp_path, seconds=10.0, load=load, worker_options=options) as site:
        time.sleep(6)
    answered = site.load_results.count("critical", "answered")
    assert answered >= 0.9 * len(site.load_results.lines)
