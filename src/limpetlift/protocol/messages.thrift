// Messages between processes.

// Authenticates a message. "kind" is the name of the struct in "body".

struct Envelope {
  1: required string sender,
  2: required i64 incarnation,
  3: required i64 sent_ms,
  4: required i64 counter,
  5: required string kind,
  6: required binary body,
}

// Membership.

// The membership record of a process. "sequence" increases with each change
// that the process itself makes to the record.
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

// "member" is omitted when the sponsor has acknowledged the record's sequence.
struct Heartbeat {
  1: optional Member member,
  2: required i64 config_revision,
  3: required binary view_hash,
  4: optional bool leaving,
  5: optional i64 sequence,
}

// "sequence" acknowledges a record; -1 requests the record. "sponsors" holds
// the ids of the sponsors that the member should send its heartbeats to.
// "silent" names the data centres from which the sponsor receives nothing.
struct HeartbeatReply {
  1: required i64 config_revision,
  2: required list<Member> members,
  3: optional i64 sequence,
  4: optional list<string> silent,
  5: optional list<string> sponsors,
}

// Requests an immediate heartbeat.
struct Probe {
  1: required i64 config_revision,
}

// "removals" holds suspect, dead and left records in a shorter encoding,
// "packed" a compressed RecordList. "root" is the digest of the sender's view.
// "pulled" is set in the answer to a Pull.
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

// Requests the records of a bucket whose hashes differ from "hashes" or, if
// "age_ms" is set, the records that changed within that time.
struct Pull {
  1: required i32 bucket,
  2: required binary hashes,
  3: optional i64 age_ms,
}

// Configuration. A ConfigNotice is sent as a datagram. The configuration is
// sent over a framed connection whose first frame is a sealed ConfigPull.

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

// The load of a member. "flow_count" counts the open flows that were accepted
// under the placement "placement_id".
struct Load {
  1: required i32 flow_count,
  2: required bool has_room,
  3: required i64 placement_id,
}

// The sender owns the flow (age_ms >= 0) or requests to accept it
// (age_ms = -1).
struct Redirect {
  1: required binary flow_key,
  2: required i64 age_ms,
}

struct RedirectBatch {
  1: required i64 batch_id,
  2: required i64 incarnation,
  3: required list<Redirect> redirects,
  4: required list<binary> released,
  5: required Load load,
}

// Answers a redirect that the receiver did not store. "status" is "owned" if
// the flow has an owner, "asking" if "owner" has requested to accept the flow
// but does not own it yet, and "ended" if the flow ended with its owner.
struct Conflict {
  1: required binary flow_key,
  2: required string owner,
  3: required i64 owner_incarnation,
  4: required string status,
}

struct RedirectAck {
  1: required i64 batch_id,
  2: required i64 incarnation,
  3: required list<Conflict> conflicts,
  4: required Load load,
}

// The sender does not own the flow. "batch_id" is the last batch of redirects
// that it had sent.
struct NotOwner {
  1: required binary flow_key,
  2: required i64 incarnation,
  3: required i64 batch_id,
}

// The sender has notified the caller that the flow ended with its owner.
struct FlowEnded {
  1: required binary flow_key,
  2: required string owner,
  3: required i64 owner_incarnation,
}

struct Header {
  1: required string name,
  2: required string value,
}

// Idempotency keys.

// Keys are sent as 16-byte digests. Claim ids increase with each claim of an
// agent and are not reused by its later incarnations.

struct Claim {
  1: required binary key,
  2: required i64 claim_id,
  3: required i64 epoch,
  4: required i64 incarnation,
}

// "result" is "granted", "held" (by the claim that the optional fields name),
// "epoch", "unsynced" or "full".
struct ClaimVote {
  1: required binary key,
  2: required i64 claim_id,
  3: required string result,
  4: required i64 epoch,
  5: required i64 incarnation,
  6: optional string claimer,
  7: optional i64 claimer_incarnation,
  8: optional i64 holder_claim_id,
}

struct ClaimAbandon {
  1: required binary key,
  2: required i64 claim_id,
  3: required i64 incarnation,
}

struct VotePull {
  1: required i64 epoch,
  2: required i64 cursor,
  3: required i64 pull_id,
  4: required i64 incarnation,
}

struct Vote {
  1: required binary key,
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
  5: required i64 pull_id,
  6: required i64 next_cursor,
  7: required i64 incarnation,
  8: required i64 synced,
}

struct RosterStatus {
  1: required i64 epoch,
  2: required i64 synced,
  3: required i64 incarnation,
  4: required bool ask,
}

// A compressed roster, sent to a member that cannot read the store.
struct RosterCopy {
  1: required i64 epoch,
  2: required binary roster,
}

struct AnswerPull {
  1: required binary key,
  2: required i64 claim_id,
  3: required i64 incarnation,
  4: required i64 offset,
  5: required i64 pull_id,
}

// "status" is "claiming", "running", "done", "expired", "unknown" or
// "released".
struct AnswerPart {
  1: required binary key,
  2: required i64 pull_id,
  3: required string status,
  4: required i64 offset,
  5: required i64 total,
  6: required binary data,
}

struct StoredAnswer {
  1: required i32 status,
  2: required list<Header> headers,
  3: required binary body,
}

// The load of an agent's slots, sent to other agents of its service.

struct SlotLoad {
  1: required i32 slots,
  2: required i32 long_running,
  3: required i64 wait_ms,
  4: required i64 long_wait_ms,
}

// Requests, over a framed connection.

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
  // Whether the balancer may send the request to another agent.
  11: optional bool movable,
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
