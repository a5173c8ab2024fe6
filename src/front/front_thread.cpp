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

/// A body that is larger than the limit by up to this factor gets a proper
/// refusal; the connection of a larger one is closed.
constexpr std::size_t refused_body_factor = 8;
/// The same above a limit of many MiB, where whole bodies cost memory.
constexpr std::size_t most_refused_body = std::size_t{8} << 20;

/// Time after the last answer for its bytes to leave.
constexpr std::chrono::milliseconds flush_time{300};

struct open_request
{
    http::exchange_ptr exchange;
    std::string caller_id;
};

/// Bytes after which a body is no longer read.
std::size_t hard_body_limit(std::size_t max_body)
{
    return max_body +
           std::min((refused_body_factor - 1) * max_body, most_refused_body);
}

/// Open requests and the sockets behind them.
class front_loop
{
public:
    front_loop(inbox& messages, wiring const& to)
        : m_messages(messages), m_to(to), m_generator(std::random_device{}())
    {
    }

    void run();

private:
    void on_request(http::exchange_ptr exchange);
    void on_closed(std::uint64_t connection);
    void on_answer(caller_response const& what);
    void drain_inbox();
    void refuse(http::exchange& exchange, std::string_view caller_id,
                error_kind kind, char const* why);

    inbox& m_messages;
    wiring const& m_to;
    asio::io_context m_context;
    asio::steady_timer m_flush_timer{m_context};
    std::optional<http::listener> m_listener;
    std::mt19937_64 m_generator;
    std::unordered_map<request_id, open_request, request_id_hash> m_open;
    std::unordered_multimap<std::uint64_t, request_id> m_by_connection;
    std::vector<message> m_batch;
    bool m_draining = false;
    bool m_stopped = false;
};

void front_loop::run()
{
    http::handlers handlers;
    handlers.on_request = [this](http::exchange_ptr exchange)
    { on_request(std::move(exchange)); };
    handlers.on_closed = [this](std::uint64_t connection)
    { on_closed(connection); };
    m_listener.emplace(m_context, m_to.address,
                       hard_body_limit(m_to.requests.max_body),
                       std::move(handlers));
    m_messages.set_waker([this]
                         { asio::post(m_context, [this] { drain_inbox(); }); });
    asio::post(m_context, [this] { drain_inbox(); });
    m_context.run();
}

void front_loop::on_request(http::exchange_ptr exchange)
{
    routing::caller_request request;
    try
    {
        request =
            read_request(*exchange, m_to.requests, m_generator, clock_now());
    }
    catch (error const& fault)
    {
        return refuse(*exchange,
                      exchange->header(m_to.requests.names.request_id),
                      fault.kind(), fault.what());
    }
    request_id const id = request.id;
    std::string const caller_id = request.caller_id;
    if (m_stopped)
        return refuse(*exchange, caller_id, error_kind::draining,
                      "shutting down");
    routing::message message(std::move(request));
    bool const accepted =
        m_open.size() < max_in_flight &&
        m_to.routing->try_push(std::move(message), response_reserve);
    if (!accepted)
        return refuse(*exchange, caller_id, error_kind::overloaded,
                      "too many requests in flight at this daemon");
    m_by_connection.emplace(exchange->connection(), id);
    m_open.emplace(id, open_request{std::move(exchange), caller_id});
    m_to.in_flight->store(m_open.size());
    m_to.counts->set_in_flight(m_open.size());
}

void front_loop::refuse(http::exchange& exchange, std::string_view caller_id,
                        error_kind kind, char const* why)
{
    m_to.counts->count_refusal("front", kind);
    log_info(event_line(event::request_refused)
                 .field("request", caller_id)
                 .field("kind", error_response_for(kind).name)
                 .field("detail", why));
    http::response out = to_response(refusal(caller_id, kind, why), caller_id,
                                     m_to.requests.names);
    out.close_connection = m_draining;
    exchange.respond(out);
}

void front_loop::on_closed(std::uint64_t connection)
{
    auto const [first, last] = m_by_connection.equal_range(connection);
    for (auto item = first; item != last; ++item)
    {
        if (m_open.erase(item->second) > 0)
            m_to.routing->try_push(routing::caller_disconnected{item->second});
    }
    m_by_connection.erase(first, last);
    m_to.in_flight->store(m_open.size());
}

void front_loop::on_answer(caller_response const& what)
{
    auto const found = m_open.find(what.id);
    if (found == m_open.end())
        return;
    open_request const asked = std::move(found->second);
    http::exchange_ptr const& exchange = asked.exchange;
    m_open.erase(found);
    auto const [first, last] =
        m_by_connection.equal_range(exchange->connection());
    for (auto item = first; item != last; ++item)
    {
        if (item->second != what.id)
            continue;
        m_by_connection.erase(item);
        break;
    }
    http::response out =
        to_response(what, asked.caller_id, m_to.requests.names);
    out.close_connection = m_draining;
    exchange->respond(out);
    m_to.in_flight->store(m_open.size());
    m_to.counts->set_in_flight(m_open.size());
}

void front_loop::drain_inbox()
{
    bool const open = m_messages.pop_all(m_batch);
    for (message const& item : m_batch)
    {
        if (auto const* what = std::get_if<caller_response>(&item))
            on_answer(*what);
        if (std::holds_alternative<drain>(item))
            m_draining = true;
        if (!std::holds_alternative<stop_accepting>(item) || m_stopped)
            continue;
        m_draining = true;
        m_stopped = true;
        m_listener->stop();
    }
    m_batch.clear();
    if (open)
        return;
    m_flush_timer.expires_after(flush_time);
    m_flush_timer.async_wait([this](asio::error_code) { m_context.stop(); });
}

} // namespace

void run(inbox& messages, wiring const& to)
{
    front_loop(messages, to).run();
}

} // namespace gooseberrycove::front
