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

/// From this time on, the daemon uses or delegates entitlements. Before, leases
/// of its earlier run may be open or it may not know all daemons.
time_point entitled_from(limit_state const& state);

/// Fills the bucket of this daemon's own entitlement.
void fill_own(limit_state const& state, std::uint64_t account,
              used_account& used, time_point now);

/// Fills the bucket from the leases up to the end of each, and removes those
/// that have ended.
void fill_owned(owned_account& owned, time_point now);

/// Time until the bucket holds a whole token.
duration time_to_token(owned_account const& owned);

/// Tokens that an owned account holds may not exceed what was delegated.
void add_tokens(owned_account& owned, double tokens);

/// Adds the entitlement of this daemon to the bucket of an account that it
/// owns, unless another daemon holds it.
void delegate_to_self(limit_state& state, std::uint64_t account,
                      used_account& used, time_point now);

/// The account's owner, from the cache when the fleet has not changed. Takes
/// the entitlement back from this daemon's own bucket when another is the
/// owner. \returns true when the owner changed
bool update_owner(limit_state& state, std::uint64_t account, used_account& used,
                  time_point now);

/// Marks an owned account as in use.
void note_wanted(owned_account& owned, time_point now);

} // namespace gooseberrycove::account_limit

#endif
