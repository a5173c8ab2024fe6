#ifndef GOOSEBERRYCOVE_LOAD_TRANSFER_HPP
#define GOOSEBERRYCOVE_LOAD_TRANSFER_HPP

#include <gooseberrycove/ring.hpp>

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>

namespace gooseberrycove::load
{

/// One HTTP request to send.
struct transfer
{
    std::uint64_t ticket = 0;
    /// `ip:port` of a daemon.
    std::string target;
    std::string method;
    std::string path;
    std::string request_id;
    std::string idempotency_key;
    std::string body;
    duration deadline{0};
    duration timeout{30'000'000};
};

enum class transfer_end : std::uint8_t
{
    complete,  ///< the whole response arrived
    not_sent,  ///< no byte of the request was sent
    truncated, ///< the connection ended inside the response
    lost,      ///< the request was sent, and the connection ended before the
               ///< response
    timed_out
};

struct transfer_result
{
    std::uint64_t ticket = 0;
    transfer_end end = transfer_end::lost;
    int status = 0;
    std::string outcome;
    std::string request_id;
    std::string body;
};

/// Rings between the planning and the transfer duty. Both have a slot for each
/// transfer that may be open, so a result can always be pushed.
inline constexpr std::size_t max_open_transfers = 16384;
using transfer_inbox = ring<transfer>;
using result_inbox = ring<transfer_result>;

/// Sends transfers until \p requests is closed and every transfer has ended.
/// \param authorization  value of the Authorization header
void run_transfers(transfer_inbox& requests, result_inbox& results,
                   std::string_view authorization);

} // namespace gooseberrycove::load

#endif
