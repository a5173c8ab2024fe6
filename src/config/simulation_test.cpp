#include "config/document.hpp"
#include "config/versions.hpp"
#include "fake_platform/platform.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>

// Runs the decisions of several daemons against the rules of the platform
// stand-in on injected time, with faults from a seeded table.

using namespace gooseberrycove;
using namespace gooseberrycove::config;
using namespace std::chrono_literals;
namespace platform_rules = gooseberrycove::fake_platform;

namespace
{

constexpr std::size_t daemon_count = 5;

struct sim_daemon
{
    state duty;
    std::uint64_t incarnation = 0;
    bool is_up = true;
    time_point paused_until;
    std::uint64_t seen_version = 0;
};

struct submitted_patch
{
    std::string id;
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;
    int responses = 0;
    patch_result result;
};

class simulated_fleet
{
public:
    explicit simulated_fleet(std::uint64_t seed)
        : m_platform(platform_rules::make_state(1e6, 1e6, seed, m_now)),
          m_random{}
    {
        m_random.random_state = seed;
        for (std::size_t i = 0; i < daemon_count; ++i)
            start(i);
    }

    time_point now() const { return m_now; }
    platform_rules::state& platform() { return m_platform; }
    sim_daemon& daemon(std::size_t i) { return m_daemons[i]; }
    std::vector<submitted_patch>& patches() { return m_patches; }
    std::uint64_t draw() { return next_random(m_random); }

    /// Loss probability in % of messages from one daemon to another.
    std::function<std::uint64_t(std::size_t, std::size_t)> loss_percent =
        [](std::size_t, std::size_t) { return 0; };

    void schedule(time_point when, std::function<void()> event)
    {
        m_events.emplace(when, std::move(event));
    }

    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end)
        {
            auto node = m_events.extract(m_events.begin());
            m_now = std::max(m_now, node.key());
            node.mapped()();
        }
        m_now = end;
    }

    /// Starts or restarts a daemon; a restart loses its memory.
    void start(std::size_t i)
    {
        sim_daemon& started = m_daemons[i];
        started.duty = state{};
        started.duty.own_address = std::to_string(i);
        started.duty.random_state = draw();
        started.seen_version = 0;
        std::uint64_t const incarnation = ++started.incarnation;
        live_peers peers;
        for (std::size_t other = 0; other < daemon_count; ++other)
            peers.addresses.push_back(std::to_string(other));
        run_decision(i, [peers](state& duty, time_point now, actions& out)
                     { on_live_peers(duty, peers, now, out); });
        tick(i, incarnation);
        gossip(i, incarnation);
    }

    void submit(std::size_t i, std::uint64_t base, std::string patch)
    {
        submitted_patch submitted;
        submitted.id = fmt::format("p{}", m_patches.size());
        submitted.daemon = i;
        submitted.incarnation = m_daemons[i].incarnation;
        m_patches.push_back(submitted);
        patch_request const request{base, std::move(patch), submitted.id, "t",
                                    nullptr};
        run_decision(i, [request](state& duty, time_point now, actions& out)
                     { on_patch(duty, request, now, out); });
    }

    /// Document of each version, as rendered by the first daemon to reach it.
    std::map<std::uint64_t, std::string> documents;
    /// Time at which the last daemon reached each version.
    std::map<std::uint64_t, time_point> reached;

private:
    using decision = std::function<void(state&, time_point, actions&)>;

    /// Runs a decision of a daemon, after the end of a pause.
    void run_decision(std::size_t i, decision const& decide)
    {
        sim_daemon& target = m_daemons[i];
        if (m_now < target.paused_until)
        {
            std::uint64_t const incarnation = target.incarnation;
            return schedule(target.paused_until,
                            [this, i, incarnation, decide]
                            {
                                if (m_daemons[i].incarnation == incarnation)
                                    run_decision(i, decide);
                            });
        }
        if (!target.is_up)
            return;
        actions out;
        decide(target.duty, m_now, out);
        check_version(target);
        perform(i, std::move(out));
    }

    void check_version(sim_daemon& checked)
    {
        std::uint64_t const version = checked.duty.current->version();
        REQUIRE(version >= checked.seen_version);
        if (version == checked.seen_version)
            return;
        checked.seen_version = version;
        reached[version] = m_now;
        std::string document = render_document(checked.duty.current->data());
        auto const [place, added] = documents.emplace(version, document);
        if (!added)
            REQUIRE(place->second == document);
    }

    void tick(std::size_t i, std::uint64_t incarnation)
    {
        if (m_daemons[i].incarnation != incarnation)
            return;
        run_decision(i, [](state& duty, time_point now, actions& out)
                     { on_tick(duty, now, out); });
        schedule(m_now + 50ms,
                 [this, i, incarnation] { tick(i, incarnation); });
    }

    /// Reports the version as the pings of members do, to one peer per second.
    void gossip(std::size_t i, std::uint64_t incarnation)
    {
        sim_daemon const& sender = m_daemons[i];
        if (sender.incarnation != incarnation)
            return;
        if (sender.is_up && sender.duty.is_ready &&
            m_now >= sender.paused_until)
            send(i, {std::to_string(draw() % daemon_count),
                     peer_version{std::to_string(i), sender.seen_version}});
        schedule(m_now + 1s,
                 [this, i, incarnation] { gossip(i, incarnation); });
    }

    void perform(std::size_t i, actions&& out)
    {
        for (peer::outgoing const& message : out.sends)
            send(i, message);
        for (patch_response const& response : out.patch_responses)
        {
            auto& patch =
                m_patches.at(std::stoul(response.request.patch_id.substr(1)));
            ++patch.responses;
            patch.result = response.result;
        }
        std::uint64_t const incarnation = m_daemons[i].incarnation;
        for (store::request const& request : out.calls)
            schedule(m_now + delay(), [this, i, incarnation, request]
                     { call(i, incarnation, request, m_now); });
    }

    duration delay() { return std::chrono::microseconds(500 + draw() % 9500); }

    void send(std::size_t from, peer::outgoing const& message)
    {
        std::size_t const to = std::stoul(message.address);
        if (draw() % 100 < loss_percent(from, to))
            return;
        schedule(m_now + delay(),
                 [this, to, message]
                 {
                     run_decision(to, [message](state& duty, time_point now,
                                                actions& out)
                                  { receive(duty, message, now, out); });
                 });
    }

    static void receive(state& duty, peer::outgoing const& message,
                        time_point now, actions& out)
    {
        if (auto const* pull_request = std::get_if<pull>(&message.content))
            on_pull(duty, *pull_request, now, out);
        if (auto const* received = std::get_if<deltas>(&message.content))
            on_deltas(duty, *received, now, out);
        if (auto const* report = std::get_if<peer_version>(&message.content))
            on_peer_version(duty, *report, now, out);
    }

    /// Makes one call to the platform and classifies its result as the store
    /// duty does.
    void call(std::size_t i, std::uint64_t incarnation,
              store::request const& request, time_point sent_at)
    {
        using platform_decision = platform_rules::admission::decision;
        auto const admitted =
            on_call(m_platform, std::to_string(i),
                    platform_rules::is_write(request.op), m_now);
        auto const reply = [=, this](time_point when, store::reply response)
        {
            response.number = request.number;
            schedule(
                when,
                [=, this]
                {
                    if (m_daemons[i].incarnation != incarnation)
                        return;
                    run_decision(
                        i, [response](state& duty, time_point now, actions& out)
                        { on_store_reply(duty, response, now, out); });
                });
        };
        time_point const timeout = sent_at + request.timeout;
        if (admitted.result == platform_decision::drop)
            return reply(timeout, {0, store::status::unknown, {}, {}});
        if (admitted.result != platform_decision::run)
            return reply(m_now + delay(), {0, store::status::refused, {}, {}});
        schedule(m_now + admitted.delay / 2,
                 [=, this]
                 {
                     store::reply const response =
                         on_operation(m_platform, request.op);
                     time_point const received_at =
                         m_now + admitted.delay / 2 + delay();
                     if (admitted.lose_reply || received_at > timeout)
                         reply(timeout, {0, store::status::unknown, {}, {}});
                     else
                         reply(received_at, response);
                 });
    }

    time_point m_now{std::chrono::hours(1)};
    platform_rules::state m_platform;
    state m_random;
    std::array<sim_daemon, daemon_count> m_daemons;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<submitted_patch> m_patches;
};

constexpr std::string_view first_patch =
    R"({"priorities":{"p":{"rank":0,"target_ms":50}},
        "services":{"s":{"floor_slots":1,"priorities":{"p":{}}}}})";

/// Submits a patch to a random daemon every 300 ms; some are stale, based on a
/// future version or invalid.
void submit_patches(simulated_fleet& fleet, time_point until)
{
    std::size_t const i = fleet.draw() % daemon_count;
    std::uint64_t base = fleet.daemon(i).seen_version;
    std::uint64_t const kind = fleet.draw() % 10;
    std::string patch = fmt::format(
        R"({{"services":{{"s":{{"floor_slots":{}}}}},"accounts":{{"a{}":{}}}}})",
        fleet.draw() % 100, fleet.draw() % 20,
        kind == 3 ? "null"
                  : R"({"key_hash":"000102030405060708090a0b0c0d0e0f"})");
    if (base == 0)
        patch = first_patch;
    if (kind == 0 && base > 0)
        --base;
    if (kind == 1)
        ++base;
    if (kind == 2)
        patch = R"({"services":{"s":{"floor_slots":-1}}})";
    if (fleet.daemon(i).is_up)
        fleet.submit(i, base, patch);
    if (fleet.now() + 300ms < until)
        fleet.schedule(fleet.now() + 300ms,
                       [&fleet, until] { submit_patches(fleet, until); });
}

struct fault_case
{
    char const* name;
    /// Starts the fault, or ends it when \p is_active is false.
    void (*apply)(simulated_fleet& fleet, bool is_active);
};

void lose_replies(simulated_fleet& fleet, bool is_active)
{
    fleet.platform().faults.lose_reply = is_active ? 0.5 : 0;
}
void store_down(simulated_fleet& fleet, bool is_active)
{
    using platform_rules::mode;
    fleet.platform().faults.mode = is_active ? mode::down : mode::up;
}
void store_slow(simulated_fleet& fleet, bool is_active)
{
    // Around the timeout of 2 s: some writes take effect after it.
    using platform_rules::mode;
    fleet.platform().faults.mode = is_active ? mode::slow : mode::up;
    fleet.platform().faults.slow_time = 2500ms;
}
void lose_then_refuse(simulated_fleet& fleet, bool is_active)
{
    // A refused retry does not show whether the write before it took effect.
    using platform_rules::mode;
    fleet.platform().faults.lose_reply = is_active ? 1 : 0;
    for (int i = 0; i < (is_active ? 25 : 0); ++i)
    {
        time_point const second = fleet.now() + i * 1s;
        fleet.schedule(second + 500ms,
                       [&fleet] { fleet.platform().faults.mode = mode::down; });
        fleet.schedule(second + 1s,
                       [&fleet] { fleet.platform().faults.mode = mode::up; });
    }
}
void one_way_partition(simulated_fleet& fleet, bool is_active)
{
    fleet.platform().faults.cut_replies = {};
    if (is_active)
        fleet.platform().faults.cut_replies = {"1"};
    fleet.loss_percent = [is_active](std::size_t from, std::size_t)
    { return is_active && from == 1 ? 100 : 0; };
}
void isolated_daemon(simulated_fleet& fleet, bool is_active)
{
    fleet.platform().faults.cut_requests = {};
    if (is_active)
        fleet.platform().faults.cut_requests = {"2"};
    fleet.loss_percent = [is_active](std::size_t from, std::size_t to)
    { return is_active && (from == 2 || to == 2) ? 100 : 0; };
}
void message_loss(simulated_fleet& fleet, bool is_active)
{
    fleet.loss_percent = [is_active](std::size_t, std::size_t)
    { return is_active ? 70 : 0; };
}
void restarts(simulated_fleet& fleet, bool is_active)
{
    for (std::size_t i = 0; i < (is_active ? 3 : 0); ++i)
        fleet.schedule(fleet.now() + i * 7s, [&fleet, i] { fleet.start(i); });
}
void long_pause(simulated_fleet& fleet, bool is_active)
{
    if (!is_active)
        return;
    fleet.daemon(3).paused_until = fleet.now() + 17s;
    fleet.daemon(0).paused_until = fleet.now() + 5s;
}
void restart_in_outage(simulated_fleet& fleet, bool is_active)
{
    store_down(fleet, is_active);
    restarts(fleet, is_active);
}
void restore_store(simulated_fleet& fleet, bool is_active)
{
    if (is_active)
        platform_rules::restore_from_copy(fleet.platform(), 4s, fleet.now());
}
void all_faults(simulated_fleet& fleet, bool is_active)
{
    lose_replies(fleet, is_active);
    store_slow(fleet, is_active);
    message_loss(fleet, is_active);
    restarts(fleet, is_active);
    long_pause(fleet, is_active);
}

constexpr fault_case fault_cases[] = {
    {"no fault", [](simulated_fleet&, bool) {}},
    {"half of the replies are lost", lose_replies},
    {"store down", store_down},
    {"store slower than the timeout", store_slow},
    {"store down after lost replies", lose_then_refuse},
    {"one-way partition of a daemon", one_way_partition},
    {"daemon without store and peers", isolated_daemon},
    {"most messages between daemons are lost", message_loss},
    {"crash and restart", restarts},
    {"long pauses", long_pause},
    {"store restored from a copy", restore_store},
    {"restart while the store is down", restart_in_outage},
    {"all at once", all_faults},
};

/// The patch ids in the store by version.
std::vector<std::string> committed_ids(simulated_fleet& fleet)
{
    std::vector<std::string> ids{""};
    for (auto const& [key, row] : fleet.platform().rows)
    {
        if (key.starts_with(patch_prefix))
            ids.push_back(parse_delta(row.value).value().patch_id);
    }
    return ids;
}

void check_responses(simulated_fleet& fleet,
                     std::vector<std::string> const& ids)
{
    for (submitted_patch const& patch : fleet.patches())
    {
        INFO(patch.id << " " << error_response_for(patch.result.kind).name);
        bool const is_same_run =
            fleet.daemon(patch.daemon).incarnation == patch.incarnation;
        CHECK(patch.responses <= 1);
        CHECK((patch.responses == 1 || !is_same_run));
        auto const count = std::count(ids.begin(), ids.end(), patch.id);
        CHECK(count <= 1);
        if (patch.responses == 0 || patch.result.kind == error_kind::internal)
            continue;
        CHECK(count == (patch.result.kind == error_kind::none ? 1 : 0));
        if (patch.result.kind == error_kind::none)
            CHECK(ids.at(patch.result.version) == patch.id);
    }
}

} // namespace

TEST_CASE("patches stay ordered and results stay correct under faults")
{
    for (fault_case const& fault : fault_cases)
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed)
        {
            INFO(fault.name << ", seed " << seed);
            simulated_fleet fleet(seed);
            time_point const start = fleet.now();
            submit_patches(fleet, start + 60s);
            fleet.run_until(start + 15s);
            fault.apply(fleet, true);
            fleet.run_until(start + 40s);
            fault.apply(fleet, false);
            fleet.run_until(start + 90s);
            auto const ids = committed_ids(fleet);
            check_responses(fleet, ids);
            CHECK(ids.size() > 40);
            for (std::size_t i = 0; i < daemon_count; ++i)
            {
                INFO("daemon " << i);
                CHECK(fleet.daemon(i).duty.is_ready);
                CHECK(fleet.daemon(i).seen_version == ids.size() - 1);
                CHECK_FALSE(fleet.daemon(i).duty.commit);
            }
        }
    }
}

TEST_CASE("a version is in force on all daemons within 3 s without faults")
{
    // Bound of requirement I7 for current deployments, on injected time.
    simulated_fleet fleet(11);
    time_point const start = fleet.now();
    fleet.run_until(start + 2s);
    for (std::uint64_t version = 1; version <= 20; ++version)
    {
        time_point const sent = fleet.now();
        fleet.submit(version % daemon_count, version - 1,
                     version == 1 ? std::string(first_patch)
                                  : R"({"services":{"s":{"floor_slots":2}}})");
        fleet.run_until(sent + 3s);
        for (std::size_t i = 0; i < daemon_count; ++i)
            CHECK(fleet.daemon(i).seen_version == version);
    }
}
