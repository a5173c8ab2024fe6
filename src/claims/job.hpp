#ifndef GOOSEBERRYCOVE_CLAIMS_JOB_HPP
#define GOOSEBERRYCOVE_CLAIMS_JOB_HPP

#include "claims/state.hpp"

#include <span>
#include <string_view>

namespace gooseberrycove::claims
{

// Functions that the parts of the protocol share. A function with a non-const
// claim_job parameter may erase the job, so its callers return right after.

/// Unix time at \p now, in seconds.
std::uint64_t unix_time(claims_state const& state, time_point now);

/// Number for a store call; it contains the ticket of the job or query.
std::uint64_t call_number(claims_state& state, std::uint64_t ticket);
std::uint64_t ticket_of(std::uint64_t number);

void call_store(claims_state& state, claim_job& job,
                store::operation&& operation, time_point now, actions& out);
void read_row(claims_state& state, claim_job& job, time_point now,
              actions& out);

/// Writes the job's row on the condition that the row has \p version.
void write_row(claims_state& state, claim_job& job, std::uint64_t version,
               time_point now, actions& out);

void schedule_retry(claims_state const& state, claim_job& job, time_point now);

bool is_live(claims_state const& state, daemon_ref daemon);

/// Sends routing a claim_result with an error kind.
void send_refusal(claim_job const& job, error_kind kind,
                  std::string_view detail, actions& out);
/// Sends routing a claim_result with a recorded result.
void send_replay(claim_job const& job, work_result const& recorded,
                 actions& out);

/// Removes the job. When a write of it may still take effect, its row is
/// deleted first.
void finish_job(claims_state& state, claim_job& job, time_point now,
                actions& out);
void erase_job(claims_state& state, claim_job& job);

void log_claim(event event_id, claim_job const& job, std::string_view detail,
               actions& out);

// claim.cpp
void insert_row(claims_state& state, claim_job& job, time_point now,
                actions& out);
void on_claim_reply(claims_state& state, claim_job& job,
                    store::reply const& reply, time_point now, actions& out);
void write_takeover(claims_state& state, claim_job& job, time_point now,
                    actions& out);

// fencing.cpp
void start_fencing(claims_state const& state, claim_job& job,
                   claim_row const& row, time_point now, actions& out);
/// Sends fences again, and decides once all homes replied or
/// parameters::fence_timeout has passed.
void check_fences(claims_state& state, claim_job& job, time_point now,
                  actions& out);

// settle.cpp
/// Reads, writes or deletes the row, as the job's phase requires.
void settle(claims_state& state, claim_job& job, time_point now, actions& out);
void on_settle_reply(claims_state& state, claim_job& job,
                     store::reply const& reply, time_point now, actions& out);

// retention.cpp
/// Requests the next page of rows when it is due.
void read_due_page(claims_state& state, time_point now, actions& out);
/// Deletes the rows of a page that are past their retention time.
void on_page_reply(claims_state& state, store::reply const& reply,
                   time_point now, actions& out);

// restore.cpp
/// Whether the store was restored so lately that rows written by other daemons
/// may still be missing. No claim is granted meanwhile.
bool is_paused(claims_state const& state, time_point now);
/// Whether the store was restored after the claim was granted.
bool is_of_earlier_era(claims_state const& state, claim_job const& job);
/// Whether the job's claim was granted after the one that the restored store
/// holds, so that its row has to be written again.
bool is_granted_after(claims_state const& state, claim_job const& job,
                      claim_row const& found, std::uint64_t found_version);
/// Whether the row belongs to a claim that is not granted during the pause and
/// whose row will be removed. Its writer did not know the new era.
bool is_still_pending(claims_state const& state, claim_job const& job,
                      claim_row const& found, time_point now);
void schedule_restore_retry(claim_job& job, time_point now);
/// Pauses claims, and schedules writing the rows of this daemon again.
void on_new_store_era(claims_state& state, time_point now, actions& out);
/// Starts writing lost rows again.
void restore_rows(claims_state& state, time_point now);
/// Keeps the final row of the job for a later restore.
void keep_settled_row(claims_state& state, claim_job const& job,
                      time_point now);
/// Handles a reply to a running job, whose row is written again.
void on_restore_reply(claims_state& state, claim_job& job,
                      store::reply const& reply, time_point now, actions& out);

// mint.cpp
/// Whether the text has the form of a minted key.
bool is_minted(std::string_view key);
void claim_minted(claims_state& state, claim_request const& request,
                  actions& out);
void end_minted(claims_state& state, claim_end const& end, actions& out);
claim_state minted_state(claims_state const& state, std::string_view account,
                         std::string_view key);

} // namespace gooseberrycove::claims

#endif
