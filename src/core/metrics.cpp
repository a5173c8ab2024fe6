#include <gooseberrycove/log.hpp>
#include <gooseberrycove/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace gooseberrycove
{

namespace
{

using counter_family = prometheus::Family<prometheus::Counter>;
using gauge_family = prometheus::Family<prometheus::Gauge>;
using histogram_family = prometheus::Family<prometheus::Histogram>;

/// Upper bounds in seconds, dense around the target of 3.9 ms for the 99th
/// percentile.
prometheus::Histogram::BucketBoundaries const added_latency_buckets{
    0.0001, 0.00025, 0.0005, 0.001, 0.0015, 0.002, 0.0025, 0.003,
    0.0035, 0.0039,  0.0045, 0.006, 0.01,   0.025, 0.1,    1};

counter_family& add_counter(prometheus::Registry& registry, char const* name,
                            char const* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

gauge_family& add_gauge(prometheus::Registry& registry, char const* name,
                        char const* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

/// Increments a counter to a total that is counted elsewhere.
void set_total(prometheus::Counter& counter, std::uint64_t total)
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace

struct metrics::families
{
    prometheus::Registry registry;
    counter_family& requests =
        add_counter(registry, "gcove_requests_total",
                    "Answers to callers by priority, outcome and status class");
    histogram_family& added_latency =
        prometheus::BuildHistogram()
            .Name("gcove_added_latency_seconds")
            .Help("Time added to a request beside the backend server's time")
            .Register(registry);
    prometheus::Histogram& added_latency_histogram =
        added_latency.Add({}, added_latency_buckets);
    counter_family& peer_bytes =
        add_counter(registry, "gcove_peer_bytes_total",
                    "Bytes exchanged with other daemons");
    counter_family& refusals =
        add_counter(registry, "gcove_refusals_total",
                    "Refused requests and messages by place and error kind");
    counter_family& ring_drops =
        add_counter(registry, "gcove_ring_drops_total",
                    "Messages dropped because a ring was full");
    counter_family& retries =
        add_counter(registry, "gcove_retries_total",
                    "Further attempts of requests by reason");
    counter_family& arrivals =
        add_counter(registry, "gcove_arrivals_total",
                    "Attempts sent to backend servers homed here; a call made "
                    "by a retry counts in parts as first and as retry");
    prometheus::Counter& first_arrivals = arrivals.Add({{"kind", "first"}});
    prometheus::Counter& retry_arrivals = arrivals.Add({{"kind", "retry"}});
    prometheus::Counter& malformed_statements =
        add_counter(
            registry, "gcove_malformed_statements_total",
            "Answers of backend servers whose limit, leaving or load could "
            "not be read")
            .Add({});
    prometheus::Counter& failing_call_refusals =
        add_counter(registry, "gcove_failing_call_refusals_total",
                    "Requests refused here before they ran, because the calls "
                    "of such runs fail")
            .Add({});
    counter_family& server_refusals =
        add_counter(registry, "gcove_server_refusals_total",
                    "Requests that backend servers homed here refused, by the "
                    "load that the server stated");
    counter_family& server_responses =
        add_counter(registry, "gcove_server_responses_total",
                    "Responses of backend servers homed here by what shows "
                    "that they belong to their request");
    counter_family& unusable_connections =
        add_counter(registry, "gcove_unusable_connections_total",
                    "Connections found unusable before a request was sent on "
                    "them");
    counter_family& health_changes =
        add_counter(registry, "gcove_health_changes_total",
                    "State changes of backend servers homed here");
    counter_family& account_limit =
        add_counter(registry, "gcove_account_limit_total",
                    "Requests of accounts with a rate by how their token was "
                    "decided");
    prometheus::Gauge& config_version =
        add_gauge(registry, "gcove_config_version",
                  "Version of the configuration in force")
            .Add({});
    prometheus::Gauge& config_entry_errors =
        add_gauge(registry, "gcove_config_entry_errors",
                  "Errors of entries of the version in force that cannot be "
                  "used")
            .Add({});
    prometheus::Gauge& config_routes =
        add_gauge(registry, "gcove_config_routes",
                  "Routes of the version in force")
            .Add({});
    prometheus::Gauge& config_open_routes =
        add_gauge(registry, "gcove_config_open_routes",
                  "Routes of the version in force whose callers need no "
                  "account")
            .Add({});
    prometheus::Gauge& config_accounts =
        add_gauge(registry, "gcove_config_accounts",
                  "Client accounts of the version in force")
            .Add({});
    prometheus::Gauge& members_alive =
        add_gauge(registry, "gcove_members", "Daemons known to be alive")
            .Add({});
    prometheus::Gauge& servers =
        add_gauge(registry, "gcove_servers", "Backend servers in the directory")
            .Add({});
    prometheus::Gauge& services =
        add_gauge(registry, "gcove_services", "Services in the directory")
            .Add({});
    counter_family& log_lines = add_counter(registry, "gcove_log_lines_total",
                                            "Log lines by what became of them");
    prometheus::Counter& log_written = log_lines.Add({{"result", "written"}});
    prometheus::Counter& log_left_out = log_lines.Add({{"result", "left_out"}});
    prometheus::Counter& log_dropped = log_lines.Add({{"result", "dropped"}});
    prometheus::Gauge& in_flight =
        add_gauge(registry, "gcove_requests_in_flight",
                  "Callers' requests in flight at this daemon")
            .Add({});
};

metrics::metrics() : m_families(std::make_unique<families>()) {}

metrics::~metrics() = default;

void metrics::count_request(std::string_view priority, outcome result,
                            int status)
{
    m_families->requests
        .Add({{"priority", std::string(priority)},
              {"outcome", std::string(to_string(result))},
              {"status", std::to_string(status / 100) + "xx"}})
        .Increment();
}

void metrics::observe_added_latency(duration added_latency)
{
    m_families->added_latency_histogram.Observe(
        std::chrono::duration<double>(added_latency).count());
}

void metrics::count_peer_bytes(direction flow, std::string_view kind,
                               std::string_view scope, std::size_t bytes)
{
    prometheus::Labels labels{
        {"direction", flow == direction::in ? "in" : "out"},
        {"kind", std::string(kind)}};
    if (!scope.empty())
        labels.emplace("scope", scope);
    m_families->peer_bytes.Add(labels).Increment(static_cast<double>(bytes));
}

void metrics::count_refusal(std::string_view place, error_kind kind)
{
    m_families->refusals
        .Add({{"where", std::string(place)},
              {"kind", std::string(error_response_for(kind).name)}})
        .Increment();
}

void metrics::count_ring_drop(std::string_view duty)
{
    m_families->ring_drops.Add({{"duty", std::string(duty)}}).Increment();
}

void metrics::count_retry(std::string_view reason)
{
    m_families->retries.Add({{"reason", std::string(reason)}}).Increment();
}

void metrics::count_arrival(double retry_weight)
{
    m_families->first_arrivals.Increment(1 - retry_weight);
    m_families->retry_arrivals.Increment(retry_weight);
}

void metrics::count_malformed_statements(std::uint64_t count)
{
    m_families->malformed_statements.Increment(static_cast<double>(count));
}

void metrics::count_failing_call_refusals(std::uint64_t count)
{
    m_families->failing_call_refusals.Increment(static_cast<double>(count));
}

void metrics::count_server_refusal(std::string_view load)
{
    m_families->server_refusals.Add({{"load", std::string(load)}}).Increment();
}

void metrics::count_server_response(std::string_view identified_by)
{
    m_families->server_responses
        .Add({{"identified_by", std::string(identified_by)}})
        .Increment();
}

void metrics::count_unusable_connection(std::string_view state)
{
    m_families->unusable_connections.Add({{"state", std::string(state)}})
        .Increment();
}

void metrics::count_account_limit(std::string_view outcome)
{
    m_families->account_limit.Add({{"outcome", std::string(outcome)}})
        .Increment();
}

void metrics::count_health_change(std::string_view state)
{
    m_families->health_changes.Add({{"state", std::string(state)}}).Increment();
}

void metrics::set_config_version(std::uint64_t version,
                                 std::size_t entry_errors,
                                 config_counts const& counts)
{
    m_families->config_version.Set(static_cast<double>(version));
    m_families->config_entry_errors.Set(static_cast<double>(entry_errors));
    m_families->config_routes.Set(static_cast<double>(counts.routes));
    m_families->config_open_routes.Set(static_cast<double>(counts.open_routes));
    m_families->config_accounts.Set(static_cast<double>(counts.accounts));
}

void metrics::set_members(std::size_t alive, std::size_t servers,
                          std::size_t services)
{
    m_families->members_alive.Set(static_cast<double>(alive));
    m_families->servers.Set(static_cast<double>(servers));
    m_families->services.Set(static_cast<double>(services));
}

void metrics::set_in_flight(std::size_t requests)
{
    m_families->in_flight.Set(static_cast<double>(requests));
}

std::string metrics::text() const
{
    log_counts const& lines = process_log_counts();
    set_total(m_families->log_written, lines.written);
    set_total(m_families->log_left_out, lines.left_out);
    set_total(m_families->log_dropped, lines.dropped);
    return prometheus::TextSerializer().Serialize(
        m_families->registry.Collect());
}

} // namespace gooseberrycove
