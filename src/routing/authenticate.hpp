#ifndef GOOSEBERRYCOVE_ROUTING_AUTHENTICATE_HPP
#define GOOSEBERRYCOVE_ROUTING_AUTHENTICATE_HPP

#include <gooseberrycove/config.hpp>

#include <string_view>

namespace gooseberrycove::routing
{

/// The part of `ACCOUNT:SECRET` before the first colon.
std::string_view account_name(std::string_view credentials);

/// First 16 bytes of SHA-256 of \p secret.
config::key_hash hash_secret(std::string_view secret);

/// True when the secret of \p credentials belongs to \p account. Takes the
/// same time for an unknown account and for a wrong secret.
bool is_authenticated(std::string_view credentials,
                      std::optional<config::account_view> const& account);

} // namespace gooseberrycove::routing

#endif
