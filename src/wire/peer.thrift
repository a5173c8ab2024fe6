// Messages between daemons. Field numbers are never reused. A daemon refuses
// frames with a newer protocol version than its own.
namespace cpp gooseberrycove.wire.gen

struct Daemon {
  1: i64 id
  2: i64 incarnation
}

struct Claim {
  1: string id
  2: i64 epoch
}

struct HeaderField {
  1: string name
  2: string value
}

struct ServerStatement {
  1: i64 incarnation
  2: double rate_limit
  3: bool leaving
}

struct Work {
  1: i64 id_high
  2: i64 id_low
  3: i32 attempt
  4: string account
  5: string service_name
  6: string route
  7: i8 priority
  8: bool repeatable
  9: string method
  10: string target
  11: string content_type
  12: binary body
  13: string idempotency_key
  14: string traceparent
  // Time until the deadline, because the clocks of daemons are not comparable.
  15: i64 remaining_us
  16: Claim claim
  17: string server
  18: Daemon origin
  19: string origin_address
  20: bool other_homes
  21: Daemon home
  22: string caller_id
  23: list<HeaderField> headers
  24: string caller_service
  25: double known_doubt
  26: bool repeat
  27: i32 servers
  28: i64 waited_us
  29: double repeat_share
  30: optional ServerStatement statement
}

struct ServerStatus {
  1: string server
  2: string service_name
  3: i32 slots
  4: i32 in_flight
  5: i32 queued
  6: i8 health
  7: double score
  8: double samples
  9: double failures
  10: double mean_log_latency
  11: i64 sequence
  12: double doubt
  13: optional ServerStatement statement
  14: optional i64 start_wait_us
}

struct SiblingLoad {
  1: string server
  2: Daemon home
  3: i32 in_flight
  4: i32 queued
  5: i64 age_us
}

struct WorkResult {
  1: i64 id_high
  2: i64 id_low
  3: i32 attempt
  4: i8 kind
  5: i8 outcome
  6: i32 status
  7: string content_type
  8: binary body
  9: string server
  10: string detail
  11: i64 service_time_us
  12: list<ServerStatus> statuses
  13: Daemon home
  14: list<HeaderField> headers
  15: optional i64 retry_after_us
  16: optional bool service_wide
  17: optional list<SiblingLoad> siblings
}

struct Cancel {
  1: i64 id_high
  2: i64 id_low
  3: i32 attempt
  4: Daemon origin
  5: bool queued_only
}

struct Fence {
  1: Claim claim
  2: Daemon home
  3: Daemon sender
  4: string sender_address
}

struct FenceAnswer {
  1: Claim claim
  2: Daemon home
  3: i8 state
  4: WorkResult result
}

struct Pull {
  1: string sender_address
  2: i64 after
}

struct Delta {
  1: i64 version
  2: string patch_id
  3: string author
  4: string patch
}

struct Deltas {
  1: string sender_address
  2: i64 snapshot_version
  3: binary snapshot
  4: list<Delta> entries
}

struct PeerVersion {
  1: string address
  2: i64 version
}

struct PeerRecord {
  1: Daemon daemon
  2: string name
  3: string data_centre
  4: string address
  5: string admin_address
  6: i8 state
  7: i64 refutation
  8: i64 config_version
}

struct ServerRecord {
  1: string server
  2: string service_name
  3: i32 slots
  4: i8 state
  5: i8 health
  6: double score
  7: Daemon home
  8: i64 sequence
  9: i32 drains
  10: optional i64 server_incarnation
  11: optional i64 announcement_sequence
}

struct Sync {
  1: Daemon sender
  2: string sender_address
  3: bool reply_wanted
  4: i64 digest
  5: list<PeerRecord> peers
  6: list<ServerRecord> servers
  7: list<i32> buckets
}

struct Packet {
  1: i8 kind
  2: Daemon sender
  3: string sender_address
  4: i64 number
  5: string probe_address
  6: i64 config_version
  7: list<PeerRecord> peers
  8: list<ServerRecord> servers
  9: list<ServerStatus> statuses
}

struct PathCheck {
  1: i64 number
  2: bool answer
}

struct AccountReportEntry {
  1: i64 account
  2: optional i32 wanted
  3: optional double returned
  4: double rate
  5: double burst
}

struct AccountReport {
  1: Daemon sender
  2: string sender_address
  3: Daemon owner
  4: i64 number
  5: i64 stamp
  6: i64 lease_ms
  7: list<AccountReportEntry> entries
  8: i32 entitled
  9: i32 group
  10: optional bool released
}

struct AccountGrantEntry {
  1: i64 account
  2: optional i32 tokens
  3: optional double retry_after_ms
}

struct AccountGrant {
  1: Daemon owner
  2: string owner_address
  3: Daemon receiver
  4: i64 number
  5: i64 stamp
  6: list<AccountGrantEntry> entries
  7: i32 entitled
}

// Exactly one of the optional fields is set.
struct Message {
  1: Daemon sender
  2: optional Work work
  3: optional WorkResult work_result
  4: optional Cancel cancel
  5: optional Fence fence
  6: optional FenceAnswer fence_answer
  7: optional Pull pull
  8: optional Deltas deltas
  9: optional PeerVersion peer_version
  10: optional Sync sync
  11: optional Packet packet
  12: optional PathCheck path_check
  13: optional AccountReport account_report
  14: optional AccountGrant account_grant
}
