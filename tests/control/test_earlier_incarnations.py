"""What the leader does with the attempts of an incarnation in whose place another is registered."""

import pytest

from savoryshelf.leases import ENTRY_LEASE_SECONDS, granter_deadline
from savoryshelf.ledger.state import JobState
from tests.promises.test_guarantees import DECLARATIONS, Guarantees

TASK_LEASE_SECONDS = DECLARATIONS["limits"]["task_lease_s"]
LONGEST_WAIT_SECONDS = granter_deadline(0.0, TASK_LEASE_SECONDS + ENTRY_LEASE_SECONDS)
PROMPT_SECONDS = 4.0
"""Within this a restart at the same address is noticed: registered, released, assigned, adopted."""


class RestartedWorker:
    """A site on which a worker that runs ``job`` has just started again."""

    def __init__(self, moves):
        self.machine = Guarantees()
        self.machine.set_up_site()
        self.cluster = self.machine.cluster
        self.worker = next(w for w in self.cluster.worker_by_id.values() if w.running)
        job_id = self.worker.running[0].order.key.job_id
        self.job = self.cluster.state_machine.state.ledger.by_id[job_id]
        self.attempt = self.job.attempt
        self.incarnation = self.worker.incarnation
        self.worker.restart(moves)
        self.wait(1.0)

    def wait(self, seconds):
        for _ in range(int(seconds)):
            self.machine.run_full_round()

    @property
    def is_settled(self):
        job = self.cluster.state_machine.state.ledger.by_id[self.job.job_id]
        return job.attempt != self.attempt or not job.is_placed


def test_attempts_of_an_incarnation_are_lost_once_the_next_one_answers_at_its_address():
    site = RestartedWorker(moves=False)
    site.wait(PROMPT_SECONDS)
    assert site.is_settled


def test_attempts_of_an_incarnation_are_kept_until_its_lease_expires_if_the_next_one_is_elsewhere():
    site = RestartedWorker(moves=True)
    site.wait(LONGEST_WAIT_SECONDS - 2)
    assert not site.is_settled
    site.wait(4)
    assert site.is_settled


def test_a_new_leader_waits_for_the_lease_of_an_earlier_incarnation_anew():
    site = RestartedWorker(moves=True)
    site.wait(LONGEST_WAIT_SECONDS - 2)
    site.cluster.elect_leader()
    site.wait(LONGEST_WAIT_SECONDS - 2)
    assert not site.is_settled
    site.wait(4)
    assert site.is_settled


def test_the_address_of_an_earlier_incarnation_is_part_of_a_snapshot():
    site = RestartedWorker(moves=False)
    assert not site.is_settled
    site.cluster.elect_leader()
    site.wait(PROMPT_SECONDS + 2)  # A new leader assigns no worker for 2 s.
    assert site.is_settled


@pytest.mark.parametrize("moves", [False, True])
def test_no_order_goes_out_for_an_attempt_of_an_earlier_incarnation(moves):
    site = RestartedWorker(moves)
    placed = site.cluster.state_machine.state.ledger.placed_on
    assert placed(site.worker.worker_id, site.incarnation)
    for session in site.cluster.site.sessions.by_id.values():
        session.acknowledged_starts.clear()
        assert site.job not in site.cluster.site._placed_for(session)


# Guards against an attempt that is never started nor lost: what an entry host had acknowledged
# before the worker was registered anew is ordered again.
def test_an_incarnation_that_is_registered_again_in_time_keeps_its_attempts():
    machine = Guarantees()
    machine.set_up_site()
    cluster = machine.cluster
    worker = cluster.worker_by_id["w0"]
    running = {task.order.key.job_id for task in worker.running}
    assert running
    machine.deliver_announcement(cluster.namesake.announcement(), "e0")
    machine.run_full_round()
    registered = cluster.state_machine.state.fleet.workers_by_id["w0"]
    assert registered.incarnation == cluster.namesake.incarnation
    machine.run_rounds(4)  # The worker's reports are refused, so it announces itself.
    assert registered.incarnation == worker.incarnation
    ledger = cluster.state_machine.state.ledger
    for job_id in running:
        assert (ledger.by_id[job_id].state, ledger.by_id[job_id].attempt) == (JobState.RUNNING, 1)
    for task in worker.running:
        task.state = "finished"
    machine.run_rounds(2)
    assert all(ledger.by_id[job_id].state is JobState.DONE for job_id in running)
