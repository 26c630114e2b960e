"""The peers' port of a control host: hands authenticated calls to their slice."""

from ..replication.membership import MembershipChangeRefused
from ..replication.types import NotLeading
from ..wire.generated import ttypes
from ..wire.peers import PeerHandler


class ControlHandler(PeerHandler):
    """Serves one connection; ``host`` is the process's ``ControlHostProcess``."""

    def __init__(self, cluster_key: str, host):
        super().__init__(cluster_key)
        self._host = host

    def deliver(self, messages):
        """Take messages of other replicas."""
        self.require_authenticated()
        if self._host.replica is not None:
            self._host.replica.deliver(messages)

    def probe(self):
        """Tell who this disk is and whether it knows a group."""
        self.require_authenticated()
        identity = self._host.identity
        return ttypes.ProbeReply(identity.replica_id, identity.genesis)

    def join(self, member):
        """Let a replica with an empty disk join as a learner."""
        self.require_authenticated()
        try:
            self._host.running_repair().request_join(member)
        except NotLeading:
            raise self._host.running_site_service().not_leader() from None

    def sync(self, request):
        """Take an entry host's report and hand out its orders."""
        return self._authenticated_service().sync(request)

    def settle(self, outcomes):
        """Settle attempts that have ended."""
        self._authenticated_service().settle(outcomes)

    def remove_replica(self, name):
        """Retire a replica for good."""
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
        """Return a job, waiting for its end."""
        return self._authenticated_service().job(team, job_id, wait_seconds)

    def apply(self, change):
        """Put a configuration in force."""
        return self._authenticated_service().apply(change)

    def change_standing(self, change):
        """Drain a worker, or return it."""
        self._authenticated_service().change_standing(change)

    def view(self, name, argument):
        """Return an operator's view."""
        return self._authenticated_service().view(name, argument)

    def _authenticated_service(self):
        self.require_authenticated()
        return self._host.running_site_service()
