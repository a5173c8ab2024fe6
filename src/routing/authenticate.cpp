#include "authenticate.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace gooseberrycove::routing
{

std::string_view account_name(std::string_view credentials)
{
    return credentials.substr(0, credentials.find(':'));
}

config::key_hash hash_secret(std::string_view secret)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(secret.data()), secret.size(),
           digest.data());
    config::key_hash hash{};
    std::copy_n(digest.begin(), hash.size(), hash.begin());
    return hash;
}

bool is_authenticated(std::string_view credentials,
                      std::optional<config::account_view> const& account)
{
    auto const colon = credentials.find(':');
    std::string_view const secret = colon == credentials.npos
                                        ? std::string_view()
                                        : credentials.substr(colon + 1);
    config::key_hash const actual = hash_secret(secret);
    config::key_hash const expected =
        account ? account->hash : config::key_hash{};
    bool const equal =
        CRYPTO_memcmp(actual.data(), expected.data(), actual.size()) == 0;
    return equal && account && !secret.empty() &&
           account_name(credentials) == account->name;
}

} // namespace gooseberrycove::routing
