"""Safety of the replicated log under random faults.

Messages are lost, reordered and repeated, the network is partitioned, hosts
crash, writes are torn and disks are lost.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from savoryshelf.replication.membership import MembershipChangeRefused, host_name, voter_ids
from savoryshelf.replication.types import NotLeading
from savoryshelf.wire.generated.ttypes import Member

from .group import TICK_SECONDS, TIMING, Group

NAMES = ["c0", "c1", "c2"]
names = st.sampled_from(NAMES)


class ReplicationMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.proposed = 0
        self.acknowledged = []
        self.leader_by_term = {}
        self.changes_requested = 0

    @initialize(seed=st.integers(0, 1000))
    def start_group(self, seed):
        self.group = Group(3, seed)
        self.group.run_for(3.0)

    def host(self, name):
        return self.group.host_by_name[name]

    # ------------------------------------------------------------------- network

    @rule(index=st.integers(0, 50), repeat=st.booleans())
    def deliver_one_message(self, index, repeat):
        messages = self.group.messages
        if messages:
            position = index % len(messages)
            message = messages[position] if repeat else messages.pop(position)
            self.group.deliver(message)

    @rule(index=st.integers(0, 50))
    def drop_one_message(self, index):
        if self.group.messages:
            self.group.messages.pop(index % len(self.group.messages))

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0]))
    def deliver_all_messages(self, seconds):
        self.group.run_for(seconds)

    @rule(name=names, ticks=st.integers(1, 25))
    def advance_one_clock(self, name, ticks):
        host = self.host(name)
        for _ in range(ticks):
            self.group.now += TICK_SECONDS
            if host.core is not None:
                host.core.tick(self.group.now)
                host.process_ready()

    @rule(name=names)
    def isolate(self, name):
        self.group.isolate(name)

    @rule(sender=names, recipient=names)
    def block_one_direction(self, sender, recipient):
        self.group.blocked_links.add((sender, recipient))

    @rule()
    def heal_partitions(self):
        self.group.heal_partitions()

    # ------------------------------------------------------------------- commands

    @rule(count=st.integers(1, 3))
    def propose(self, count):
        for _ in range(count):
            leader = self.group.leader()
            if leader is None:
                return
            self.proposed += 1
            leader.core.propose([f"command-{self.proposed}".encode()])
            leader.process_ready()
        self.record_acknowledged(leader)

    def record_acknowledged(self, leader):
        """Record what a leader has applied, since that may have been acknowledged to a client."""
        if len(leader.applied) > len(self.acknowledged):
            self.acknowledged = list(leader.applied)

    @rule(name=names)
    def compact(self, name):
        if self.host(name).core is not None:
            self.host(name).compact()

    # -------------------------------------------------------------------- failures

    @rule(name=names, written_fraction=st.sampled_from([None, 0.3, 0.9]))
    def crash_during_a_write(self, name, written_fraction):
        host = self.host(name)
        if host.core is None:
            return
        if host.is_leader:
            self.proposed += 1
            host.core.propose([f"command-{self.proposed}".encode()])
        host.process_ready(crash_before_sync=True, written_fraction=written_fraction)
        host.core = None

    @rule(name=names)
    def restart(self, name):
        if self.host(name).core is None:
            self.host(name).start()

    @rule(name=names)
    def restart_at_once(self, name):
        self.host(name).core = None
        self.host(name).start()

    @rule(seconds=st.sampled_from([0.2, 0.5, 0.8]))
    def restart_the_last_follower_of_a_leader_at_once(self, seconds):
        leader = self.group.leader()
        if leader is None:
            return
        last, other = (self.host(name) for name in NAMES if name != leader.name)
        self.group.blocked_links |= {(leader.name, other.name), (other.name, leader.name)}
        self.group.run_for(3.0)
        self.group.isolate(leader.name)
        last.core = None
        last.start()
        self.group.run_for(seconds)

    def is_fully_replicated(self):
        """Return whether every voter runs on its own disk and holds all committed entries."""
        leader = self.group.leader()
        if leader is None or leader.core.log.membership_index > leader.core.commit_index:
            return False
        host_by_replica_id = {h.replica_id: h for h in self.group.host_by_name.values()}
        voters = voter_ids(leader.core.log.membership)
        if len(voters) < 3 or any(m not in host_by_replica_id for m in voters):
            return False
        voter_hosts = [host_by_replica_id[m] for m in voters]
        return all(h.core and h.core.commit_index == leader.core.commit_index for h in voter_hosts)

    @precondition(lambda self: self.is_fully_replicated())
    @rule(name=names)
    def lose_a_disk(self, name):
        host = self.host(name)
        host.core = None
        host.disk.content_by_name.clear()
        host.start()

    @rule()
    def repair_one_step(self):
        """Take a step of replica replacement: add a learner, remove the old replica, promote."""
        leader = self.group.leader()
        if leader is None:
            return
        core = leader.core
        try:
            for host in self.group.host_by_name.values():
                member_ids = [m.replica_id for m in core.log.membership.members]
                if host.core is None or host.replica_id in member_ids:
                    continue
                core.add_learner(Member(host.replica_id, host.name, "", False))
                return
            for member in core.log.membership.members:
                if not member.voter:
                    self.promote_or_remove(core, member)
                    return
        except (MembershipChangeRefused, NotLeading):
            return
        finally:
            leader.process_ready()

    def promote_or_remove(self, core, learner):
        if not core.is_caught_up(learner.replica_id):
            return
        for member in core.log.membership.members:
            same = host_name(member.replica_id) == host_name(learner.replica_id)
            if same and member.replica_id != learner.replica_id:
                core.remove(member.replica_id)
                return
        core.promote(learner.replica_id)

    @rule()
    def repair_until_fully_replicated(self):
        self.group.heal_partitions()
        for name in NAMES:
            self.restart(name)
        for _ in range(6):
            self.group.run_for(2.0)
            self.repair_one_step()

    # ------------------------------------------------------------------ invariants

    @invariant()
    def at_most_one_leader_per_term(self):
        for host in self.group.host_by_name.values():
            if host.is_leader:
                leader_id = self.leader_by_term.setdefault(host.core.term, host.replica_id)
                assert leader_id == host.replica_id

    @invariant()
    def no_later_leader_while_one_answers_by_contact(self):
        leaders = [host for host in self.group.host_by_name.values() if host.is_leader]
        for host in leaders:
            if host.core.seconds_since_quorum_contact(self.group.now) < TIMING.election_timeout:
                assert all(other.core.term <= host.core.term for other in leaders)

    @invariant()
    def all_replicas_applied_the_same_commands(self):
        applied = [h.applied for h in self.group.host_by_name.values() if h.core is not None]
        longest = max(applied, key=len, default=[])
        for commands in applied:
            assert commands == longest[: len(commands)]

    @invariant()
    def a_leader_that_serves_reads_has_all_acknowledged_commands(self):
        for host in self.group.host_by_name.values():
            if host.is_leader:
                self.record_acknowledged(host)
        latest_leader = self.group.leader()
        if (
            latest_leader is not None
            and latest_leader.core.has_committed_in_term
            and latest_leader.core.applied_index
        ):
            length = min(len(latest_leader.applied), len(self.acknowledged))
            assert latest_leader.applied[:length] == self.acknowledged[:length]

    def teardown(self):
        """Check that a repaired group commits again and holds all acknowledged commands."""
        self.repair_until_fully_replicated()
        self.repair_until_fully_replicated()
        self.proposed += 1
        leader = self.group.leader()
        assert leader is not None
        leader.core.propose([b"last"])
        leader.process_ready()
        self.group.run_for(2.0)
        for host in self.group.host_by_name.values():
            assert host.applied[: len(self.acknowledged)] == self.acknowledged
            assert host.applied[-1] == "last"
            assert len(host.applied) == len(set(host.applied)), "a command was applied twice"


ReplicationMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=60)
TestReplicationMachine = ReplicationMachine.TestCase
