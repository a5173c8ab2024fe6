#include "claims/state.hpp"
#include "slope.hpp"

#include <fmt/format.h>

#include <deque>

namespace gooseberrycove::capacity
{

namespace
{

time_point const start{std::chrono::hours(1)};

struct cost
{
    double writes = 0;
    double reads = 0;
    double row_bytes = 0;
};

/// Answers every call of claims as a store that is up.
void answer_store(claims::claims_state& state, claims::actions& out, cost& sum,
                  time_point now)
{
    std::deque<store::request> calls(std::make_move_iterator(out.store.begin()),
                                     std::make_move_iterator(out.store.end()));
    out.store.clear();
    while (!calls.empty())
    {
        store::request const call = std::move(calls.front());
        calls.pop_front();
        store::reply reply;
        reply.number = call.number;
        reply.result = store::status::ok;
        if (auto const* write = std::get_if<store::transaction>(&call.op))
        {
            sum.writes += 1;
            for (store::put const& put : write->puts)
            {
                sum.row_bytes =
                    std::max(sum.row_bytes, double(put.value.size()));
                reply.rows.push_back({put.key, 1, put.value});
            }
        }
        else
            sum.reads += 1;
        claims::on_store_reply(state, reply, now, out);
        for (store::request& more : out.store)
            calls.push_back(std::move(more));
        out.store.clear();
    }
}

void run_claim(claims::claims_state& state, int number, int body, cost& sum)
{
    time_point const now = start + duration(number * 100);
    claims::actions out;
    claims::claim_request request;
    request.id = {3, static_cast<std::uint64_t>(number)};
    request.account = "account-000001";
    request.key = fmt::format("order-{}", number);
    request.homes.push_back({{5, 6}, "10.0.0.1:7300"});
    request.deadline = now + std::chrono::seconds(2);
    claims::on_claim_request(state, request, now, out);
    answer_store(state, out, sum, now);
    if (out.results.empty())
        throw std::runtime_error("no claim result");
    claims::claim_end end;
    end.claim = out.results.front().claim;
    end.account = request.account;
    end.key = request.key;
    end.id = request.id;
    end.result.id = request.id;
    end.result.run_outcome = outcome::ran;
    end.result.status = 200;
    end.result.body = std::string(static_cast<std::size_t>(body), 'r');
    claims::on_claim_end(state, end, now, out);
    answer_store(state, out, sum, now);
}

} // namespace

std::vector<slope> claims_slopes()
{
    constexpr int claims_measured = 1'000;
    claims::claims_state state =
        claims::make_state({1, 1}, "10.0.0.9:7300", "mint key");
    claims::actions ignored;
    claims::on_live_daemons(state, {{{1, 1}, {5, 6}}}, start, ignored);
    cost sum;
    double const us = processor_us(
        5, claims_measured / 5, [&](int i) { run_claim(state, i, 200, sum); });
    std::vector<point> rows;
    for (int const body : {0, 200, 2'000})
    {
        cost one;
        run_claim(state, 1'000'000 + body, body, one);
        rows.push_back({double(body), one.row_bytes});
    }
    return {constant("claim, from request to record", "us", {us}),
            constant("store writes of a claim", "writes",
                     {sum.writes / claims_measured}),
            constant("store reads of a claim", "reads",
                     {sum.reads / claims_measured}),
            fit("row of a claim", "bytes", "byte of response", rows)};
}

} // namespace gooseberrycove::capacity
