"""The replicated log: election, commit, membership and snapshots.

The protocol is Raft with pre-vote, check-quorum, learners and single-step
membership change.  ``core`` holds its rules and does no I/O; ``storage`` keeps
what must survive; ``service`` is the shell that runs both in a process.
"""
