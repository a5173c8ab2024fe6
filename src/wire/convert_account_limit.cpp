#include "convert_account_limit.hpp"

#include "convert.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrycove::wire
{

namespace
{

using wire::from_gen;
using wire::to_gen;

std::uint32_t to_count(std::int32_t value)
{
    return static_cast<std::uint32_t>(std::max(value, 0));
}

/// A value that is not finite or negative would spoil every sum that it is part
/// of.
double to_amount(double value)
{
    return std::isfinite(value) && value > 0 ? value : 0;
}

gen::AccountReportEntry to_gen(account_limit::report_entry const& value)
{
    gen::AccountReportEntry out;
    out.account = static_cast<std::int64_t>(value.account);
    if (value.wanted > 0)
        out.__set_wanted(static_cast<std::int32_t>(value.wanted));
    if (value.returned > 0)
        out.__set_returned(value.returned);
    out.rate = value.rate;
    out.burst = value.burst;
    return out;
}

account_limit::report_entry from_gen(gen::AccountReportEntry const& in)
{
    account_limit::report_entry out;
    out.account = static_cast<std::uint64_t>(in.account);
    out.wanted = to_count(in.wanted);
    out.returned = to_amount(in.returned);
    out.rate = to_amount(in.rate);
    out.burst = to_amount(in.burst);
    return out;
}

gen::AccountGrantEntry to_gen(account_limit::grant_entry const& value)
{
    gen::AccountGrantEntry out;
    out.account = static_cast<std::int64_t>(value.account);
    if (value.tokens > 0)
        out.__set_tokens(static_cast<std::int32_t>(value.tokens));
    if (value.retry_after.count() > 0)
        out.__set_retry_after_ms(
            static_cast<double>(value.retry_after.count()) / 1000);
    return out;
}

account_limit::grant_entry from_gen(gen::AccountGrantEntry const& in)
{
    constexpr double max_wait_ms = 60'000;
    account_limit::grant_entry out;
    out.account = static_cast<std::uint64_t>(in.account);
    out.tokens = to_count(in.tokens);
    out.retry_after = duration(static_cast<duration::rep>(
        1000 * std::min(to_amount(in.retry_after_ms), max_wait_ms)));
    return out;
}

} // namespace

gen::AccountReport to_gen(account_limit::report const& value)
{
    gen::AccountReport out;
    out.sender = to_gen(value.sender);
    out.sender_address = value.sender_address;
    out.owner = to_gen(value.owner);
    out.number = static_cast<std::int64_t>(value.number);
    out.stamp = static_cast<std::int64_t>(value.stamp);
    out.entitled = static_cast<std::int32_t>(value.entitled);
    out.group = static_cast<std::int32_t>(value.group);
    if (value.is_released)
        out.__set_released(true);
    out.lease_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(value.lease)
            .count();
    for (account_limit::report_entry const& entry : value.entries)
        out.entries.push_back(to_gen(entry));
    return out;
}

gen::AccountGrant to_gen(account_limit::grant const& value)
{
    gen::AccountGrant out;
    out.owner = to_gen(value.owner);
    out.owner_address = value.owner_address;
    out.receiver = to_gen(value.receiver);
    out.number = static_cast<std::int64_t>(value.number);
    out.stamp = static_cast<std::int64_t>(value.stamp);
    out.entitled = static_cast<std::int32_t>(value.entitled);
    for (account_limit::grant_entry const& entry : value.entries)
        out.entries.push_back(to_gen(entry));
    return out;
}

account_limit::report from_gen(gen::AccountReport const& in)
{
    account_limit::report out;
    out.sender = from_gen(in.sender);
    out.sender_address = in.sender_address;
    out.owner = from_gen(in.owner);
    out.number = static_cast<std::uint64_t>(in.number);
    out.stamp = static_cast<std::uint64_t>(in.stamp);
    out.entitled = to_count(in.entitled);
    out.group = to_count(in.group);
    out.is_released = in.released;
    out.lease = std::chrono::milliseconds(
        std::clamp<std::int64_t>(in.lease_ms, 0, 60'000));
    for (gen::AccountReportEntry const& entry : in.entries)
        out.entries.push_back(from_gen(entry));
    return out;
}

account_limit::grant from_gen(gen::AccountGrant const& in)
{
    account_limit::grant out;
    out.owner = from_gen(in.owner);
    out.owner_address = in.owner_address;
    out.receiver = from_gen(in.receiver);
    out.number = static_cast<std::uint64_t>(in.number);
    out.stamp = static_cast<std::uint64_t>(in.stamp);
    out.entitled = to_count(in.entitled);
    for (gen::AccountGrantEntry const& entry : in.entries)
        out.entries.push_back(from_gen(entry));
    return out;
}

} // namespace gooseberrycove::wire
