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
    bool up = true;
    time_point paused_until;
    std::uint64_t seen_version = 0;
};

struct submitted
{
    std::string id;
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;
    int answers = 0;
    patch_result outcome;
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed)
        : m_platform(platform_rules::make_state(1e6, 1e6, seed, m_now)),
          m_random{}
    {
        m_random.random = seed;
        for (std::size_t i = 0; i < daemon_count; ++i)
            start(i);
    }

    time_point now() const { return m_now; }
    platform_rules::state& platform() { return m_platform; }
    sim_daemon& daemon(std::size_t i) { return m_daemons[i]; }
    std::vector<submitted>& patches() { return m_patches; }
    std::uint64_t draw() { return next_random(m_random); }

    /// Loses messages from one daemon to another with a probability in %.
    std::function<std::uint64_t(std::size_t, std::size_t)> loss =
        [](std::size_t, std::size_t) { return 0; };

    void at(time_point when, std::function<void()> what)
    {
        m_events.emplace(when, std::move(what));
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

    /// Starts a daemon anew; its memory is lost.
    void start(std::size_t i)
    {
        sim_daemon& self = m_daemons[i];
        self.duty = state{};
        self.duty.own_address = std::to_string(i);
        self.duty.random = draw();
        self.seen_version = 0;
        std::uint64_t const incarnation = ++self.incarnation;
        live_peers peers;
        for (std::size_t other = 0; other < daemon_count; ++other)
            peers.addresses.push_back(std::to_string(other));
        give(i, [peers](state& duty, time_point now, actions& out)
             { on_live_peers(duty, peers, now, out); });
        tick(i, incarnation);
        gossip(i, incarnation);
    }

    void submit(std::size_t i, std::uint64_t base, std::string patch)
    {
        submitted one;
        one.id = fmt::format("p{}", m_patches.size());
        one.daemon = i;
        one.incarnation = m_daemons[i].incarnation;
        m_patches.push_back(one);
        patch_request const asked{base, std::move(patch), one.id, "t", nullptr};
        give(i, [asked](state& duty, time_point now, actions& out)
             { on_patch(duty, asked, now, out); });
    }

    /// Document of each version, as rendered by the first daemon to reach it.
    std::map<std::uint64_t, std::string> documents;
    /// Time at which the last daemon reached each version.
    std::map<std::uint64_t, time_point> reached;

private:
    using decision = std::function<void(state&, time_point, actions&)>;

    /// Runs a decision of a daemon, once it is not paused.
    void give(std::size_t i, decision const& what)
    {
        sim_daemon& self = m_daemons[i];
        if (m_now < self.paused_until)
        {
            std::uint64_t const incarnation = self.incarnation;
            return at(self.paused_until,
                      [this, i, incarnation, what]
                      {
                          if (m_daemons[i].incarnation == incarnation)
                              give(i, what);
                      });
        }
        if (!self.up)
            return;
        actions out;
        what(self.duty, m_now, out);
        check_version(self);
        perform(i, std::move(out));
    }

    void check_version(sim_daemon& self)
    {
        std::uint64_t const version = self.duty.current->version();
        REQUIRE(version >= self.seen_version);
        if (version == self.seen_version)
            return;
        self.seen_version = version;
        reached[version] = m_now;
        std::string document = render_document(self.duty.current->data());
        auto const [place, added] = documents.emplace(version, document);
        if (!added)
            REQUIRE(place->second == document);
    }

    void tick(std::size_t i, std::uint64_t incarnation)
    {
        if (m_daemons[i].incarnation != incarnation)
            return;
        give(i, [](state& duty, time_point now, actions& out)
             { on_tick(duty, now, out); });
        at(m_now + 50ms, [this, i, incarnation] { tick(i, incarnation); });
    }

    /// The version hint that members puts on its pings, one peer per second.
    void gossip(std::size_t i, std::uint64_t incarnation)
    {
        sim_daemon const& self = m_daemons[i];
        if (self.incarnation != incarnation)
            return;
        if (self.up && self.duty.ready && m_now >= self.paused_until)
            send(i, {std::to_string(draw() % daemon_count),
                     peer_version{std::to_string(i), self.seen_version}});
        at(m_now + 1s, [this, i, incarnation] { gossip(i, incarnation); });
    }

    void perform(std::size_t i, actions&& out)
    {
        for (peer::outgoing const& one : out.sends)
            send(i, one);
        for (patch_answer const& one : out.patches)
        {
            auto& patch =
                m_patches.at(std::stoul(one.asked.patch_id.substr(1)));
            ++patch.answers;
            patch.outcome = one.outcome;
        }
        std::uint64_t const incarnation = m_daemons[i].incarnation;
        for (store::request const& one : out.calls)
            at(m_now + delay(), [this, i, incarnation, one]
               { call(i, incarnation, one, m_now); });
    }

    duration delay() { return std::chrono::microseconds(500 + draw() % 9500); }

    void send(std::size_t from, peer::outgoing const& what)
    {
        std::size_t const to = std::stoul(what.address);
        if (draw() % 100 < loss(from, to))
            return;
        at(m_now + delay(),
           [this, to, what]
           {
               give(to, [what](state& duty, time_point now, actions& out)
                    { receive(duty, what, now, out); });
           });
    }

    static void receive(state& duty, peer::outgoing const& what, time_point now,
                        actions& out)
    {
        if (auto const* pulled = std::get_if<pull>(&what.content))
            on_pull(duty, *pulled, now, out);
        if (auto const* got = std::get_if<deltas>(&what.content))
            on_deltas(duty, *got, now, out);
        if (auto const* told = std::get_if<peer_version>(&what.content))
            on_peer_version(duty, *told, now, out);
    }

    /// One call to the platform, as the store duty would classify its end.
    void call(std::size_t i, std::uint64_t incarnation,
              store::request const& asked, time_point sent)
    {
        using platform_decision = platform_rules::admission::decision;
        auto const admitted =
            on_call(m_platform, std::to_string(i),
                    platform_rules::is_write(asked.op), m_now);
        auto const reply = [=, this](time_point when, store::reply got)
        {
            got.number = asked.number;
            at(when,
               [=, this]
               {
                   if (m_daemons[i].incarnation != incarnation)
                       return;
                   give(i, [got](state& duty, time_point now, actions& out)
                        { on_store_reply(duty, got, now, out); });
               });
        };
        time_point const timeout = sent + asked.timeout;
        if (admitted.result == platform_decision::drop)
            return reply(timeout, {0, store::status::unknown, {}, {}});
        if (admitted.result != platform_decision::run)
            return reply(m_now + delay(), {0, store::status::refused, {}, {}});
        at(m_now + admitted.delay / 2,
           [=, this]
           {
               store::reply const got = on_operation(m_platform, asked.op);
               time_point const back = m_now + admitted.delay / 2 + delay();
               if (admitted.lose_reply || back > timeout)
                   reply(timeout, {0, store::status::unknown, {}, {}});
               else
                   reply(back, got);
           });
    }

    time_point m_now{std::chrono::hours(1)};
    platform_rules::state m_platform;
    state m_random;
    std::array<sim_daemon, daemon_count> m_daemons;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<submitted> m_patches;
};

constexpr std::string_view first_patch =
    R"({"priorities":{"p":{"rank":0,"target_ms":50}},
        "services":{"s":{"floor_slots":1,"priorities":{"p":{}}}}})";

/// A patch every 300 ms to some daemon; some are stale, ahead or invalid.
void submit_some(fleet& all, time_point until)
{
    std::size_t const i = all.draw() % daemon_count;
    std::uint64_t base = all.daemon(i).seen_version;
    std::uint64_t const kind = all.draw() % 10;
    std::string patch = fmt::format(
        R"({{"services":{{"s":{{"floor_slots":{}}}}},"accounts":{{"a{}":{}}}}})",
        all.draw() % 100, all.draw() % 20,
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
    if (all.daemon(i).up)
        all.submit(i, base, patch);
    if (all.now() + 300ms < until)
        all.at(all.now() + 300ms, [&all, until] { submit_some(all, until); });
}

struct fault_case
{
    char const* name;
    /// Starts the fault; \p on is false when it ends.
    void (*apply)(fleet& all, bool on);
};

void lose_replies(fleet& all, bool on)
{
    all.platform().faults.lose_reply = on ? 0.5 : 0;
}
void store_down(fleet& all, bool on)
{
    using platform_rules::mode;
    all.platform().faults.mode = on ? mode::down : mode::up;
}
void store_slow(fleet& all, bool on)
{
    // Around the timeout of 2 s: some writes take effect after it.
    using platform_rules::mode;
    all.platform().faults.mode = on ? mode::slow : mode::up;
    all.platform().faults.slow_time = 2500ms;
}
void lose_then_refuse(fleet& all, bool on)
{
    // A retry that is refused says nothing about the write before it.
    using platform_rules::mode;
    all.platform().faults.lose_reply = on ? 1 : 0;
    for (int i = 0; i < (on ? 25 : 0); ++i)
    {
        time_point const second = all.now() + i * 1s;
        all.at(second + 500ms,
               [&all] { all.platform().faults.mode = mode::down; });
        all.at(second + 1s, [&all] { all.platform().faults.mode = mode::up; });
    }
}
void one_way_cut(fleet& all, bool on)
{
    all.platform().faults.cut_replies = {};
    if (on)
        all.platform().faults.cut_replies = {"1"};
    all.loss = [on](std::size_t from, std::size_t)
    { return on && from == 1 ? 100 : 0; };
}
void isolated_daemon(fleet& all, bool on)
{
    all.platform().faults.cut_requests = {};
    if (on)
        all.platform().faults.cut_requests = {"2"};
    all.loss = [on](std::size_t from, std::size_t to)
    { return on && (from == 2 || to == 2) ? 100 : 0; };
}
void message_loss(fleet& all, bool on)
{
    all.loss = [on](std::size_t, std::size_t) { return on ? 70 : 0; };
}
void restarts(fleet& all, bool on)
{
    for (std::size_t i = 0; i < (on ? 3 : 0); ++i)
        all.at(all.now() + i * 7s, [&all, i] { all.start(i); });
}
void long_pause(fleet& all, bool on)
{
    if (!on)
        return;
    all.daemon(3).paused_until = all.now() + 17s;
    all.daemon(0).paused_until = all.now() + 5s;
}
void restart_in_outage(fleet& all, bool on)
{
    store_down(all, on);
    restarts(all, on);
}
void everything(fleet& all, bool on)
{
    lose_replies(all, on);
    store_slow(all, on);
    message_loss(all, on);
    restarts(all, on);
    long_pause(all, on);
}

constexpr fault_case fault_cases[] = {
    {"no fault", [](fleet&, bool) {}},
    {"half of the replies are lost", lose_replies},
    {"store down", store_down},
    {"store slower than the timeout", store_slow},
    {"store down after lost replies", lose_then_refuse},
    {"one-way cut of a daemon", one_way_cut},
    {"daemon without store and peers", isolated_daemon},
    {"most messages between daemons are lost", message_loss},
    {"crash and restart", restarts},
    {"long pauses", long_pause},
    {"restart while the store is down", restart_in_outage},
    {"all at once", everything},
};

/// The patch ids in the store by version.
std::vector<std::string> committed_ids(fleet& all)
{
    std::vector<std::string> ids{""};
    for (auto const& [key, row] : all.platform().rows)
    {
        if (key.starts_with(patch_prefix))
            ids.push_back(parse_delta(row.value).value().patch_id);
    }
    return ids;
}

void check_answers(fleet& all, std::vector<std::string> const& ids)
{
    for (submitted const& one : all.patches())
    {
        INFO(one.id << " " << error_response_for(one.outcome.kind).name);
        bool const kept = all.daemon(one.daemon).incarnation == one.incarnation;
        CHECK(one.answers <= 1);
        CHECK((one.answers == 1 || !kept));
        auto const count = std::count(ids.begin(), ids.end(), one.id);
        CHECK(count <= 1);
        if (one.answers == 0 || one.outcome.kind == error_kind::internal)
            continue;
        CHECK(count == (one.outcome.kind == error_kind::none ? 1 : 0));
        if (one.outcome.kind == error_kind::none)
            CHECK(ids.at(one.outcome.version) == one.id);
    }
}

} // namespace

TEST_CASE("patches stay ordered and answers stay true under faults")
{
    for (fault_case const& one : fault_cases)
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed)
        {
            INFO(one.name << ", seed " << seed);
            fleet all(seed);
            time_point const start = all.now();
            submit_some(all, start + 60s);
            all.run_until(start + 15s);
            one.apply(all, true);
            all.run_until(start + 40s);
            one.apply(all, false);
            all.run_until(start + 90s);
            auto const ids = committed_ids(all);
            check_answers(all, ids);
            CHECK(ids.size() > 40);
            for (std::size_t i = 0; i < daemon_count; ++i)
            {
                INFO("daemon " << i);
                CHECK(all.daemon(i).duty.ready);
                CHECK(all.daemon(i).seen_version == ids.size() - 1);
                CHECK_FALSE(all.daemon(i).duty.committing);
            }
        }
    }
}

TEST_CASE("a version is in force on all daemons within 3 s without faults")
{
    // Bound of requirement I7 for today's deployments, on injected time.
    fleet all(11);
    time_point const start = all.now();
    all.run_until(start + 2s);
    for (std::uint64_t version = 1; version <= 20; ++version)
    {
        time_point const sent = all.now();
        all.submit(version % daemon_count, version - 1,
                   version == 1 ? std::string(first_patch)
                                : R"({"services":{"s":{"floor_slots":2}}})");
        all.run_until(sent + 3s);
        for (std::size_t i = 0; i < daemon_count; ++i)
            CHECK(all.daemon(i).seen_version == version);
    }
}
