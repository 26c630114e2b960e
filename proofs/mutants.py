"""The guards of the product, each with the edit that removes it and the tests that must fail."""

import attrs

GUARANTEES = "tests/promises"
REPLICATION = "tests/replication"
LEDGER = "tests/ledger"
TASKS = "tests/tasks"
DISPATCH = "tests/dispatch"


@attrs.frozen
class Mutant:
    """The edit ``old`` -> ``new`` in ``file`` that removes one guard, and the tests to run."""

    guard: str
    file: str
    old: str
    new: str
    tests: str


_CORE = "replication/core.py"
_STORAGE = "replication/storage.py"
_LEDGER = "ledger/state.py"
_FLEET = "targets/state.py"
_BATCH = "entry/batch.py"
_TASKS = "tasks/ledger.py"
_WORKER_SESSION = "dispatch/worker_session.py"
_INTERFERENCE = "dispatch/interference.py"
_THROTTLING = "dispatch/throttling.py"
_AGENT_TESTS = "tests/dispatch/test_agent.py tests/dispatch/test_permission.py"

MUTANTS = [
    Mutant(
        "a vote goes only to a candidate whose log is at least as up to date",
        _CORE,
        "if candidate_log < (self.log.last_term, self.log.last_index):",
        "if False:",
        REPLICATION,
    ),
    Mutant(
        "a replica votes at most once per term",
        _CORE,
        'return message.term == self.term and self.voted_for in ("", message.sender)',
        "return message.term == self.term",
        REPLICATION,
    ),
    Mutant(
        "only an entry of the leader's own term is committed by counting replicas",
        _CORE,
        "if index > self.commit_index and self.log.term_at(index) == self.term:",
        "if index > self.commit_index:",
        REPLICATION,
    ),
    Mutant(
        "a replica in recent contact with its leader ignores campaigns",
        _CORE,
        "if has_recent_leader or self.role is Role.LEADER:",
        "if False:",
        REPLICATION,
    ),
    Mutant(
        "a campaign starts with a pre-vote, which does not raise the term",
        _CORE,
        "self._campaign(pre_vote=True)",
        "self._campaign(pre_vote=False)",
        REPLICATION,
    ),
    Mutant(
        "a leader without a quorum steps down",
        _CORE,
        "if self._now - contact_at > self.timing.election_timeout:",
        "if False:",
        REPLICATION,
    ),
    Mutant(
        "a replica that has not received a log yet never votes",
        _CORE,
        "if not self.log.membership.members:",
        "if False:",
        REPLICATION,
    ),
    Mutant(
        "a message addressed to the identity of a lost disk is ignored",
        _CORE,
        "if message.recipient != self.replica_id or message.shard != self.shard:",
        "if False:",
        REPLICATION,
    ),
    Mutant(
        "a membership change waits for the previous one to commit",
        _CORE,
        "if self.log.membership_index > self.commit_index:",
        "if False:",
        REPLICATION,
    ),
    Mutant(
        "no membership change before a commit in the leader's term",
        _CORE,
        "if not self.has_committed_in_term:\n            # Without",
        "if False:\n            # Without",
        REPLICATION,
    ),
    Mutant(
        "a learner becomes a voter only once it keeps pace with the leader",
        _CORE,
        "if not self.is_caught_up(replica_id):",
        "if False:",
        REPLICATION,
    ),
    Mutant(
        "a member that replies but lags has not caught up",
        "replication/leader_state.py",
        "if sent and progress.match_index >= sent.commit_index:",
        "if sent:",
        "tests/replication/test_core.py tests/control/test_repair.py",
    ),
    Mutant(
        "a member that no longer replies has not caught up",
        _CORE,
        "and self._now - progress.caught_up_at <= self.timing.election_timeout",
        "and progress.caught_up_at > 0",
        "tests/replication/test_core.py",
    ),
    Mutant(
        "a new leader asks for all entries before its term, whatever it knows to be committed",
        "replication/leader_state.py",
        "committed = max(commit_index, self.term_start_index)",
        "committed = commit_index",
        "tests/replication/test_core.py",
    ),
    Mutant(
        "a read is confirmed by a round that began after it",
        "replication/leader_state.py",
        "if confirmed > read.after_round]",
        "if confirmed >= read.after_round]",
        REPLICATION,
    ),
    Mutant(
        "a reply leaves only after the write is synced",
        _CORE,
        "self._messages.append(self._message(recipient, term, payload))",
        "self._messages_before_sync.append(self._message(recipient, term, payload))",
        REPLICATION,
    ),
    Mutant(
        "damage before the end of the log stops the replica",
        _STORAGE,
        "if not is_last or _has_valid_frame_after(data, offset):",
        "if False:",
        REPLICATION,
    ),
    Mutant(
        "a torn last write is truncated",
        _STORAGE,
        "self._disk.truncate(name, offset)\n                return",
        "return",
        REPLICATION,
    ),
    Mutant(
        "replacing an entry truncates the entries after it",
        _STORAGE,
        "for index in [i for i in entry_by_index if i >= entry.index]:",
        "for index in []:",
        REPLICATION,
    ),
    Mutant(
        "an outcome settles only the attempt it names",
        _LEDGER,
        "if job is None or job.attempt != outcome.key.attempt:\n            return False\n"
        "        resolves",
        "if job is None:\n            return False\n        resolves",
        LEDGER,
    ),
    Mutant(
        "an attempt starts only after the previous one is settled",
        _LEDGER,
        "if job is None or job.state is not JobState.QUEUED or start.attempt != job.attempt + 1:",
        "if job is None:",
        LEDGER,
    ),
    Mutant(
        "an unrepeatable job whose outcome is unknown is not placed again",
        _LEDGER,
        "if job.repeatable:\n        _requeue",
        "if True:\n        _requeue",
        f"{LEDGER} {GUARANTEES}",
    ),
    Mutant(
        "an idempotency key identifies one request",
        _LEDGER,
        "if existing.body_digest != job.body_digest or existing.class_name != job.class_name:",
        "if False:",
        LEDGER,
    ),
    Mutant(
        "a restarted worker's tasks are settled as lost",
        "control/state.py",
        "if fleet.register_worker(announcement, at_ms) and previous_incarnation:",
        "if fleet.register_worker(announcement, at_ms) and False:",
        GUARANTEES,
    ),
    Mutant(
        "a change is accepted only from the version in force",
        "configuration/state.py",
        "if change.expected_version != self.version:",
        "if False:",
        "tests/configuration",
    ),
    Mutant(
        "a resent change gets the result of the first one",
        "configuration/state.py",
        "if previous_change.operation_id == change.operation_id:",
        "if False:",
        GUARANTEES,
    ),
    Mutant(
        "an entry host never applies an older configuration",
        "entry/state.py",
        "if version <= self.configuration_version:\n            return False",
        "pass",
        "tests/entry",
    ),
    Mutant(
        "a worker is reassigned only after its owner has acknowledged the release",
        "control/sessions.py",
        "return session is not None and session.assignment_version >= worker.released_version",
        "return True",
        "tests/targets",
    ),
    Mutant(
        "an entry host is considered lost only after its lease has expired",
        "control/sessions.py",
        "return now > granter_deadline(renewed_at, ENTRY_LEASE_SECONDS)",
        "return now > renewed_at + 0.1",
        GUARANTEES,
    ),
    Mutant(
        "a new leader waits for leases granted by its predecessor to expire",
        "control/sessions.py",
        "renewed_at = self.elected_at\n",
        'renewed_at = float("-inf")\n',
        "tests/targets",
    ),
    Mutant(
        "a host without a lease starts nothing",
        _BATCH,
        "if declarations is None or not self._state.lease.is_valid(now):\n            return False",
        "if declarations is None:\n            return False",
        "tests/entry",
    ),
    Mutant(
        "a start that does not fit is not sent",
        _BATCH,
        "if not target.fits_batch(attempt.demand, declarations.limits.critical_reserve_slots):",
        "if False:",
        "tests/entry",
    ),
    Mutant(
        "an attempt is reported as not run only after its worker refuses it",
        _BATCH,
        "if self._workers.settle_attempt(target, attempt.job_id, attempt.attempt):",
        "if False:",
        GUARANTEES,
    ),
    Mutant(
        "an unresponsive worker is considered lost only after its task lease has expired",
        "entry/targets.py",
        "return now > granter_deadline(last_contact_at, lease_seconds)",
        "return now > last_contact_at + 1.5",
        "tests/entry",
    ),
    Mutant(
        "a leaving worker gets no new work",
        "entry/targets.py",
        "return self.adopted and is_active and not self.leaving and not is_unresponsive",
        "return self.adopted and not is_unresponsive",
        "tests/entry",
    ),
    Mutant(
        "an abandoned request counts as running until the worker reports otherwise",
        "entry/critical.py",
        "target.abandon(attempt_id, self._clock.monotonic())",
        "pass",
        "tests/entry",
    ),
    Mutant(
        "critical requests never exceed their worker's capacity",
        "entry/critical.py",
        "if target.is_schedulable(now, interval) and target.fits(call.demand)",
        "if target.is_schedulable(now, interval)",
        "tests/entry",
    ),
    Mutant(
        "a refused request whose outcome is unknown is not reported as not run",
        "entry/critical.py",
        "certainty = Certainty.UNKNOWN if call.outcome_is_unknown else Certainty.NOT_RUN",
        "certainty = Certainty.NOT_RUN",
        "tests/entry",
    ),
    Mutant(
        "retries stay within their budget",
        "entry/critical.py",
        "elif not self._budget.try_take():",
        "elif False:",
        "tests/entry",
    ),
    Mutant(
        "a response without an explicit length is rejected",
        "entry/worker_client.py",
        "if not _has_explicit_length(response):",
        "if False:",
        "tests/entry",
    ),
    Mutant(
        "a connection is not reused after an interrupted call",
        "wire/peers.py",
        "            # and the next call on this connection would read it as its own.\n"
        "            self.close()",
        "            # and the next call on this connection would read it as its own.",
        "tests/wire",
    ),
    Mutant(
        "a request missing from a report is counted while it may still arrive",
        "entry/targets.py",
        "if request_id in critical_ids or now - each.abandoned_at < LATE_ARRIVAL_SECONDS",
        "if request_id in critical_ids",
        "tests/entry/test_capacity_stateful.py",
    ),
    Mutant(
        "abandoned requests count towards capacity",
        "entry/targets.py",
        "return [*self.critical_by_id.values(), *abandoned, *self.batch_by_id.values()]",
        "return [*self.critical_by_id.values(), *self.batch_by_id.values()]",
        "tests/entry/test_capacity_stateful.py",
    ),
    Mutant(
        "a second worker is tried only within the retry budget",
        "entry/critical.py",
        "if not candidates or not self._budget.try_take():",
        "if not candidates:",
        "tests/entry",
    ),
    Mutant(
        "a rejected probe does not quarantine a worker forever",
        "entry/critical.py",
        "            target.quarantine.record_rejection()\n",
        "",
        "tests/entry/test_critical.py",
    ),
    Mutant(
        "placement ignores a quarantine of most of the fleet",
        "control/leader_loop.py",
        "applies_quarantine = may_quarantine(quarantined - 1, len(note_by_worker_id))",
        "applies_quarantine = True",
        "tests/control/test_leader_loop.py",
    ),
    Mutant(
        "a task has one run unless copies are allowed",
        _TASKS,
        "if is_duplicate and not group.spec.allow_duplicates:",
        "if False:",
        TASKS,
    ),
    Mutant(
        "a step is unblocked only after its predecessors are done",
        _TASKS,
        "if group.is_unblocked or group.job.is_ended or any(step.unfinished for step in required):",
        "if group.is_unblocked or group.job.is_ended:",
        TASKS,
    ),
    Mutant(
        "the end of a run that is reported twice is settled once",
        _TASKS,
        "if not 0 < end.number <= settled_up_to:",
        "if True:",
        TASKS,
    ),
    Mutant(
        "an unresponsive worker's lease is not extended",
        _WORKER_SESSION,
        "renews_lease = self.clock.has_reading and not self.is_unresponsive",
        "renews_lease = self.clock.has_reading",
        DISPATCH,
    ),
    Mutant(
        "a run whose start got no response is stopped",
        _WORKER_SESSION,
        """            self._starts_in_flight.discard(key)
            self.stop(task, run)
            return
        except IncarnationReplaced""",
        """            self._starts_in_flight.discard(key)
            return
        except IncarnationReplaced""",
        DISPATCH,
    ),
    Mutant(
        "a run whose start is in flight is not reported missing",
        _WORKER_SESSION,
        'if self._confirmed_at_by_run.get(key, float("inf")) < sent_at:',
        "if True:",
        DISPATCH,
    ),
    Mutant(
        "unresponsive members are sent no entries",
        _CORE,
        "if self._can_send_entries(progress) else []",
        "",
        REPLICATION,
    ),
    Mutant(
        "a seed that lost its disk gets a new identity",
        "replication/seed_bootstrap.py",
        "is_first_member = is_first_start and own_ip in seed_ips",
        "is_first_member = own_ip in seed_ips",
        REPLICATION,
    ),
    Mutant(
        "an unresponsive voter is replaced",
        "control/repair.py",
        'return unresponsive[0] if unresponsive else ""',
        'return ""',
        "tests/control",
    ),
    Mutant(
        "the effects of images whose load changes together are separated",
        _INTERFERENCE,
        "        residual = self._covariance_by_image[image] + strength * PRIOR_WEIGHT - explained",
        "        residual = self._covariance_by_image[image] + strength * PRIOR_WEIGHT",
        DISPATCH,
    ),
    Mutant(
        "older samples lose weight",
        _INTERFERENCE,
        "math.exp(min(elapsed, MAX_DECAY_SECONDS) / FORGETTING_SECONDS)",
        "1.0",
        DISPATCH,
    ),
    Mutant(
        "the number of modelled images is bounded",
        _INTERFERENCE,
        "        self._drop_images_beyond(MAX_IMAGES)\n",
        "",
        DISPATCH,
    ),
    Mutant(
        "no interference is attributed to harmless images",
        _INTERFERENCE,
        "            if worst_image_utilisation < NEGLIGIBLE_UTILISATION:\n                break\n",
        "",
        DISPATCH,
    ),
    Mutant(
        "all best-effort runs are evicted when a serving run stays slow",
        _THROTTLING,
        "if is_interfering or slow_seconds >= MAX_SLOW_SECONDS:",
        "if is_interfering:",
        DISPATCH,
    ),
    Mutant(
        "polls in quick succession add one sample",
        _THROTTLING,
        "elif now - averages.sampled_at >= MIN_SAMPLE_INTERVAL_SECONDS:",
        "else:",
        DISPATCH,
    ),
    Mutant(
        "an evicted image is excluded from the worker for a while",
        "dispatch/placement.py",
        "        if step.image in self.view.excluded_images:\n            return False\n",
        "",
        DISPATCH,
    ),
    Mutant(
        "retention is measured on a monotonic clock",
        "dispatch/retention.py",
        "            cutoff = self._samples.popleft()[1]",
        "            self._samples.popleft()\n            cutoff = ledger_ms",
        DISPATCH,
    ),
    Mutant(
        "a stopping server keeps connections with a request",
        "http_server.py",
        "            if not each.has_request and not is_new:",
        "            if not is_new:",
        "tests/test_http_server.py",
    ),
    Mutant(
        "a stopping server serves the connections that wait to be accepted",
        "http_server.py",
        "            self._start_serving(accepted, peer)\n\n    def _close_idle",
        "            accepted.close()\n\n    def _close_idle",
        "tests/test_http_server.py",
    ),
    Mutant(
        "a best-effort step without a run gets one whatever the limit",
        "dispatch/placement.py",
        "limit = max(best_effort_starts, 0 if _has_run(group) else 1)",
        "limit = best_effort_starts",
        DISPATCH,
    ),
    Mutant(
        "replies that waited during a pause of the leader are no contact",
        "replication/leader_state.py",
        "sent.sent_at if sent else progress.contact_at",
        "now",
        "tests/replication/test_core.py",
    ),
    Mutant(
        "permission is counted from before the report was sent",
        "dispatch/agent.py",
        "self._permission.renew(requested_at, reply.newest_token)",
        "self._permission.renew(self.now(), reply.newest_token)",
        "tests/dispatch/test_agent.py",
    ),
    Mutant(
        "permission ends",
        "dispatch/permission.py",
        "return now < self._valid_until and",
        "return",
        _AGENT_TESTS,
    ),
    Mutant(
        "permission needs the newest assignment",
        "dispatch/permission.py",
        " and applied_token >= self._newest_token",
        "",
        _AGENT_TESTS,
    ),
    Mutant(
        "a leader without a majority grants no permission",
        "dispatch/leader_term.py",
        "        if not self.is_confirmed():\n            raise",
        "        if False:\n            raise",
        _AGENT_TESTS,
    ),
    Mutant(
        "an agent whose state was replaced takes another id",
        "dispatch/agent.py",
        "        self.agent_id = new_agent_id(self._replica.core.replica_id)\n        for",
        "        for",
        _AGENT_TESTS,
    ),
    Mutant(
        "a new agent waits for the permission of the earlier one",
        "dispatch/agent.py",
        "TAKEOVER_SLACK_MS = 300 + int(1000 * PERMISSION_SECONDS)",
        "TAKEOVER_SLACK_MS = 0",
        _AGENT_TESTS,
    ),
    Mutant(
        "an agent that does not apply the log loses its workers",
        "dispatch/agent_fleet.py",
        "return agent.applied_index >= self._index_to_have_applied(now)",
        "return True",
        _AGENT_TESTS,
    ),
    Mutant(
        "what an earlier agent settles is ignored",
        _TASKS,
        "if fencing_token and (worker is None or worker.record.fencing_token != fencing_token):",
        "if False:",
        TASKS,
    ),
    Mutant(
        "an earlier agent ends no incarnation",
        _TASKS,
        "if fencing_tokens and worker.record.fencing_token != fencing_tokens[position]:",
        "if False:",
        TASKS,
    ),
    Mutant(
        "each assignment has a token of its own",
        _TASKS,
        "self.newest_token = max(self.newest_token, min_token) + 1",
        "self.newest_token = max(self.newest_token, min_token)",
        TASKS,
    ),
    Mutant(
        "an older record of a worker is ignored",
        _TASKS,
        "if (record.sequence or 0) < (known.sequence or 0):",
        "if False:",
        TASKS,
    ),
    Mutant(
        "a worker that has announced its exit stays out of use",
        _TASKS,
        "        if known.leaving:\n            record.leaving = record.draining = True\n",
        "",
        TASKS,
    ),
    Mutant(
        "no call is made without permission",
        _WORKER_SESSION,
        "        return self._agent.may_call_workers()\n",
        "        return True\n",
        "tests/dispatch/test_worker_session.py",
    ),
    Mutant(
        "nothing is started on a worker that was reported as lost",
        _WORKER_SESSION,
        "if self.is_closed or self.has_ended or self.is_fenced:",
        "if self.is_closed or self.is_fenced:",
        "tests/dispatch/test_worker_session.py",
    ),
    Mutant(
        "a fenced session makes no more calls",
        _WORKER_SESSION,
        "if self.is_closed or self.has_ended or self.is_fenced:",
        "if self.is_closed or self.has_ended:",
        "tests/dispatch/test_worker_session.py",
    ),
    Mutant(
        "an unexpected error of a poll does not end the session",
        _WORKER_SESSION,
        "            except Exception as error:\n",
        "            except ZeroDivisionError as error:\n",
        "tests/dispatch/test_worker_session.py",
    ),
    Mutant(
        "nothing works beside a run that misses its target for too long",
        _THROTTLING,
        "if speed_percent < MIN_SPEED_PERCENT or slow_seconds >= PAUSE_SLOW_SECONDS:",
        "if speed_percent < MIN_SPEED_PERCENT:",
        DISPATCH,
    ),
    Mutant(
        "a job that cannot be on time yields to those that can",
        "dispatch/lateness.py",
        "earliest_end_ms = age_ms + remaining_ms[group.number]",
        "earliest_end_ms = age_ms",
        DISPATCH,
    ),
]
