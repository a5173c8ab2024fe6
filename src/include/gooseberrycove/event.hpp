#ifndef GOOSEBERRYCOVE_EVENT_HPP
#define GOOSEBERRYCOVE_EVENT_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gooseberrycove
{

/// Numbered log events, listed in docs/events.md. A number is never reused
/// for another event. Hundreds: 1 process, 2 routing, 3 admission, 4 dispatch,
/// 5 health, 6 members, 7 config, 8 claims, 9 store, 10 peer, 11 admin,
/// 12 account limits.
enum class event : std::uint16_t
{
    process_started = 100,
    process_draining = 101,
    process_stopped = 102,
    settings_reloaded = 103,
    ring_full = 104,
    process_failed = 105,
    settings_refused = 106,
    log_lines_left_out = 107,
    log_lines_dropped = 108,
    drain_ended = 109,
    bounds_derived = 110,
    drain_extended = 111,

    request_routed = 200,
    request_refused = 201,
    request_retried = 202,
    request_hedged = 203,
    request_answered = 204,
    body_without_room = 205,
    retry_withheld = 206,

    work_refused = 301,
    work_started = 302,
    server_stated = 303,
    server_refusing = 304,
    calls_failing = 305,

    dispatch_finished = 400,
    response_unattributed = 401,
    connection_unusable = 402,

    server_alarm = 500,
    server_ejected = 501,
    server_probation = 502,
    server_readmitted = 503,
    alarm_cleared = 504,

    peer_joined = 600,
    peer_suspected = 601,
    peer_dead = 602,
    peer_left = 603,
    server_announced = 604,
    server_draining = 605,
    server_gone = 606,
    withdrawals_loaded = 607,
    withdrawal_not_stored = 608,
    announcement_held = 609,

    config_in_force = 700,
    config_patch_committed = 701,
    config_patch_refused = 702,
    config_pulled = 703,
    config_ambiguous = 704,
    config_entry_unusable = 705,
    config_document_read = 706,

    claim_taken = 800,
    claim_refused = 801,
    claim_replayed = 802,
    claim_settled = 803,
    claim_fenced = 804,
    claim_recorded = 805,
    claim_released = 806,

    store_call_failed = 900,
    store_recovered = 901,
    store_restored = 902,

    peer_refused = 1000,
    peer_connection_lost = 1001,

    admin_refused = 1100,
    admin_action = 1101,

    account_limited = 1200,
    account_owner_changed = 1201,
    account_entitlement_used = 1202
};

/// Start of an event's log line, such as `E0501 server_ejected`.
std::string event_tag(event event_id);

/// Name of the event without its number.
std::string_view event_name(event event_id);

/// All events in the order of their numbers.
std::span<event const> all_events();

/// Builds a log line from ` key=value` fields. Values with blanks or quotes are
/// quoted.
class event_line
{
public:
    explicit event_line(event event_id)
        : m_id(event_id), m_text(event_tag(event_id))
    {
    }

    event_line& field(std::string_view key, std::string_view value);
    event_line& field(std::string_view key, char const* value)
    {
        return field(key, std::string_view(value));
    }
    event_line& field(std::string_view key, std::int64_t value);
    event_line& field(std::string_view key, std::uint64_t value);
    event_line& field(std::string_view key, int value)
    {
        return field(key, static_cast<std::int64_t>(value));
    }
    event_line& field(std::string_view key, unsigned value)
    {
        return field(key, static_cast<std::uint64_t>(value));
    }
    event_line& field(std::string_view key, double value);

    /// Marks the normal progress of a request; see log_record::is_routine.
    event_line& routine(bool value = true)
    {
        m_routine = value;
        return *this;
    }

    event id() const { return m_id; }
    bool is_routine() const { return m_routine; }
    std::string const& text() const { return m_text; }

private:
    event m_id;
    bool m_routine = false;
    std::string m_text;
};

/// Queue a line for the log thread without waiting. When no such thread runs,
/// as in unit tests, the lines stay in the ring.
void log_info(event_line const& line);
void log_warning(event_line const& line);
void log_error(event_line const& line);

} // namespace gooseberrycove

#endif
