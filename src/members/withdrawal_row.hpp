#ifndef GOOSEBERRYCOVE_MEMBERS_WITHDRAWAL_ROW_HPP
#define GOOSEBERRYCOVE_MEMBERS_WITHDRAWAL_ROW_HPP

#include <gooseberrycove/members.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::members
{

inline constexpr std::string_view withdrawal_row_prefix = "withdrawal/";

/// A withdrawal as a row of the store holds it.
struct stored_withdrawal
{
    std::string server;
    announcement_number number;
    server_state state = server_state::gone;
    /// Unix time at which the home received it, in milliseconds.
    std::uint64_t unix_ms = 0;
};

/// server_record::drain_changes of a server.
struct stored_drain
{
    std::string server;
    std::uint32_t changes = 0;
};

/// What a home has acknowledged and its next run must know.
struct withdrawal_record
{
    /// Unix time of the write in milliseconds.
    std::uint64_t unix_ms = 0;
    std::vector<stored_withdrawal> withdrawals;
    std::vector<stored_drain> drains;
};

/// Key of the row of a home. Hexadecimal digits keep the keys in the order of
/// the daemon ids.
std::string withdrawal_row_key(std::uint64_t daemon_id);

std::string render_withdrawal_record(withdrawal_record const& record);

/// Returns nothing for a row that is not readable.
std::optional<withdrawal_record> parse_withdrawal_record(std::string_view text);

} // namespace gooseberrycove::members

#endif
