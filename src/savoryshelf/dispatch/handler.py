"""Thrift service that a control host for jobs of many tasks offers to its peers."""

import functools

from ..control.join_handler import JoinHandler
from ..observability import metrics
from ..observability.bounded import BoundedLog
from ..replication.membership import MembershipChangeRefused
from ..replication.service import OutcomeUnknown
from ..replication.types import NotLeading
from ..wire.generated import ttypes


def _records_unknown_leader(method):
    """Have a method of the handler count and log that it answers without naming a leader."""

    # A generator context manager can't do this: thrift's exceptions are immutable, and
    # ``contextlib`` sets their traceback.
    @functools.wraps(method)
    def call(self, *arguments):
        try:
            return method(self, *arguments)
        except ttypes.NotLeader as error:
            if not error.leader_address:
                self.record_unknown_leader(method.__name__)
            raise

    return call


class TaskControlHandler(JoinHandler):
    """Serves one connection; ``host`` is the process's ``TaskControlHost``.

    ``leader_unknown`` logs the answers that name no leader, for all connections.
    """

    def __init__(self, cluster_key: str, host, leader_unknown: BoundedLog | None = None):
        super().__init__(cluster_key, host)
        self._leader_unknown = leader_unknown

    def deliver(self, messages):
        """Pass messages from other replicas to this host."""
        self.require_authenticated()
        self.carries_replication = True
        self._host.deliver(messages)

    @_records_unknown_leader
    def join(self, member):
        """Add a replica to the group as a learner, unless it is a member already."""
        self.require_authenticated()
        self.record_lost_disks(member)
        try:
            self._host.repair.request_join(member)
        except NotLeading:
            raise self._not_leader() from None
        except OutcomeUnknown as error:
            raise ttypes.Unavailable(str(error), True) from None
        except MembershipChangeRefused as error:
            raise ttypes.Unavailable(str(error), False) from None

    @_records_unknown_leader
    def remove_replica(self, name):
        """Remove a replica whose process stops, if the group has more voters than its target."""
        self.require_authenticated()
        try:
            self._host.repair.request_leave(name)
        except NotLeading:
            raise self._not_leader() from None
        except OutcomeUnknown as error:
            raise ttypes.Unavailable(str(error), True) from None
        except MembershipChangeRefused as error:
            raise ttypes.Refused("membership_change_refused", str(error)) from None

    def group(self):
        """Return the addresses of the group's members and of its leader."""
        self.require_authenticated()
        members = self._host.replica.core.log.membership.members
        addresses = [member.address for member in members]
        return ttypes.GroupView(addresses, self._host.replica.leader_address)

    @_records_unknown_leader
    def job_call(self, call):
        """Answer a caller's request; raises NotLeader if this host does not lead."""
        self.require_authenticated()
        return self._host.task_service.job_call(call)

    @_records_unknown_leader
    def report(self, report):
        """Take an agent's report; raises NotLeader if this host does not lead."""
        self.require_authenticated()
        return self._host.receive_report(report)

    def record_unknown_leader(self, call: str) -> None:
        """Count and log that a call was answered without naming a leader."""
        metrics.LEADER_UNKNOWN_ANSWERS.labels(call).inc()
        if self._leader_unknown is not None:
            self._leader_unknown.log((call,), call=call, why="no leader is known")

    def _not_leader(self):
        replica = self._host.replica
        return ttypes.NotLeader(replica.leader_address, replica.leader_name)
