"""The replicated log: election, commit, membership and snapshots.

The protocol is Raft with pre-vote, check-quorum, learners and single-step
membership changes.  ``core`` implements the protocol without I/O, ``storage``
persists a replica's state on its disk, and ``service`` is the driver that runs
both in a process.
"""
