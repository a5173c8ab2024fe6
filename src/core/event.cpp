#include <gooseberrycove/event.hpp>

#include <fmt/format.h>

#include <array>

namespace gooseberrycove
{

namespace
{

struct event_entry
{
    event event_id;
    std::string_view name;
};

#define GOOSEBERRYCOVE_EVENT(name)                                             \
    event_entry                                                                \
    {                                                                          \
        event::name, #name                                                     \
    }

constexpr std::array event_entries{
    GOOSEBERRYCOVE_EVENT(process_started),
    GOOSEBERRYCOVE_EVENT(process_draining),
    GOOSEBERRYCOVE_EVENT(process_stopped),
    GOOSEBERRYCOVE_EVENT(settings_reloaded),
    GOOSEBERRYCOVE_EVENT(ring_full),
    GOOSEBERRYCOVE_EVENT(process_failed),
    GOOSEBERRYCOVE_EVENT(settings_refused),
    GOOSEBERRYCOVE_EVENT(log_lines_left_out),
    GOOSEBERRYCOVE_EVENT(log_lines_dropped),
    GOOSEBERRYCOVE_EVENT(drain_ended),
    GOOSEBERRYCOVE_EVENT(bounds_derived),
    GOOSEBERRYCOVE_EVENT(drain_extended),
    GOOSEBERRYCOVE_EVENT(request_routed),
    GOOSEBERRYCOVE_EVENT(request_refused),
    GOOSEBERRYCOVE_EVENT(request_retried),
    GOOSEBERRYCOVE_EVENT(request_hedged),
    GOOSEBERRYCOVE_EVENT(request_answered),
    GOOSEBERRYCOVE_EVENT(body_without_room),
    GOOSEBERRYCOVE_EVENT(retry_withheld),
    GOOSEBERRYCOVE_EVENT(work_refused),
    GOOSEBERRYCOVE_EVENT(work_started),
    GOOSEBERRYCOVE_EVENT(server_stated),
    GOOSEBERRYCOVE_EVENT(server_refusing),
    GOOSEBERRYCOVE_EVENT(calls_failing),
    GOOSEBERRYCOVE_EVENT(dispatch_finished),
    GOOSEBERRYCOVE_EVENT(response_unattributed),
    GOOSEBERRYCOVE_EVENT(connection_unusable),
    GOOSEBERRYCOVE_EVENT(server_alarm),
    GOOSEBERRYCOVE_EVENT(server_ejected),
    GOOSEBERRYCOVE_EVENT(server_probation),
    GOOSEBERRYCOVE_EVENT(server_readmitted),
    GOOSEBERRYCOVE_EVENT(alarm_cleared),
    GOOSEBERRYCOVE_EVENT(peer_joined),
    GOOSEBERRYCOVE_EVENT(peer_suspected),
    GOOSEBERRYCOVE_EVENT(peer_dead),
    GOOSEBERRYCOVE_EVENT(peer_left),
    GOOSEBERRYCOVE_EVENT(server_announced),
    GOOSEBERRYCOVE_EVENT(server_draining),
    GOOSEBERRYCOVE_EVENT(server_gone),
    GOOSEBERRYCOVE_EVENT(withdrawals_loaded),
    GOOSEBERRYCOVE_EVENT(withdrawal_not_stored),
    GOOSEBERRYCOVE_EVENT(announcement_held),
    GOOSEBERRYCOVE_EVENT(config_in_force),
    GOOSEBERRYCOVE_EVENT(config_patch_committed),
    GOOSEBERRYCOVE_EVENT(config_patch_refused),
    GOOSEBERRYCOVE_EVENT(config_pulled),
    GOOSEBERRYCOVE_EVENT(config_ambiguous),
    GOOSEBERRYCOVE_EVENT(config_entry_unusable),
    GOOSEBERRYCOVE_EVENT(config_document_read),
    GOOSEBERRYCOVE_EVENT(claim_taken),
    GOOSEBERRYCOVE_EVENT(claim_refused),
    GOOSEBERRYCOVE_EVENT(claim_replayed),
    GOOSEBERRYCOVE_EVENT(claim_settled),
    GOOSEBERRYCOVE_EVENT(claim_fenced),
    GOOSEBERRYCOVE_EVENT(claim_recorded),
    GOOSEBERRYCOVE_EVENT(claim_released),
    GOOSEBERRYCOVE_EVENT(store_call_failed),
    GOOSEBERRYCOVE_EVENT(store_recovered),
    GOOSEBERRYCOVE_EVENT(store_restored),
    GOOSEBERRYCOVE_EVENT(peer_refused),
    GOOSEBERRYCOVE_EVENT(peer_connection_lost),
    GOOSEBERRYCOVE_EVENT(admin_refused),
    GOOSEBERRYCOVE_EVENT(admin_action),
    GOOSEBERRYCOVE_EVENT(account_limited),
    GOOSEBERRYCOVE_EVENT(account_owner_changed),
    GOOSEBERRYCOVE_EVENT(account_entitlement_used),
};

#undef GOOSEBERRYCOVE_EVENT

std::array const events = []
{
    std::array<event, event_entries.size()> result{};
    for (std::size_t i = 0; i < result.size(); ++i)
        result[i] = event_entries[i].event_id;
    return result;
}();

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != value.npos;
}

} // namespace

std::string_view event_name(event event_id)
{
    for (event_entry const& entry : event_entries)
    {
        if (entry.event_id == event_id)
            return entry.name;
    }
    return "unnamed";
}

std::span<event const> all_events()
{
    return events;
}

std::string event_tag(event event_id)
{
    return fmt::format("E{:04} {}", static_cast<unsigned>(event_id),
                       event_name(event_id));
}

event_line& event_line::field(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (!needs_quotes(value))
    {
        m_text += value;
        return *this;
    }
    m_text += '"';
    for (char const c : value)
    {
        if (c == '"' || c == '\\')
            m_text += '\\';
        // A line break in a value must not start a forged log line.
        m_text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    m_text += '"';
    return *this;
}

event_line& event_line::field(std::string_view key, std::int64_t value)
{
    return field(key, std::string_view(fmt::format("{}", value)));
}

event_line& event_line::field(std::string_view key, std::uint64_t value)
{
    return field(key, std::string_view(fmt::format("{}", value)));
}

event_line& event_line::field(std::string_view key, double value)
{
    return field(key, std::string_view(fmt::format("{:.3f}", value)));
}

} // namespace gooseberrycove
