#ifndef GOOSEBERRYCOVE_ROUTING_CLAIM_QUERIES_HPP
#define GOOSEBERRYCOVE_ROUTING_CLAIM_QUERIES_HPP

#include "state.hpp"

#include <functional>

namespace gooseberrycove::routing
{

/// Whether a caller asks about claims instead of a backend server's work:
/// `POST /keys` mints an idempotency key, `GET /outcome/KEY` tells what became
/// of the request with that key. These paths cannot be routed.
bool is_claim_query(std::string_view method, std::string_view path);

/// Takes what \p deliver gets to the caller. Called on the claims thread.
using deliver_reply = std::function<void(reply&&)>;

/// Checks the account as for any request, then asks claims. A refusal is among
/// the replies of \p out.
void on_claim_query(state& self, caller_request const& from,
                    looked_up const& config, deliver_reply const& deliver,
                    time_point now, actions& out);

} // namespace gooseberrycove::routing

#endif
