#ifndef GOOSEBERRYCOVE_LOAD_STREAM_HPP
#define GOOSEBERRYCOVE_LOAD_STREAM_HPP

#include <gooseberrycove/types.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::load
{

/// Requests that differ only in ids and bodies and arrive as a Poisson process.
struct stream
{
    std::string name;
    /// Mean arrivals per second.
    double rate = 1;
    std::string method;
    /// Path and query.
    std::string path;
    /// When false, each work item gets its own Idempotency-Key.
    bool repeatable = true;
    /// Sent as X-Deadline-Ms; zero sends no deadline.
    duration deadline{0};
};

/// Reads `name:rate:METHOD:/path:repeatable:deadline_ms` parts separated by
/// blanks, where repeatable is true or false.
/// \throws settings_error that names the invalid part and what is allowed
std::vector<stream> parse_streams(std::string_view text);

} // namespace gooseberrycove::load

#endif
