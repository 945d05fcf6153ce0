// Messages between nodes. Made into crates/wire/src/gen.rs by ci/generate.sh.
namespace rs ibiscove

struct Grant {
  1: required i32 slot
  2: required i64 fence
  // Index into the heirs of the holding; -1 when no heir is named.
  3: required i16 heir
}

// What a witness keeps of its ward's row, for heirs during a table outage.
struct Holding {
  1: required i64 row_version
  2: required string service_name
  3: required list<i64> witnesses
  4: required list<i64> heirs
  5: required list<Grant> grants
}

struct Heartbeat {
  1: required i64 ward
  2: required i64 witness
  // Rises with every change of heirs_void or holding.
  3: required i64 sequence
  4: required bool heirs_void
  // Sent until the witness has acknowledged this sequence.
  5: optional Holding holding
}

struct HeartbeatAck {
  // False: the ward is sealed, or this process is another incarnation.
  1: required bool granted
  // The highest sequence that the witness holds for the ward.
  2: required i64 held_sequence
}

struct SealQuery {
  1: required i64 ward
  2: required i64 witness
  3: required i64 claimant
}

struct Seal {
  // Whether the witness will never again acknowledge the ward.
  1: required bool sealed
  2: required i64 sequence
  3: required bool heirs_void
  4: optional Holding holding
}

// A sealed ward, told to its heirs by a witness.
struct SealNotice {
  1: required i64 ward
  2: required i64 witness
  3: required Seal seal
}

struct Entry {
  1: required string key
  2: required i64 version
  3: required binary body
  4: required i64 checksum
}

struct KeyVersion {
  1: required string key
  2: required i64 version
}

struct Push {
  1: required list<Entry> entries
}

// Compares rows: all of them by one digest, or some buckets by their versions.
struct DigestQuery {
  1: required i64 digest
  // The buckets whose versions are wanted; absent: the digest decides.
  2: optional list<i16> buckets
}

struct DigestAnswer {
  1: required bool same
  // Versions of the rows in the buckets asked for.
  2: required list<KeyVersion> versions
  // Digest of each bucket, when the digests of all rows differ.
  3: optional list<i64> bucket_digests
}

struct Fetch {
  1: required list<string> keys
}

struct Entries {
  1: required list<Entry> entries
}

// Asks which versions of the configuration a node has.
struct ReportQuery {
}

struct Report {
  // 0: none yet.
  1: required i64 inventory_version
  2: required i64 rules_version
  // Time since the node's rows were last compared with another's.
  3: required i64 age_ms
  4: required i64 digest
}

// Asks what came of a request, and makes sure that it never starts if it has
// not.
struct OutcomeQuery {
  1: required string request_id
  // Time since the entry sent the request; -1 when that is not known.
  2: required i64 age_ms
}

struct OutcomeAnswer {
  // One of ran, not-run, unknown.
  1: required string outcome
  // Empty when the request ran.
  2: required string reason
  // HTTP status of the upstream's answer; 0 when there was none.
  3: required i16 status
}

struct DedupEntry {
  1: required string idempotency_key
  2: required i64 fingerprint
  3: required i64 age_ms
  // One of ran, not-run, unknown.
  4: required string outcome
  5: required i16 status
  // Absent when it was too long to keep.
  6: optional binary answer
  7: required string content_type
}

// The deduplication window of a slot, given to its next owner.
struct Handover {
  1: required string service_name
  2: required i32 slot
  3: required i64 fence
  4: required list<DedupEntry> entries
}

struct SlotLoad {
  1: required i32 slot
  2: required i32 requests_per_minute
}

struct KeyLoad {
  1: required i64 key_hash
  2: required i32 requests_per_minute
}

struct LoadReport {
  1: required i64 node
  2: required i32 in_flight
  3: required i32 queued
  4: required i32 limit
  5: required bool cold
  6: required bool draining
  // The busiest slots.
  7: required list<SlotLoad> slots
  // The hottest keys.
  8: required list<KeyLoad> keys
}

struct SlotMove {
  1: required i32 slot
  // Incarnation of the node that is to own it.
  2: required i64 to
}

// A planner's proposal to the owner, which may refuse any of it.
struct Proposal {
  1: required string service_name
  2: required list<SlotMove> moves
  // Hashes of keys to split out into slots of their own.
  3: required list<i64> splits
  // Slots of single keys to give back to the hash slots they came from.
  4: required list<i32> merges
}

struct Done {
}

struct Failed {
  1: required string message
}

union Request {
  1: Heartbeat heartbeat
  2: SealQuery seal_query
  3: SealNotice seal_notice
  4: Push push
  5: DigestQuery digest_query
  6: Fetch fetch
  7: OutcomeQuery outcome_query
  8: Handover handover
  9: LoadReport load_report
  10: Proposal proposal
  11: ReportQuery report_query
}

union Response {
  1: HeartbeatAck heartbeat_ack
  2: Seal seal
  3: Done done
  4: DigestAnswer digest_answer
  5: Entries entries
  6: OutcomeAnswer outcome_answer
  7: Failed failed
  8: Report report
}

struct Hello {
  1: required i64 incarnation
  2: required binary nonce
}

struct Proof {
  1: required binary mac
}

struct Call {
  1: required i64 id
  2: required Request request
}

struct Reply {
  1: required i64 id
  2: required Response response
}

// The upstream beside a node, as its gate sees it.
struct UpstreamPresence {
  1: required string id
  // When it started, in milliseconds since the Unix epoch; tells two lives
  // under one id apart.
  2: required i64 born_ms
  3: required bool draining
  4: required i32 slots
  // Requests that run or wait at the gate.
  5: required i32 load
  // Usual time of a request at the upstream, in microseconds.
  6: required i32 service_time_us
  // How much longer it is slow after its start, in milliseconds.
  7: required i32 cold_left_ms
}

// The sum of the epochs of all sections of a service's range map that a node
// has. A node with a lower sum lacks the newest state of some section. Field 2
// was the version of the whole map.
struct RangeMapEpoch {
  1: required string service_name
  3: required i64 epoch
}

// A range of keys and its owner.
struct RangeAssignment {
  1: required i32 first
  2: required i32 last
  3: required i64 fence
  // Set together, or none while the range is unowned.
  4: optional string owner_node
  5: optional string owner_id
  6: optional i64 owner_born_ms
  // State of the previous owner, for the first grant to this one.
  7: optional string handover
}

// A change of one section of a service's range map.
struct RangeMapChange {
  1: required string service_name
  2: required i32 section
  // The table's version of the section's row after the change.
  3: required i64 version
  // The change applies to sections of this epoch or a later one.
  4: required i64 from_epoch
  5: required i64 to_epoch
  6: required list<RangeAssignment> assignments
}

// What a node knows of a request beside which upstreams have crashed.
struct RequestCrashes {
  // 16 bytes that identify copies of the request.
  1: required binary fingerprint
  // How often a copy that ended well has cleared it.
  2: required i32 clearings
  // Crashes since then, one after the other.
  3: required i32 crashes
  // When the last upstream crashed, in milliseconds since the Unix epoch.
  4: required i64 crashed_ms
}

// A data centre to whose upstreams nothing more is to be sent.
struct Evacuation {
  1: required string data_centre
  // How much longer owners there may hand their keys over, in milliseconds.
  2: required i32 handover_left_ms
}

// What a node tells all others at each heartbeat, in one datagram.
struct Presence {
  1: required string node
  2: required i64 incarnation
  // Rises with each datagram of an incarnation.
  3: required i64 sequence
  4: required string data_centre
  // Port of the gate, at the address that the datagram comes from.
  5: required i32 gate_port
  6: optional string service_name
  7: optional UpstreamPresence upstream
  8: required i64 config_version
  9: required list<RangeMapEpoch> maps
  // True: the node is about to end.
  10: required bool leaving
  // The table's version of the node's lease row; 0 when it holds none.
  11: required i64 lease_version
  // Changes of range maps that the sender has just learned.
  12: optional list<RangeMapChange> map_changes
  // Hash of all that the sender knows of such requests; none if that is nothing.
  13: optional i64 crashes_digest
  // What of it the sender has just learned.
  14: optional list<RequestCrashes> crashes
  // The table's version as of which the evacuations are all that there are; none
  // while the sender knows of none since its start.
  15: optional i64 evacuations_version
  16: optional list<Evacuation> evacuations
}
