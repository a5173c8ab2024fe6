#include "pipeline.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::front;

namespace
{

request_id make_id(std::uint64_t number)
{
    return {0, number};
}

bool read(pipeline& state, std::uint64_t number)
{
    return add_request(state, {make_id(number), {}, nullptr, std::nullopt});
}

/// Answers a request with its number as the status. Returns the statuses that
/// are delivered, negative for one that closes the connection.
std::vector<int> answer(pipeline& state, std::uint64_t number,
                        bool is_draining = false)
{
    http::response reply;
    reply.status = static_cast<int>(number);
    std::vector<delivery> out;
    if (pipelined_request* const request = find_request(state, make_id(number)))
        add_response(state, *request, std::move(reply), is_draining, out);
    std::vector<int> statuses;
    for (delivery const& item : out)
        statuses.push_back(item.reply.close_connection ? -item.reply.status
                                                       : item.reply.status);
    return statuses;
}

using statuses = std::vector<int>;

} // namespace

TEST_CASE("responses are delivered in the order of their requests")
{
    pipeline state;
    for (std::uint64_t const number : {1, 2, 3})
        CHECK(read(state, number));
    CHECK(answer(state, 2).empty());
    CHECK(answer(state, 3).empty());
    CHECK(answer(state, 1) == statuses{1, 2, 3});
    CHECK(state.requests.empty());
    CHECK(count_unanswered(state) == 3);
}

TEST_CASE("a shutdown closes with the response of the last request read")
{
    // Guards against responses that are lost behind one that closes.
    pipeline state;
    for (std::uint64_t const number : {1, 2, 3})
        read(state, number);
    CHECK(answer(state, 1, true) == statuses{1});
    CHECK(answer(state, 3, true).empty());
    CHECK(read(state, 4));
    CHECK(answer(state, 2, true) == statuses{2, 3});
    CHECK(answer(state, 4, true) == statuses{-4});
}

TEST_CASE("a request that is read after the closing response is ignored")
{
    // Guards against a request that runs although its caller takes it as not
    // read and sends it again elsewhere.
    pipeline state;
    read(state, 1);
    CHECK(answer(state, 1, true) == statuses{-1});
    CHECK_FALSE(read(state, 2));
    CHECK(answer(state, 2, true).empty());
}

TEST_CASE("a response that was ready before the shutdown still closes")
{
    // Guards against a connection that stays open because its last response
    // was ready early and waited for a slow one before it.
    pipeline state;
    read(state, 1);
    read(state, 2);
    CHECK(answer(state, 2, false).empty());
    CHECK(answer(state, 1, true) == statuses{1, -2});
}

TEST_CASE("a second response of a request is ignored")
{
    pipeline state;
    read(state, 1);
    CHECK(answer(state, 1) == statuses{1});
    CHECK(answer(state, 1).empty());
    CHECK(answer(state, 9).empty());
}
