#include "claim_memory.hpp"

#include <algorithm>

namespace gooseberrycove::admission
{

namespace
{

/// Bytes counted for a record without its result, including its entries in both
/// containers.
constexpr std::size_t record_overhead = 512;

std::size_t size_of(work_result const& result)
{
    return result.body.size() + result.content_type.size() +
           result.detail.size();
}

void erase_record(claim_memory& memory, std::string const& id)
{
    auto const found = memory.records.find(id);
    memory.bytes -= record_overhead + size_of(found->second.result);
    memory.records.erase(found);
}

bool is_settled(claim_record const& record)
{
    return record.phase != claim_phase::queued &&
           record.phase != claim_phase::running;
}

void expire_settled(claim_memory& memory, time_point limit)
{
    while (!memory.settled.empty() && memory.settled.front().second < limit)
    {
        auto const found = memory.records.find(memory.settled.front().first);
        if (found != memory.records.end() && is_settled(found->second) &&
            found->second.settled_at < limit)
            erase_record(memory, found->first);
        memory.settled.pop_front();
    }
}

bool is_full(claim_memory const& memory, std::size_t reserve)
{
    return memory.records.size() >= memory.max_records + reserve ||
           memory.bytes >= memory.max_bytes + reserve * record_overhead;
}

bool ensure_capacity(claim_memory& memory, std::size_t reserve, time_point now)
{
    if (is_full(memory, reserve))
        expire_settled(memory, now - min_claim_age);
    return !is_full(memory, reserve);
}

claim_record& add_record(claim_memory& memory, claim_ref const& claim)
{
    memory.bytes += record_overhead;
    claim_record& record = memory.records[claim.id];
    record.epoch = claim.epoch;
    return record;
}

void settle(claim_memory& memory, std::string const& id, claim_record& record,
            claim_phase phase, time_point now)
{
    record.phase = phase;
    record.settled_at = now;
    memory.settled.emplace_back(id, now);
}

claim_admission check_record(claim_record const& record, claim_ref const& claim)
{
    switch (record.phase)
    {
    case claim_phase::queued:
    case claim_phase::running:
        return claim_admission::running;
    case claim_phase::finished:
        return claim_admission::finished;
    case claim_phase::refused:
    case claim_phase::fenced:
        break;
    }
    if (claim.epoch <= record.epoch)
        return record.phase == claim_phase::fenced
                   ? claim_admission::fenced
                   : claim_admission::refused_before;
    return claim_admission::accepted;
}

} // namespace

claim_admission check_claim(claim_memory const& memory, claim_ref const& claim)
{
    auto const found = memory.records.find(claim.id);
    return found == memory.records.end() ? claim_admission::accepted
                                         : check_record(found->second, claim);
}

claim_admission admit_claim(claim_memory& memory, claim_ref const& claim,
                            time_point now)
{
    auto const found = memory.records.find(claim.id);
    if (found != memory.records.end())
    {
        claim_admission const checked = check_record(found->second, claim);
        if (checked != claim_admission::accepted)
            return checked;
        found->second.epoch = claim.epoch;
        found->second.phase = claim_phase::queued;
        return checked;
    }
    if (!ensure_capacity(memory, 0, now))
        return claim_admission::memory_full;
    add_record(memory, claim);
    return claim_admission::accepted;
}

void mark_claim_running(claim_memory& memory, claim_ref const& claim)
{
    memory.records.at(claim.id).phase = claim_phase::running;
}

void record_claim_result(claim_memory& memory, claim_ref const& claim,
                         work_result const& result, time_point now)
{
    claim_record& record = memory.records.at(claim.id);
    if (result.run_outcome == outcome::not_run)
    {
        settle(memory, claim.id, record, claim_phase::refused, now);
        return;
    }
    record.result = result;
    record.result.statuses.clear();
    memory.bytes += size_of(result);
    settle(memory, claim.id, record, claim_phase::finished, now);
}

claims::fence_response fence_claim(claim_memory& memory, claim_ref const& claim,
                                   time_point now)
{
    claims::fence_response response;
    response.claim = claim;
    auto found = memory.records.find(claim.id);
    if (found == memory.records.end())
    {
        // Fences have a reserve, so that claims can be settled while new ones
        // are refused. When the reserve is used up, the fence cannot be
        // recorded; with "running", the successor reports the outcome as
        // unknown.
        response.state = claims::fence_state::running;
        if (!ensure_capacity(memory, memory.max_records / 4, now))
            return response;
        add_record(memory, claim);
        found = memory.records.find(claim.id);
    }
    claim_record& record = found->second;
    if (record.phase == claim_phase::running)
    {
        response.state = claims::fence_state::running;
        return response;
    }
    if (record.phase == claim_phase::finished)
    {
        response.state = claims::fence_state::finished;
        response.result = record.result;
        return response;
    }
    response.state = claims::fence_state::fenced;
    // The fenced epoch was superseded; the request that is queued now has a
    // later epoch and may run.
    if (claim.epoch < record.epoch)
        return response;
    record.epoch = claim.epoch;
    settle(memory, claim.id, record, claim_phase::fenced, now);
    return response;
}

void expire_claims(claim_memory& memory, time_point now)
{
    expire_settled(memory, now - max_claim_age);
}

} // namespace gooseberrycove::admission
