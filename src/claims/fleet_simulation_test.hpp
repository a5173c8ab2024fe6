#ifndef GOOSEBERRYCOVE_CLAIMS_FLEET_SIMULATION_TEST_HPP
#define GOOSEBERRYCOVE_CLAIMS_FLEET_SIMULATION_TEST_HPP

#include "claims/state.hpp"

#include <fmt/format.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <tuple>

namespace gooseberrycove::claims
{

/// Rules of the protocol; a test turns one off to check that the simulation
/// finds the violation.
struct protocol_rules
{
    /// Homes keep fences and refuse work under a fenced epoch.
    bool homes_honor_fences = true;
    /// A home refuses work that was sent to an earlier run of it.
    bool homes_check_run = true;
    /// Claims are paused after the store was restored from a copy.
    bool restores_pause_claims = true;
};

inline constexpr std::size_t daemon_count = 4;

inline duration ms(std::uint64_t value)
{
    return duration(value * 1000);
}

inline work_result not_run_result()
{
    work_result result;
    result.run_outcome = outcome::not_run;
    return result;
}

/// A home's record of one claim under one epoch.
struct attempt_record
{
    bool is_finished = false;
    work_result result;
};

/// A request that routing has not yet answered.
struct running_request
{
    claim_request request;
    claim_ref claim;
    std::size_t next_home = 0;
    std::uint32_t attempt = 0;
};

struct simulated_daemon
{
    daemon_ref own_daemon;
    claims_state state;
    std::map<std::pair<std::string, std::uint64_t>, attempt_record> attempts;
    std::map<std::string, std::uint64_t> fences;
    std::map<request_id, running_request> requests;
    time_point paused_until;
};

/// Daemons with their homes and routing, a network and a table service, all
/// driven by one queue of events on injected time.
struct fleet_simulation
{
    protocol_rules rules;
    std::mt19937_64 random;
    time_point now{ms(1'000'000)};
    std::vector<simulated_daemon> daemons;
    std::multimap<time_point, std::function<void()>> events;
    std::map<std::string, store::row> rows;
    std::uint64_t next_version = 1;
    time_point store_down_until;
    std::uint64_t era = 1;
    /// Rows and next_version of the last 3 s, oldest first.
    std::deque<std::pair<std::map<std::string, store::row>, std::uint64_t>>
        stored_copies;
    bool has_restores = false;
    /// Keys in use; 0 makes a new key every 6 s.
    int key_count = 0;
    int restore_count = 0;
    std::uint64_t next_request = 1;

    std::map<std::string, int> executions;
    std::set<request_id> executed;
    std::set<request_id> reported_not_run;
    std::map<std::string, std::string> responses;
    int wrong_replay_count = 0;
    int replay_count = 0;
    int takeover_count = 0;
    int release_count = 0;

    fleet_simulation(std::uint64_t seed, protocol_rules enforced_rules)
        : rules(enforced_rules), random(seed)
    {
        daemons.resize(daemon_count);
        for (std::size_t index = 0; index < daemon_count; ++index)
            start(index, 1);
    }

    bool chance(int percent) { return random() % 100 < std::uint64_t(percent); }

    static std::string address_of(std::size_t index)
    {
        return fmt::format("127.0.0.1:{}", index);
    }

    void start(std::size_t index, std::uint64_t incarnation)
    {
        simulated_daemon& daemon = daemons[index];
        daemon = simulated_daemon{};
        daemon.own_daemon = {index + 1, incarnation};
        daemon.state =
            make_state(daemon.own_daemon, address_of(index), "secret");
        actions out;
        on_store_era(daemon.state, {era, false}, now, out);
        if (!rules.restores_pause_claims)
            daemon.state.limits.restore_pause = duration(0);
        schedule(index, ms(100), [this, index] { tick(index); });
    }

    /// Runs \p task at a daemon after a delay, unless the daemon has restarted
    /// by then. A paused daemon runs it when it resumes.
    void schedule(std::size_t index, duration after, std::function<void()> task)
    {
        daemon_ref const own_daemon = daemons[index].own_daemon;
        events.emplace(now + after, [this, index, own_daemon, task]
                       { run_or_defer(index, own_daemon, task); });
    }

    void run_or_defer(std::size_t index, daemon_ref own_daemon,
                      std::function<void()> const& task)
    {
        if (own_daemon != daemons[index].own_daemon)
            return;
        if (daemons[index].paused_until > now)
            events.emplace(daemons[index].paused_until,
                           [this, index, own_daemon, task]
                           { run_or_defer(index, own_daemon, task); });
        else
            task();
    }

    /// Sends a message to an address. The run of the daemon that is there on
    /// arrival handles it. Messages may be lost, duplicated or delayed.
    void send(std::size_t receiver, std::function<void()> const& deliver)
    {
        if (chance(5))
            return;
        for (int copies = chance(5) ? 2 : 1; copies > 0; --copies)
            events.emplace(
                now + (chance(3) ? ms(random() % 8000) : ms(1 + random() % 50)),
                [this, receiver, deliver] {
                    run_or_defer(receiver, daemons[receiver].own_daemon,
                                 deliver);
                });
    }

    void tick(std::size_t index)
    {
        actions out;
        on_tick(daemons[index].state, now, out);
        perform(index, out);
        schedule(index, ms(100), [this, index] { tick(index); });
    }

    void perform(std::size_t index, actions& out)
    {
        for (store::request const& call : out.store)
            call_store(index, call);
        for (outgoing_fence const& sent : out.fences)
        {
            std::size_t const home = sent.request.home.id - 1;
            send(home, [this, home, index, request = sent.request]
                 { reply_to_fence(home, index, request); });
        }
        for (claim_result const& result : out.results)
            on_result(index, result);
        for (claim_released const& release : out.released)
        {
            daemons[index].requests.erase(release.id);
            release_count += release.is_confirmed ? 1 : 0;
            if (release.is_confirmed)
                reported_not_run.insert(release.id);
        }
    }

    void call_store(std::size_t index, store::request const& call)
    {
        if (now < store_down_until || chance(3))
            return schedule_reply(
                index, {call.number, store::status::refused, {}, {}});
        if (!chance(12))
        {
            schedule(index, ms(1 + random() % 20),
                     [this, index, call]
                     { schedule_reply(index, apply(call)); });
            return;
        }
        // The reply is lost. The write takes effect at once, up to 6 s later,
        // or not at all.
        if (chance(70))
            events.emplace(now + ms(chance(30) ? random() % 6000 : 1),
                           [this, call] { apply(call); });
        events.emplace(now + ms(500),
                       [this, index, call] {
                           schedule_reply(
                               index,
                               {call.number, store::status::unknown, {}, {}});
                       });
    }

    void schedule_reply(std::size_t index, store::reply const& reply)
    {
        schedule(index, ms(random() % 20),
                 [this, index, reply]
                 {
                     actions out;
                     on_store_reply(daemons[index].state, reply, now, out);
                     perform(index, out);
                 });
    }

    store::reply apply(store::request const& call)
    {
        store::reply reply{call.number, store::status::ok, {}, {}, 0, era};
        if (auto const* read = std::get_if<store::get_row>(&call.op))
        {
            if (rows.contains(read->key))
                reply.rows.push_back(rows[read->key]);
            else
                reply.result = store::status::not_found;
            return reply;
        }
        auto const& write = std::get<store::transaction>(call.op);
        for (store::condition const& condition : write.conditions)
        {
            store::row const row = rows.contains(condition.key)
                                       ? rows[condition.key]
                                       : store::row{condition.key, 0, {}};
            if (row.version == condition.version)
                continue;
            reply.result = store::status::condition_failed;
            reply.rows.push_back(row);
            return reply;
        }
        for (store::put const& put : write.puts)
            rows[put.key] = {put.key, next_version++, put.value};
        for (store::put const& put : write.puts)
            reply.rows.push_back({put.key, rows[put.key].version, {}});
        for (std::string const& key : write.deletes)
            rows.erase(key);
        return reply;
    }

    void submit(std::size_t index, std::string const& key)
    {
        claim_request request;
        request.id = {1, next_request++};
        request.account = "shop";
        request.key = key;
        request.body_hash = 7;
        request.deadline = now + ms(4000);
        for (std::size_t step = 0; step < 2; ++step)
        {
            daemon_ref const home =
                daemons[(index + step + random() % 2) % daemon_count]
                    .own_daemon;
            if (request.homes.empty() || request.homes[0].daemon != home)
                request.homes.push_back({home, address_of(home.id - 1)});
        }
        daemons[index].requests[request.id] = {request, {}, 0, 0};
        actions out;
        on_claim_request(daemons[index].state, request, now, out);
        perform(index, out);
    }

    void on_result(std::size_t index, claim_result const& result)
    {
        running_request& running = daemons[index].requests[result.id];
        if (result.is_replay)
        {
            ++replay_count;
            if (result.recorded.body != responses[running.request.key])
                ++wrong_replay_count;
        }
        if (result.kind != error_kind::none &&
            error_response_for(result.kind).run_outcome == outcome::not_run)
            reported_not_run.insert(result.id);
        if (result.kind != error_kind::none || result.is_replay)
        {
            daemons[index].requests.erase(result.id);
            return;
        }
        takeover_count += result.claim.epoch > 1 ? 1 : 0;
        running.claim = result.claim;
        schedule(index, ms(random() % 30),
                 [this, index, id = result.id] { send_work(index, id); });
    }

    void end(std::size_t index, request_id id, work_result const& result,
             bool is_not_run)
    {
        running_request const& running = daemons[index].requests[id];
        claim_end finished{running.claim,       running.request.account,
                           running.request.key, result,
                           is_not_run,          id};
        if (!is_not_run)
            daemons[index].requests.erase(id);
        actions out;
        on_claim_end(daemons[index].state, finished, now, out);
        perform(index, out);
    }

    void send_work(std::size_t index, request_id id)
    {
        running_request& running = daemons[index].requests[id];
        if (running.next_home == running.request.homes.size())
            return end(index, id, {}, true);
        claim_home const home = running.request.homes[running.next_home++];
        std::uint32_t const attempt = ++running.attempt;
        std::size_t const receiver = home.daemon.id - 1;
        send(receiver, [this, receiver, index, home = home.daemon, running]
             { run_work(receiver, index, home, running); });
        schedule(index, ms(1500),
                 [this, index, id, attempt]
                 { on_work_result(index, id, attempt, {}); });
    }

    void on_work_result(std::size_t index, request_id id, std::uint32_t attempt,
                        work_result const& result)
    {
        auto const found = daemons[index].requests.find(id);
        if (found == daemons[index].requests.end() ||
            found->second.attempt != attempt)
            return;
        if (result.run_outcome == outcome::not_run)
            return send_work(index, id);
        end(index, id, result, false);
    }

    void run_work(std::size_t index, std::size_t origin, daemon_ref home,
                  running_request const& running)
    {
        simulated_daemon& daemon = daemons[index];
        auto const key = std::pair(running.claim.id, running.claim.epoch);
        // An earlier copy of the work may have reached the addressed run, so
        // the outcome is unknown.
        if (rules.homes_check_run && home != daemon.own_daemon)
            return send_work_result(origin, running, {});
        // A duplicate of recorded work gets no result. Refusing it because of
        // a later fence would contradict the result of the first copy.
        if (daemon.attempts.contains(key))
            return;
        if (rules.homes_honor_fences && daemon.fences.contains(key.first) &&
            daemon.fences[key.first] >= key.second)
            return send_work_result(origin, running, not_run_result());
        attempt_record& record = daemon.attempts[key];
        if (chance(25))
        {
            record = {true, not_run_result()};
            return send_work_result(origin, running, record.result);
        }
        ++executions[running.request.key];
        executed.insert(running.request.id);
        work_result result;
        result.run_outcome = chance(85) ? outcome::ran : outcome::unknown;
        result.kind = result.run_outcome == outcome::ran
                          ? error_kind::none
                          : error_kind::answer_cut;
        result.status = result.run_outcome == outcome::ran ? 200 : 502;
        result.body =
            fmt::format("{}\xff{}", running.request.key, next_version);
        responses[running.request.key] = result.body;
        schedule(index, ms(20 + random() % 600),
                 [this, index, origin, key, running, result]
                 {
                     daemons[index].attempts[key] = {true, result};
                     send_work_result(origin, running, result);
                 });
    }

    void send_work_result(std::size_t origin, running_request const& running,
                          work_result const& result)
    {
        send(origin,
             [this, origin, id = running.request.id, attempt = running.attempt,
              result] { on_work_result(origin, id, attempt, result); });
    }

    void reply_to_fence(std::size_t index, std::size_t requester,
                        fence const& request)
    {
        simulated_daemon& daemon = daemons[index];
        fence_response reply{
            request.claim, request.home, fence_state::wrong_home, {}};
        if (request.home == daemon.own_daemon)
        {
            std::uint64_t& epoch = daemon.fences[request.claim.id];
            epoch = std::max(epoch, request.claim.epoch);
            auto const found =
                daemon.attempts.find({request.claim.id, request.claim.epoch});
            reply.state = fence_state::fenced;
            if (found != daemon.attempts.end() && rules.homes_honor_fences)
            {
                reply.state = found->second.is_finished ? fence_state::finished
                                                        : fence_state::running;
                reply.result = found->second.result;
            }
        }
        send(requester,
             [this, requester, reply]
             {
                 actions out;
                 on_fence_response(daemons[requester].state, reply, now, out);
                 perform(requester, out);
             });
    }

    void update_live_daemons(std::size_t index)
    {
        members::live_daemons live;
        for (simulated_daemon const& daemon : daemons)
        {
            // The list may lack a daemon that is alive.
            if (!chance(8) && daemon.paused_until <= now)
                live.daemons.push_back(daemon.own_daemon);
        }
        actions out;
        on_live_daemons(daemons[index].state, live, now, out);
    }

    void restore_store()
    {
        std::tie(rows, next_version) = stored_copies.front();
        ++era;
        ++restore_count;
        for (std::size_t index = 0; index < daemon_count; ++index)
            schedule(
                index, ms(random() % 20'000),
                [this, index, seen = era]
                {
                    actions out;
                    on_store_era(daemons[index].state, {seen, true}, now, out);
                    perform(index, out);
                });
    }

    void inject_faults()
    {
        stored_copies.emplace_back(rows, next_version);
        if (stored_copies.size() > 30)
            stored_copies.pop_front();
        if (has_restores && random() % 400 == 0)
            restore_store();
        std::size_t const index = random() % daemon_count;
        // A daemon that restarts after a restore cannot write its claims again.
        if (chance(5) && !has_restores)
            start(index, daemons[index].own_daemon.incarnation + 1);
        else if (chance(8))
            daemons[index].paused_until = now + ms(500 + random() % 6000);
        if (chance(2))
            store_down_until = now + ms(random() % 3000);
        std::size_t const observer = random() % daemon_count;
        schedule(observer, ms(1),
                 [this, observer] { update_live_daemons(observer); });
    }

    /// Submits requests with the same key at random daemons; the key changes
    /// every 6 s.
    void run(int seconds)
    {
        for (int step = 0; step < seconds * 10; ++step)
        {
            time_point const step_end = now + ms(100);
            while (!events.empty() && events.begin()->first <= step_end)
            {
                auto event = events.extract(events.begin());
                now = std::max(now, event.key());
                event.mapped()();
            }
            now = step_end;
            inject_faults();
            std::size_t const index = random() % daemon_count;
            int const key_number =
                key_count > 0 ? step / 60 % key_count : step / 60;
            std::string const key = fmt::format("order-{}", key_number);
            if (chance(30))
                schedule(index, ms(0),
                         [this, index, key] { submit(index, key); });
        }
    }

    int violations() const
    {
        int count = wrong_replay_count;
        for (auto const& [key, times] : executions)
            count += times > 1 ? 1 : 0;
        for (request_id const id : reported_not_run)
            count += executed.contains(id) ? 1 : 0;
        return count;
    }
};

inline constexpr std::uint64_t seed_count = 60;

} // namespace gooseberrycove::claims

#endif
