#ifndef GOOSEBERRYCOVE_ADMISSION_SERVER_LIMIT_HPP
#define GOOSEBERRYCOVE_ADMISSION_SERVER_LIMIT_HPP

#include <gooseberrycove/dispatch.hpp>
#include <gooseberrycove/work.hpp>

namespace gooseberrycove::admission
{

/// Token bucket for the rate limit that a backend server names in its answers.
/// Only the home sends to the server, so one bucket keeps the limit for the
/// fleet.
struct server_limit
{
    server_statement statement;
    /// When an answer last named the limit, or a daemon told of it.
    time_point named_at;
    /// Requests that may start at `refilled_at`.
    double tokens = 0;
    time_point refilled_at;
};

/// Applies the statement of an answer. An answer without a limit ends it,
/// unless its request began before the limit was last named: answers may arrive
/// in another order. A malformed statement changes nothing. Returns whether the
/// limit or the leaving has changed.
/// \param began  when the request was sent to the server
bool on_answer(server_limit& limit, dispatch::answer_statement const& answer,
               std::uint64_t incarnation, time_point began, time_point now);

/// Takes over what another daemon knows of the same start of the server. A
/// limit is taken over only when this home has not learned one itself. Returns
/// whether the limit or the leaving has changed.
bool on_reported_statement(server_limit& limit,
                           server_statement const& reported,
                           std::uint64_t incarnation, time_point now);

bool has_rate_limit(server_limit const& limit);

/// Time until a request may start that has \p queued requests before it; 0
/// without a limit.
duration time_to_start(server_limit const& limit, std::uint32_t queued,
                       time_point now);

/// Counts a request that is sent to the server, of whatever kind.
void count_start(server_limit& limit, time_point now);

} // namespace gooseberrycove::admission

#endif
