#ifndef GOOSEBERRYCOVE_HTTP_HPP
#define GOOSEBERRYCOVE_HTTP_HPP

#include <gooseberrycove/error.hpp>
#include <gooseberrycove/header.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::http
{

/// Default of listener_options::max_pipelined.
inline constexpr std::size_t default_max_pipelined = 8;

struct response
{
    int status = 200;
    std::string content_type;
    std::string body;
    std::vector<header_field> headers;
    /// Closes the connection after this response.
    bool close_connection = false;
};

/// One request and its response. Used on the listener's thread only.
class exchange
{
public:
    virtual ~exchange() = default;

    virtual std::string_view method() const = 0;
    /// Path and query as sent.
    virtual std::string_view target() const = 0;
    /// Empty when the header is absent.
    virtual std::string_view header(std::string_view name) const = 0;
    /// All headers in the order of the request.
    virtual std::vector<header_field> headers() const = 0;
    virtual std::string_view body() const = 0;
    /// Returns the body; body() may be empty from then on.
    virtual std::string take_body() { return std::string(body()); }
    /// Why the body was not kept: too_large or overloaded. None when body() is
    /// whole.
    virtual error_kind body_refusal() const { return error_kind::none; }
    /// Number of the connection, as passed to handlers::on_closed.
    virtual std::uint64_t connection() const = 0;

    /// Sends the response; calls after the first are ignored. \p on_written is
    /// called when the last byte is written, or when it never will be.
    virtual void respond(response const& reply,
                         std::function<void()> on_written) = 0;

    void respond(response const& reply) { respond(reply, {}); }
};

using exchange_ptr = std::shared_ptr<exchange>;

struct handlers
{
    std::function<void(exchange_ptr)> on_request;
    /// Called when a connection ended, with or without open requests.
    std::function<void(std::uint64_t connection)> on_closed;
    /// Called when listener_options::max_all_bodies has no room for a body, of
    /// which \p bytes were read. Its request is passed on with the refusal
    /// `overloaded` once it is read, unless the connection ends.
    std::function<void(std::string const& client, std::uint64_t bytes,
                       bool ends_connection)>
        on_no_room;
};

struct listener_options
{
    /// `ip:port`
    std::string address;
    /// Limit of a request body in bytes; a larger body ends the connection.
    std::size_t max_body = 0;
    /// Requests of one connection that are read and have no complete response.
    /// Further ones stay unread until a response is written.
    std::size_t max_pipelined = default_max_pipelined;
    /// A larger body is read without being kept; see exchange::body_refusal().
    /// 0: max_body.
    std::size_t max_kept_body = 0;
    /// Limit of memory for all bodies until their responses; 0 for none.
    std::size_t max_all_bodies = 0;
    /// Open connections at which accepting pauses; 0 for no limit.
    std::size_t max_connections = 0;
};

/// HTTP server on one thread's io_context.
class listener
{
public:
    /// \throws error of kind internal when the address cannot be bound
    listener(asio::io_context& context, listener_options const& options,
             handlers callbacks);
    ~listener();

    /// Stops accepting connections. Open requests can still be responded to.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Token of the value of an `Authorization: Bearer` header; empty for other
/// values.
std::string_view bearer_token(std::string_view authorization);

} // namespace gooseberrycove::http

#endif
