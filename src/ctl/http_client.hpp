#ifndef GOOSEBERRYCOVE_CTL_HTTP_CLIENT_HPP
#define GOOSEBERRYCOVE_CTL_HTTP_CLIENT_HPP

#include "ctl/command.hpp"
#include "ctl/render.hpp"

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gooseberrycove::ctl
{

/// No complete response arrived.
class unreachable_error : public std::runtime_error
{
public:
    unreachable_error(std::string const& reason, bool was_sent)
        : std::runtime_error(reason), may_have_arrived(was_sent)
    {
    }

    /// Whether the daemon may have received the request.
    bool may_have_arrived = false;
};

/// Sends one request over a new connection.
/// \param address  `ip:port` of a daemon
/// \param key      administration key; empty sends no Authorization header
/// \throws unreachable_error when no complete response arrives within the
/// timeout
http_response send_request(std::string_view address, std::string_view key,
                           http_request const& request,
                           std::chrono::seconds timeout);

} // namespace gooseberrycove::ctl

#endif
