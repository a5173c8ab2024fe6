#include "fake_server/announce.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrycove::fake_server
{

void on_own_state(announce_state& state, own_state const& what, time_point now)
{
    if (!state.latest || state.latest->draining != what.draining)
        state.due = now;
    state.latest = what;
}

std::optional<std::size_t> due_target(announce_state const& state,
                                      time_point now)
{
    if (!state.latest || state.target_count == 0 || state.due > now)
        return std::nullopt;
    return state.current;
}

bool on_reply(announce_state& state, bool accepted, duration granted,
              time_point now)
{
    if (!accepted)
    {
        ++state.failures;
        state.current = (state.current + 1) % state.target_count;
        bool const all_failed = state.failures % state.target_count == 0;
        state.due = all_failed ? now + announce_pause : now;
        return false;
    }
    state.failures = 0;
    state.due = now + granted / 3;
    bool const first = state.latest->draining && !state.drain_accepted;
    state.drain_accepted = state.latest->draining;
    return first;
}

std::string announcement_body(announce_options const& options,
                              own_state const& what)
{
    return nlohmann::json{{"name", options.name},
                          {"service", options.service},
                          {"address", options.address},
                          {"slots", options.slots},
                          {"connections", options.connections},
                          {"incarnation", options.incarnation},
                          {"state", what.draining ? "draining" : "serving"},
                          {"lease_ms", options.lease.count() / 1000},
                          {"load", what.load}}
        .dump();
}

std::optional<duration> granted_lease(std::string_view body)
{
    auto const in = nlohmann::json::parse(body, nullptr, false);
    if (!in.is_object() || !in.contains("lease_ms") ||
        !in["lease_ms"].is_number_unsigned())
        return std::nullopt;
    return duration(1000 * in["lease_ms"].get<std::int64_t>());
}

} // namespace gooseberrycove::fake_server
