#include "members/peers.hpp"
#include "members/sync.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

constexpr std::uint64_t scan_number = 1;
constexpr std::uint64_t write_number = 2;
constexpr unsigned slots = 16;
constexpr std::string_view prefix = "rendezvous/";
/// After a loss of all daemons at once the fleet serves again when they have
/// found each other, which takes one period.
constexpr duration lonely_scan_period{1'000'000};

std::string slot_key(std::uint64_t slot)
{
    return fmt::format("{}{:02}", prefix, slot);
}

bool is_known_live(state const& s, std::string_view address)
{
    return std::ranges::any_of(
        s.peers, [&](member const& who)
        { return who.record.address == address && is_live(who.record); });
}

/// An unused slot, else one whose daemon is not alive, else any.
std::string choose_slot(state& s, std::vector<store::row> const& rows)
{
    std::uint64_t const start = s.random() % slots;
    std::string stale;
    for (std::uint64_t step = 0; step < slots; ++step)
    {
        std::string key = slot_key((start + step) % slots);
        auto const row = std::ranges::find(rows, key, &store::row::key);
        if (row == rows.end())
            return key;
        if (stale.empty() && !is_known_live(s, row->value))
            stale = key;
    }
    return stale.empty() ? slot_key(start) : stale;
}

void write_row(state& s, std::vector<store::row> const& rows, actions& out)
{
    store::transaction write;
    std::string const key = choose_slot(s, rows);
    if (std::ranges::find(rows, key, &store::row::key) == rows.end())
        write.conditions.push_back({key, 0});
    write.puts.push_back({key, s.self.address});
    store::request call;
    call.number = write_number;
    call.op = std::move(write);
    out.store.push_back(std::move(call));
}

} // namespace

void run_rendezvous(state& s, time_point now, actions& out)
{
    if (now < s.next_rendezvous || s.self.state == peer_state::leaving)
        return;
    std::size_t const others = live_count(s);
    bool const lonely = others == 0;
    duration const period =
        lonely ? lonely_scan_period : s.limits.rendezvous_period;
    // Spread by up to a quarter, so that daemons started together do not call
    // the table service together.
    auto const quarter = static_cast<std::uint64_t>(period.count() / 4 + 1);
    s.next_rendezvous =
        now + period + duration(static_cast<int>(s.random() % quarter));
    // 16 daemons of the fleet, on average, rewrite a row in each period.
    bool const chosen = s.random() % (others + 1) < slots;
    if (!lonely && !chosen)
        return;
    s.rendezvous_writes = chosen;
    store::request call;
    call.number = scan_number;
    call.op = store::scan_rows{std::string(prefix), {}, slots};
    out.store.push_back(std::move(call));
}

void on_store_reply(state& s, store::reply const& what, time_point now,
                    actions& out)
{
    if (what.number != scan_number || what.result != store::status::ok)
        return;
    s.rendezvous.clear();
    for (store::row const& row : what.rows)
        s.rendezvous.push_back(row.value);
    // After a loss of all daemons each second without peers is one without
    // service.
    if (live_count(s) == 0)
        s.next_join = now;
    bool const listed =
        std::ranges::find(s.rendezvous, s.self.address) != s.rendezvous.end();
    if (s.rendezvous_writes && !listed)
        write_row(s, what.rows, out);
}

} // namespace gooseberrycove::members
