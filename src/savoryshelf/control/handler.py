"""Thrift handler of a control host: checks authentication and delegates each call."""

from ..replication.membership import MembershipChangeRefused
from ..replication.service import OutcomeUnknown
from ..replication.types import NotLeading
from ..wire.generated import ttypes
from .join_handler import JoinHandler


class ControlHandler(JoinHandler):
    """Handles the calls of one connection; ``host`` is the ``ControlHostProcess``."""

    def deliver(self, messages):
        """Deliver messages from other replicas."""
        self.require_authenticated()
        self.carries_replication = True
        if self._host.replica is not None:
            self._host.replica.deliver(messages)

    def probe(self):
        """Return this disk's replica id and, if known, the group's initial membership."""
        self.require_authenticated()
        identity = self._host.identity
        return ttypes.ProbeReply(identity.replica_id, identity.genesis)

    def join(self, member):
        """Add a replica with an empty disk as a learner."""
        self.require_authenticated()
        self.record_lost_disks(member)
        try:
            self._host.running_repair().request_join(member)
        except NotLeading:
            raise self._host.running_site_service().not_leader() from None
        except OutcomeUnknown as error:
            raise ttypes.Unavailable(str(error), True) from None
        except MembershipChangeRefused as error:
            raise ttypes.Unavailable(str(error), False) from None

    def sync(self, request):
        """Record an entry host's report; return its lease and its start and stop orders."""
        return self._authenticated_service().sync(request)

    def settle(self, outcomes):
        """Commit the outcomes of ended attempts."""
        self._authenticated_service().settle(outcomes)

    def remove_replica(self, name):
        """Remove a replica from the group permanently."""
        self.require_authenticated()
        try:
            self._host.running_repair().remove(name)
        except NotLeading:
            raise self._host.running_site_service().not_leader() from None
        except MembershipChangeRefused as error:
            raise ttypes.Refused("membership_change_refused", str(error)) from None

    def submit(self, job):
        """Accept a batch job."""
        return self._authenticated_service().submit(job)

    def cancel(self, team, job_id):
        """Cancel a batch job."""
        return self._authenticated_service().cancel(team, job_id)

    def job(self, team, job_id, wait_seconds):
        """Return a job, waiting up to ``wait_seconds`` for its end."""
        return self._authenticated_service().job(team, job_id, wait_seconds)

    def apply(self, change):
        """Apply a configuration."""
        return self._authenticated_service().apply(change)

    def change_standing(self, change):
        """Drain a worker, or return it to service."""
        self._authenticated_service().change_standing(change)

    def view(self, name, argument):
        """Return an operators' view as JSON."""
        return self._authenticated_service().view(name, argument)

    def _authenticated_service(self):
        self.require_authenticated()
        return self._host.running_site_service()
