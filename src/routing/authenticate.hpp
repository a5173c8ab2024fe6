#ifndef GOOSEBERRYCOVE_ROUTING_AUTHENTICATE_HPP
#define GOOSEBERRYCOVE_ROUTING_AUTHENTICATE_HPP

#include <gooseberrycove/config.hpp>

#include <string_view>

namespace gooseberrycove::routing
{

/// The part of `ACCOUNT:SECRET` before the first colon.
std::string_view account_name(std::string_view credentials);

using config::hash_secret;

/// True when the secret of \p credentials belongs to \p account. Takes the
/// same time for an unknown account and for a wrong secret.
bool is_authenticated(std::string_view credentials,
                      std::optional<config::account_view> const& account);

/// True when \p account holds the key with this hash.
bool is_authenticated(config::key_hash const& key,
                      std::optional<config::account_view> const& account);

} // namespace gooseberrycove::routing

#endif
