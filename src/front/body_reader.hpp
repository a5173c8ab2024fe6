#ifndef GOOSEBERRYCOVE_FRONT_BODY_READER_HPP
#define GOOSEBERRYCOVE_FRONT_BODY_READER_HPP

#include "body_budget.hpp"
#include <gooseberrycove/error.hpp>

#include <restinio/all.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

/// Reads request bodies in place of RESTinio, which collects a whole body and a
/// record for each of its chunks before it tells anybody. RESTinio takes the
/// socket and the methods of its parser from its traits: counted_socket knows
/// which connection's bytes are parsed, and the parser of body_methods passes
/// the bytes of a body to that connection.
namespace gooseberrycove::http
{

struct body_limits
{
    /// A larger body is read to its end without being kept.
    std::size_t max_kept = 0;
    /// A larger body ends the connection.
    std::size_t max_read = 0;
};

class body_connection;

/// Bodies of one listener. Used on the listener's thread only.
struct body_ledger
{
    body_limits limits;
    front::body_budget budget;
    std::unordered_map<std::uint64_t, body_connection*> readers;
    std::uint64_t last_body = 0;
    std::size_t unfinished = 0;
    /// Called for each body that is ended or refused for want of room.
    std::function<void(std::string const& client, std::uint64_t bytes,
                       bool ends_connection)>
        on_no_room;
    /// Called when an unfinished body begins while there is none.
    std::function<void()> on_first_unfinished;
};

/// Place of a whole body in the budget; the end of its life frees the place.
class held_body
{
public:
    held_body() = default;
    held_body(std::shared_ptr<body_ledger> ledger, std::uint64_t number,
              std::string bytes, error_kind refusal);
    held_body(held_body&& other) noexcept;
    held_body& operator=(held_body&& other) noexcept;
    ~held_body();

    std::string bytes;
    /// Why the body was not kept; none when it is whole.
    error_kind refusal = error_kind::none;

private:
    std::shared_ptr<body_ledger> m_ledger;
    std::uint64_t m_number = 0;
};

/// The socket of a connection and the body that it is receiving.
class body_connection
{
public:
    explicit body_connection(asio::io_context& context);
    body_connection(body_connection const&) = delete;
    body_connection& operator=(body_connection const&) = delete;
    ~body_connection();

    asio::ip::tcp::socket socket;
    /// Requests that were read and whose exchange exists.
    std::shared_ptr<std::size_t> open_exchanges =
        std::make_shared<std::size_t>(0);

    /// Returns false when the connection must be closed.
    bool begin_body(std::uint64_t announced_bytes);
    bool append(std::string_view bytes);
    /// Drops the body for another one; also closes the connection when no
    /// request of it waits for a response.
    void give_way();
    /// The body that was read to its end.
    held_body take();

private:
    bool is_reading() const { return m_number != 0; }
    void start();
    bool make_room(std::uint64_t bytes);
    void drop(error_kind reason);

    std::shared_ptr<body_ledger> m_ledger;
    std::string m_body;
    std::uint64_t m_received = 0;
    /// 0 while no body is kept.
    std::uint64_t m_number = 0;
    error_kind m_refusal = error_kind::none;
};

/// Attaches the ledger to all connections that \p context accepts from now on.
void attach_ledger(asio::io_context& context,
                   std::shared_ptr<body_ledger> const& ledger);

/// The connection whose bytes are being parsed on this thread.
extern thread_local body_connection* parsed_connection;

/// Sets parsed_connection for the life of the object.
class parsing_scope
{
public:
    explicit parsing_scope(body_connection* connection)
        : m_previous(std::exchange(parsed_connection, connection))
    {
    }
    parsing_scope(parsing_scope const&) = delete;
    parsing_scope& operator=(parsing_scope const&) = delete;
    ~parsing_scope() { parsed_connection = m_previous; }

private:
    body_connection* m_previous;
};

/// Socket type for RESTinio's traits.
class counted_socket
{
public:
    using executor_type = restinio::default_asio_executor;

    explicit counted_socket(asio::io_context& context) : m_context(&context) {}

    /// RESTinio accepts the next connection with a socket that it has moved
    /// from, which needs a new connection then.
    auto& lowest_layer()
    {
        if (!m_connection)
            m_connection = std::make_shared<body_connection>(*m_context);
        return m_connection->socket;
    }

    auto const& lowest_layer() const { return m_connection->socket; }
    executor_type get_executor() { return m_context->get_executor(); }
    auto remote_endpoint() const
    {
        return m_connection->socket.remote_endpoint();
    }
    bool is_open() const { return m_connection->socket.is_open(); }

    template <class... Arguments>
    void cancel(Arguments&&... arguments)
    {
        m_connection->socket.cancel(std::forward<Arguments>(arguments)...);
    }

    template <class... Arguments>
    void shutdown(Arguments&&... arguments)
    {
        m_connection->socket.shutdown(std::forward<Arguments>(arguments)...);
    }

    template <class... Arguments>
    void close(Arguments&&... arguments)
    {
        m_connection->socket.close(std::forward<Arguments>(arguments)...);
    }

    template <class Buffers, class Handler>
    void async_read_some(Buffers const& buffers, Handler&& handler)
    {
        m_connection->socket.async_read_some(
            buffers, in_scope(std::forward<Handler>(handler)));
    }

    template <class Buffers, class Handler>
    void async_write_some(Buffers const& buffers, Handler&& handler)
    {
        m_connection->socket.async_write_some(
            buffers, in_scope(std::forward<Handler>(handler)));
    }

private:
    /// Both kinds of handlers may parse: one that has written a response goes
    /// on with the bytes of the next request.
    template <class Handler>
    auto in_scope(Handler&& handler)
    {
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        return asio::bind_executor(
            executor,
            [connection = m_connection,
             target = std::decay_t<Handler>(std::forward<Handler>(handler))](
                asio::error_code const& failure, std::size_t count) mutable
            {
                parsing_scope const scope(connection.get());
                std::move(target)(failure, count);
            });
    }

    asio::io_context* m_context;
    std::shared_ptr<body_connection> m_connection;
};

/// Found by RESTinio through the type of the socket.
template <class Connection, class Start, class Failed>
void prepare_connection_and_start_read(counted_socket&, Connection&,
                                       Start start, Failed)
{
    start();
}

inline restinio::impl::tls_socket_t*
make_tls_socket_pointer_for_state_listener(counted_socket&) noexcept
{
    return nullptr;
}

/// Selects the parser callbacks below.
struct body_methods : restinio::default_http_methods_t
{
};

} // namespace gooseberrycove::http

namespace restinio::impl
{

/// Parser callbacks that pass the body on and keep no record of its chunks.
template <>
inline http_parser_settings
create_parser_settings<gooseberrycove::http::body_methods>() noexcept
{
    using gooseberrycove::http::parsed_connection;
    http_parser_settings settings =
        create_parser_settings<default_http_methods_t>();
    settings.on_headers_complete = [](http_parser* parser) -> int
    {
        auto* const context = static_cast<http_parser_ctx_t*>(parser->data);
        context->m_leading_headers_completed = true;
        bool const is_announced = parser->content_length != ULLONG_MAX;
        return parsed_connection &&
                       parsed_connection->begin_body(
                           is_announced ? parser->content_length : 0)
                   ? 0
                   : -1;
    };
    settings.on_body = [](http_parser*, char const* at, std::size_t size) -> int
    {
        return parsed_connection && parsed_connection->append({at, size}) ? 0
                                                                          : -1;
    };
    settings.on_chunk_header = [](http_parser*) -> int { return 0; };
    return settings;
}

} // namespace restinio::impl

#endif
