"""Safety and recovery of a group whose disks are lost for good.

The hosts come back with new disks, thus new replica ids.  Messages of the lost disks may arrive
later, and only some of the hosts run at a time.  As many disks are lost at a time as the group
promises to bear; a lost one counts until its removal is committed.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from savoryshelf.replication.membership import (
    MembershipChangeRefused,
    copies,
    find_member,
    voter_ids,
)
from savoryshelf.replication.types import NotLeading
from savoryshelf.wire.generated.ttypes import Member

from .group import TICK_SECONDS, TIMING, Group, Host

NAMES = ["c0", "c1", "c2", "c3", "c4"]
names = st.sampled_from(NAMES)
some_names = st.sets(names, min_size=1, max_size=4)


class LostDisksMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.proposed = 0
        self.applied = []
        self.leader_by_term = {}
        self.committed_index = 0
        self.has_removed_live_voter = False

    @initialize(seed=st.integers(0, 1000))
    def start_group(self, seed):
        self.group = Group(len(NAMES), seed)
        self.group.run_for(3.0)
        self.committed_membership = self.group.initial_membership

    def host(self, name):
        return self.group.host_by_name[name]

    @property
    def running(self):
        return [host for host in self.group.host_by_name.values() if host.core is not None]

    # ------------------------------------------------------------------- network

    @rule(index=st.integers(0, 50), repeat=st.booleans())
    def deliver_one_message(self, index, repeat):
        messages = self.group.messages
        if messages:
            position = index % len(messages)
            message = messages[position] if repeat else messages.pop(position)
            self.group.deliver(message)

    @rule(sender=names, recipient=names)
    def deliver_on_one_link(self, sender, recipient):
        self.carry({sender}, {recipient})

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0]))
    def deliver_all_messages(self, seconds):
        self.group.run_for(seconds)

    @rule(some=some_names, seconds=st.sampled_from([0.2, 0.6, 1.2, 2.5]))
    def run_only(self, some, seconds):
        """Let time pass in which all other hosts stand still, and what they sent stays on its way.

        Heartbeats would only pile up: of each link the latest messages are kept.
        """
        end = self.group.now + seconds
        while self.group.now < end:
            self.group.now += TICK_SECONDS
            for name in sorted(some):
                self.host(name).run()
            self.carry(some, some)
        self.group.messages = self.group.messages[-200:]

    def carry(self, senders, recipients):
        def is_carried(message):
            sender, recipient = (m.rpartition(".")[0] for m in (message.sender, message.recipient))
            return sender in senders and recipient in recipients

        while (found := next(filter(is_carried, self.group.messages), None)) is not None:
            self.group.messages.remove(found)
            self.group.deliver(found)

    @rule(name=names)
    def isolate(self, name):
        self.group.isolate(name)

    @rule()
    def heal_partitions(self):
        self.group.heal_partitions()

    # ------------------------------------------------------------------- commands

    @rule(name=names)
    def propose(self, name):
        host = self.host(name)
        if host.is_leader:
            self.proposed += 1
            host.core.propose([f"command-{self.proposed}".encode()])
            host.process_ready()

    @rule(name=names)
    def compact(self, name):
        if self.host(name).core is not None:
            self.host(name).compact()

    # ------------------------------------------------------------------- failures

    @rule(name=names)
    def stop(self, name):
        self.host(name).core = None

    @rule(name=names)
    def restart(self, name):
        self.host(name).core = None
        self.host(name).start()

    def may_lose(self, name):
        """Return whether the group promises to bear the loss of this disk, too."""
        memberships = [self.committed_membership]
        memberships += [host.core.log.membership for host in self.running]
        kept = {host.replica_id for host in self.group.host_by_name.values()}
        kept.discard(self.host(name).replica_id)
        voters = {voter for each in memberships for voter in voter_ids(each)}
        borne = min(self.borne(each) for each in memberships if voter_ids(each))
        return len(voters - kept) <= borne

    def borne(self, membership):
        """Return how many losses the group bears; fewer once a live voter was removed."""
        if self.has_removed_live_voter:
            return copies(membership) - 1
        return min(2, len(voter_ids(membership)) - 1)

    @rule(name=names, starts=st.booleans())
    def lose_a_disk(self, name, starts):
        if not self.may_lose(name):
            return
        self.host(name).core = None
        successor = self.group.host_by_name[name] = Host(self.group, name)
        successor.start()
        if not starts:
            successor.core = None

    # --------------------------------------------------------------------- repair

    @rule(lost=st.lists(names, min_size=1, max_size=2, unique=True))
    def lose_disks_and_remove_them(self, lost):
        self.start_all()
        for name in lost:
            self.lose_a_disk(name, starts=True)
        for _ in range(5):
            self.group.run_for(1.0)
            self.check()
            leader = self.group.leader()
            if leader is not None:
                self.remove_a_lost_voter(leader.name)

    @rule(name=names)
    def remove_a_lost_voter(self, name):
        host = self.host(name)
        if host.is_leader and host.core.lost_member_ids:
            self.change(host, lambda core: core.remove_lost())

    @rule(name=names, removed=names)
    def remove_a_voter(self, name, removed):
        host, removed_id = self.host(name), self.host(removed).replica_id
        if host.is_leader and len(voter_ids(host.core.log.membership)) > 3:
            self.has_removed_live_voter = True
            self.change(host, lambda core: core.remove(removed_id))

    @rule(name=names)
    def add_or_promote(self, name):
        host = self.host(name)
        if host.is_leader:
            self.change(host, self.add_or_promote_one)

    def add_or_promote_one(self, core):
        for learner in [m for m in core.log.membership.members if not m.voter]:
            if core.is_caught_up(learner.replica_id):
                core.promote(learner.replica_id)
                return
            if learner.replica_id in core.lost_member_ids:
                core.remove_lost()
                return
        for host in self.running:
            if find_member(core.log.membership, host.replica_id) is None:
                core.add_learner(Member(host.replica_id, host.name, "", False))
                return

    def change(self, host, change):
        try:
            change(host.core)
        except (MembershipChangeRefused, NotLeading):
            return
        finally:
            host.process_ready()

    def start_all(self):
        self.group.heal_partitions()
        for host in self.group.host_by_name.values():
            if host.core is None:
                host.start()

    def repair(self):
        """Replace the lost disks as a leader does, with all hosts there."""
        self.start_all()
        for _ in range(40):
            self.group.run_for(1.0)
            self.check()
            leader = self.group.leader()
            if leader is None:
                continue
            if self.is_whole(leader.core):
                return
            if leader.core.lost_member_ids:
                self.remove_a_lost_voter(leader.name)
            else:
                self.add_or_promote(leader.name)

    def is_whole(self, core):
        """Return whether all hosts vote with the disks that they have now."""
        own_ids = {host.replica_id for host in self.group.host_by_name.values()}
        voters = voter_ids(core.log.membership)
        return set(voters) == own_ids and core.log.membership_index <= core.commit_index

    @rule()
    def repair_all(self):
        self.repair()

    # ------------------------------------------------------------------ invariants

    @invariant()
    def check(self):
        self.at_most_one_leader_per_term()
        self.no_later_leader_while_one_answers_by_contact()
        self.all_replicas_apply_the_same_commands()
        self.a_leader_that_serves_reads_has_applied_all_commands()
        self.note_committed_membership()

    def at_most_one_leader_per_term(self):
        for host in self.running:
            if host.is_leader:
                leader_id = self.leader_by_term.setdefault(host.core.term, host.replica_id)
                assert leader_id == host.replica_id

    def no_later_leader_while_one_answers_by_contact(self):
        leaders = [host for host in self.running if host.is_leader]
        for host in leaders:
            if host.core.seconds_since_quorum_contact(self.group.now) < TIMING.election_timeout:
                assert all(other.core.term <= host.core.term for other in leaders)

    def all_replicas_apply_the_same_commands(self):
        """Compare with all that was ever applied, also by replicas that are gone."""
        for host in self.running:
            if len(host.applied) > len(self.applied):
                assert host.applied[: len(self.applied)] == self.applied
                self.applied = list(host.applied)
            assert host.applied == self.applied[: len(host.applied)]

    def a_leader_that_serves_reads_has_applied_all_commands(self):
        latest = self.group.leader()
        if latest is None or not latest.core.has_committed_in_term:
            return
        if latest.core.applied_index >= latest.core.leader_state.term_start_index:
            assert len(latest.applied) == len(self.applied)

    def note_committed_membership(self):
        for host in self.running:
            if host.core.commit_index > self.committed_index:
                self.committed_index = host.core.commit_index
                self.committed_membership = host.core.log.membership_at(self.committed_index)

    def teardown(self):
        """Check that the group has a leader and full strength again, with all commands."""
        if not hasattr(self, "group"):
            return
        self.repair()
        leader = self.group.leader()
        assert leader is not None
        assert self.is_whole(leader.core)
        leader.core.propose([b"last"])
        leader.process_ready()
        self.group.run_for(2.0)
        for host in self.running:
            assert host.applied[:-1] == self.applied
            assert host.applied[-1] == "last"
            assert len(host.applied) == len(set(host.applied)), "a command was applied twice"


LostDisksMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=40)
TestLostDisksMachine = LostDisksMachine.TestCase
