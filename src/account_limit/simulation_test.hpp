#ifndef GOOSEBERRYCOVE_ACCOUNT_LIMIT_SIMULATION_TEST_HPP
#define GOOSEBERRYCOVE_ACCOUNT_LIMIT_SIMULATION_TEST_HPP

#include "account_limit/state.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>

namespace gooseberrycove::account_limit::testing
{

inline constexpr duration step = std::chrono::milliseconds(5);

/// A fleet in one process: injected time, and a network that delays, loses,
/// repeats and separates.
class simulation
{
public:
    simulation(std::size_t count, double rate, double burst, unsigned seed,
               duration window = duration(0))
        : m_rate(rate), m_burst(burst), m_window(window), m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_daemons.push_back({start(index, 1), 0, true, duration(0), {}});
        for (std::size_t index = 0; index < count; ++index)
            tell_fleet(index);
    }

    void run(duration time, std::function<void(simulation&)> const& each_step)
    {
        for (time_point const end = m_now + time; m_now < end; m_now += step)
        {
            each_step(*this);
            deliver();
            for (std::size_t index = 0; index < m_daemons.size(); ++index)
                act(index, [&](node& self, actions& out)
                    { on_tick(self.state, clock_of(self), out); });
        }
    }

    /// Sends requests at \p per_second on average from the daemon.
    void request(std::size_t index, double per_second)
    {
        std::poisson_distribution<int> arrivals(
            per_second * std::chrono::duration<double>(step).count());
        for (int left = arrivals(m_random); left > 0; --left)
        {
            ++m_sent;
            token_request const asked{
                {index, ++m_last_id}, "a", m_rate, m_burst};
            act(index, [&](node& self, actions& out)
                { on_token_request(self.state, asked, clock_of(self), out); });
        }
    }

    void set_rate(double rate, double burst)
    {
        m_rate = rate;
        m_burst = burst;
    }

    /// Daemons of different groups exchange no messages. Those of other groups
    /// count as suspect, so they stay candidates, or as dead.
    void separate(std::function<std::size_t(std::size_t)> const& group,
                  bool is_detected)
    {
        for (std::size_t index = 0; index < m_daemons.size(); ++index)
            m_daemons[index].group = group(index);
        m_is_separation_detected = is_detected;
        for (std::size_t index = 0; index < m_daemons.size(); ++index)
            tell_fleet(index);
    }

    void set_running(std::size_t index, bool is_running)
    {
        node& self = m_daemons[index];
        if (is_running)
            self.state = start(index, self.state.own_daemon.incarnation + 1);
        self.is_running = is_running;
        for (std::size_t other = 0; other < m_daemons.size(); ++other)
            tell_fleet(other);
    }

    /// The daemon stands still; its clock counts the time or not.
    void pause(std::size_t index, duration time, bool clock_counts)
    {
        m_daemons[index].paused_until = m_now + time;
        if (!clock_counts)
            m_daemons[index].clock_behind += time;
    }

    std::size_t owner() const
    {
        return owner_of(m_daemons.front().state, hash_name("a")).id;
    }

    std::size_t size() const { return m_daemons.size(); }
    std::size_t granted() const { return m_granted.size(); }
    std::size_t sent() const { return m_sent; }
    std::mt19937& random() { return m_random; }
    time_point now() const { return m_now; }

    /// Greatest number of requests granted in any 5 s.
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_granted.size(); ++last)
        {
            while (m_granted[last] - m_granted[first] >=
                   std::chrono::seconds(5))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    double loss = 0;
    double repetition = 0;
    duration max_delay = std::chrono::milliseconds(8);

private:
    struct node
    {
        limit_state state;
        std::size_t group = 0;
        bool is_running = true;
        duration clock_behind{0};
        time_point paused_until{};
    };

    struct in_flight
    {
        std::size_t from = 0;
        outgoing_message content;
    };

    limit_state start(std::size_t index, std::uint64_t incarnation) const
    {
        limit_state state = make_state({index, incarnation},
                                       std::to_string(index), m_now, m_window);
        on_configured(state, {true});
        return state;
    }

    time_point clock_of(node const& self) const
    {
        return m_now - self.clock_behind;
    }

    bool can_act(node const& self) const
    {
        return self.is_running && m_now >= self.paused_until;
    }

    void tell_fleet(std::size_t index)
    {
        node& self = m_daemons[index];
        fleet update;
        update.has_joined = true;
        for (std::size_t other = 0; other < m_daemons.size(); ++other)
        {
            node const& peer = m_daemons[other];
            bool const is_cut =
                m_is_separation_detected && peer.group != self.group;
            if (peer.is_running && !is_cut)
                update.members.push_back(
                    {peer.state.own_daemon, std::to_string(other), true});
        }
        on_fleet(self.state, update, clock_of(self));
    }

    void act(std::size_t index,
             std::function<void(node&, actions&)> const& decide)
    {
        node& self = m_daemons[index];
        if (!can_act(self))
            return;
        actions out;
        decide(self, out);
        for (token_decision const& decision : out.decisions)
        {
            if (decision.granted)
                m_granted.push_back(m_now);
        }
        for (outgoing_message const& item : out.messages)
            send(index, item);
    }

    void send(std::size_t from, outgoing_message const& item)
    {
        std::uniform_real_distribution<double> share;
        if (share(m_random) < loss)
            return;
        int const copies = share(m_random) < repetition ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            std::uniform_int_distribution<duration::rep> delay(
                500, max_delay.count());
            m_network.emplace(m_now + duration(delay(m_random)),
                              in_flight{from, item});
        }
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.begin()->first <= m_now)
        {
            in_flight const item = m_network.begin()->second;
            m_network.erase(m_network.begin());
            std::size_t const to = std::stoul(item.content.address);
            if (m_daemons[to].group != m_daemons[item.from].group)
                continue;
            // A process that stands still gets its messages afterwards.
            if (m_now < m_daemons[to].paused_until)
            {
                m_network.emplace(m_daemons[to].paused_until, item);
                continue;
            }
            act(to, [&](node& self, actions& out)
                { receive(self, item.content, out); });
        }
    }

    void receive(node& self, outgoing_message const& item, actions& out)
    {
        if (auto const* received = std::get_if<report>(&item.content))
            on_report(self.state, *received, clock_of(self), out);
        if (auto const* received = std::get_if<grant>(&item.content))
            on_grant(self.state, *received, clock_of(self), out);
    }

    double m_rate;
    double m_burst;
    duration m_window;
    std::mt19937 m_random;
    time_point m_now{std::chrono::seconds(1000)};
    std::vector<node> m_daemons;
    std::multimap<time_point, in_flight> m_network;
    std::vector<time_point> m_granted;
    std::size_t m_sent = 0;
    std::uint64_t m_last_id = 0;
    bool m_is_separation_detected = true;
};

} // namespace gooseberrycove::account_limit::testing

#endif
