#ifndef GOOSEBERRYCOVE_ACCOUNT_LIMIT_REPORTS_HPP
#define GOOSEBERRYCOVE_ACCOUNT_LIMIT_REPORTS_HPP

#include "state.hpp"

namespace gooseberrycove::account_limit
{

/// The daemon that is asked for tokens: the holder of an open lease while it
/// lives, otherwise the owner.
daemon_ref report_target(limit_state const& state, std::uint32_t group,
                         time_point now);

/// Whether \p owner has left reports without answer for owner_silence.
bool is_silent(limit_state const& state, daemon_ref owner, time_point now);

/// Drops tokens that were not used in time. They do not go back: the owner's
/// bucket has filled meanwhile, so an account could spend them in addition.
void drop_old_stock(used_account& used, time_point now);

/// Notes the stamp of a grant. Returns when the report that it answers was
/// sent, or std::nullopt for a grant that is late, repeated or for another run.
std::optional<time_point> accept_grant(limit_state& state,
                                       grant const& received);

/// Decides requests that wait, as far as that is possible now.
void serve_waiting(limit_state& state, std::uint64_t account,
                   used_account& used, time_point now, actions& out);

} // namespace gooseberrycove::account_limit

#endif
