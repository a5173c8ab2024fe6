#include "claims/job.hpp"
#include <gooseberrycove/key_set.hpp>

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>

namespace gooseberrycove::claims
{

namespace
{

constexpr std::string_view prefix = "gcm-";
constexpr std::size_t mac_bytes = 16;

struct parsed_key
{
    daemon_ref minter;
    std::uint64_t serial = 0;
};

/// MAC over the account and the rest of the key, so that a key cannot be made
/// up or used by another account.
std::string mac_of(state const& s, std::string_view account,
                   std::string_view body)
{
    std::string text(account);
    text.append("\n").append(body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned size = 0;
    HMAC(EVP_sha256(), s.mint_key.data(), static_cast<int>(s.mint_key.size()),
         reinterpret_cast<unsigned char const*>(text.data()), text.size(),
         mac.data(), &size);
    std::string hex;
    for (std::size_t at = 0; at < mac_bytes; ++at)
        hex += fmt::format("{:02x}", mac[at]);
    return hex;
}

bool take_number(std::string_view& text, std::uint64_t& value)
{
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value, 16);
    if (parsed.ec != std::errc())
        return false;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    bool const dot = text.starts_with('.');
    if (dot)
        text.remove_prefix(1);
    return dot;
}

std::optional<parsed_key> parse(state const& s, std::string_view account,
                                std::string_view key)
{
    std::size_t const dot = key.rfind('.');
    if (!is_minted(key) || dot == std::string_view::npos)
        return std::nullopt;
    std::string const mac = mac_of(s, account, key.substr(0, dot));
    std::string_view const given = key.substr(dot + 1);
    if (!equal_in_constant_time(mac, given))
        return std::nullopt;
    std::string_view rest = key.substr(prefix.size());
    parsed_key result;
    if (!take_number(rest, result.minter.id) ||
        !take_number(rest, result.minter.incarnation) ||
        !take_number(rest, result.serial))
        return std::nullopt;
    return result;
}

void refuse(claim_request const& what, error_kind kind, std::string_view detail,
            actions& out)
{
    job j;
    j.what = what;
    answer(j, kind, detail, out);
}

/// Forgets the oldest keys that are not running. They stay refused.
void forget_old(state& s)
{
    for (auto at = s.minted_keys.begin();
         at != s.minted_keys.end() &&
         (s.minted_keys.size() > s.limits.minted_keys ||
          s.minted_bytes > s.limits.minted_bytes);)
    {
        if (at->second.state == minted::use::running)
        {
            ++at;
            continue;
        }
        s.minted_bytes -= at->second.answer.body.size();
        at = s.minted_keys.erase(at);
    }
}

void run_minted(minted& held, claim_request const& what, actions& out)
{
    held.state = minted::use::running;
    held.body_hash = what.body_hash;
    ++held.epoch;
    claim_result result;
    result.id = what.id;
    result.claim = {what.key, held.epoch};
    result.homes = what.homes;
    out.results.push_back(std::move(result));
}

/// The state kept for a key that this run minted; nullptr when forgotten.
minted* find_minted(state& s, parsed_key const& key)
{
    auto const found = s.minted_keys.find(key.serial);
    return found == s.minted_keys.end() ? nullptr : &found->second;
}

} // namespace

bool is_minted(std::string_view key)
{
    return key.starts_with(prefix);
}

void on_mint_request(state& s, mint_request const& what, time_point,
                     actions& out)
{
    std::uint64_t const serial = s.next_serial++;
    s.minted_keys[serial].account = what.account;
    forget_old(s);
    std::string key = fmt::format("{}{:x}.{:x}.{:x}", prefix, s.self.id,
                                  s.self.incarnation, serial);
    key += "." + mac_of(s, what.account, key);
    if (what.deliver)
        out.replies.emplace_back([deliver = what.deliver, key]
                                 { deliver(std::string(key)); });
}

void claim_minted(state& s, claim_request const& what, actions& out)
{
    std::optional<parsed_key> const key = parse(s, what.account, what.key);
    if (!key)
        return refuse(what, error_kind::bad_request,
                      "the minted key is not valid for this account", out);
    if (key->minter != s.self)
        return refuse(what, error_kind::outcome_unknown,
                      "only the daemon that minted the key can tell", out);
    minted* const held = find_minted(s, *key);
    if (held == nullptr || held->state == minted::use::unknown)
        return refuse(what, error_kind::outcome_unknown,
                      "the outcome of the minted key is not known", out);
    if (held->state == minted::use::unused)
        return run_minted(*held, what, out);
    if (held->body_hash != what.body_hash)
        return refuse(what, error_kind::key_reused,
                      "the key was used with another request", out);
    if (held->state == minted::use::running)
        return refuse(what, error_kind::in_progress, "", out);
    job j;
    j.what = what;
    replay(j, held->answer, out);
}

void end_minted(state& s, claim_end const& what, actions& out)
{
    std::optional<parsed_key> const key = parse(s, what.account, what.key);
    minted* const held = key ? find_minted(s, *key) : nullptr;
    bool const known = held != nullptr && held->epoch == what.claim.epoch &&
                       held->state == minted::use::running;
    if (what.not_run)
        out.released.push_back({what.id, known});
    if (!known)
        return;
    if (what.not_run)
        held->state = minted::use::unused;
    else if (what.result.kind == error_kind::none &&
             what.result.run_outcome == outcome::ran)
        held->state = minted::use::done;
    else
        held->state = minted::use::unknown;
    s.minted_bytes -= held->answer.body.size();
    held->answer = what.result;
    held->answer.statuses.clear();
    s.minted_bytes += held->answer.body.size();
    forget_old(s);
}

claim_state minted_state(state const& s, std::string_view account,
                         std::string_view key)
{
    std::optional<parsed_key> const parsed = parse(s, account, key);
    if (!parsed)
        return {error_kind::no_route, {}};
    auto const found = s.minted_keys.find(parsed->serial);
    if (parsed->minter != s.self || found == s.minted_keys.end())
        return {error_kind::outcome_unknown, {}};
    switch (found->second.state)
    {
    case minted::use::unused:
        return {error_kind::no_route, {}};
    case minted::use::running:
        return {error_kind::in_progress, {}};
    case minted::use::done:
        return {error_kind::none, found->second.answer};
    case minted::use::unknown:
        break;
    }
    return {error_kind::outcome_unknown, {}};
}

} // namespace gooseberrycove::claims
