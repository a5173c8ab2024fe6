#ifndef GOOSEBERRYCOVE_ADMISSION_CLAIM_MEMORY_HPP
#define GOOSEBERRYCOVE_ADMISSION_CLAIM_MEMORY_HPP

#include <gooseberrycove/claims.hpp>

#include <deque>
#include <string>
#include <unordered_map>

namespace gooseberrycove::admission
{

/// What this home knows of a claim.
enum class claim_phase : std::uint8_t
{
    queued,
    running,
    finished,
    refused, ///< refused by this home as not run; stays refused
    fenced   ///< refused because a successor asked for it
};

struct claim_record
{
    claim_phase phase = claim_phase::queued;
    /// Highest epoch that was accepted, refused or fenced.
    std::uint64_t epoch = 0;
    work_result result;
    time_point settled_at;
};

/// Claims that this home has seen. A record is never forgotten while a late
/// message of its claim could still arrive: when there is no room, new claims
/// are refused.
struct claim_memory
{
    std::unordered_map<std::string, claim_record> records;
    /// Settled claims in the order in which they were settled. A claim that
    /// is settled again has a later entry as well.
    std::deque<std::pair<std::string, time_point>> settled;
    std::size_t bytes = 0;
    std::size_t max_records = 65'536;
    std::size_t max_bytes = 32 << 20;
};

/// Settled claims are kept at least this long, and up to max_claim_age while
/// there is room.
inline constexpr duration min_claim_age = std::chrono::minutes(10);
inline constexpr duration max_claim_age = std::chrono::hours(1);

enum class claim_admission : std::uint8_t
{
    accepted,
    memory_full,
    refused_before, ///< this home refused the claim and answered not run
    fenced,         ///< a successor may run it elsewhere
    running,
    finished
};

/// What stands against work under a claim, without recording it.
claim_admission check_claim(claim_memory const& memory, claim_ref const& claim);

/// Decides whether work under a claim may be queued, and records it.
claim_admission admit_claim(claim_memory& memory, claim_ref const& claim,
                            time_point now);

void mark_claim_running(claim_memory& memory, claim_ref const& claim);

/// Records the end of the claim's work at this home.
void record_claim_result(claim_memory& memory, claim_ref const& claim,
                         work_result const& result, time_point now);

/// Refuses the claim's epoch and earlier ones from now on, unless the work
/// was started. Queued work counts as fenced: the caller removes it.
claims::fence_response fence_claim(claim_memory& memory, claim_ref const& claim,
                                   time_point now);

/// Drops settled claims past their age.
void expire_claims(claim_memory& memory, time_point now);

} // namespace gooseberrycove::admission

#endif
