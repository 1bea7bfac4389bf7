// Messages between instances. `src/gen/fellow.rs` is generated from this file by
// `thrift -out src/gen --gen rs fellow.thrift` (compiler 0.17) and committed.

/** An upstream that an instance believes to be in cold start. */
struct Suspicion {
  1: required string upstream,
  /** How long ago the belief was formed, in microseconds. */
  2: required i64 age_us,
}

/** Requests that run on the cold slots of an upstream. */
struct Running {
  1: required string upstream,
  2: required i32 count,
}

/** What an instance tells a fellow every second or two. */
struct Digest {
  1: required string instance,
  2: required string zone,
  /** The generation in force at the sender. */
  3: required i64 generation,
  /** Time since the last successful read of the log by anybody that the sender has heard of. */
  4: required i64 log_age_ms,
  /** The sender's hybrid clock. */
  5: required i64 clock,
  6: required list<Suspicion> suspicions,
  7: required list<Running> running,
  /** Verdict records, as they stand on the log. */
  8: required list<binary> verdicts,
  /** Summaries of ratings. */
  9: required list<binary> evidence,
}

/** Asks for the text in force where it is newer than a generation. */
struct Pull {
  1: required i64 newer_than,
}

/** A text in force. */
struct Text {
  1: required i64 generation,
  2: required string text,
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
}

/** One message; an answer bears the number of its question. */
struct Envelope {
  1: required i64 number,
  2: required Body body,
}
