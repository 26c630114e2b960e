import attrs
import pytest

from savoryshelf.scheduling import placement
from savoryshelf.scheduling.interference import NoInterferenceControl
from savoryshelf.scheduling.quarantine import EARLY_PROBE_INTERVAL_SECONDS
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
    capacities, _ = cluster.leader_loop._capacities()
    return sorted(capacity.worker_id for capacity in capacities)


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


@pytest.fixture
def roomy_cluster(cluster):
    """Return a site whose two workers have room for more jobs."""
    for worker in cluster.site.state_machine.state.fleet.workers_by_id.values():
        worker.slots = 12
    cluster.leader_loop._interference_policy = NoInterferenceControl()
    return cluster


def submit(cluster, name, class_name="plans"):
    cluster.site.submit(ttypes.SubmitJob(name, "team", name, class_name, b"", False, "d"))


def jobs_on(cluster, worker_id):
    """Return the jobs that are placed on the registered incarnation of a worker."""
    state = cluster.site.state_machine.state
    return state.ledger.placed_on(worker_id, state.fleet.workers_by_id[worker_id].incarnation)


def placed_on(cluster, worker_id):
    """Return the ids of the jobs that the leader placed on a worker after the site was set up."""
    return sorted(j.job_id for j in jobs_on(cluster, worker_id) if j.job_id.startswith("late"))


def leave_no_room(cluster, worker_id):
    cluster.leader_loop._interference_policy.batch_limit = {worker_id: 0}.get


def test_a_job_that_only_a_quarantined_worker_can_run_is_placed_there(roomy_cluster):
    """Guards against accepted jobs that wait for a minute for a worker that is sound again."""
    roomy_cluster.site.state_machine.state.fleet.workers_by_id["w1"].cores = 0.5
    quarantine(roomy_cluster, "w0")
    submit(roomy_cluster, "late-1")
    submit(roomy_cluster, "late-2", "orders")
    roomy_cluster.leader_loop._place()
    roomy_cluster.clock.now += EARLY_PROBE_INTERVAL_SECONDS
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == ["late-1", "late-2"]


def test_jobs_are_placed_on_a_quarantined_worker_at_a_bounded_pace(roomy_cluster):
    """Guards against a worker that fails getting every job that only it can run."""
    roomy_cluster.site.state_machine.state.fleet.workers_by_id["w1"].cores = 0.5
    quarantine(roomy_cluster, "w0")
    for number in range(4):
        submit(roomy_cluster, f"late-{number}")
    for _ in range(3):
        roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == ["late-0"]
    roomy_cluster.clock.now += EARLY_PROBE_INTERVAL_SECONDS
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == ["late-0", "late-1"]


def test_a_job_that_another_worker_has_room_for_is_not_placed_on_a_quarantined_one(roomy_cluster):
    quarantine(roomy_cluster, "w0")
    for number in range(3):
        submit(roomy_cluster, f"late-{number}")
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == []
    assert len(placed_on(roomy_cluster, "w1")) == 3


def test_a_job_that_only_a_quarantined_worker_has_room_for_is_placed_there(roomy_cluster):
    """Guards against accepted jobs that wait although a worker has room, with the others full."""
    leave_no_room(roomy_cluster, "w1")
    quarantine(roomy_cluster, "w0")
    submit(roomy_cluster, "late-1")
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == ["late-1"]


def test_a_job_that_may_not_be_repeated_waits_for_a_worker_that_is_not_quarantined(roomy_cluster):
    """Guards against a single attempt wasted on a worker that fails."""
    leave_no_room(roomy_cluster, "w1")
    quarantine(roomy_cluster, "w0")
    submit(roomy_cluster, "late-1", "orders")
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == []


def test_a_job_does_not_go_back_to_a_quarantined_worker_while_another_can_run_it(roomy_cluster):
    """Guards against a job that fails for good by repeated attempts on one worker that fails."""
    leave_no_room(roomy_cluster, "w1")
    quarantine(roomy_cluster, "w0")
    submit(roomy_cluster, "late-1")
    roomy_cluster.site.state_machine.state.ledger.by_id["late-1"].last_worker_id = "w0"
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == []


def test_a_quota_holds_for_jobs_placed_on_a_quarantined_worker(roomy_cluster):
    roomy_cluster.site.state_machine.state.fleet.workers_by_id["w1"].cores = 0.5
    quarantine(roomy_cluster, "w0")
    submit(roomy_cluster, "late-1")
    roomy_cluster.leader_loop._running_by_team = lambda: {"team": 100}
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == []


def test_a_limit_of_starts_sends_no_job_to_a_quarantined_worker(roomy_cluster, monkeypatch):
    """Guards against a job on a worker that fails, while another worker has room for it."""
    monkeypatch.setattr(placement, "MAX_STARTS_PER_ROUND", 1)
    quarantine(roomy_cluster, "w0")
    for number in range(3):
        submit(roomy_cluster, f"late-{number}")
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == []
    assert len(placed_on(roomy_cluster, "w1")) == 1


def test_a_worker_without_batch_slots_is_no_alternative_to_a_quarantined_one(roomy_cluster):
    """Guards against an unrepeatable job that waits for a worker which can never run it."""
    roomy_cluster.site.state_machine.state.fleet.workers_by_id["w1"].slots = 1
    quarantine(roomy_cluster, "w0")
    submit(roomy_cluster, "late-1", "orders")
    roomy_cluster.leader_loop._demand = without_resources(roomy_cluster.leader_loop._demand)
    roomy_cluster.leader_loop._place()
    assert placed_on(roomy_cluster, "w0") == ["late-1"]


def without_resources(demand_of):
    """Return a replacement of ``demand_of`` whose demands need nothing but a slot."""
    return lambda job: attrs.evolve(demand_of(job), cores=0, memory_mb=0, accelerators=0)


def test_an_urgent_job_preempts_on_the_only_worker_that_can_run_it_while_it_is_quarantined(cluster):
    """Guards against an urgent job that waits behind batch work until a quarantine ends."""
    fleet = cluster.site.state_machine.state.fleet
    fleet.workers_by_id["w1"].cores = 0.5
    for number in range(8):
        submit(cluster, f"late-{number}")
    cluster.leader_loop._run_round()
    quarantine(cluster, "w0")
    cluster.site.submit(ttypes.SubmitJob("urgent", "team", "urgent", "plans", b"", True, "d"))
    cluster.leader_loop._place()
    states = [job.state.value for job in jobs_on(cluster, "w0")]
    assert states.count("evicting") == 1


def test_an_urgent_job_does_not_preempt_on_a_quarantined_worker_if_another_can_run_it(cluster):
    for number in range(8):
        submit(cluster, f"late-{number}")
    cluster.leader_loop._run_round()
    quarantine(cluster, "w0")
    for job in jobs_on(cluster, "w1"):
        job.started_ms -= 3_600_000  # Costlier victims than those on the quarantined worker.
    cluster.site.submit(ttypes.SubmitJob("urgent", "team", "urgent", "plans", b"", True, "d"))
    cluster.leader_loop._place()
    assert [job.state.value for job in jobs_on(cluster, "w0")].count("evicting") == 0
    assert [job.state.value for job in jobs_on(cluster, "w1")].count("evicting") == 1
