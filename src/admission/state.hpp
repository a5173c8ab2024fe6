#ifndef GOOSEBERRYCOVE_ADMISSION_STATE_HPP
#define GOOSEBERRYCOVE_ADMISSION_STATE_HPP

#include "doubt.hpp"
#include "estimate.hpp"
#include "fence.hpp"
#include "limit.hpp"
#include "queue.hpp"
#include "repeats.hpp"
#include "share.hpp"
#include <gooseberrycove/admission.hpp>
#include <gooseberrycove/event.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrycove::admission
{

/// What the configuration says about one priority of a service.
struct priority_policy
{
    bool declared = false;
    double min_share = 0;
    duration target{0};
};

/// What the configuration says about a service.
struct service_policy
{
    std::string service;
    std::uint32_t reserved_slots = 1;
    duration warmup{0};
    std::string probe_path = "/healthz";
    std::optional<repeat_limit> repeats;
    std::array<priority_policy, max_priorities> priorities{};
};

/// Work that a server runs.
struct active_run
{
    std::uint64_t ticket = 0;
    priority_index priority = 0;
    time_point started;
    /// It has counted as progress.
    bool progressed = false;
    /// It has counted as evidence that the server does not answer.
    bool overdue = false;
};

/// A backend server homed here.
struct homed_state
{
    std::string name;
    std::string service;
    std::string address;
    members::server_state state = members::server_state::serving;
    /// Last verdict; its load figures are not used.
    server_status health;
    std::uint64_t incarnation = 0;
    adaptive_limit limit;
    doubt failing;
    time_point announced;
    /// Time that the server itself expects to stay slow, from `announced`; the
    /// service's warm-up holds when it is 0.
    duration warmup{0};
    std::uint32_t in_flight = 0;
    /// Requests in flight that are not of the most urgent priority.
    std::uint32_t lower_in_flight = 0;
    std::vector<active_run> active;
    std::uint32_t queued = 0;
    bool load_changed = false;
    time_point load_reported;
};

struct priority_state
{
    priority_queue queue;
    service_estimate estimate;
};

/// A service with at least one server homed here.
struct service_state
{
    service_policy policy;
    std::array<priority_state, max_priorities> priorities{};
    std::vector<std::string> servers;
    share_credit shares;
    arrival_counts arrivals;
    std::size_t queued = 0;
};

/// Work that dispatch has.
struct running
{
    work_request what;
    std::string server;
    duration charged{0};
    /// Requests in flight at the server, with this one, when it started.
    std::uint32_t concurrency = 0;
    bool urgent = false;
};

struct state
{
    daemon_ref self;
    std::unordered_map<std::string, service_state> services;
    std::unordered_map<std::string, homed_state> servers;
    std::unordered_map<std::string, service_policy> policies;
    /// By ticket.
    std::map<std::uint64_t, running> in_flight;
    std::uint64_t last_ticket = 0;
    claim_memory claims;
    time_point next_queue_check;
    bool draining = false;
};

/// A result and the daemon that gets it.
struct answer
{
    daemon_ref origin;
    std::string address;
    work_result result;
};

struct fence_reply
{
    daemon_ref asked_by;
    std::string address;
    claims::fence_response answer;
};

/// One placement decision, for the log.
struct decision
{
    event what = event::work_started;
    /// The caller's id.
    std::string request;
    std::string service;
    priority_index priority = 0;
    std::string server;
    std::string reason;
    /// The inputs: load of the server and doubt about it, the doubt that
    /// routing allowed for, and when the caller's request was received.
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    double doubt = 0;
    double known_doubt = 0;
    time_point received;
};

/// What the thread has to do after a decision.
struct actions
{
    std::vector<dispatch::start> starts;
    std::vector<dispatch::cancel> cancels;
    std::vector<answer> answers;
    std::vector<fence_reply> fences;
    std::vector<health::sample> samples;
    std::vector<health::server_change> known;
    std::vector<members::server_load> loads;
    std::vector<decision> decisions;
};

/// Interval in which queued work is checked against its deadline.
inline constexpr duration queue_check{20'000};

/// Changes of a server's load are reported at most this often.
inline constexpr duration load_interval{200'000};

} // namespace gooseberrycove::admission

#endif
