"""Election and commit of the replicated log.

Three replicas, terms up to ``MAX_TERM``, logs up to ``MAX_LOG`` entries.  A
message is one atomic step between two replicas: loss, delay and repetition mean
that the step is not taken, taken later or taken again.  A restart keeps the
synced state: term, vote and log.
"""

from minicheck import Protocol

from .model import bound, specification

REPLICAS = range(3)
MAX_TERM = bound(4, small=3)
MAX_LOG = 1
FOLLOWER, CANDIDATE, LEADER = 0, 1, 2

VOTE_ONCE = "a replica votes at most once per term"
VOTE_UP_TO_DATE = "a vote goes only to a candidate whose log is at least as up to date"
COMMIT_OWN_TERM = "only an entry of the leader's own term is committed by counting replicas"
SYNC_BEFORE_REPLY = "a vote is synced before the reply"
QUORUM = "a commit needs a majority"
GUARDS = (VOTE_ONCE, VOTE_UP_TO_DATE, COMMIT_OWN_TERM, SYNC_BEFORE_REPLY, QUORUM)

# State: per replica (term, voted_for or -1, log as tuple of terms, role, votes
# granted to it as bit set, match), and the committed log.  On a leader, match is
# the length of its log that each replica is known to hold; otherwise it is zeros.
_START = ((0, -1, (), FOLLOWER, 0, (0, 0, 0)),) * 3


def _log_position(log) -> tuple[int, int]:
    return (log[-1] if log else 0, len(log))


def _is_majority(bits: int) -> bool:
    return bits.bit_count() >= 2


def _with_item(replicas, index, replica):
    return tuple(replica if i == index else each for i, each in enumerate(replicas))


@specification("election", GUARDS, refuted_only_at_full_bounds=(COMMIT_OWN_TERM,))
def make(guards: frozenset[str]) -> Protocol:
    """Return the model with these guards active."""

    def transitions(state):
        replicas, committed = state
        steps = []
        for i in REPLICAS:
            steps += _local_steps(replicas, committed, i)
            for j in REPLICAS:
                if i != j:
                    steps += _exchange_steps(replicas, committed, i, j)
        return steps

    def _local_steps(replicas, committed, i):
        term, voted_for, log, role, votes, match = replicas[i]
        steps = []
        if term < MAX_TERM and role != LEADER:
            campaign = (term + 1, i, log, CANDIDATE, 1 << i, (0, 0, 0))
            steps.append((f"campaign {i}", (_with_item(replicas, i, campaign), committed)))
        if role == CANDIDATE and _is_majority(votes):
            own_match = tuple(len(log) if k == i else 0 for k in REPLICAS)
            steps.append(
                (
                    f"lead {i}",
                    (
                        _with_item(replicas, i, (term, voted_for, log, LEADER, 0, own_match)),
                        committed,
                    ),
                )
            )
        if role == LEADER and len(log) < MAX_LOG:
            extended_log = (*log, term)
            own_match = tuple(len(extended_log) if k == i else m for k, m in enumerate(match))
            leading_after = (term, voted_for, extended_log, LEADER, 0, own_match)
            steps.append((f"append {i}", (_with_item(replicas, i, leading_after), committed)))
        if role == LEADER:
            steps += _commit(replicas, committed, i)
        if role != FOLLOWER or SYNC_BEFORE_REPLY not in guards:
            vote_after = voted_for if SYNC_BEFORE_REPLY in guards else -1
            restarted = (term, vote_after, log, FOLLOWER, 0, (0, 0, 0))
            steps.append((f"restart {i}", (_with_item(replicas, i, restarted), committed)))
        return steps

    def _commit(replicas, committed, i):
        term, _, log, _, _, match = replicas[i]
        needed = 2 if QUORUM in guards else 1
        for length in range(len(committed) + 1, len(log) + 1):
            holders = sum(1 for m in match if m >= length)
            is_own_term = COMMIT_OWN_TERM not in guards or log[length - 1] == term
            if holders >= needed and is_own_term:
                yield f"commit {i}", (replicas, log[:length])

    def _exchange_steps(replicas, committed, i, j):
        term, voted_for, log, role, votes, match = replicas[i]
        other = replicas[j]
        if role == CANDIDATE and not votes & (1 << j):
            granted = _vote(other, term, log, i)
            if granted is not None:
                candidate_after = (term, voted_for, log, CANDIDATE, votes | (1 << j), match)
                replicas_after = _with_item(_with_item(replicas, i, candidate_after), j, granted)
                yield f"vote {j} for {i}", (replicas_after, committed)
        if role == LEADER and other[0] <= term and (other[0] < term or other[3] != LEADER):
            vote = other[1] if other[0] == term else -1
            follower_after = (term, vote, log, FOLLOWER, 0, (0, 0, 0))
            match_after = tuple(len(log) if k == j else m for k, m in enumerate(match))
            leader_after = (term, voted_for, log, LEADER, 0, match_after)
            replicas_after = _with_item(_with_item(replicas, i, leader_after), j, follower_after)
            yield f"replicate {i} to {j}", (replicas_after, committed)

    def _vote(voter, term, log, candidate):
        voter_term, voted_for, voter_log, *_ = voter
        if voter_term > term:
            return None
        if voter_term == term and VOTE_ONCE in guards and voted_for not in (-1, candidate):
            return None
        if VOTE_UP_TO_DATE in guards and _log_position(log) < _log_position(voter_log):
            return None
        return (term, candidate, voter_log, FOLLOWER, 0, (0, 0, 0))

    def at_most_one_leader_per_term(state):
        terms = [replica[0] for replica in state["replicas"] if replica[3] == LEADER]
        return len(terms) == len(set(terms))

    def latest_leader_holds_committed_entries(state):
        committed = state["committed"]
        newest = max(replica[0] for replica in state["replicas"])
        return all(
            log[: len(committed)] == committed
            for term, _, log, role, *_ in state["replicas"]
            if role == LEADER and term == newest
        )

    def committed_entries_are_on_a_majority(state):
        committed = state["committed"]
        holders = sum(1 for r in state["replicas"] if r[2][: len(committed)] == committed)
        return holders >= 2

    return Protocol(
        name="election",
        candidate=False,
        fields=("replicas", "committed"),
        initial=(_START, ()),
        transitions=transitions,
        invariants={
            "at most one leader per term": at_most_one_leader_per_term,
            "the latest leader holds every committed entry": latest_leader_holds_committed_entries,
            "committed entries stay on a majority": committed_entries_are_on_a_majority,
        },
    )
