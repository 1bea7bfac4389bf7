// Messages between instances. `src/gen/fellow.rs` is generated from this file by
// `thrift -out src/gen --gen rs fellow.thrift` (compiler 0.17) and committed.

/** An upstream that an instance believes to be in cold start. */
struct Suspicion {
  1: required string upstream,
  /** How long ago the belief was formed, in microseconds. */
  2: required i64 age_us,
}

/** A request that runs on a slot of a cold upstream. */
struct Running {
  1: required string upstream,
  2: required i32 slot,
}

/** What an instance tells a fellow every second or two. */
struct Digest {
  1: required string instance,
  2: required string zone,
  /** The generation in force at the sender. */
  3: required i64 generation,
  /** Time since the last read of the configuration stream up to its end, by the sender or by
      anybody that it has heard of; absent where there was none. */
  4: optional i64 log_age_ms,
  /** The sender's hybrid clock. */
  5: required i64 clock,
  6: required list<Suspicion> suspicions,
  /** Whether the sender takes no slots of cold upstreams any more; `running` are its last ones. */
  7: required bool ceased,
  10: required list<Running> running,
  /** Instances with equal hashes know the same verdicts on roll-outs. */
  8: required i64 verdicts_hash,
}

/** Verdicts on roll-outs that the sender knows, as they stand on the log; the answer is the same. */
struct Verdicts {
  1: required list<binary> records,
}

/** Ratings that the sender knows. */
struct Evidence {
  /** Its sums for roll-outs, told to the instances that add them up. */
  1: required list<binary> summaries,
  /** Totals of versions that have grown since they were last told. */
  2: required list<binary> totals,
}

/** Asks for the text in force where it is newer than a generation. */
struct Pull {
  1: required i64 newer_than,
}

/** A text in force. */
struct Text {
  1: required i64 generation,
  /** Format of the text; another release may read another one. */
  2: required i32 format,
  3: required string author,
  4: required string text,
}

/** Asks the home of a session for the version that it begins on. */
struct Assign {
  1: required string session,
  2: required string service_name,
  3: required string organisation,
  /** The version that the asker would take. */
  4: required string version,
  /** A version that the session may no longer be on; empty if there is none. */
  5: required string lost,
}

/** The version that a session is on. */
struct Assigned {
  1: required string version,
}

/** A usage record to hold until its owner has appended it. */
struct Held {
  1: required string owner,
  2: required string request,
  3: required binary record,
}

struct Hold {
  1: required list<Held> records,
}

/** Records that are safe on the log and need no longer be held. */
struct Drop {
  1: required string owner,
  2: required list<string> requests,
}

/** The owner leaves and will not append its records itself: their holders do. */
struct Orphan {
  1: required string owner,
}

/** Asks a writer to append a batch of records, which is a JSON array. */
struct Append {
  1: required string stream,
  2: required binary batch,
}

/** Where a batch was appended, together with those of others. */
struct Appended {
  1: required i64 offset,
}

/** Answers of two releases to one kind of request. */
struct Tally {
  1: required i64 kind,
  2: required i32 old_count,
  3: required i32 old_bad,
  4: required i32 new_count,
  5: required i32 new_bad,
}

/** What one life of an instance has counted. */
struct Counted {
  1: required string life,
  2: required list<Tally> tallies,
}

/** How a trial of a release ended. */
enum Ruling {
  OPEN = 0,
  GOOD = 1,
  BAD = 2,
}

/** What an instance knows of a trial of a release. */
struct Trial {
  1: required string service_name,
  2: required string target,
  /** How long ago the order was first read, in microseconds. */
  3: required i64 age_us,
  4: required Ruling ruling,
  /** Whether the ruling is on the store. */
  5: required bool written,
  6: required list<Counted> evidence,
  /** Sessions on the old release, by hash; empty since the release follows from the steps. */
  7: required list<i64> kept,
  8: optional list<i64> passed_on,
  /** The era of the store in which the ruling was written. */
  9: optional i64 era,
  /** Ages of the order from which each step of the share holds, in microseconds. */
  10: optional list<i64> steps,
}

/** What an instance has running at an upstream. */
struct UpstreamLoad {
  1: required string upstream,
  /** Work whose first event is still to come, in tokens of the largest model. */
  2: required i32 pending,
  3: required i32 count,
}

/** How far an instance knows a topic of the store. */
struct Sight {
  1: required i32 topic,
  /** A hash of what the sender knows of it. */
  2: required i64 digest,
  /** How long ago a read was sent that found nothing else. */
  3: required i64 age_us,
  /** The newest era of the store that the sender knows. */
  4: optional i64 era,
}

/** A record of the store that changed something lately. */
struct Told {
  1: required i32 topic,
  2: required string key,
  3: required i64 position,
  /** The value, or what changed since the value whose hash is given. */
  4: required binary value,
  5: optional i64 base,
  /** Length of the whole value in bytes, where only what changed is given. */
  6: optional i32 length,
  /** The era of the store in which it was read. */
  7: optional i64 era,
}

/** An instance that the sender has heard of. */
struct Acquaintance {
  1: required string instance,
  2: required string address,
  3: optional string zone,
  /** How long ago it was last heard of, in milliseconds. */
  4: required i32 age_ms,
}

/** An upstream that says that it is leaving. */
struct Departure {
  1: required string upstream,
  /** The start time of the incarnation, as the upstream registered it. */
  2: required i64 incarnation,
}

/** What an upstream last said about the requests that it takes of all instances together. */
struct Limit {
  1: required string upstream,
  /** The start time of the incarnation, as the upstream registered it. */
  2: required i64 incarnation,
  /** Requests a second in thousandths; absent if it names no limit any more. */
  3: optional i64 frequency,
  /** How long ago it answered, in microseconds. */
  4: required i64 age_us,
}

/** The end of an upstream while it had a request, or right after its whole answer. */
struct Crash {
  /** Hash of the incarnation that ended. */
  1: required i64 victim,
  /** How long ago it ended, in microseconds. */
  2: required i64 age_us,
  /** Whether nothing of the answer had arrived but its head. */
  3: required bool strong,
  /** Time from the head of the answer to the end, in microseconds; from the dispatch where no head had arrived. */
  4: required i64 since_head_us,
  /** Whether it came late in the answer or after it, so that an answer that only goes on doesn't void it. */
  5: optional bool late,
}

/** A part of prompts, or a request by its fingerprint, that may end upstreams. */
struct Suspect {
  1: required i64 part,
  2: required list<Crash> crashes,
  /** How long ago a prompt with the part was sent after it had been held back, in microseconds. */
  3: optional i64 probe_age_us,
}

/** A part of prompts, or a request by its fingerprint, with which an answer went on. */
struct Rebuttal {
  1: required i64 part,
  /** How long ago, in microseconds. */
  2: required i64 age_us,
  /** Whether the upstream outlived the whole answer. */
  3: optional bool outlived,
}

/** How tries of the sender ended lately at an upstream. */
struct Tried {
  1: required string upstream,
  /** The start time of the incarnation, as the upstream registered it; 0 if it didn't. */
  2: required i64 incarnation,
  /** Tries that ended in any way. */
  3: required i32 ended,
  /** Those that the upstream failed. */
  4: required i32 failed,
  /** Those that couldn't reach it since its last answer. */
  5: required i32 unreachable,
  /** How long ago the newest answer without an error arrived, in microseconds. */
  6: optional i64 answered_age_us,
  /** How long ago the newest bad end was, in microseconds. */
  7: optional i64 failed_age_us,
  /** How long ago a probe of the upstream, which was taken out, was answered to the sender or to a peer, in microseconds. */
  8: optional i64 returned_age_us,
}

/** What the sender saw of the speed of an upstream in the last seconds. */
struct Pace {
  1: required string upstream,
  /** The start time of the incarnation, as the upstream registered it. */
  2: required i64 incarnation,
  /** Work before first events, in tokens of the largest model. */
  3: required i32 work,
  /** Time until they arrived, in milliseconds. */
  4: required i32 time_ms,
}

/** What an instance tells others in a datagram, which is not answered. */
struct Beacon {
  1: required string instance,
  /** Where the sender takes datagrams. */
  2: required string address,
  /** Whether the sender is being shut down. */
  3: required bool leaving,
  4: required list<Trial> trials,
  5: required list<UpstreamLoad> loads,
  6: required list<Sight> sights,
  7: required list<Told> told,
  /** The sender's availability zone. */
  8: optional string zone,
  /** Some of the instances that it has heard of. */
  9: optional list<Acquaintance> acquaintances,
  /** Time on the sender's clock, in microseconds. */
  10: optional i64 sent_us,
  /** The run of the sender's process; a new one may have another clock. */
  11: optional i64 run,
  /** Upstreams that said so in their answers, or of which a peer has told it. */
  12: optional list<Departure> departures,
  /** Parts of prompts that may end upstreams, as the sender or a peer found. */
  13: optional list<Suspect> suspects,
  /** Parts that were told to it as suspects, and are sound. */
  14: optional list<Rebuttal> rebuttals,
  /** Limits that upstreams named, to the sender or to a peer. */
  15: optional list<Limit> limits,
  /** Fingerprints of requests that may end upstreams, as the sender or a peer found. */
  16: optional list<Suspect> requests,
  /** Fingerprints that were told to it as suspects, and are sound. */
  17: optional list<Rebuttal> request_rebuttals,
  /** Whether the sender's links to upstreams are cut, so that it carries no connections for others. */
  18: optional bool cut_off,
  /** Version and commit of the sender's program. */
  26: optional string build,
  /** How its tries ended lately, and upstreams that are well again. */
  19: optional list<Tried> tried,
  /** Speeds of upstreams, as the sender itself saw them. */
  27: optional list<Pace> paces,
  /** Whether the sender has started and no peer has told it the state yet; it wants an answer. */
  28: optional bool newcomer,
  /** The run of the newcomer that this answers. */
  29: optional i64 answered_run,
}

/** Asks for the receiver's time, or returns a peer's question with the sender's time. A datagram of its own,
    whose fields have other numbers than those of a beacon. */
struct Clock {
  20: required string instance,
  /** Where the sender takes datagrams. */
  21: required string address,
  /** The run of the sender's process. */
  22: required i64 run,
  /** Time on the sender's clock, in microseconds. */
  23: required i64 sent_us,
  /** Time of the question on the clock of who asked, in an answer. */
  24: optional i64 asked_us,
}

/** Asks the receiver for a connection to an upstream over its own links. If it is open, its bytes follow the
    answer, both ways. */
struct Tunnel {
  /** Address of the upstream. */
  1: required string upstream,
  /** Whether the sender reads the upstream's bytes in frames. */
  2: optional bool framed,
}

/** The answer to it. */
struct Opened {
  /** Why the connection is not open: `refused` if the upstream refused it, `silent` if it didn't answer, else why the receiver did not try; empty if
      it is open. */
  1: required string failure,
  /** Whether the upstream's bytes follow in frames, of which an empty one marks the end of the upstream's
      connection. Without frames, the end of the connection doesn't tell whose end it is. */
  2: optional bool framed,
}

struct Done {
  1: required i32 count,
}

struct Refusal {
  1: required string reason,
}

union Body {
  1: Digest digest,
  2: Pull pull,
  3: Text text,
  4: Hold hold,
  5: Drop drop,
  6: Done done,
  7: Refusal refusal,
  8: Assign assign,
  9: Assigned assigned,
  10: Verdicts verdicts,
  11: Evidence evidence,
  12: Orphan orphan,
  13: Append append,
  14: Appended appended,
}

/** One message; an answer bears the number of its question. */
struct Envelope {
  1: required i64 number,
  2: required Body body,
}
