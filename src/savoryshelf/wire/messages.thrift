/*
 * Messages between savoryshelf's own processes, and the records of its log.
 *
 * Regenerate with `make generate` (thrift compiler 0.17); the result is
 * committed, so that a build does not need the compiler.  Field numbers are never
 * reused.  Times are in milliseconds and sizes in bytes unless a name states another unit.
 */
namespace py generated

// ---------------------------------------------------------------- replication

enum EntryKind { NOOP = 0, COMMAND = 1, MEMBERSHIP = 2 }

struct LogEntry { 1: i64 index, 2: i64 term, 3: EntryKind kind, 4: binary payload }

/**
 * A member of a control group; a learner if `voter` is false.
 *
 * `replica_id` consists of the host name and a suffix that belongs to the disk.
 */
struct Member { 1: string replica_id, 2: string address, 3: string failure_domain, 4: bool voter }

/**
 * The members of a group.  A quorum is a majority of the voters, and `min_copies` of them at least, or
 * all where there are fewer.  `removes_lost` tells that the voters which this membership
 * lacks, compared with the one before, have lost their disks.
 */
struct Membership { 1: list<Member> members, 2: optional i32 min_copies, 3: optional bool removes_lost }

/**
 * Requests a vote; a pre-vote (`pre_vote`) changes no member's term.  `campaign` tells the campaigns
 * of a candidate apart, since it repeats its requests; hosts of earlier versions do not set it.
 */
struct VoteRequest { 1: i64 last_index, 2: i64 last_term, 3: bool pre_vote, 4: optional i64 campaign }

/** `why` tells why a vote was refused; hosts of earlier versions do not set it. */
struct VoteReply { 1: bool granted, 2: bool pre_vote, 3: optional string why }

/** Replicates log entries; without entries it is a heartbeat. `round` counts the leader's heartbeats. */
struct AppendRequest {
  1: i64 previous_index, 2: i64 previous_term, 3: list<LogEntry> entries,
  4: i64 commit_index, 5: i64 round
}

/** `match_index` is the last synced index on success, else a hint for the index to try next. */
struct AppendReply { 1: bool success, 2: i64 match_index, 3: i64 round }

/** One part of a snapshot transfer: `data` starts at byte `offset`; `done` marks the last part. */
struct SnapshotChunk {
  1: i64 last_index, 2: i64 last_term, 3: Membership membership,
  4: i64 offset, 5: binary data, 6: bool done, 7: i64 round
}

/** `next_offset` is the offset of the chunk to send next, unless the snapshot is `installed`. */
struct SnapshotReply { 1: i64 last_index, 2: i64 next_offset, 3: bool installed, 4: i64 round }

/**
 * Tells that the disk of `replica_id` is gone: the sender has another disk on the same host, and has
 * received a message for that replica.
 */
struct DiskLost { 1: string replica_id }

union RaftPayload {
  1: VoteRequest vote_request, 2: VoteReply vote_reply,
  3: AppendRequest append_request, 4: AppendReply append_reply,
  5: SnapshotChunk snapshot_chunk, 6: SnapshotReply snapshot_reply, 7: DiskLost disk_lost
}

/** `shard` is the number of the control group; a replica ignores messages of other groups. */
struct RaftMessage { 1: string sender, 2: string recipient, 3: i64 term, 4: RaftPayload payload, 5: i32 shard }

/**
 * One synced write to the log: hard state, entries, or both, covered by one checksum.
 *
 * `commit_index` is what was known to be committed; records of earlier versions lack it.
 */
struct WalRecord {
  1: optional i64 term, 2: optional string voted_for, 3: list<LogEntry> entries, 4: optional i64 commit_index
}

struct SnapshotFile { 1: i64 last_index, 2: i64 last_term, 3: Membership membership, 4: binary state }

/**
 * Identity of a data folder, written on first use.
 *
 * `genesis` is the initial membership of the group, added once it is decided.
 */
struct DiskIdentity { 1: string replica_id, 2: optional Membership genesis }

struct ProbeReply { 1: string replica_id, 2: optional Membership genesis }

// -------------------------------------------------------------------- targets

/** A worker's announcement of itself: its address, location and resources. */
struct WorkerAnnouncement {
  1: string worker_id, 2: string incarnation, 3: string url, 4: string failure_domain, 5: string rack,
  6: i32 slots, 7: i32 connections, 8: double cores, 9: i64 memory_mb, 10: i32 accelerators
}

/** The owner's view of one worker, reported to the control leader. */
struct WorkerNote {
  1: string worker_id, 2: i64 epoch, 3: bool adopted, 4: bool leaving,
  5: i32 critical_in_flight, 6: i32 batch_running, 7: double slowdown, 8: bool quarantined,
  /** Whether the worker's task lease has expired, so that it has stopped its batch tasks. */
  9: bool lease_lapsed, 10: string incarnation,
  /** The worker's latency_ratio in tenths: recent latency of critical requests over its target. */
  11: i32 pressure_tenths
}

// ----------------------------------------------------------------- job ledger

/** Identifies one attempt of a job. `shard` is the control group that holds the job. */
struct AttemptKey { 1: string job_id, 2: i32 attempt, 3: i32 shard }

/**
 * How an attempt ended.  EVICTED: stopped for other work, if possible with a
 * checkpoint; STOPPED: stopped permanently; LOST: the worker was lost, so the attempt may have run.
 */
enum OutcomeKind { FINISHED = 1, FAILED = 2, NOT_RUN = 3, EVICTED = 4, LOST = 5, STOPPED = 6 }

struct AttemptOutcome {
  1: AttemptKey key, 2: OutcomeKind kind, 3: string reason, 4: optional binary result,
  5: optional string checkpoint_id, 6: i64 run_ms,
  /** The incarnation that the attempt was placed on, and the epoch of the owner that reports. */
  7: optional string worker_id, 8: optional string worker_incarnation, 9: optional i64 epoch
}

/** Tells an entry host to start an attempt on a worker that it owns. */
struct StartOrder {
  1: AttemptKey key, 2: string worker_id, 3: string class_name, 4: binary body,
  5: optional string checkpoint_id, 6: bool repeatable, 7: double cores, 8: i64 memory_mb,
  9: i32 accelerators, 10: string worker_incarnation, 11: string trace_id
}

/** Tells an entry host to stop an attempt: with a checkpoint (evict), or permanently (cancel). */
struct StopOrder { 1: AttemptKey key, 2: string worker_id, 3: bool checkpoint, 4: string reason }

// --------------------------------------------------------------- log commands

struct ApplyConfiguration {
  1: string operation_id, 2: i64 expected_version, 3: string document, 4: string author
}

/** `key` is the caller's idempotency key; `body_digest` is the SHA-256 of the body in hexadecimal. */
struct SubmitJob {
  1: string job_id, 2: string team, 3: string key, 4: string class_name, 5: binary body,
  6: bool urgent, 7: string body_digest, 8: string trace_id
}

struct CancelJob { 1: string job_id }

struct AttemptStart { 1: string job_id, 2: i32 attempt, 3: string worker_id, 4: string worker_incarnation }

struct StartAttempts { 1: list<AttemptStart> starts }

struct SettleAttempts { 1: list<AttemptOutcome> outcomes }

struct RequestEvictions { 1: list<AttemptKey> keys, 2: string reason }

/** Unless `keeps_earlier_lives` is set, as in older logs, another incarnation ends the one before. */
struct RegisterWorkers { 1: list<WorkerAnnouncement> workers, 2: optional bool keeps_earlier_lives }

/** Whether a worker is given new work, and if not, why. */
enum WorkerStanding { ACTIVE = 0, DRAINED = 1, LEAVING = 2, LOST = 3 }

struct ChangeStanding { 1: string operation_id, 2: string worker_id, 3: WorkerStanding standing, 4: string incarnation }

struct Assignment { 1: string worker_id, 2: string entry_id, 3: string entry_incarnation }

/** Unless `counts_epochs` is set, as in older logs, each worker counts its own epochs. */
struct AssignWorkers { 1: list<Assignment> assignments, 2: optional bool counts_epochs }

/** Revokes a worker's ownership; another entry host may own it once the owner has acknowledged. */
struct ReleaseWorker { 1: string worker_id, 2: string entry_id }

struct RegisterEntry {
  1: string entry_id, 2: string incarnation, 3: string address, 4: string http_url, 5: string failure_domain
}

/** `incarnation` prevents the removal of an entry host that has restarted meanwhile. */
struct RemoveEntry { 1: string entry_id, 2: string incarnation }

/** Deletes the jobs that ended, and the operation ids that were used, before these times. */
struct ExpireRecords { 1: i64 results_before_ms, 2: i64 operations_before_ms }

union CommandBody {
  1: ApplyConfiguration apply_configuration, 2: SubmitJob submit_job, 3: CancelJob cancel_job,
  4: StartAttempts start_attempts, 5: SettleAttempts settle_attempts,
  6: RequestEvictions request_evictions, 7: RegisterWorkers register_workers,
  8: ChangeStanding change_standing, 9: AssignWorkers assign_workers,
  10: RegisterEntry register_entry, 11: RemoveEntry remove_entry, 12: ExpireRecords expire_records,
  13: ReleaseWorker release_worker
}

/** `at_ms` is the proposing leader's wall clock; used for records and expiry, never for leases. */
struct Command { 1: i64 at_ms, 2: CommandBody body }

// --------------------------------------------------------- entry <-> control

/** Another entry host, to which critical requests can be spilled. */
struct EntryPeer { 1: string entry_id, 2: string address, 3: i32 free_slots }

struct OwnedWorker {
  1: WorkerAnnouncement worker, 2: i64 epoch, 3: WorkerStanding standing,
  /** The longest task lease that an owner of before may have granted. */
  4: optional double longest_task_lease_s
}

/**
 * An entry host's periodic report, which also renews its lease.
 *
 * `notes` and the acknowledgements hold the changes since the last reply of this
 * term's leader, or the full state if `is_full` is set.
 */
struct SyncRequest {
  1: string entry_id, 2: string incarnation, 3: string address, 4: string http_url,
  5: string failure_domain, 6: i64 configuration_version, 7: i64 assignment_version,
  8: bool leaving, 9: list<WorkerAnnouncement> announcements, 10: list<WorkerNote> notes,
  11: list<AttemptKey> acknowledged_starts, 12: list<AttemptKey> acknowledged_stops,
  13: i32 free_slots, 14: i32 shard, 15: double wait_seconds, 16: bool is_full
}

struct SyncReply {
  1: i64 lease_ms, 2: i64 configuration_version, 3: optional string configuration,
  4: i64 assignment_version, 5: optional list<OwnedWorker> owned, 6: list<StartOrder> starts,
  7: list<StopOrder> stops, 8: list<EntryPeer> peers, 9: i64 leader_term,
  /** The leader has no state of this entry host: the next request must be full. */
  10: bool wants_all
}

// ------------------------------------------------- jobs made of many tasks

/**
 * One step of a job: `count` identical tasks, started once all tasks of the steps in `after` are done.
 *
 * The tasks of a `gang` are started all together or not at all.
 */
struct StepSpec {
  1: i32 count, 2: i32 millicores, 3: i64 memory_mb, 4: i32 accelerators, 5: i32 estimated_ms,
  6: list<i32> after, 7: bool checkpointing, 8: bool gang, 9: bool same_rack,
  10: string required_label, 11: string data_rack,
  /** Maximum number of the step's tasks on one worker in one repetition of the job; 0 for no limit. */
  12: i32 max_per_worker,
  /** Whether a second run of a task may be started while one may still exist. */
  13: bool allow_duplicates,
  /** Long-running: runs until the job is cancelled and is restarted after every end. */
  14: bool lasting,
  15: string image, 16: i32 target_ms,
  /** Best-effort: uses only idle processor time; its `millicores` are not reserved. */
  17: bool filling,
  /** Maximum number of the step's long-running tasks that the scheduler may keep stopped at one time. */
  18: i32 may_miss
}

/** `first_run_ms` is wall-clock time; without repetitions the steps run once, immediately. */
struct JobSpec {
  1: string body, 2: list<StepSpec> steps, 3: i32 repetitions, 4: i64 first_run_ms, 5: i64 interval_ms
}

/**
 * A named queue that accepts jobs, with its priority, retry limit and latency target.
 *
 * A job should complete within `target_latency_ms` plus `stretch` times the estimated duration of
 * its longest chain of dependent steps.
 */
struct QueueSpec {
  1: string name, 2: string host, 3: string path_prefix, 4: string service_name, 5: i32 priority,
  6: i32 max_attempts, 7: double stretch, 8: i32 target_latency_ms
}

struct ServiceSpec { 1: string name, 2: bool guards_capacity, 3: bool spare }

/** A complete manifest; `document` is the operator's original text, returned on reads. */
struct Manifest {
  1: i64 version, 2: list<QueueSpec> queues, 3: list<ServiceSpec> services, 4: string document
}

struct AcceptTasks { 1: string job_id, 2: string host, 3: string path, 4: JobSpec spec }

/** `is_kept`: a job that is not known is refused if it is handed in later; older logs lack it. */
struct CancelTasks { 1: string job_id, 2: optional bool is_kept }

/** One incarnation of a worker: its id and the wall-clock time of its start in milliseconds. */
struct WorkerLife { 1: string worker_id, 2: i64 born_ms }

struct WorkerRecord {
  1: WorkerLife life, 2: string service_name, 3: string address, 4: string failure_domain, 5: string rack,
  6: list<string> labels, 7: i32 millicores, 8: i64 memory_mb, 9: i32 accelerators, 10: bool draining,
  /** Ends up to this number are settled; each incarnation of a worker numbers its ends from 1. */
  11: i64 seen_end,
  /** Number of the newest heartbeat that changed this record; earlier ones are stale. */
  12: i64 sequence,
  /** The incarnation has announced its exit; `draining` is set as well, and neither is reset. */
  13: bool leaving,
  /** The control host that calls this worker, if any, and the fencing token of its calls. */
  14: optional string agent_id, 15: i64 fencing_token,
  /**
   * Between which wall-clock times, in ms, contact with this incarnation was lost when it was last
   * recorded as ended without an announcement, and how many others lost theirs at the same time.
   */
  16: optional i64 lost_after_ms, 17: optional i64 lost_before_ms, 18: optional i32 lost_with
}

struct NoteWorkers { 1: list<WorkerRecord> workers }

struct RunIntent { 1: string task, 2: i32 run, 3: WorkerLife life }

/** Start intents; no start call is sent before they are committed. */
struct IntendRuns { 1: list<RunIntent> intents }

/**
 * How a run of a task ended.  Only FAILED counts as a failure of the task.  LAPSED: the worker's
 * lease expired; NEVER_RAN: the worker rejected the start, or lists neither the run nor its end.
 */
enum RunOutcome { DONE = 1, FAILED = 2, STOPPED = 3, LAPSED = 4, BROKEN = 5, ALONE = 6, LOST = 7, NEVER_RAN = 8 }

struct RunEnd {
  1: string task, 2: i32 run, 3: RunOutcome outcome, 4: string checkpoint,
  /** The worker's number for this end; 0 if the leader inferred the end. */
  5: i64 number
}

/**
 * Ends of runs of one worker incarnation; acknowledged to the worker only once committed.
 *
 * Ignored unless `fencing_token` is that of the worker's agent, or 0 for any.
 */
struct SettleRuns { 1: WorkerLife life, 2: i64 seen_end, 3: list<RunEnd> ends, 4: i64 fencing_token }

struct SettleBatch { 1: list<SettleRuns> settlements }

/**
 * How long a worker is known to have outlived the start of a run on it; negative if the start call
 * did not reach it.
 */
struct RunAge { 1: string task, 2: i32 run, 3: i64 worked_ms }

/**
 * What the end of an incarnation rests on.  `REPLACED`: another one answers at its address, so it has
 * ended for good.  `SILENT`: its lease has expired, so no run is left there, but it may have been cut
 * off and answer again.
 */
enum EndEvidence { REPLACED = 1, SILENT = 2 }

/** How long ago, in ms, an incarnation was last heard of, and a call to it first went unanswered. */
struct ContactLoss { 1: i64 heard_ms, 2: i64 unanswered_ms }

/**
 * Worker incarnations that run nothing any more: all runs on them are lost.
 *
 * `checkpoints` holds the last known checkpoints of these runs.  An incarnation is left as it is
 * unless its item in `fencing_tokens`, if there is one, is the token of the worker's agent.
 * `crashed`: the incarnations did not announce their exit.  Whether a run that is not in `worked` had
 * started is not known.  `evidence` is absent in logs of earlier versions, and if they announced it.
 * `losses` has an item for each incarnation, or none.
 */
struct EndLives {
  1: list<WorkerLife> lives, 2: list<RunEnd> checkpoints, 3: list<i64> fencing_tokens,
  4: optional bool crashed, 5: optional list<RunAge> worked, 6: optional EndEvidence evidence,
  7: optional list<ContactLoss> losses
}

/** Incarnations that were recorded as ended for their silence, and have answered since. */
struct WithdrawCrashes { 1: list<WorkerLife> lives }

/** Tasks whose jobs fail if enough workers have crashed under them. */
struct GiveUpTasks { 1: list<string> tasks }

/**
 * Incarnations that were recorded as ended for their silence; a later one has answered at the address
 * of each since, so none of them answers any more.
 */
struct ReplacedLives { 1: list<WorkerLife> lives }

struct AgentAssignment { 1: WorkerLife life, 2: string agent_id }

/**
 * Makes control hosts the agents of workers: only its agent calls a worker.
 *
 * Each assignment gets a new fencing token, higher than all before and than `min_token`.
 */
struct AssignAgents { 1: list<AgentAssignment> assignments, 2: i64 min_token }

/** Utilisation that one core of a best-effort image adds to a serving image, as learned by the leader. */
struct PairWeight {
  1: string filling_image, 2: string serving_image, 3: double weight,
  /** How much the samples behind the weight tell, in squared cores; set in reports of agents. */
  4: double information
}

struct NoteWeights { 1: list<PairWeight> weights }

struct ForgetJobs { 1: i64 ended_before_ms }

union TaskCommandBody {
  1: Manifest put_manifest, 2: AcceptTasks accept_tasks, 3: CancelTasks cancel_tasks,
  4: NoteWorkers note_workers, 5: IntendRuns intend_runs, 6: SettleRuns settle_runs,
  7: EndLives end_lives, 8: ForgetJobs forget_jobs, 9: NoteWeights note_weights,
  10: SettleBatch settle_batch, 11: AssignAgents assign_agents,
  12: WithdrawCrashes withdraw_crashes, 13: GiveUpTasks give_up_tasks,
  14: ReplacedLives note_replaced
}

struct TaskCommand { 1: i64 at_ms, 2: TaskCommandBody body }

/** A run that may exist on a worker, as stored in a snapshot. */
struct PlacedRun { 1: i32 run, 2: WorkerLife life }

/**
 * A crash of a worker under a run.  `on_start`: the worker is not known to have outlived the start
 * of the run; `sole`: and no other task's run was like that there.  `certain`: the run had started.
 * `proven`: the worker is known to have ended; absent in snapshots of earlier versions.
 * `replaced`: a later incarnation has answered at its address.
 */
struct CrashRecord {
  1: i32 run, 2: WorkerLife life, 3: bool on_start, 4: bool sole, 5: bool certain,
  6: optional bool proven, 7: optional bool replaced
}

/** `failed_on` is the id of the worker on which the task failed last, or crashed it; `checkpoint_run`
    is the number of the run that the checkpoint came from. */
struct TaskRecord {
  1: string task, 2: i32 runs, 3: i32 failures, 4: bool done, 5: string checkpoint,
  6: list<PlacedRun> placed, 7: string failed_on, 8: optional list<CrashRecord> crashes,
  9: optional i32 checkpoint_run
}

struct JobRecord {
  1: string job_id, 2: QueueSpec queue, 3: JobSpec spec, 4: i64 accepted_ms, 5: i64 ended_ms,
  6: bool cancelled, 7: bool failed, 8: list<TaskRecord> tasks, 9: bool started,
  /** Whether a run that has ended had begun; absent in snapshots of earlier versions. */
  10: optional bool begun
}

struct TaskSnapshot {
  1: i64 at_ms, 2: Manifest manifest, 3: list<WorkerRecord> workers, 4: list<JobRecord> jobs,
  5: list<PairWeight> weights, 6: i64 newest_token,
  /** The incarnations that have ended: what is heard of them later counts by their records. */
  7: optional list<WorkerRecord> ended_workers,
  /** The jobs that were cancelled before they were handed in, and when, in ms. */
  8: optional map<string, i64> early_cancels
}

// ------------------------------------------------------ agents <-> the leader

/** A run that may exist and is not at work: paused, being stopped, or its start is in doubt. */
struct IdleRun {
  1: string task, 2: i32 run,
  /** For how long; negative if it is not known ever to have been at work. */
  3: i64 idle_ms
}

/** What an agent knows of one of its workers beyond the log. */
struct WorkerState {
  1: WorkerLife life, 2: i64 fencing_token,
  /** Whether the worker answers and its runs are known. */
  3: bool responsive,
  /** Highest baseline utilisation among the serving runs of each image. */
  4: map<string, double> baseline_by_image,
  /** Best-effort images that were evicted recently, and for how many more ms to keep each away. */
  5: map<string, i32> exclusion_ms_by_image,
  /** The worker has seen a higher fencing token than its agent's. */
  6: bool fenced,
  7: optional list<IdleRun> idle_runs
}

enum RejectionKind { NO_CAPACITY = 1, UNHEALTHY = 2 }

/** A start that a worker rejected for a reason that concerns the worker rather than the run. */
struct StartRejection { 1: string worker_id, 2: RejectionKind kind }

/**
 * An agent's report to the leader, which also renews its permission to call workers.
 *
 * `states` holds the changes since the report `number - 1`, or all if `is_full` is set.
 */
struct AgentReport {
  1: string agent_id, 2: i64 number, 3: bool is_full, 4: bool leaving, 5: i64 applied_index,
  6: double timer_lag_seconds, 7: list<WorkerState> states, 8: list<SettleRuns> settlements,
  9: list<EndLives> ended_lives, 10: list<StartRejection> rejections, 11: list<PairWeight> weights,
  12: string region
}

/** `newest_token` is the newest fencing token that the leader has applied. */
struct AgentReply { 1: i64 term, 2: i64 newest_token, 3: bool wants_full }

enum JobVerb { SUBMIT = 1, READ = 2, CANCEL = 3, COUNT = 4 }

/** A caller's request, forwarded to the leader by an entry host. */
struct JobCall {
  1: JobVerb verb, 2: string host, 3: string path, 4: optional JobSpec spec, 5: string trace_id
}

enum JobAnswerKind {
  ACCEPTED = 1, STATE = 2, GONE = 3, NO_QUEUE = 4, COUNTED = 5, REFUSED = 6,
  /** The job was cancelled before it was handed in: it was never accepted, and never runs. */
  CANCELLED = 7
}

/**
 * `waiting` is the number of queued jobs, set with COUNTED.  `retry_after_ms` is set with REFUSED:
 * the job was not accepted and never runs.
 */
struct JobAnswer {
  1: JobAnswerKind kind, 2: string state, 3: i64 waiting, 4: i32 retry_after_ms, 5: string reason
}

/** Members and leader of the control group, as known to the answering member. */
struct GroupView { 1: list<string> addresses, 2: string leader_address }

struct SubmitReply { 1: string job_id, 2: bool duplicate, 3: string state }

struct ApplyReply { 1: i64 version, 2: bool duplicate }

struct JobView {
  1: string job_id, 2: string team, 3: string class_name, 4: string state, 5: i32 attempt,
  6: string reason, 7: optional binary result, 8: string story
}

/** `leader_name` is the leader's host name, because hosts may reach it by different addresses. */
exception NotLeader { 1: string leader_address, 2: string leader_name }

/** The request was not executed, or its outcome is unknown (`outcome_unknown`). */
exception Unavailable { 1: string reason, 2: bool outcome_unknown }

/** The request was rejected permanently; nothing was changed. */
exception Refused { 1: string reason, 2: string detail }

/** The connection is not authenticated, or the proof of the cluster key is wrong. */
exception Unauthenticated { 1: string reason }

struct CriticalRequest {
  1: string service_name, 2: string team, 3: string content_type, 4: binary body,
  5: i32 timeout_ms, 6: string request_id, 7: string trace_id
}

struct CriticalAnswer { 1: i32 status, 2: string content_type, 3: binary body, 4: string worker_id, 5: i32 attempts }

service PeerLink {
  /** First call on a connection; returns the server's nonce. */
  binary hello(),
  /** Second call; `proof` is the nonce's HMAC under the cluster key. */
  void authenticate(1: binary proof) throws (1: Unauthenticated unauthenticated)
}

service ControlService extends PeerLink {
  /** Delivers Raft messages, without confirming that they arrived. */
  oneway void deliver(1: list<RaftMessage> messages),
  ProbeReply probe() throws (1: Unauthenticated unauthenticated),
  void join(1: Member member) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Unauthenticated unauthenticated),
  SyncReply sync(1: SyncRequest request) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Unauthenticated unauthenticated),
  /** Settles attempts that have ended; returns once their outcomes are durable. */
  void settle(1: list<AttemptOutcome> outcomes) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Unauthenticated unauthenticated),
  /** Removes a replica permanently, by host name or replica id. */
  void remove_replica(1: string name) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Refused refused, 4: Unauthenticated unauthenticated),
  SubmitReply submit(1: SubmitJob job) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Refused refused, 4: Unauthenticated unauthenticated),
  JobView cancel(1: string team, 2: string job_id) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Refused refused, 4: Unauthenticated unauthenticated),
  JobView job(1: string team, 2: string job_id, 3: double wait_seconds) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Refused refused, 4: Unauthenticated unauthenticated),
  ApplyReply apply(1: ApplyConfiguration change) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Refused refused, 4: Unauthenticated unauthenticated),
  void change_standing(1: ChangeStanding change) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Refused refused, 4: Unauthenticated unauthenticated),
  /** Handles a caller's request for a job of many tasks; only the leader answers it. */
  JobAnswer job_call(1: JobCall call) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Unauthenticated unauthenticated),
  /** Takes what an agent has seen of its workers; only the leader answers it. */
  AgentReply report(1: AgentReport report) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Unauthenticated unauthenticated),
  /** Returns the members of the group; any member answers. */
  GroupView group() throws (1: Unavailable unavailable, 2: Unauthenticated unauthenticated),
  /** Returns an operators' view as JSON, built by the leader: `status`, `targets`, `jobs`, `history`, `configuration`. */
  string view(1: string name, 2: string argument) throws (1: NotLeader not_leader, 2: Unavailable unavailable, 3: Refused refused, 4: Unauthenticated unauthenticated)
}

service EntryService extends PeerLink {
  /** Executes a critical request for another entry host that has no free capacity. */
  CriticalAnswer serve(1: CriticalRequest request) throws (1: Refused refused, 2: Unavailable unavailable, 3: Unauthenticated unauthenticated)
}
