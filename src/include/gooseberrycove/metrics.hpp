#ifndef GOOSEBERRYCOVE_METRICS_HPP
#define GOOSEBERRYCOVE_METRICS_HPP

#include <gooseberrycove/error.hpp>
#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace gooseberrycove
{

enum class direction
{
    in,
    out
};

/// Entries of the configuration in force.
struct config_counts
{
    std::uint64_t services = 0;
    std::uint64_t routes = 0;
    /// Routes whose callers need no account.
    std::uint64_t open_routes = 0;
    /// Routes that cannot be used and refuse their requests.
    std::uint64_t refusing_routes = 0;
    std::uint64_t accounts = 0;
};

/// Metrics of one process in the Prometheus text format. Thread-safe. Labels
/// have bounded sets of values: none is per account or per request.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Counts one response to a caller.
    void count_request(std::string_view priority, outcome result, int status);
    /// Time that the daemons added to the backend server's response time.
    void observe_added_latency(duration added);
    /// Bytes between daemons; \p kind is "control" or "work".
    /// \param scope  "same" or "other" data centre; no label when empty
    void count_peer_bytes(direction flow, std::string_view kind,
                          std::string_view scope, std::size_t bytes);
    /// Counts a refused request of a caller or frame of a peer.
    void count_refusal(std::string_view place, error_kind kind);
    /// Counts a message dropped because the ring of \p duty was full.
    void count_ring_drop(std::string_view duty);
    void count_retry(std::string_view reason);
    /// Counts an attempt that was sent to a backend server homed here.
    /// \param retry_weight  see work_request::retry_weight
    void count_arrival(double retry_weight);
    /// Counts answers of backend servers whose limit, leaving or load could not
    /// be read.
    void count_malformed_statements(std::uint64_t count);
    /// Counts requests refused because the calls of such runs fail.
    void count_failing_call_refusals(std::uint64_t count);
    /// Counts a request that a backend server refused.
    /// \param load  free_slots, full or unknown, as the server stated
    void count_server_refusal(std::string_view load);
    /// Counts a response of a backend server.
    /// \param identified_by  what shows that it belongs to its request, or why
    ///                       nothing does
    void count_server_response(std::string_view identified_by);
    /// Counts a connection that was found unusable for a request.
    void count_unusable_connection(std::string_view state);
    /// Counts a server homed here that entered \p state.
    void count_health_change(std::string_view state);
    /// \param entry_errors  errors of entries of this version that cannot be
    ///                      used
    void set_config_version(std::uint64_t version, std::size_t entry_errors,
                            config_counts const& counts);
    void set_members(std::size_t alive, std::size_t servers,
                     std::size_t services);
    /// Counts a request of an account with a rate by how its token was decided.
    void count_account_limit(std::string_view outcome);
    void set_in_flight(std::size_t requests);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace gooseberrycove

#endif
