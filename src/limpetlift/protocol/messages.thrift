// Messages between the processes of the system.

struct Envelope {
  1: required string sender,
  2: required i64 incarnation,
  3: required i64 sent_ms,
  4: required i64 counter,
  5: required string kind,
  6: required binary body,
}

// Membership.

struct Member {
  1: required string agent_id,
  2: required string kind,
  3: required string data_centre,
  4: required string region,
  5: required string address,
  6: required string service_name,
  7: required i64 incarnation,
  8: required i64 sequence,
  9: required string state,
  10: required double weight,
}

// The record is left out when the sponsor has acknowledged its sequence.
struct Heartbeat {
  1: optional Member member,
  2: required i64 config_revision,
  3: required binary view_hash,
  4: optional bool leaving,
  5: optional i64 sequence,
}

// "sequence" acknowledges a record; -1 asks for the record. "sponsors" are
// the ids that the member should send its heartbeats to. "silent" names the
// data centres that the sponsor hears nothing from.
struct HeartbeatReply {
  1: required i64 config_revision,
  2: required list<Member> members,
  3: optional i64 sequence,
  4: optional list<string> silent,
  5: optional list<string> sponsors,
}

// Asks for a heartbeat at once.
struct Probe {
  1: required i64 config_revision,
}

// "removals" holds suspect, dead and left records in short form, "packed" a
// compressed RecordList. "root" is the digest of the sender's view. "pulled"
// marks the answer to a Pull.
struct Gossip {
  1: required list<Member> members,
  2: required i64 config_revision,
  3: optional binary removals,
  4: optional binary packed,
  5: optional binary root,
  6: optional bool answer,
  7: optional bool pulled,
}

struct RecordList {
  1: required list<Member> members,
}

struct Digest {
  1: required binary hashes,
}

struct Pull {
  1: required i32 bucket,
  2: required binary hashes,
}

// Configuration. The notice is a datagram; the bytes travel over a framed
// connection, whose first frame is a sealed ConfigPull.

struct ConfigNotice {
  1: required i64 revision,
  2: required binary digest,
  3: required i64 size,
  4: required bool ready,
  5: required bool wants_reply,
  6: required i64 answers_to,
}

struct ConfigPull {
  1: required binary digest,
}

struct ConfigChunk {
  1: required i64 offset,
  2: required binary data,
}

// Flow ownership.

struct Prepare {
  1: required Member member,
}

struct PrepareAck {
  1: required i64 sequence,
}

struct Redirect {
  1: required binary flow_key,
  2: required string owner,
  3: required i64 owner_incarnation,
}

struct RedirectBatch {
  1: required i64 batch_id,
  2: required list<Redirect> redirects,
  3: required list<binary> released,
  4: required i32 flow_count,
}

struct RedirectAck {
  1: required i64 batch_id,
  2: required i32 flow_count,
}

struct Ask {
  1: required binary flow_key,
  2: required i64 ask_id,
}

struct AskReply {
  1: required binary flow_key,
  2: required i64 ask_id,
  3: required string answer,
  4: required string owner,
  5: required i64 owner_incarnation,
}

struct NotOwner {
  1: required binary flow_key,
}

// At-most-once keys.

struct Claim {
  1: required string key,
  2: required i64 claim_id,
  3: required i64 epoch,
}

struct ClaimVote {
  1: required string key,
  2: required i64 claim_id,
  3: required bool granted,
  4: required string claimer,
  5: required i64 claimer_incarnation,
  6: required i64 epoch,
}

struct ClaimAbandon {
  1: required string key,
  2: required i64 claim_id,
}

struct VotePull {
  1: required i64 epoch,
  2: required i64 cursor,
}

struct Vote {
  1: required string key,
  2: required string claimer,
  3: required i64 claimer_incarnation,
  4: required i64 claim_id,
  5: required i64 age_ms,
}

struct VoteTable {
  1: required i64 epoch,
  2: required i64 cursor,
  3: required bool last,
  4: required list<Vote> votes,
}

// Requests, over a framed connection.

struct Header {
  1: required string name,
  2: required string value,
}

struct RequestStart {
  1: required string request_id,
  2: required string service_name,
  3: required string method,
  4: required string path,
  5: required list<Header> headers,
  6: required i64 timeout_ms,
  7: required string idempotency_key,
  8: required bool first_attempt,
  9: required string work_class,
  10: required i64 content_length,
}

struct Admit {
  1: required string request_id,
}

struct Refuse {
  1: required string request_id,
  2: required string code,
  3: required string message,
  4: required string retry_at,
}

struct BodyChunk {
  1: required string request_id,
  2: required binary data,
}

struct BodyEnd {
  1: required string request_id,
  2: required i64 total,
}

struct ResponseStart {
  1: required string request_id,
  2: required i32 status,
  3: required string reason,
  4: required list<Header> headers,
  5: required bool replayed,
}
