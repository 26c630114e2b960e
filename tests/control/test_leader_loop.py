import pytest

from savoryshelf.wire.generated import ttypes
from tests.promises.fakes import Cluster
from tests.promises.test_guarantees import Guarantees


@pytest.fixture
def cluster():
    guarantees = Guarantees()
    guarantees.set_up_site()
    return guarantees.cluster


def quarantine(cluster: Cluster, *worker_ids):
    for session in cluster.site.sessions.by_id.values():
        for worker_id, note in session.note_by_worker_id.items():
            note.quarantined = worker_id in worker_ids


def workers_with_free_capacity(cluster):
    return sorted(capacity.worker_id for capacity in cluster.leader_loop._free_capacities())


def test_a_quarantined_worker_is_given_no_batch_work(cluster):
    quarantine(cluster, "w0")
    assert workers_with_free_capacity(cluster) == ["w1"]


def test_a_quarantine_of_most_workers_does_not_stop_batch_work(cluster):
    quarantine(cluster, "w0", "w1")
    assert workers_with_free_capacity(cluster) == ["w0", "w1"]


def test_an_urgent_job_preempts_a_batch_job_on_a_full_site(cluster):
    site = cluster.site
    # More jobs than the two workers have batch slots for.
    for number in range(10, 20):
        job = ttypes.SubmitJob(f"job-{number}", "team", str(number), "plans", b"", False, "d")
        site.submit(job)
    cluster.leader_loop._run_round()
    urgent = ttypes.SubmitJob("urgent", "team", "urgent", "plans", b"", True, "d")
    site.submit(urgent)
    cluster.leader_loop._run_round()
    states = [job.state.value for job in site.state_machine.state.ledger.by_id.values()]
    assert states.count("evicting") == 1
