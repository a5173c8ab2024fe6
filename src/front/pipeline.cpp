#include "pipeline.hpp"

#include <algorithm>

namespace gooseberrycove::front
{

std::size_t count_unanswered(pipeline const& state)
{
    return state.requests.size() + state.unwritten;
}

pipelined_request* find_request(pipeline& state, request_id id)
{
    auto const found =
        std::ranges::find(state.requests, id, &pipelined_request::id);
    return found == state.requests.end() ? nullptr : &*found;
}

bool add_request(pipeline& state, pipelined_request&& request)
{
    if (state.is_closing)
        return false;
    state.requests.push_back(std::move(request));
    return true;
}

void add_response(pipeline& state, pipelined_request& request,
                  http::response&& reply, bool is_draining,
                  std::vector<delivery>& out)
{
    request.reply = std::move(reply);
    while (!state.requests.empty() && state.requests.front().reply)
    {
        pipelined_request ready = std::move(state.requests.front());
        state.requests.pop_front();
        ready.reply->close_connection = is_draining && state.requests.empty();
        state.is_closing = state.is_closing || ready.reply->close_connection;
        ++state.unwritten;
        out.push_back({std::move(ready.exchange), std::move(*ready.reply)});
    }
}

} // namespace gooseberrycove::front
