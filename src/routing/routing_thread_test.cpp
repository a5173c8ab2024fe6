#include "config/document.hpp"
#include "routing_thread.hpp"
#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/claims.hpp>
#include <gooseberrycove/front.hpp>
#include <gooseberrycove/peer.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::routing;

namespace
{

/// What the thread sends for one request under an empty configuration.
struct routing_run
{
    front::inbox front{16};
    admission::inbox admission{16};
    peer::inbox peer{16};
    claims::inbox claims{16};

    void request(std::string_view method, std::string_view target,
                 bool answers_claim_queries)
    {
        wiring links{&front, &admission,    &peer, &claims,
                     {1, 1}, "127.0.0.1:1", "dc1", ""};
        links.answers_claim_queries = answers_claim_queries;
        inbox messages{16};
        auto const data =
            config::apply_patch(
                config::table_data{},
                R"({"accounts":{"shop":{"key_hash":")" +
                    config::to_string(config::hash_secret("secret")) +
                    R"("}}})",
                1)
                .data;
        REQUIRE(data);
        caller_request request;
        request.id = {0, 1};
        request.credentials = "shop:secret";
        request.method = method;
        request.target = target;
        REQUIRE(messages.try_push(
            config::in_force{std::make_shared<config::tables const>(data)}));
        REQUIRE(messages.try_push(std::move(request)));
        messages.close();
        run(messages, links);
    }

    std::size_t claim_messages()
    {
        std::vector<claims::message> sent;
        claims.close();
        claims.pop_all(sent);
        return sent.size();
    }

    int response_status()
    {
        std::vector<front::message> sent;
        front.close();
        front.pop_all(sent);
        REQUIRE(sent.size() == 1);
        return std::get<front::caller_response>(sent.front()).status;
    }
};

} // namespace

TEST_CASE("only a daemon with idempotency keys answers queries to claims")
{
    // Guards against a success that no backend server gave: on a platform
    // without idempotency keys POST /keys was answered with 200.
    using path = std::pair<char const*, char const*>;
    for (auto const& [method, target] :
         {path{"POST", "/keys"}, path{"GET", "/outcome/k"}})
    {
        INFO(method << ' ' << target);
        routing_run own;
        own.request(method, target, true);
        CHECK(own.claim_messages() == 1);
        routing_run other;
        other.request(method, target, false);
        CHECK(other.claim_messages() == 0);
        CHECK(other.response_status() == 404);
    }
}
