#include "front_thread.hpp"

#include "caller_request.hpp"
#include <gooseberrycove/event.hpp>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <optional>
#include <unordered_map>

namespace gooseberrycove::front
{

namespace
{

/// A request whose body is larger than the limit, up to this many times the
/// limit, is refused with a response. The connection of a request with a larger
/// body is closed.
constexpr std::size_t refused_body_factor = 8;
/// Maximum number of bytes by which the body of a refused request may exceed
/// the limit. The factor alone would take too much memory when the limit is
/// many MiB.
constexpr std::size_t max_excess_body_bytes = std::size_t{8} << 20;

/// Time for the last responses to be sent before the io_context is stopped.
constexpr std::chrono::milliseconds flush_wait{300};

struct open_request
{
    http::exchange_ptr exchange;
    std::string caller_id;
};

/// Size in bytes above which a body is not read and its connection is closed.
std::size_t hard_body_limit(std::size_t max_body_bytes)
{
    return max_body_bytes + std::min((refused_body_factor - 1) * max_body_bytes,
                                     max_excess_body_bytes);
}

/// Listens for callers and keeps their requests that have no response yet.
class front_loop
{
public:
    front_loop(inbox& messages, wiring const& setup)
        : m_messages(messages), m_setup(setup),
          m_generator(std::random_device{}())
    {
    }

    void run();

private:
    void on_request(http::exchange_ptr exchange);
    void on_closed(std::uint64_t connection);
    void on_caller_response(caller_response const& response);
    void handle_messages();
    void refuse(http::exchange& exchange, std::string_view caller_id,
                error_kind kind, char const* reason);

    inbox& m_messages;
    wiring const& m_setup;
    asio::io_context m_context;
    asio::steady_timer m_flush_timer{m_context};
    std::optional<http::listener> m_listener;
    std::mt19937_64 m_generator;
    std::unordered_map<request_id, open_request, request_id_hash>
        m_open_requests;
    std::unordered_multimap<std::uint64_t, request_id> m_requests_by_connection;
    std::vector<message> m_batch;
    bool m_is_draining = false;
    bool m_has_stopped_accepting = false;
};

void front_loop::run()
{
    http::handlers handlers;
    handlers.on_request = [this](http::exchange_ptr exchange)
    { on_request(std::move(exchange)); };
    handlers.on_closed = [this](std::uint64_t connection)
    { on_closed(connection); };
    m_listener.emplace(m_context, m_setup.address,
                       hard_body_limit(m_setup.requests.max_body_bytes),
                       std::move(handlers));
    m_messages.set_waker(
        [this] { asio::post(m_context, [this] { handle_messages(); }); });
    asio::post(m_context, [this] { handle_messages(); });
    m_context.run();
}

void front_loop::on_request(http::exchange_ptr exchange)
{
    routing::caller_request request;
    try
    {
        request =
            read_request(*exchange, m_setup.requests, m_generator, clock_now());
    }
    catch (error const& failure)
    {
        return refuse(*exchange,
                      exchange->header(m_setup.requests.names.request_id),
                      failure.kind(), failure.what());
    }
    request_id const id = request.id;
    std::string const caller_id = request.caller_id;
    if (m_has_stopped_accepting)
        return refuse(*exchange, caller_id, error_kind::draining,
                      "shutting down");
    routing::message message(std::move(request));
    bool const accepted =
        m_open_requests.size() < max_in_flight &&
        m_setup.routing->try_push(std::move(message), response_reserve);
    if (!accepted)
        return refuse(*exchange, caller_id, error_kind::overloaded,
                      "too many requests in flight at this daemon");
    m_requests_by_connection.emplace(exchange->connection(), id);
    m_open_requests.emplace(id, open_request{std::move(exchange), caller_id});
    m_setup.in_flight->store(m_open_requests.size());
    m_setup.counts->set_in_flight(m_open_requests.size());
}

void front_loop::refuse(http::exchange& exchange, std::string_view caller_id,
                        error_kind kind, char const* reason)
{
    m_setup.counts->count_refusal("front", kind);
    log_info(event_line(event::request_refused)
                 .field("request", caller_id)
                 .field("kind", error_response_for(kind).name)
                 .field("detail", reason));
    http::response encoded = to_response(make_refusal(caller_id, kind, reason),
                                         caller_id, m_setup.requests.names);
    encoded.close_connection = m_is_draining;
    exchange.respond(encoded);
}

void front_loop::on_closed(std::uint64_t connection)
{
    auto const [first, last] = m_requests_by_connection.equal_range(connection);
    for (auto entry = first; entry != last; ++entry)
    {
        if (m_open_requests.erase(entry->second) > 0)
            m_setup.routing->try_push(
                routing::caller_disconnected{entry->second});
    }
    m_requests_by_connection.erase(first, last);
    m_setup.in_flight->store(m_open_requests.size());
}

void front_loop::on_caller_response(caller_response const& response)
{
    auto const found = m_open_requests.find(response.id);
    if (found == m_open_requests.end())
        return;
    open_request const request = std::move(found->second);
    http::exchange_ptr const& exchange = request.exchange;
    m_open_requests.erase(found);
    auto const [first, last] =
        m_requests_by_connection.equal_range(exchange->connection());
    for (auto entry = first; entry != last; ++entry)
    {
        if (entry->second != response.id)
            continue;
        m_requests_by_connection.erase(entry);
        break;
    }
    http::response encoded =
        to_response(response, request.caller_id, m_setup.requests.names);
    encoded.close_connection = m_is_draining;
    exchange->respond(encoded);
    m_setup.in_flight->store(m_open_requests.size());
    m_setup.counts->set_in_flight(m_open_requests.size());
}

void front_loop::handle_messages()
{
    bool const is_open = m_messages.pop_all(m_batch);
    for (message const& item : m_batch)
    {
        if (auto const* response = std::get_if<caller_response>(&item))
            on_caller_response(*response);
        if (std::holds_alternative<drain>(item))
            m_is_draining = true;
        if (!std::holds_alternative<stop_accepting>(item) ||
            m_has_stopped_accepting)
            continue;
        m_is_draining = true;
        m_has_stopped_accepting = true;
        m_listener->stop();
    }
    m_batch.clear();
    if (is_open)
        return;
    m_flush_timer.expires_after(flush_wait);
    m_flush_timer.async_wait([this](asio::error_code) { m_context.stop(); });
}

} // namespace

void run(inbox& messages, wiring const& setup)
{
    front_loop(messages, setup).run();
}

} // namespace gooseberrycove::front
