#include "fake_platform/platform.hpp"

#include <algorithm>

namespace gooseberrycove::fake_platform
{

namespace
{

/// SplitMix64, scaled to 0 <= x < 1.
double next_random(std::uint64_t& random_state)
{
    random_state += 0x9E3779B97F4A7C15;
    std::uint64_t x = random_state;
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
    x ^= x >> 31;
    return static_cast<double>(x >> 11) * 0x1.0p-53;
}

bool take_token(rate_limit& limit, time_point now)
{
    std::chrono::duration<double> const passed = now - limit.refilled;
    limit.refilled = now;
    limit.tokens = std::min(limit.per_second,
                            limit.tokens + passed.count() * limit.per_second);
    if (limit.tokens < 1)
        return false;
    limit.tokens -= 1;
    return true;
}

bool contains(std::vector<std::string> const& clients, std::string_view client)
{
    return std::find(clients.begin(), clients.end(), client) != clients.end();
}

store::row row_of(state const& platform, std::string_view key)
{
    auto const found = platform.rows.find(key);
    if (found == platform.rows.end())
        return {std::string(key), 0, {}};
    return {found->first, found->second.version, found->second.value};
}

void record_row(state& platform, std::string const& key,
                std::string_view client)
{
    auto const found = platform.rows.find(key);
    std::optional<stored_value> earlier;
    if (found != platform.rows.end())
        earlier = found->second;
    platform.undo_log.push_back({platform.last_call_at, std::string(client),
                                 key, false, std::move(earlier),
                                 platform.last_version});
}

void record_object(state& platform, std::string const& name,
                   std::string_view client)
{
    auto const found = platform.objects.find(name);
    std::optional<stored_value> earlier;
    if (found != platform.objects.end())
        earlier = stored_value{0, found->second};
    platform.undo_log.push_back({platform.last_call_at, std::string(client),
                                 name, true, std::move(earlier),
                                 platform.last_version});
}

void undo_last(state& platform)
{
    undo_entry entry = std::move(platform.undo_log.back());
    platform.undo_log.pop_back();
    platform.last_version = entry.earlier_version;
    if (entry.is_object && entry.earlier)
        platform.objects[entry.key] = std::move(entry.earlier->value);
    else if (entry.is_object)
        platform.objects.erase(entry.key);
    else if (entry.earlier)
        platform.rows[entry.key] = std::move(*entry.earlier);
    else
        platform.rows.erase(entry.key);
}

store::reply run(state& platform, store::get_row const& operation)
{
    store::reply reply;
    reply.rows.push_back(row_of(platform, operation.key));
    reply.result = reply.rows[0].version == 0 ? store::status::not_found
                                              : store::status::ok;
    return reply;
}

store::reply run(state& platform, store::watch_row const& operation)
{
    return run(platform, store::get_row{operation.key});
}

store::reply run(state& platform, store::scan_rows const& operation)
{
    store::reply reply;
    reply.result = store::status::ok;
    auto row = operation.after.empty()
                   ? platform.rows.lower_bound(operation.prefix)
                   : platform.rows.upper_bound(operation.after);
    for (; row != platform.rows.end() && reply.rows.size() < operation.limit;
         ++row)
    {
        if (row->first < operation.prefix)
            continue;
        if (!row->first.starts_with(operation.prefix))
            break;
        reply.rows.push_back(
            {row->first, row->second.version, row->second.value});
    }
    return reply;
}

store::reply run(state& platform, store::transaction const& operation,
                 std::string_view client)
{
    store::reply reply;
    for (store::condition const& condition : operation.conditions)
    {
        store::row row = row_of(platform, condition.key);
        if (row.version != condition.version)
            reply.rows.push_back(std::move(row));
    }
    if (!reply.rows.empty())
    {
        ++platform.call_counts.conflicts;
        reply.result = store::status::condition_failed;
        return reply;
    }
    for (store::put const& put : operation.puts)
    {
        record_row(platform, put.key, client);
        platform.rows[put.key] = {++platform.last_version, put.value};
        reply.rows.push_back({put.key, platform.last_version, {}});
    }
    for (std::string const& key : operation.deletes)
    {
        record_row(platform, key, client);
        platform.rows.erase(key);
    }
    reply.result = store::status::ok;
    return reply;
}

store::reply run(state& platform, store::get_object const& operation)
{
    store::reply reply;
    auto const found = platform.objects.find(operation.name);
    reply.result = store::status::not_found;
    if (found == platform.objects.end())
        return reply;
    reply.result = store::status::ok;
    reply.content = found->second;
    return reply;
}

store::reply run(state& platform, store::put_object const& operation,
                 std::string_view client)
{
    record_object(platform, operation.name, client);
    platform.objects[operation.name] = operation.content;
    store::reply reply;
    reply.result = store::status::ok;
    return reply;
}

} // namespace

state make_state(double reads_per_s, double writes_per_s, std::uint64_t seed,
                 time_point now)
{
    state platform;
    platform.reads = {reads_per_s, reads_per_s, now};
    platform.writes = {writes_per_s, writes_per_s, now};
    platform.random_state = seed;
    return platform;
}

admission on_call(state& platform, std::string_view client,
                  bool counts_as_write, time_point now)
{
    using decision = admission::decision;
    platform.last_call_at = now;
    while (!platform.undo_log.empty() &&
           platform.undo_log.front().written_at + max_copy_age < now)
        platform.undo_log.pop_front();
    faults const& faults = platform.faults;
    if (contains(faults.cut_requests, client))
    {
        ++platform.call_counts.cut_requests;
        return {decision::drop};
    }
    if (faults.mode == mode::down)
    {
        ++platform.call_counts.refused_down;
        return {decision::down};
    }
    if (!take_token(counts_as_write ? platform.writes : platform.reads, now))
    {
        ++platform.call_counts.over_rate;
        return {decision::over_rate};
    }
    ++(counts_as_write ? platform.call_counts.writes
                       : platform.call_counts.reads);
    bool const lost = next_random(platform.random_state) < faults.lose_reply ||
                      contains(faults.cut_replies, client);
    if (lost)
        ++platform.call_counts.lost_replies;
    duration const delay =
        faults.mode == mode::slow ? faults.slow_time : duration{0};
    return {decision::run, lost, delay};
}

store::reply on_operation(state& platform, store::operation const& operation,
                          std::string_view client)
{
    store::reply reply = std::visit(
        [&](auto const& alternative)
        {
            if constexpr (requires { run(platform, alternative, client); })
                return run(platform, alternative, client);
            else
                return run(platform, alternative);
        },
        operation);
    reply.era = platform.era;
    return reply;
}

void restore_from_copy(state& platform, duration age, time_point now)
{
    std::map<std::string, std::string> rewritten;
    while (!platform.undo_log.empty() &&
           platform.undo_log.back().written_at > now - age)
    {
        undo_entry const& last = platform.undo_log.back();
        auto const row = platform.rows.find(last.key);
        // The first entry found for a key is the latest one.
        if (last.client == "operator" && !last.is_object &&
            row != platform.rows.end())
            rewritten.emplace(last.key, row->second.value);
        undo_last(platform);
    }
    ++platform.era;
    for (auto const& [key, value] : rewritten)
        platform.rows[key] = {++platform.last_version, value};
}

bool is_write(store::operation const& operation)
{
    return std::holds_alternative<store::transaction>(operation) ||
           std::holds_alternative<store::put_object>(operation);
}

} // namespace gooseberrycove::fake_platform
