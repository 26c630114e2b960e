"""Votes that a disk gave before it was lost, and that are counted after its removal."""

from savoryshelf.replication.types import Role

from .group import TICK_SECONDS, Group, Host


class Schedule:
    """Five replicas that run only when told to; messages stay in flight until they are carried."""

    def __init__(self):
        self.group = Group(5, seed=0)
        self.group.run_for(3.0)
        self.group.messages.clear()
        self.leader = self.group.leader()
        others = [host for host in self.group.host_by_name.values() if host is not self.leader]
        self.survivor, self.candidate, self.voter, self.lost = others

    def run(self, *hosts, seconds):
        """Let ``seconds`` pass in which only these hosts run, all others stand still."""
        end = self.group.now + seconds
        while self.group.now < end:
            self.group.now += TICK_SECONDS
            for host in hosts:
                host.run()
            self.carry(*hosts)

    def carry(self, *hosts):
        """Deliver what these hosts have sent each other, and all that follows from it."""
        ids = {host.replica_id for host in hosts}
        while messages := [m for m in self.group.messages if {m.sender, m.recipient} <= ids]:
            self.deliver(messages[0])

    def deliver(self, message):
        self.group.messages.remove(message)
        self.group.deliver(message)

    def late(self, sender_id, recipient_id, kind):
        """Return the messages of this kind in flight from one replica to another."""
        return [
            m
            for m in self.group.messages
            if (m.sender, m.recipient) == (sender_id, recipient_id)
            and getattr(m.payload, kind) is not None
        ]

    def deliver_all(self, sender_id, recipient_id, kind):
        for message in self.late(sender_id, recipient_id, kind):
            self.deliver(message)

    def replace_disk(self, host):
        """Lose the disk of a host, and let the leader learn of it from the next one."""
        lost_id = host.replica_id
        successor = Host(self.group, host.name)
        successor.start()
        self.group.host_by_name[host.name] = successor
        request = self.late(self.leader.replica_id, lost_id, "append_request")[0]
        self.deliver(request)
        self.carry(self.leader, successor)

    def campaign(self):
        """Let the candidate ask for votes in a new term while the leader stands still."""
        asked_ids = [self.voter.replica_id, self.lost.replica_id]
        for _ in range(100):
            self.run(self.candidate, seconds=TICK_SECONDS)
            if self.candidate.core.role is Role.CANDIDATE:
                return
            for asked_id in asked_ids:
                self.deliver_all(self.candidate.replica_id, asked_id, "vote_request")
                self.deliver_all(asked_id, self.candidate.replica_id, "vote_reply")
        raise AssertionError("no pre-vote was won")

    def propose(self, host, text):
        host.core.propose([text.encode()])
        host.process_ready()


# Guards against a candidate that asked before a disk was lost, and wins with its vote after the
# disk was removed: it commits without the survivors of the smaller group, and they without it.
def test_a_late_vote_of_a_removed_disk_elects_nobody_beside_the_survivors():
    play = Schedule()
    leader, survivor, candidate = play.leader, play.survivor, play.candidate
    voter, lost_id = play.voter, play.lost.replica_id

    # The disk grants its vote in a new term, and neither this vote nor the request to another
    # voter has arrived when the leader goes on, in the earlier term.
    play.campaign()
    play.deliver_all(candidate.replica_id, lost_id, "vote_request")
    assert play.lost.core.voted_for == candidate.replica_id
    play.run(leader, survivor, voter, seconds=0.5)
    play.replace_disk(play.lost)
    play.run(leader, survivor, voter, seconds=0.5)
    assert leader.core.removable_lost_ids == [lost_id]

    # The removal and a command reach the survivor alone, whose answer is late.
    leader.core.remove_lost(lost_id)
    leader.process_ready()
    play.propose(leader, "of the earlier leader")
    play.deliver_all(leader.replica_id, survivor.replica_id, "append_request")
    late_answers = play.late(survivor.replica_id, leader.replica_id, "append_reply")
    assert survivor.core.log.last_index == leader.core.log.last_index

    # The leader stands still; the late request and the late vote arrive.
    play.group.now += 1.1
    play.deliver_all(candidate.replica_id, voter.replica_id, "vote_request")
    play.deliver_all(lost_id, candidate.replica_id, "vote_reply")
    play.carry(candidate, voter, survivor)
    if candidate.is_leader:
        play.propose(candidate, "of the later leader")
        play.carry(candidate, voter, survivor)

    # Both of them lose their disks as well, and the leader goes on with the survivor.
    play.replace_disk(candidate)
    play.replace_disk(voter)
    for message in late_answers:
        play.deliver(message)
    shorter, longer = sorted([candidate.applied, leader.applied], key=len)
    assert shorter == longer[: len(shorter)]
