#include "claim_queries.hpp"

#include "authenticate.hpp"
#include "decisions.hpp"
#include <gooseberrycove/uri.hpp>

#include <nlohmann/json.hpp>

namespace gooseberrycove::routing
{

namespace
{

constexpr std::string_view mint_path = "/keys";
constexpr std::string_view outcome_path = "/outcome/";

reply minted_reply(request_id id, std::string const& caller_id,
                   std::string const& key)
{
    reply out;
    out.id = id;
    out.caller_id = caller_id;
    out.result.status = 200;
    out.result.run_outcome = outcome::ran;
    out.result.content_type = "application/json";
    out.result.body = nlohmann::json{{"key", key}}.dump();
    return out;
}

reply state_reply(request_id id, std::string const& caller_id,
                  claims::claim_state&& found)
{
    reply out;
    out.id = id;
    out.caller_id = caller_id;
    out.kind = found.kind;
    if (found.kind != error_kind::none)
        out.detail = "state of the request with this idempotency key";
    out.result = std::move(found.recorded);
    return out;
}

} // namespace

bool is_claim_query(std::string_view method, std::string_view path)
{
    return (method == "POST" && path == mint_path) ||
           (method == "GET" && path.starts_with(outcome_path));
}

void on_claim_query(state& self, caller_request const& from,
                    looked_up const& config, deliver_reply const& deliver,
                    time_point now, actions& out)
{
    refusal const reason = check_account(self, from, config, now);
    if (reason.kind != error_kind::none)
    {
        out.replies.push_back({from.id,
                               from.caller_id,
                               reason.kind,
                               std::string(reason.detail),
                               {}});
        return;
    }
    std::string const account(config.account->name);
    request_id const id = from.id;
    std::string_view const path = uri::path_of(from.target);
    if (path == mint_path)
    {
        out.claim_messages.push_back(claims::mint_request{
            account, [id, caller = from.caller_id, deliver](std::string&& key)
            { deliver(minted_reply(id, caller, key)); }});
        return;
    }
    out.claim_messages.push_back(claims::state_request{
        account, std::string(path.substr(outcome_path.size())),
        [id, caller = from.caller_id, deliver](claims::claim_state&& found)
        { deliver(state_reply(id, caller, std::move(found))); }});
}

} // namespace gooseberrycove::routing
