#ifndef GOOSEBERRYCOVE_CLAIMS_STATE_HPP
#define GOOSEBERRYCOVE_CLAIMS_STATE_HPP

#include "claims/row.hpp"
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/event.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::claims
{

/// Times and limits of the claim protocol.
struct parameters
{
    /// A request whose claim is not granted within this time is refused.
    duration claim_timeout{5'000'000};
    /// A home that does not reply to a fence within this time counts as gone.
    duration fence_timeout{2'000'000};
    duration fence_resend_period{300'000};
    /// Delay of the first retry; it doubles with each further one.
    duration initial_retry_delay{200'000};
    duration max_retry_delay{30'000'000};
    duration max_retry_delay_in_pause{2'000'000};
    /// The outcome of a store call without a reply is unknown after this time.
    duration call_timeout{10'000'000};
    /// Reads of the row of an abandoned claim, because its write may take
    /// effect late.
    int max_cleanup_reads = 8;
    std::size_t max_key_length = 512;
    /// Minted keys whose state is kept; above either limit the oldest ones are
    /// evicted.
    std::size_t max_minted_keys = 10'000;
    std::size_t max_minted_result_bytes = std::size_t{8} << 20;
    /// Rows are kept for this time after their last write.
    std::uint64_t row_retention_seconds = 86'400;
    /// The fleet reads about one page of rows in this time, whatever its size.
    duration fleet_page_period{1'000'000};
    /// A daemon reads at most one page in this time.
    duration min_page_period{10'000'000};
    /// Kept small because a row may hold a response of 1 MiB.
    std::size_t rows_per_page = 20;
    /// No claim is granted for this time after the store was restored from a
    /// copy. Longer than a watch of the document, after which the last daemon
    /// learns of the restore and writes its claims again.
    duration restore_pause{40'000'000};
    /// Rows are written again if the store is restored within this time after
    /// they got their final content.
    duration settled_retention{60'000'000};
    std::size_t max_settled_bytes = std::size_t{8} << 20;
};

enum class job_phase : std::uint8_t
{
    inserting,   ///< writes the row for the first time
    reading,     ///< reads the row back after a lost reply
    fencing,     ///< fences the homes of a claim whose claimant is gone
    taking_over, ///< writes a fenced claim under the next epoch
    running,     ///< granted; the request runs
    recording,   ///< writes the result until the write is confirmed
    abandoning,  ///< clears the claimant, because the outcome is unknown
    releasing,   ///< deletes the row of a request that did not run
    removing     ///< deletes the row of a claim that was not granted
};

/// A home that a fence was sent to.
struct pending_fence
{
    claim_home home;
    std::optional<fence_response> response;
};

/// One claim of this daemon, from the request until the row has its final
/// content.
struct claim_job
{
    /// Identifies the job; part of the numbers of its store calls.
    std::uint64_t ticket = 0;
    job_phase phase = job_phase::inserting;
    claim_request request;
    /// Key of the claim's row.
    std::string store_key;
    /// The row as this daemon writes it.
    claim_row own_row;
    /// The row of the claim that is fenced.
    claim_row fenced_row;
    /// Version of the row in the store; 0 when unknown.
    std::uint64_t row_version = 0;
    time_point started;
    /// Number of the store call in flight; 0 when there is none.
    std::uint64_t pending_call = 0;
    time_point pending_since;
    /// Whether the last store call reads the row.
    bool is_read_call = false;
    bool is_retry_scheduled = false;
    time_point retry_at;
    int retries = 0;
    /// A write of this job may still take effect.
    bool has_uncertain_write = false;
    /// The row held another claim, so "not run" is no longer certain.
    bool has_seen_other_claim = false;
    /// claim_released was sent to routing.
    bool is_release_reported = false;
    /// Values of claims_state::restores at the last store call and at the
    /// grant.
    std::uint64_t call_restores = 0;
    std::uint64_t granted_restores = 0;
    /// The store may have lost the row of a running claim.
    bool must_restore = false;
    claim_ref fenced_claim;
    std::vector<pending_fence> fences;
    time_point fencing_started;
    time_point fences_last_sent;
};

/// A key minted by this run of this daemon. Only this run may execute the
/// key's request.
struct minted_key
{
    enum class run_state : std::uint8_t
    {
        unused,
        running,
        done,
        unknown
    };
    run_state state = run_state::unused;
    std::string account;
    std::uint64_t body_hash = 0;
    std::uint64_t epoch = 0;
    work_result result;
};

/// A row with its final content, kept in case the store loses it.
struct settled_row
{
    std::string store_key;
    claim_row row;
    time_point keep_until;
};

/// A state_request that waits for its row.
struct state_query
{
    state_request request;
    /// Number of the store call in flight.
    std::uint64_t pending_call = 0;
    time_point pending_since;
};

struct claims_state
{
    parameters limits;
    daemon_ref own_daemon;
    std::string address;
    std::string mint_key;

    /// By ticket.
    std::unordered_map<std::uint64_t, claim_job> jobs;
    /// Ticket of the job for each row key.
    std::unordered_map<std::string, std::uint64_t> job_by_key;
    /// By ticket.
    std::unordered_map<std::uint64_t, state_query> queries;
    std::uint64_t next_ticket = 1;
    std::uint64_t next_call = 1;

    /// Sorted by id. Empty until members has sent the live daemons.
    std::vector<daemon_ref> live_daemons;
    bool has_received_live_daemons = false;

    store::era_position era;
    /// How often the store was restored from a copy since the start.
    std::uint64_t restores = 0;
    /// No claim is granted before this time.
    time_point claims_resume_at;
    /// Oldest first.
    std::deque<settled_row> settled_rows;
    std::size_t settled_bytes = 0;
    /// Rows that the store may have lost.
    std::deque<settled_row> rows_to_restore;

    /// By serial number. A key that is missing here was evicted.
    std::map<std::uint64_t, minted_key> minted_keys;
    std::uint64_t next_serial = 1;
    /// Body bytes of the kept results.
    std::size_t minted_result_bytes = 0;

    /// Unix time in seconds at `started`; 0 disables the deletion of old rows.
    std::uint64_t unix_time_at_start = 0;
    time_point started;
    time_point next_page_due;
    /// Number of the store call that reads a page; 0 when there is none.
    std::uint64_t pending_page_call = 0;
    /// The next page starts after this key.
    std::string page_after_key;
};

struct outgoing_fence
{
    std::string address;
    fence request;
};

/// Messages, calls and log lines that the thread sends after a decision.
struct actions
{
    std::vector<claim_result> results;
    std::vector<claim_released> released;
    std::vector<outgoing_fence> fences;
    /// The thread sets `deliver`.
    std::vector<store::request> store;
    /// Called by the thread; each delivers the reply to one request.
    std::vector<std::function<void()>> callbacks;
    std::vector<event_line> log;
};

claims_state make_state(daemon_ref own_daemon, std::string address,
                        std::string mint_key);

void on_claim_request(claims_state& state, claim_request const& request,
                      time_point now, actions& out);
void on_claim_end(claims_state& state, claim_end const& end, time_point now,
                  actions& out);
void on_fence_response(claims_state& state, fence_response const& response,
                       time_point now, actions& out);
void on_live_daemons(claims_state& state, members::live_daemons const& update,
                     time_point now, actions& out);
void on_mint_request(claims_state& state, mint_request const& request,
                     time_point now, actions& out);
void on_state_request(claims_state& state, state_request const& request,
                      time_point now, actions& out);
void on_store_era(claims_state& state, store_era const& seen, time_point now,
                  actions& out);
void on_store_reply(claims_state& state, store::reply const& reply,
                    time_point now, actions& out);

/// Runs due retries and timeouts. Returns the time of the next call.
time_point on_tick(claims_state& state, time_point now, actions& out);

} // namespace gooseberrycove::claims

#endif
