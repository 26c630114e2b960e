"""The control role: the replicated state of a site and the control loop of its leader.

The leader assigns each worker to an entry host, which serves callers, dispatches
work to the workers that it owns and reports to the leader through syncs.
"""
