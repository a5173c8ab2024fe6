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

final_response minted_key_response(request_id id, std::string const& caller_id,
                                   std::string const& key)
{
    final_response response;
    response.id = id;
    response.caller_id = caller_id;
    response.result.status = 200;
    response.result.run_outcome = outcome::ran;
    response.result.content_type = "application/json";
    response.result.body = nlohmann::json{{"key", key}}.dump();
    return response;
}

final_response claim_state_response(request_id id, std::string const& caller_id,
                                    claims::claim_state&& claim)
{
    final_response response;
    response.id = id;
    response.caller_id = caller_id;
    response.kind = claim.kind;
    if (claim.kind != error_kind::none)
        response.detail = "state of the request with this idempotency key";
    response.result = std::move(claim.recorded);
    return response;
}

} // namespace

bool is_claim_query(std::string_view method, std::string_view path,
                    lookup_result const& lookup)
{
    if (lookup.route)
        return false;
    return (method == "POST" && path == mint_path) ||
           (method == "GET" && path.starts_with(outcome_path));
}

void on_claim_query(routing_state& state, caller_request const& request,
                    lookup_result const& lookup,
                    deliver_response const& deliver, time_point now,
                    actions& out)
{
    refusal const refused = check_account(state, request, lookup, now);
    if (refused.kind != error_kind::none)
    {
        out.responses.push_back({request.id,
                                 request.caller_id,
                                 refused.kind,
                                 std::string(refused.detail),
                                 {}});
        return;
    }
    std::string const account(lookup.account->name);
    request_id const id = request.id;
    std::string_view const path = uri::path_of(request.target);
    if (path == mint_path)
    {
        out.claim_messages.push_back(claims::mint_request{
            account,
            [id, caller = request.caller_id, deliver](std::string&& key)
            { deliver(minted_key_response(id, caller, key)); }});
        return;
    }
    out.claim_messages.push_back(claims::state_request{
        account, std::string(path.substr(outcome_path.size())),
        [id, caller = request.caller_id, deliver](claims::claim_state&& claim)
        { deliver(claim_state_response(id, caller, std::move(claim))); }});
}

} // namespace gooseberrycove::routing
