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

/// Bodies between max_body and this get a proper refusal; the connection of a
/// larger one is closed.
constexpr std::size_t hard_body_limit = 8 * max_body;

/// Time after the last answer for its bytes to leave.
constexpr std::chrono::milliseconds flush_time{300};

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
    void on_answer(answer const& what);
    void drain_inbox();
    void refuse(http::exchange& exchange, request_id id, error_kind kind,
                char const* why);

    inbox& m_messages;
    wiring const& m_to;
    asio::io_context m_context;
    asio::steady_timer m_flush_timer{m_context};
    std::optional<http::listener> m_listener;
    std::mt19937_64 m_generator;
    std::unordered_map<request_id, http::exchange_ptr, request_id_hash> m_open;
    std::unordered_multimap<std::uint64_t, request_id> m_by_connection;
    std::vector<message> m_batch;
    bool m_draining = false;
};

void front_loop::run()
{
    http::handlers handlers;
    handlers.on_request = [this](http::exchange_ptr exchange)
    { on_request(std::move(exchange)); };
    handlers.on_closed = [this](std::uint64_t connection)
    { on_closed(connection); };
    m_listener.emplace(m_context, m_to.address, hard_body_limit,
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
        request = read_request(*exchange, m_generator, clock_now());
    }
    catch (error const& fault)
    {
        return refuse(*exchange, {}, fault.kind(), fault.what());
    }
    request_id const id = request.id;
    if (m_draining)
        return refuse(*exchange, id, error_kind::draining, "shutting down");
    if (m_open.contains(id))
        return refuse(*exchange, id, error_kind::bad_request,
                      "X-Request-Id: a request with this id is in flight");
    routing::message message(std::move(request));
    bool const accepted =
        m_open.size() < max_in_flight &&
        m_to.routing->try_push(std::move(message), answer_reserve);
    if (!accepted)
        return refuse(*exchange, id, error_kind::overloaded,
                      "too many requests in flight at this daemon");
    m_by_connection.emplace(exchange->connection(), id);
    m_open.emplace(id, std::move(exchange));
    m_to.in_flight->store(m_open.size());
    m_to.counts->set_in_flight(m_open.size());
}

void front_loop::refuse(http::exchange& exchange, request_id id,
                        error_kind kind, char const* why)
{
    m_to.counts->count_refusal("front", kind);
    log_info(event_line(event::request_refused)
                 .field("request", to_string(id))
                 .field("kind", answer_of(kind).name)
                 .field("detail", why));
    http::response out = to_response(refusal(id, kind, why));
    out.close = m_draining;
    exchange.respond(out);
}

void front_loop::on_closed(std::uint64_t connection)
{
    auto const [first, last] = m_by_connection.equal_range(connection);
    for (auto item = first; item != last; ++item)
    {
        if (m_open.erase(item->second) > 0)
            m_to.routing->try_push(routing::caller_gone{item->second});
    }
    m_by_connection.erase(first, last);
    m_to.in_flight->store(m_open.size());
}

void front_loop::on_answer(answer const& what)
{
    auto const found = m_open.find(what.id);
    if (found == m_open.end())
        return;
    http::exchange_ptr const exchange = std::move(found->second);
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
    http::response out = to_response(what);
    out.close = m_draining;
    exchange->respond(out);
    m_to.in_flight->store(m_open.size());
    m_to.counts->set_in_flight(m_open.size());
}

void front_loop::drain_inbox()
{
    bool const open = m_messages.pop_all(m_batch);
    for (message const& item : m_batch)
    {
        if (auto const* what = std::get_if<answer>(&item))
            on_answer(*what);
        if (!std::holds_alternative<drain>(item) || m_draining)
            continue;
        m_draining = true;
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
