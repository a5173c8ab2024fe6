#include "choice_model.hpp"

#include "fleet_model.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <queue>

namespace gooseberrycove::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr duration one_way = 500us;
constexpr duration report_period = 500ms;
constexpr duration warm_up = 2s;
constexpr duration length = 22s;

enum class step : std::uint8_t
{
    arrive, ///< a caller's request reaches a daemon
    reach,  ///< the work reaches its home
    finish, ///< the backend server is done
    answer, ///< the answer reaches the daemon
    report  ///< all homes report to all daemons
};

struct job
{
    std::size_t daemon = 0;
    std::size_t server = 0;
    time_point start;
};

struct timed_step
{
    time_point at;
    std::uint64_t order = 0;
    step what = step::arrive;
    job which;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;

    bool operator<(timed_step const& other) const
    {
        return std::tie(other.at, other.order) < std::tie(at, order);
    }
};

struct home
{
    std::uint32_t in_flight = 0;
    std::deque<job> queue;
};

struct daemon_view
{
    std::vector<members::candidate> candidates;
    routing::outstanding_map outstanding;
};

struct model
{
    choice_setting setting;
    policy used = policy::two_choices;
    std::mt19937_64 arrivals;
    std::mt19937_64 services;
    std::mt19937_64 choices;
    std::vector<home> homes;
    std::vector<daemon_view> daemons;
    std::priority_queue<timed_step> steps;
    std::uint64_t order = 0;
    time_point now;
    std::vector<double> latencies;
};

void plan(model& self, duration after, step what, job const& which)
{
    home const& at = self.homes[which.server];
    self.steps.push({self.now + after, self.order++, what, which, at.in_flight,
                     static_cast<std::uint32_t>(at.queue.size())});
}

std::size_t random_index(model& self, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(self.choices);
}

/// Flat below half load, steep where work would queue.
double overload_score(double load)
{
    if (load <= 0.5)
        return 0;
    return load <= 1 ? load - 0.5 : 0.5 + 4 * (load - 1);
}

/// The index of the least score; equal scores are drawn.
template <class Score>
std::size_t least(model& self, std::size_t count, Score score)
{
    std::vector<std::size_t> best;
    double best_score = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        double const value = score(i);
        if (!best.empty() && value > best_score)
            continue;
        if (!best.empty() && value < best_score)
            best.clear();
        best_score = value;
        best.push_back(i);
    }
    return best[random_index(self, best.size())];
}

std::size_t choose_server(model& self, daemon_view const& view)
{
    std::size_t const count = view.candidates.size();
    auto const load = [&](std::size_t i)
    { return routing::load_of(view.candidates[i], view.outstanding); };
    if (self.used == policy::least_in_flight)
        return least(self, count, load);
    if (self.used == policy::two_stage)
    {
        // First stage: servers at which the work would not queue.
        bool const any_free =
            std::any_of(view.candidates.begin(), view.candidates.end(),
                        [&](members::candidate const& who) {
                            return routing::load_of(who, view.outstanding) < 1;
                        });
        return least(self, count,
                     [&](std::size_t i)
                     {
                         if (any_free && load(i) >= 1)
                             return 1e9;
                         return overload_score(load(i));
                     });
    }
    std::vector<routing::standing> const standings(count,
                                                   routing::standing::healthy);
    routing::choice const made = routing::choose(
        {view.candidates, standings, view.outstanding, {}, {}, true, false},
        self.choices);
    return static_cast<std::size_t>(made.candidate - view.candidates.data());
}

void arrive(model& self)
{
    std::uniform_int_distribution<std::size_t> any(0, self.daemons.size() - 1);
    job which{any(self.arrivals), 0, self.now};
    daemon_view& view = self.daemons[which.daemon];
    which.server = choose_server(self, view);
    ++view.outstanding[view.candidates[which.server].server];
    plan(self, one_way, step::reach, which);

    double const mean_us =
        median_latency_us * std::exp(log_deviation * log_deviation / 2);
    double const capacity =
        static_cast<double>(self.setting.servers) * self.setting.slots;
    std::exponential_distribution<double> wait(self.setting.load * capacity /
                                               mean_us);
    plan(self, duration(static_cast<duration::rep>(wait(self.arrivals))),
         step::arrive, {});
}

void start(model& self, job const& which)
{
    std::lognormal_distribution<double> time(std::log(median_latency_us),
                                             log_deviation);
    double const factor = which.server == 0 ? self.setting.slow_factor : 1;
    ++self.homes[which.server].in_flight;
    plan(self,
         duration(static_cast<duration::rep>(time(self.services) * factor)),
         step::finish, which);
}

void reach(model& self, job const& which)
{
    home& at = self.homes[which.server];
    if (at.in_flight < self.setting.slots)
        start(self, which);
    else
        at.queue.push_back(which);
}

void finish(model& self, job const& which)
{
    home& at = self.homes[which.server];
    --at.in_flight;
    if (!at.queue.empty())
    {
        job const next = at.queue.front();
        at.queue.pop_front();
        start(self, next);
    }
    plan(self, one_way, step::answer, which);
}

void answer(model& self, timed_step const& taken)
{
    job const& which = taken.which;
    daemon_view& view = self.daemons[which.daemon];
    members::candidate& who = view.candidates[which.server];
    --view.outstanding[who.server];
    who.in_flight = taken.in_flight;
    who.queued = taken.queued;
    if (which.start >= time_point() + warm_up)
        self.latencies.push_back(
            static_cast<double>((self.now - which.start).count()) / 1000);
}

void report(model& self)
{
    for (daemon_view& view : self.daemons)
    {
        for (std::size_t i = 0; i < self.homes.size(); ++i)
        {
            view.candidates[i].in_flight = self.homes[i].in_flight;
            view.candidates[i].queued =
                static_cast<std::uint32_t>(self.homes[i].queue.size());
        }
    }
    plan(self, report_period, step::report, {});
}

void take(model& self, timed_step const& taken)
{
    switch (taken.what)
    {
    case step::arrive:
        arrive(self);
        break;
    case step::reach:
        reach(self, taken.which);
        break;
    case step::finish:
        finish(self, taken.which);
        break;
    case step::answer:
        answer(self, taken);
        break;
    case step::report:
        report(self);
        break;
    }
}

} // namespace

std::string_view to_string(policy value)
{
    static constexpr std::array<std::string_view, 3> names{
        "two choices", "least in flight", "filter + overload score"};
    return names[static_cast<std::size_t>(value)];
}

std::vector<double> run_choice_model(choice_setting const& setting, policy used,
                                     std::uint64_t seed)
{
    model self;
    self.setting = setting;
    self.used = used;
    self.arrivals.seed(seed);
    self.services.seed(seed + 1);
    self.choices.seed(seed + 2);
    self.homes.resize(setting.servers);
    self.daemons.resize(setting.daemons);
    for (daemon_view& view : self.daemons)
    {
        for (std::size_t i = 0; i < setting.servers; ++i)
        {
            members::candidate who;
            who.server = "server" + std::to_string(i);
            who.slots = setting.slots;
            who.home = {i + 1, 1};
            view.candidates.push_back(std::move(who));
        }
    }
    plan(self, duration(0), step::arrive, {});
    plan(self, duration(0), step::report, {});
    while (self.now < time_point() + length)
    {
        timed_step const next = self.steps.top();
        self.steps.pop();
        self.now = next.at;
        take(self, next);
    }
    return std::move(self.latencies);
}

} // namespace gooseberrycove::bench
