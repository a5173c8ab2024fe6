#include "members/withdrawal.hpp"

#include "members/lease.hpp"
#include "members/peers.hpp"

namespace gooseberrycove::members
{

namespace
{

/// A departure may name no start of the server, and a home that has restarted
/// does not know it either. For this time after such a departure, only the
/// first announcements of a start are accepted; others were sent before the
/// departure.
constexpr duration unnumbered_departure_time = std::chrono::seconds(10);

server_record record_of(std::string_view server, withdrawal const& known)
{
    server_record record;
    record.server = server;
    record.state = known.state;
    record.home = known.home;
    record.announced = known.number;
    return record;
}

} // namespace

bool note_withdrawal(membership_state& state, std::string_view server,
                     withdrawal const& noted, time_point now)
{
    auto const [position, is_new] =
        state.withdrawals.try_emplace(std::string(server), noted);
    if (!is_new && !(position->second.number < noted.number))
        return false;
    position->second = noted;
    position->second.recorded_at = now;
    return true;
}

bool is_before_withdrawal(membership_state const& state,
                          std::string_view server, announcement_number number,
                          time_point now)
{
    auto const known = state.withdrawals.find(server);
    return known != state.withdrawals.end() && number.incarnation != 0 &&
           now - known->second.recorded_at < max_announcement_delay &&
           number < known->second.number;
}

bool may_precede_unnumbered_departure(membership_state const& state,
                                      announcement const& details,
                                      time_point now)
{
    auto const known = state.withdrawals.find(details.server);
    return known != state.withdrawals.end() &&
           known->second.number.incarnation == 0 &&
           now - known->second.recorded_at < unnumbered_departure_time &&
           details.sequence > max_first_sequence;
}

void merge_withdrawal(membership_state& state, server_record const& record,
                      time_point now, actions& out)
{
    // This run of the daemon knows more of its own servers.
    if (record.state == server_state::serving ||
        record.announced.incarnation == 0 ||
        record.home == state.own_record.daemon)
        return;
    withdrawal const noted{record.announced, record.state, record.home, now};
    if (!note_withdrawal(state, record.server, noted, now))
        return;
    homed_server_state const* const homed =
        find_homed_server(state, record.server);
    if (homed != nullptr && number_of(homed->details) < record.announced)
        withdraw_homed_server(state, record, now, out);
}

void correct_home(membership_state& state, server_record const& record,
                  actions& out)
{
    peer_record const* const home = find_record(state, record.home.id);
    auto const known = state.withdrawals.find(record.server);
    if (home == nullptr || home->daemon != record.home ||
        known == state.withdrawals.end())
        return;
    sync correction;
    correction.sender = state.own_record.daemon;
    correction.sender_address = state.own_record.address;
    correction.peers.push_back(state.own_record);
    correction.servers.push_back(record_of(record.server, known->second));
    out.to_peers.push_back({home->address, std::move(correction)});
}

void append_withdrawals(membership_state const& state, daemon_ref restarted,
                        sync& part)
{
    for (auto const& [server, known] : state.withdrawals)
    {
        if (known.home.id == restarted.id &&
            known.home.incarnation < restarted.incarnation)
            part.servers.push_back(record_of(server, known));
    }
}

void expire_withdrawals(membership_state& state, time_point now)
{
    std::erase_if(
        state.withdrawals, [&](auto const& item)
        { return now - item.second.recorded_at >= max_announcement_delay; });
}

} // namespace gooseberrycove::members
