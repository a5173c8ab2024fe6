#include "fake_server/announce.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrycove::fake_server
{

void on_server_state(announce_state& state, server_state const& update,
                     time_point now)
{
    if (!state.latest || state.latest->is_draining != update.is_draining)
        state.next_announcement = now;
    state.latest = update;
}

std::optional<std::size_t> due_target(announce_state const& state,
                                      time_point now)
{
    if (!state.latest || state.target_count == 0 ||
        state.next_announcement > now)
        return std::nullopt;
    return state.current_target;
}

bool on_reply(announce_state& state, bool accepted, duration granted,
              time_point now)
{
    if (!accepted)
    {
        ++state.failures;
        state.current_target = (state.current_target + 1) % state.target_count;
        bool const all_failed = state.failures % state.target_count == 0;
        state.next_announcement = all_failed ? now + announce_retry_pause : now;
        return false;
    }
    state.failures = 0;
    state.next_announcement = now + granted / 3;
    bool const is_first_acceptance =
        state.latest->is_draining && !state.drain_accepted;
    state.drain_accepted = state.latest->is_draining;
    return is_first_acceptance;
}

std::string announcement_body(announce_options const& options,
                              server_state const& update)
{
    return nlohmann::json{
        {"name", options.name},
        {"service", options.service},
        {"address", options.address},
        {"slots", options.slots},
        {"connections", options.connections},
        {"incarnation", options.incarnation},
        {"state", update.is_draining ? "draining" : "serving"},
        {"lease_ms", options.lease.count() / 1000},
        {"load", update.load}}
        .dump();
}

std::optional<duration> granted_lease(std::string_view body)
{
    auto const document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("lease_ms") ||
        !document["lease_ms"].is_number_unsigned())
        return std::nullopt;
    return duration(1000 * document["lease_ms"].get<std::int64_t>());
}

} // namespace gooseberrycove::fake_server
