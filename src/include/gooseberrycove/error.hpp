#ifndef GOOSEBERRYCOVE_ERROR_HPP
#define GOOSEBERRYCOVE_ERROR_HPP

#include <gooseberrycove/types.hpp>

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gooseberrycove
{

/// What is known about the execution of a request at a backend server.
enum class outcome
{
    not_run, ///< certainly not executed
    ran,     ///< executed, and the response is the backend server's own
    unknown  ///< may or may not have been executed
};

std::string_view to_string(outcome value);

/// All error kinds. The table in error.cpp has the HTTP status, outcome and
/// retry hint of each kind.
enum class error_kind
{
    none,
    bad_request,
    unauthenticated,
    wrong_token,
    forbidden,
    no_route,
    in_progress,
    stale_version,
    too_large,
    key_reused,
    invalid_patch,
    rate_limited,
    cancelled,
    internal,
    server_failed,
    answer_cut,
    overloaded,
    no_server,
    deadline_unmet,
    draining,
    store_unavailable,
    timed_out,
    outcome_unknown,
    wrong_protocol,
    no_configuration
};

/// HTTP response to a caller for one error kind.
struct error_response
{
    error_kind kind = error_kind::none;
    std::string_view name;
    int status = 0;
    outcome run_outcome = outcome::unknown;
    /// Value of the Retry-After header in seconds; 0 omits the header.
    int retry_after_s = 0;
    std::string_view title;
};

/// The response for \p kind; that for `internal` when it is out of range.
error_response const& error_response_for(error_kind kind);

/// All responses, in the order of error_kind.
std::span<error_response const> all_error_responses();

/// Shortest time that a Retry-After header tells.
inline constexpr duration min_retry_after = std::chrono::milliseconds(100);

/// Value of a Retry-After header: seconds, rounded up to one decimal, without a
/// fraction for full seconds.
std::string retry_after_text(duration wait);

/// RFC 9457 problem document with the members type, title, status, detail,
/// kind, outcome and request_id.
std::string problem_document(error_kind kind, std::string_view detail,
                             std::string_view request);

/// Exception that carries an error kind across a call boundary.
class error : public std::runtime_error
{
public:
    error(error_kind kind, std::string const& detail)
        : std::runtime_error(detail), m_kind(kind)
    {
    }

    error_kind kind() const noexcept { return m_kind; }

private:
    error_kind m_kind;
};

} // namespace gooseberrycove

#endif
