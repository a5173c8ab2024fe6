#include "observe.hpp"

namespace gooseberrycove::admission
{

namespace
{

/// Deviations above the median of the log-normal fit for the 95th percentile.
constexpr double p95_sigmas = 1.645;

/// A failure within less than this share of the expected service time is
/// attributed to the server itself, which did not attempt the work.
constexpr double max_fast_share = 0.25;

/// Whether a failure came before the server can have attempted the work. The
/// minimum also holds without samples: a server that fails from the start of
/// its home on gives none.
bool is_fast(duration latency, service_time_estimate const& estimate)
{
    return latency < min_progress_time ||
           static_cast<double>(latency.count()) <
               max_fast_share *
                   static_cast<double>(expected_time(estimate).count());
}

/// Shares of refusals from which on a server is logged as refusing, and below
/// which it is logged as serving again.
constexpr double min_refusing_share = 0.3;
constexpr double max_serving_share = 0.1;

} // namespace

observation observe_refusal(dispatch::finished const& finished_run)
{
    auto const& statement = finished_run.statement;
    if (!statement || statement->is_malformed || !statement->load)
        return observation::refused;
    return statement->load->running < statement->load->slots
               ? observation::refused_when_free
               : observation::refused_when_full;
}

std::optional<observation>
observe_result(dispatch::finished const& finished_run,
               service_time_estimate const& estimate)
{
    using dispatch::result_class;
    switch (finished_run.result)
    {
    case result_class::answered:
        if (finished_run.status < 500)
            return observation::success;
        return is_fast(finished_run.latency, estimate)
                   ? observation::fast_failure
                   : observation::late_failure;
    case result_class::refused_not_run:
        return observe_refusal(finished_run);
    case result_class::connect_failed:
        // Without latency no connection was attempted.
        if (finished_run.latency.count() == 0)
            return std::nullopt;
        return observation::lost;
    case result_class::cut:
        return observation::lost;
    case result_class::timed_out:
        // A timeout this early is due to a short deadline, not to the server.
        if (finished_run.latency < quantile_time(estimate, p95_sigmas))
            return std::nullopt;
        return observation::overdue;
    case result_class::cancelled:
        break;
    }
    return std::nullopt;
}

health::sample_class to_sample_class(observation observed)
{
    switch (observed)
    {
    case observation::success:
    case observation::progress:
    case observation::completion:
        return health::sample_class::success;
    case observation::refused:
    case observation::refused_when_free:
    case observation::refused_when_full:
        return health::sample_class::shed;
    case observation::overdue:
        return health::sample_class::timeout;
    case observation::fast_failure:
    case observation::late_failure:
    case observation::lost:
        break;
    }
    return health::sample_class::failure;
}

bool is_limit_refusal(homed_server_state const& server,
                      dispatch::finished const& finished_run)
{
    return finished_run.result == dispatch::result_class::refused_not_run &&
           has_rate_limit(server.stated_limit);
}

std::string_view refusal_cause(observation observed)
{
    switch (observed)
    {
    case observation::refused_when_free:
        return "free_slots";
    case observation::refused_when_full:
        return "full";
    default:
        return "unknown";
    }
}

void record_refusing(homed_server_state& server,
                     dispatch::finished const& finished_run, time_point now,
                     actions& out)
{
    double const share = refusal_share(server.failure, now);
    bool const is_refusing = server.is_refusing ? share >= max_serving_share
                                                : share >= min_refusing_share;
    if (server.is_refusing == is_refusing)
        return;
    server.is_refusing = is_refusing;
    dispatch::server_load load;
    if (finished_run.statement && finished_run.statement->load)
        load = *finished_run.statement->load;
    out.log.push_back(event_line(event::server_refusing)
                          .field("server", server.name)
                          .field("service", server.service)
                          .field("state", is_refusing ? "begun" : "ended")
                          .field("share", share)
                          .field("running", load.running)
                          .field("slots", load.slots)
                          .field("limit", server.limit.slots));
}

} // namespace gooseberrycove::admission
