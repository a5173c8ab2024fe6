#ifndef GOOSEBERRYCOVE_CLAIMS_JOB_HPP
#define GOOSEBERRYCOVE_CLAIMS_JOB_HPP

#include "claims/state.hpp"

#include <string_view>

namespace gooseberrycove::claims
{

// Steps that the parts of the protocol share. A function that takes a job by
// reference may erase it; callers return right after.

/// Number that a store call of a job carries; the ticket can be read from it.
std::uint64_t call_number(state& s, std::uint64_t ticket);
std::uint64_t ticket_of(std::uint64_t number);

void call_store(state& s, job& j, store::operation&& what, time_point now,
                actions& out);
void read_row(state& s, job& j, time_point now, actions& out);

/// Writes \p row when the row's version is \p version.
void write_row(state& s, job& j, claim_row const& row, std::uint64_t version,
               time_point now, actions& out);

void schedule_retry(state const& s, job& j, time_point now);

bool is_live(state const& s, daemon_ref who);

/// Answers routing with an error kind.
void answer(job const& j, error_kind kind, std::string_view detail,
            actions& out);
/// Answers routing with a recorded response.
void replay(job const& j, work_result const& recorded, actions& out);

/// Removes the job; first removes its row when a write may still take effect.
void finish(state& s, job& j, time_point now, actions& out);
void erase(state& s, job& j);

void log_claim(event what, job const& j, std::string_view detail, actions& out);

// claim.cpp
void insert_row(state& s, job& j, time_point now, actions& out);
void on_claim_reply(state& s, job& j, store::reply const& what, time_point now,
                    actions& out);
void write_raise(state& s, job& j, time_point now, actions& out);

// fencing.cpp
void start_fences(state const& s, job& j, claim_row const& row, time_point now,
                  actions& out);
/// Repeats fences, and decides when all homes answered or time is up.
void check_fences(state& s, job& j, time_point now, actions& out);

// settle.cpp
void settle(state& s, job& j, time_point now, actions& out);
void on_settle_reply(state& s, job& j, store::reply const& what, time_point now,
                     actions& out);

// mint.cpp
/// Whether the text has the form of a minted key.
bool is_minted(std::string_view key);
void claim_minted(state& s, claim_request const& what, actions& out);
void end_minted(state& s, claim_end const& what, actions& out);
claim_state minted_state(state const& s, std::string_view account,
                         std::string_view key);

} // namespace gooseberrycove::claims

#endif
