#ifndef GOOSEBERRYCOVE_ROUTING_CANDIDATES_HPP
#define GOOSEBERRYCOVE_ROUTING_CANDIDATES_HPP

#include <gooseberrycove/members.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrycove::routing
{

/// What this daemon makes of one candidate. The order is the preference.
enum class standing : std::uint8_t
{
    healthy,
    doubtful, ///< its last results say that it may be failing
    probation,
    kept_by_floor, ///< its ejection would take the service below its floor
    skipped,       ///< its home did not answer this daemon
    ejected,
    draining,
    unreachable ///< its home is not alive
};

std::string_view to_string(standing value);

/// Silence of homes towards this daemon. It never leaves this daemon: behind
/// a one-way cut the home is well for all others.
struct home_evidence
{
    struct silence
    {
        unsigned strikes = 0;
        unsigned skips = 0;
        time_point skip_until;
    };
    std::unordered_map<std::uint64_t, silence> homes;
};

/// Strikes of an attempt that got no answer by its deadline.
inline constexpr unsigned hard_silence = 2;
/// Strikes of an attempt that was overtaken by another home's answer.
inline constexpr unsigned soft_silence = 1;

/// Two strikes in a row make a skip of 1 s, doubling up to 30 s.
void note_silence(home_evidence& evidence, std::uint64_t home, unsigned strikes,
                  time_point now);
void note_answer(home_evidence& evidence, std::uint64_t home);
bool is_skipped(home_evidence const& evidence, std::uint64_t home,
                time_point now);

/// The floor rule applied to the candidates of one service.
struct assessment
{
    std::vector<standing> standings;
    /// Slots that stay in use: healthy ones and those kept by the floor.
    std::uint32_t capacity = 0;
    /// By candidate; see apply_doubts().
    std::vector<double> doubts = {};
};

/// Honours ejections from the worst to the least bad while the remaining
/// capacity stays at or above the floor. A server in probation counts like an
/// ejected one, because it takes only one request at a time. Servers behind
/// skipped or dead homes are no capacity. Both make the rule keep more.
assessment assess(std::span<members::candidate const> candidates,
                  std::uint32_t floor_slots, home_evidence const& evidence,
                  time_point now);

/// The larger of the two floors that a service may declare.
/// \param share  of the slots of all servers that could be used
std::uint32_t floor_of(std::span<members::candidate const> candidates,
                       std::uint32_t slots, double share);

using outstanding_map = std::map<std::string, std::uint32_t, std::less<>>;

/// (in flight + queued) / slots. Own attempts count at least, because reports
/// lag behind them.
double load_of(members::candidate const& who,
               outstanding_map const& outstanding);

/// Doubts as homes told them, by server.
struct told_doubt
{
    double probability = 0;
    time_point at;
};
using doubt_map = std::map<std::string, told_doubt, std::less<>>;

/// The present doubt about each candidate. Those in doubt get that standing
/// when they are healthy or kept by the floor.
std::vector<double> apply_doubts(std::span<members::candidate const> candidates,
                                 doubt_map const& doubts, time_point now,
                                 std::vector<standing>& standings);

/// Servers among which a service's slack of repeats is divided: those that
/// repeats go to, but at least half of all. A part for a failing server is
/// never used, and as servers fail in turn within the window of the limit, the
/// parts of all that had one may add up to twice the slack.
std::uint32_t sharing_servers(assessment const& found);

struct choice
{
    members::candidate const* who = nullptr;
    std::string_view reason;
    /// Candidates that were not eligible or less preferred.
    std::size_t passed_over = 0;
    /// Doubt about the server that the choice has allowed for.
    double doubt = 0;
};

struct selection
{
    std::span<members::candidate const> candidates;
    std::span<standing const> standings;
    outstanding_map const& outstanding;
    std::span<daemon_ref const> excluded_homes;
    std::string_view data_centre;
    bool repeatable = true;
    /// An attempt that may be followed by another one may test a server that
    /// is in doubt or in probation.
    bool may_test = true;
    /// By candidate; empty when nothing is known.
    std::span<double const> doubts = {};
};

/// The cheapest of a few random candidates: its load, with costs for a doubtful
/// standing and for another data centre. `who` is null when no candidate is
/// eligible.
choice choose(selection const& from, std::mt19937_64& random);

} // namespace gooseberrycove::routing

#endif
