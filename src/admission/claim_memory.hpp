#ifndef GOOSEBERRYCOVE_ADMISSION_CLAIM_MEMORY_HPP
#define GOOSEBERRYCOVE_ADMISSION_CLAIM_MEMORY_HPP

#include <gooseberrycove/claims.hpp>

#include <deque>
#include <string>
#include <unordered_map>

namespace gooseberrycove::admission
{

/// Phase of a claim at this home.
enum class claim_phase : std::uint8_t
{
    queued,
    running,
    finished,
    refused, ///< refused by this home as not run; stays refused
    fenced   ///< refused at the request of a successor
};

struct claim_record
{
    claim_phase phase = claim_phase::queued;
    /// Highest epoch that was accepted, refused or fenced.
    std::uint64_t epoch = 0;
    work_result result;
    time_point settled_at;
};

/// Claims that this home has received. A record is kept while a late message of
/// its claim could still arrive; when the memory is full, new claims are
/// refused instead.
struct claim_memory
{
    std::unordered_map<std::string, claim_record> records;
    /// Settled claims (finished, refused or fenced) with the time of settling,
    /// oldest first. A claim that is settled again has a second, later entry.
    std::deque<std::pair<std::string, time_point>> settled;
    std::size_t bytes = 0;
    std::size_t max_records = 65'536;
    std::size_t max_bytes = 32 << 20;
};

/// Settled claims are kept for at least min_claim_age, and for up to
/// max_claim_age while the memory is not full.
inline constexpr duration min_claim_age = std::chrono::minutes(10);
inline constexpr duration max_claim_age = std::chrono::hours(1);

/// Whether a request under a claim may be queued, or why it may not.
enum class claim_admission : std::uint8_t
{
    accepted,
    memory_full,
    refused_before, ///< this home refused it and reported it as not run
    fenced,         ///< a successor may run it elsewhere
    running,
    finished
};

/// Returns whether a request under the claim may be queued, without recording
/// the claim and without a check for free memory.
claim_admission check_claim(claim_memory const& memory, claim_ref const& claim);

/// Returns whether a request under the claim may be queued. Records the claim
/// as queued when it is accepted.
claim_admission admit_claim(claim_memory& memory, claim_ref const& claim,
                            time_point now);

void mark_claim_running(claim_memory& memory, claim_ref const& claim);

/// Records the result of the claim's request and settles the claim: as refused
/// when the request did not run, otherwise as finished.
void record_claim_result(claim_memory& memory, claim_ref const& claim,
                         work_result const& result, time_point now);

/// Refuses the claim's epoch and earlier ones from now on, unless the request
/// was started. A queued request counts as fenced; the caller of this function
/// removes it from the queue.
claims::fence_response fence_claim(claim_memory& memory, claim_ref const& claim,
                                   time_point now);

/// Drops settled claims past their age.
void expire_claims(claim_memory& memory, time_point now);

} // namespace gooseberrycove::admission

#endif
