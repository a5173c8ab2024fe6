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

constexpr std::string_view key_prefix = "gcm-";
constexpr std::size_t mac_size = 16;

struct parsed_key
{
    daemon_ref minter;
    std::uint64_t serial = 0;
};

/// MAC over the account and the rest of the key, so that a key cannot be forged
/// or used by another account.
std::string key_mac(claims_state const& state, std::string_view account,
                    std::string_view body)
{
    std::string covered(account);
    covered.append("\n").append(body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned size = 0;
    HMAC(EVP_sha256(), state.mint_key.data(),
         static_cast<int>(state.mint_key.size()),
         reinterpret_cast<unsigned char const*>(covered.data()), covered.size(),
         mac.data(), &size);
    std::string hex;
    for (std::size_t index = 0; index < mac_size; ++index)
        hex += fmt::format("{:02x}", mac[index]);
    return hex;
}

bool parse_hex_field(std::string_view& text, std::uint64_t& value)
{
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value, 16);
    if (parsed.ec != std::errc())
        return false;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    bool const has_dot = text.starts_with('.');
    if (has_dot)
        text.remove_prefix(1);
    return has_dot;
}

std::optional<parsed_key> parse(claims_state const& state,
                                std::string_view account, std::string_view key)
{
    std::size_t const dot = key.rfind('.');
    if (!is_minted(key) || dot == std::string_view::npos)
        return std::nullopt;
    std::string const mac = key_mac(state, account, key.substr(0, dot));
    std::string_view const given_mac = key.substr(dot + 1);
    if (!equal_in_constant_time(mac, given_mac))
        return std::nullopt;
    std::string_view rest = key.substr(key_prefix.size());
    parsed_key result;
    if (!parse_hex_field(rest, result.minter.id) ||
        !parse_hex_field(rest, result.minter.incarnation) ||
        !parse_hex_field(rest, result.serial))
        return std::nullopt;
    return result;
}

void refuse_minted(claim_request const& request, error_kind kind,
                   std::string_view detail, actions& out)
{
    claim_job job;
    job.request = request;
    send_refusal(job, kind, detail, out);
}

/// Evicts the oldest keys that are not running. Requests with an evicted key
/// are refused.
void evict_old_keys(claims_state& state)
{
    for (auto entry = state.minted_keys.begin();
         entry != state.minted_keys.end() &&
         (state.minted_keys.size() > state.limits.max_minted_keys ||
          state.minted_result_bytes > state.limits.max_minted_result_bytes);)
    {
        if (entry->second.state == minted_key::run_state::running)
        {
            ++entry;
            continue;
        }
        state.minted_result_bytes -= entry->second.result.body.size();
        entry = state.minted_keys.erase(entry);
    }
}

void grant_minted(minted_key& record, claim_request const& request,
                  actions& out)
{
    record.state = minted_key::run_state::running;
    record.body_hash = request.body_hash;
    ++record.epoch;
    claim_result result;
    result.id = request.id;
    result.claim = {request.key, record.epoch};
    result.homes = request.homes;
    out.results.push_back(std::move(result));
}

/// The state of a key that this run of the daemon minted; nullptr when it was
/// evicted.
minted_key* find_minted(claims_state& state, parsed_key const& key)
{
    auto const found = state.minted_keys.find(key.serial);
    return found == state.minted_keys.end() ? nullptr : &found->second;
}

} // namespace

bool is_minted(std::string_view key)
{
    return key.starts_with(key_prefix);
}

void on_mint_request(claims_state& state, mint_request const& request,
                     time_point, actions& out)
{
    std::uint64_t const serial = state.next_serial++;
    state.minted_keys[serial].account = request.account;
    evict_old_keys(state);
    std::string key =
        fmt::format("{}{:x}.{:x}.{:x}", key_prefix, state.own_daemon.id,
                    state.own_daemon.incarnation, serial);
    key += "." + key_mac(state, request.account, key);
    if (request.deliver)
        out.callbacks.emplace_back([deliver = request.deliver, key]
                                   { deliver(std::string(key)); });
}

void claim_minted(claims_state& state, claim_request const& request,
                  actions& out)
{
    std::optional<parsed_key> const key =
        parse(state, request.account, request.key);
    if (!key)
        return refuse_minted(request, error_kind::bad_request,
                             "the minted key is not valid for this account",
                             out);
    if (key->minter != state.own_daemon)
        return refuse_minted(
            request, error_kind::outcome_unknown,
            "only the daemon that minted the key has its outcome", out);
    minted_key* const record = find_minted(state, *key);
    if (record == nullptr || record->state == minted_key::run_state::unknown)
        return refuse_minted(request, error_kind::outcome_unknown,
                             "the outcome of the minted key is unknown", out);
    if (record->state == minted_key::run_state::unused)
        return grant_minted(*record, request, out);
    if (record->body_hash != request.body_hash)
        return refuse_minted(request, error_kind::key_reused,
                             "the key was used with another request", out);
    if (record->state == minted_key::run_state::running)
        return refuse_minted(request, error_kind::in_progress, "", out);
    claim_job job;
    job.request = request;
    send_replay(job, record->result, out);
}

void end_minted(claims_state& state, claim_end const& end, actions& out)
{
    std::optional<parsed_key> const key = parse(state, end.account, end.key);
    minted_key* const record = key ? find_minted(state, *key) : nullptr;
    bool const is_current_run = record != nullptr &&
                                record->epoch == end.claim.epoch &&
                                record->state == minted_key::run_state::running;
    if (end.is_not_run)
        out.released.push_back({end.id, is_current_run});
    if (!is_current_run)
        return;
    if (end.is_not_run)
        record->state = minted_key::run_state::unused;
    else if (end.result.kind == error_kind::none &&
             end.result.run_outcome == outcome::ran)
        record->state = minted_key::run_state::done;
    else
        record->state = minted_key::run_state::unknown;
    state.minted_result_bytes -= record->result.body.size();
    record->result = end.result;
    record->result.statuses.clear();
    state.minted_result_bytes += record->result.body.size();
    evict_old_keys(state);
}

claim_state minted_state(claims_state const& state, std::string_view account,
                         std::string_view key)
{
    std::optional<parsed_key> const parsed = parse(state, account, key);
    if (!parsed)
        return {error_kind::no_route, {}};
    auto const found = state.minted_keys.find(parsed->serial);
    if (parsed->minter != state.own_daemon || found == state.minted_keys.end())
        return {error_kind::outcome_unknown, {}};
    switch (found->second.state)
    {
    case minted_key::run_state::unused:
        return {error_kind::no_route, {}};
    case minted_key::run_state::running:
        return {error_kind::in_progress, {}};
    case minted_key::run_state::done:
        return {error_kind::none, found->second.result};
    case minted_key::run_state::unknown:
        break;
    }
    return {error_kind::outcome_unknown, {}};
}

} // namespace gooseberrycove::claims
