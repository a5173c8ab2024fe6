#ifndef GOOSEBERRYCOVE_ROUTING_CANDIDATES_HPP
#define GOOSEBERRYCOVE_ROUTING_CANDIDATES_HPP

#include <gooseberrycove/members.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::routing
{

/// How this daemon may use one candidate, in the order of preference.
enum class standing : std::uint8_t
{
    healthy,
    suspected, ///< its failure probability is at or above the limit
    probation,
    kept_by_floor, ///< its ejection would take the service below its floor
    skipped,       ///< its home did not respond to this daemon
    ejected,
    draining,
    unreachable ///< its home is not alive
};

std::string_view to_string(standing value);

/// Homes that do not respond to this daemon. This evidence is not sent to other
/// daemons: behind a one-way network partition all others can use the home.
struct home_evidence
{
    struct record
    {
        unsigned penalty = 0;
        unsigned skip_count = 0;
        time_point skip_until;
    };
    std::unordered_map<std::uint64_t, record> homes;
};

/// Penalty for an attempt without a result by its deadline, or for work that
/// could not be delivered.
inline constexpr unsigned no_response_penalty = 2;
/// Penalty for an attempt that was overtaken by another home's result.
inline constexpr unsigned overtaken_penalty = 1;

/// Adds \p penalty to the home's record, which a reply removes. At a total of 2
/// or more the home is skipped for 1 s, and for twice as long each further
/// time, up to 30 s.
void record_unresponsive(home_evidence& evidence, std::uint64_t home,
                         unsigned penalty, time_point now);
void record_reply(home_evidence& evidence, std::uint64_t home);
bool is_skipped(home_evidence const& evidence, std::uint64_t home,
                time_point now);

/// Result of the floor rule for the candidates of one service.
struct assessment
{
    std::vector<standing> standings;
    /// Slots that stay in use: healthy ones and those kept by the floor.
    std::uint32_t capacity = 0;
    /// By candidate; see apply_failure_probabilities().
    std::vector<double> failure_probabilities = {};
    /// By candidate; see start_waits().
    std::vector<duration> start_waits = {};
};

/// Applies ejections, the worst server first, while the remaining capacity
/// stays at or above the floor. A server in probation counts as ejected,
/// because it runs only one request at a time, and servers behind skipped or
/// dead homes do not count as capacity. Both make the rule keep more servers in
/// use.
assessment assess(std::span<members::candidate const> candidates,
                  std::uint32_t floor_slots, home_evidence const& evidence,
                  time_point now);

/// The larger of the two floors that a service may declare, in slots.
/// \param share  floor as a share of the slots of all usable servers, 0 to 1
std::uint32_t effective_floor(std::span<members::candidate const> candidates,
                              std::uint32_t slots, double share);

using outstanding_map = std::map<std::string, std::uint32_t, std::less<>>;

/// (in flight + queued) / slots. This daemon's attempts are a lower bound of
/// the numerator, because reports lag behind them.
double load_of(members::candidate const& candidate,
               outstanding_map const& outstanding);

/// Failure probability of a server as its home last reported it.
struct reported_probability
{
    double probability = 0;
    time_point at;
};
using reported_probabilities =
    std::map<std::string, reported_probability, std::less<>>;

/// What a server said about itself, as its home last reported it, and when its
/// own limit lets its home start another request.
struct reported_statement
{
    server_statement statement;
    time_point available_at;
};
using reported_statements =
    std::map<std::string, reported_statement, std::less<>>;

/// Records the statement of a status. A home that knows of none may have
/// restarted, so the recorded one stays then.
void record_statement(reported_statements& reports, server_status const& status,
                      time_point now);

/// How long the limits of the candidates keep another request waiting; empty
/// when no server of the service has stated anything.
std::vector<duration>
start_waits(std::span<members::candidate const> candidates,
            reported_statements const& reports, time_point now);

/// Computes the present failure probability of each candidate. Servers at or
/// above failure_probability_limit that are healthy or kept by the floor become
/// suspected in \p standings.
std::vector<double>
apply_failure_probabilities(std::span<members::candidate const> candidates,
                            reported_probabilities const& reports,
                            time_point now, std::vector<standing>& standings);

/// Number of servers among which the slack of a service's retry limit is
/// divided: all listed ones, whatever their standing. A failing server uses
/// little of its part, but standings change within the window of the limit, and
/// the parts of all servers that had one must not exceed the slack.
std::uint32_t count_retry_limit_servers(assessment const& assessed);

struct choice
{
    members::candidate const* candidate = nullptr;
    std::string_view reason;
    /// Candidates that were not eligible or less preferred.
    std::size_t passed_over = 0;
    /// Failure probability that the choice has accepted for the server.
    double failure_probability = 0;
};

struct choice_input
{
    std::span<members::candidate const> candidates;
    std::span<standing const> standings;
    outstanding_map const& outstanding;
    std::span<daemon_ref const> excluded_homes;
    std::string_view data_centre;
    bool repeatable = true;
    /// This attempt may be a trial request to a suspected server or to one in
    /// probation, because another attempt may follow it.
    bool allows_trial = true;
    /// By candidate; empty when there are no estimates.
    std::span<double const> failure_probabilities = {};
    /// By candidate; empty when no server has stated a limit.
    std::span<duration const> start_waits = {};
    /// See crossing_cost(); empty when bytes between data centres have no
    /// price, and another data centre has a constant cost.
    std::optional<double> crossing_cost = {};
};

/// Cost of a candidate without noise, as if its home were in the own data
/// centre and as if it were in another.
struct candidate_costs
{
    double inside = 0;
    double outside = 0;
};
candidate_costs costs_of(choice_input const& input, std::size_t index);

/// Chooses the cheapest of a few random candidates. The cost is the load, plus
/// costs for the standing, the failure probability, the wait for the server's
/// own limit and another data centre. With a crossing_cost, leaving_share()
/// decides between the cheapest of the own data centre and of the others.
/// `candidate` is null when no candidate is eligible.
choice choose(choice_input const& input, std::mt19937_64& random);

} // namespace gooseberrycove::routing

#endif
