#ifndef GOOSEBERRYCOVE_ACCOUNT_LIMIT_ENTITLEMENT_HPP
#define GOOSEBERRYCOVE_ACCOUNT_LIMIT_ENTITLEMENT_HPP

#include "state.hpp"

namespace gooseberrycove::account_limit
{

/// Part of an account's limit that this daemon is entitled to.
struct entitlement
{
    double rate = 0;
    /// A whole number of tokens. The parts of all daemons add up to the burst
    /// and fraction_allowance.
    double burst = 0;
};

entitlement own_entitlement(limit_state const& state, std::uint64_t account,
                            used_account const& used, time_point now);

/// Daemons among which this daemon divides each limit.
std::size_t effective_count(limit_state const& state, time_point now);

/// From this time on, the daemon uses or delegates entitlements. Before, leases
/// of its earlier run may be open or it may not know all daemons.
time_point entitled_from(limit_state const& state, time_point now);

/// From this time on, the daemon may use its entitlement to an account by
/// itself: what it gathered before a lease belongs to the holder.
time_point own_use_from(limit_state const& state, std::uint64_t account,
                        time_point now);

/// Fills the bucket of this daemon's own entitlement.
void fill_own(limit_state const& state, std::uint64_t account,
              used_account& used, time_point now);

/// Fills the bucket of an account that this daemon owns from the leases of its
/// group, up to the end of each.
owned_account& fill_owned(limit_state& state, std::uint64_t account,
                          double rate, double burst, time_point now);

/// Takes up to \p wanted whole tokens of an owned account and returns their
/// number.
std::uint32_t take_tokens(limit_state& state, std::uint64_t account,
                          double rate, double burst, std::uint32_t wanted,
                          time_point now);

/// Time until the bucket of an owned account holds a whole token.
duration time_to_token(limit_state const& state, std::uint64_t account);

void set_lease(owned_group& group, std::uint64_t daemon, lease const& given,
               time_point now);
void end_lease(owned_group& group, std::uint64_t daemon, time_point now);

/// Adds the entitlements of this daemon to a group that it owns, unless another
/// daemon holds them.
void delegate_to_self(limit_state& state, std::uint32_t group, time_point now);

/// Finds the group's owner when the fleet has changed. Takes the entitlements
/// back from this daemon's own buckets when another is the owner.
/// \returns true when the owner changed
bool update_owner(limit_state& state, std::uint32_t group, time_point now);

} // namespace gooseberrycove::account_limit

#endif
