#include "authenticate.hpp"

namespace gooseberrycove::routing
{

std::string_view account_name(std::string_view credentials)
{
    return credentials.substr(0, credentials.find(':'));
}

bool is_authenticated(std::string_view credentials,
                      std::optional<config::account_view> const& account)
{
    auto const colon = credentials.find(':');
    std::string_view const secret = colon == credentials.npos
                                        ? std::string_view()
                                        : credentials.substr(colon + 1);
    bool const is_held = config::has_key(
        account.value_or(config::account_view{}), hash_secret(secret));
    return is_held && account && !secret.empty() &&
           account_name(credentials) == account->name;
}

bool is_authenticated(config::key_hash const& key,
                      std::optional<config::account_view> const& account)
{
    return account && config::has_key(*account, key);
}

} // namespace gooseberrycove::routing
