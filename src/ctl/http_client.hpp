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

/// No complete answer arrived.
class unreachable : public std::runtime_error
{
public:
    unreachable(std::string const& why, bool was_sent)
        : std::runtime_error(why), sent(was_sent)
    {
    }

    /// The daemon may have got the request.
    bool sent = false;
};

/// Sends one request over a new connection. \throws unreachable
http_answer send_request(std::string_view address, std::string_view key,
                         http_request const& request,
                         std::chrono::seconds timeout);

} // namespace gooseberrycove::ctl

#endif
