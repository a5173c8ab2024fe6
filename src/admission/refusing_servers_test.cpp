#include "admission_test.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace gooseberrycove;
using namespace gooseberrycove::admission;
using namespace std::chrono_literals;

namespace
{

constexpr std::array<char const*, 4> names{"s1", "s2", "s3", "s4"};
constexpr std::uint32_t slots = 5;

struct run_end
{
    time_point at;
    std::uint64_t ticket = 0;
    std::size_t server = 0;
    bool is_refused = false;
    bool is_retry = false;
};

/// Four servers that get 25 non-repeatable requests per second, of 340 ms each.
/// A refused request is tried at one more server. Like routing, the play sends
/// nothing to a suspected server.
struct play
{
    test::fixture f{slots};
    std::mt19937 random{7};
    /// Share of the requests that each server refuses within 2 ms.
    std::array<double, 4> refused_share{};
    /// The servers state their load; without it the estimate works as before.
    bool states_load = true;
    std::array<int, 4> sent{};
    int requests = 0;
    int served = 0;
    std::vector<run_end> running;
    std::size_t read = 0;

    play()
    {
        for (char const* const name : names)
            f.announce(name, slots);
        f.now += 60s;
        // The servers have served requests before.
        for (std::size_t i = 0; i < 3 * names.size(); ++i)
            apply_observation(server(i / 3).failure, observation::success,
                              f.now, f.now);
    }
    homed_server_state& server(std::size_t index)
    {
        return f.state.servers.at(names[index]);
    }
    void end(std::uint64_t ticket, bool is_refused)
    {
        dispatch::finished done;
        done.ticket = ticket;
        done.result = is_refused ? dispatch::result_class::refused_not_run
                                 : dispatch::result_class::answered;
        done.status = is_refused ? 503 : 200;
        done.latency = is_refused ? 2ms : 340ms;
        if (states_load)
            done.statement.emplace().load = {1, 0, slots};
        on_finished(f.state, std::move(done), f.now, f.out);
    }
    std::optional<std::size_t> choose(std::size_t excluded)
    {
        std::optional<std::size_t> best;
        double least_cost = 0;
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            if (i == excluded ||
                failure_probability_at(server(i).failure, f.now) >=
                    failure_probability_limit)
                continue;
            // As routing weighs non-repeatable work, with its random noise.
            double const cost =
                double(server(i).in_flight + server(i).queued) / slots +
                6 * failure_probability_at(server(i).failure, f.now) +
                std::uniform_real_distribution<>(0, 0.25)(random);
            if (best && cost >= least_cost)
                continue;
            best = i;
            least_cost = cost;
        }
        return best;
    }
    void send(std::size_t excluded, bool is_first)
    {
        auto const chosen = choose(excluded);
        if (!chosen)
            return;
        work_request request = f.make_request(2, 4s);
        request.server = names[*chosen];
        request.repeatable = false;
        request.has_other_homes = true;
        request.is_retry = !is_first;
        f.submit(std::move(request));
    }
    void read_starts()
    {
        for (; read < f.out.starts.size(); ++read)
        {
            dispatch::start const& job = f.out.starts[read];
            auto const index = std::size_t(job.server[1] - '1');
            ++sent[index];
            bool const is_refused = std::uniform_real_distribution<>()(random) <
                                    refused_share[index];
            running.push_back({f.now + (is_refused ? 2ms : 340ms), job.ticket,
                               index, is_refused, job.request.is_retry});
        }
    }
    void end_runs()
    {
        for (std::size_t i = 0; i < running.size(); ++i)
        {
            run_end const item = running[i];
            if (item.at > f.now)
                continue;
            running.erase(running.begin() + std::ptrdiff_t(i--));
            served += item.is_refused ? 0 : 1;
            end(item.ticket, item.is_refused);
            if (item.is_refused && !item.is_retry)
                send(item.server, false);
            read_starts();
        }
    }
    void run(duration length)
    {
        time_point const until = f.now + length;
        for (int step = 0; f.now < until; ++step, f.now += 1ms)
        {
            end_runs();
            on_tick(f.state, f.now, f.out);
            read_starts();
            if (step % 40 != 0)
                continue;
            ++requests;
            send(names.size(), true);
            read_starts();
        }
    }
    double served_share() const { return double(served) / requests; }
};

} // namespace

TEST_CASE("servers that refuse a part with free slots stay in use")
{
    // Guards against a service whose servers stand idle while its requests are
    // refused: two refusals made a server suspected, and each took a slot.
    std::array<double, 2> shares{};
    for (bool const states_load : {false, true})
    {
        play p;
        p.states_load = states_load;
        p.run(5s);
        p.requests = p.served = 0;
        p.refused_share.fill(0.5);
        p.run(8s);
        shares[states_load ? 1 : 0] = p.served_share();
        for (std::size_t i = 0; states_load && i < names.size(); ++i)
            CHECK(p.server(i).limit.slots == slots);
    }
    INFO("without load " << shares[0] << ", with load " << shares[1]);
    // With one more attempt, three in four requests can be served.
    CHECK(shares[1] > 0.65);
    CHECK(shares[1] > shares[0] + 0.2);
}

TEST_CASE("a server that refuses alone loses its work to its siblings")
{
    for (double const share : {0.5, 1.0})
    {
        INFO("share " << share);
        play p;
        p.run(5s);
        p.requests = p.served = 0;
        p.sent = {};
        p.refused_share[0] = share;
        p.run(8s);
        CHECK(p.sent[0] < p.sent[1] / 2);
        CHECK(p.served_share() > 0.97);
        // Without evidence against it the server is as good as an unknown one.
        p.refused_share[0] = 0;
        p.run(10s);
        CHECK(failure_probability_at(p.server(0).failure, p.f.now) <=
              prior_failure_probability);
    }
}

TEST_CASE("a refusal by a full server is load and no fault")
{
    play p;
    homed_server_state& server = p.server(0);
    double const before = failure_probability_at(server.failure, p.f.now);
    for (std::uint32_t i = 0; i < slots; ++i)
        p.f.submit(p.f.make_request(0));
    dispatch::finished done;
    done.ticket = p.f.out.starts.back().ticket;
    done.result = dispatch::result_class::refused_not_run;
    done.status = 503;
    done.latency = 2ms;
    done.statement.emplace().load = {slots, 0, slots};
    on_finished(p.f.state, std::move(done), p.f.now, p.f.out);
    CHECK(server.limit.slots == slots - 1);
    CHECK(failure_probability_at(server.failure, p.f.now) ==
          Approx(before).margin(0.01));
}
