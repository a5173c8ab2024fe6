#include "front_thread.hpp"

#include "caller_request.hpp"
#include "pipeline.hpp"
#include <gooseberrycove/event.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

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

/// Time for the last responses to be sent after the ring is closed.
constexpr std::chrono::milliseconds flush_wait{300};

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

    front_loop(front_loop const&) = delete;
    front_loop& operator=(front_loop const&) = delete;
    ~front_loop();

    void run();

private:
    void on_request(http::exchange_ptr exchange);
    void on_closed(std::uint64_t connection);
    void on_written(std::uint64_t connection);
    void on_no_room(std::string const& client, std::uint64_t bytes,
                    bool ends_connection);
    void on_caller_response(caller_response const& response);
    void on_give_up();
    void handle_messages();
    /// Refuses a request before it is passed on.
    void refuse(std::uint64_t connection, pipelined_request& request,
                error_kind kind, char const* reason);
    void respond(std::uint64_t connection, pipelined_request& request,
                 caller_response const& response);
    void publish_in_flight();

    inbox& m_messages;
    wiring const& m_setup;
    // The members down to the io_context are used by on_written(), which is
    // also called when the io_context is destroyed.
    std::unordered_map<std::uint64_t, pipeline> m_pipelines;
    /// Sum of count_unanswered() over all connections.
    std::size_t m_unanswered = 0;
    asio::io_context m_context;
    /// Keeps the loop running without callers until the ring is closed.
    asio::executor_work_guard<asio::io_context::executor_type> m_work{
        m_context.get_executor()};
    std::optional<http::listener> m_listener;
    std::mt19937_64 m_generator;
    /// Connections of the requests that have been passed on.
    std::unordered_map<request_id, std::uint64_t, request_id_hash>
        m_open_requests;
    std::vector<message> m_batch;
    bool m_is_draining = false;
    bool m_has_stopped_accepting = false;
    waker_scope m_waker;
};

front_loop::~front_loop()
{
    // The requests refer to connections, which need the io_context.
    auto const released = std::exchange(m_pipelines, {});
}

void front_loop::run()
{
    http::handlers handlers;
    handlers.on_request = [this](http::exchange_ptr exchange)
    { on_request(std::move(exchange)); };
    handlers.on_closed = [this](std::uint64_t connection)
    { on_closed(connection); };
    handlers.on_no_room = [this](std::string const& client, std::uint64_t bytes,
                                 bool ends_connection)
    { on_no_room(client, bytes, ends_connection); };
    http::listener_options const options{
        m_setup.address,
        hard_body_limit(m_setup.requests.max_body_bytes),
        m_setup.max_pipelined,
        m_setup.requests.max_body_bytes,
        m_setup.max_all_bodies,
        m_setup.max_connections};
    m_listener.emplace(m_context, options, std::move(handlers));
    m_waker = m_messages.set_waker(
        [this] { asio::post(m_context, [this] { handle_messages(); }); });
    asio::post(m_context, [this] { handle_messages(); });
    // Returns when handle_messages() finds the ring closed.
    m_context.run();
    m_context.restart();
    m_context.run_for(flush_wait);
}

void front_loop::on_request(http::exchange_ptr exchange)
{
    std::uint64_t const connection = exchange->connection();
    routing::caller_request request;
    error_kind failed = error_kind::none;
    std::string reason;
    try
    {
        request =
            read_request(*exchange, m_setup.requests, m_generator, clock_now());
    }
    catch (error const& failure)
    {
        failed = failure.kind();
        reason = failure.what();
        request.id = {m_generator(), m_generator()};
        request.caller_id = exchange->header(m_setup.requests.names.request_id);
    }
    request_id const id = request.id;
    pipeline& state = m_pipelines[connection];
    if (!add_request(state, {id, request.caller_id, std::move(exchange), {}}))
        return;
    pipelined_request& added = state.requests.back();
    ++m_unanswered;
    publish_in_flight();
    if (failed != error_kind::none)
        return refuse(connection, added, failed, reason.c_str());
    if (m_has_stopped_accepting)
        return refuse(connection, added, error_kind::draining, "shutting down");
    routing::message message(std::move(request));
    bool const accepted =
        m_open_requests.size() < m_setup.max_in_flight &&
        m_setup.routing->try_push(std::move(message), response_reserve);
    if (!accepted)
        return refuse(connection, added, error_kind::overloaded,
                      "too many requests in flight at this daemon");
    m_open_requests.emplace(id, connection);
}

void front_loop::refuse(std::uint64_t connection, pipelined_request& request,
                        error_kind kind, char const* reason)
{
    m_setup.counts->count_refusal("front", kind);
    log_info(event_line(event::request_refused)
                 .field("request", request.caller_id)
                 .field("kind", error_response_for(kind).name)
                 .field("detail", reason));
    respond(connection, request, make_refusal(request.caller_id, kind, reason));
}

void front_loop::respond(std::uint64_t connection, pipelined_request& request,
                         caller_response const& response)
{
    std::vector<delivery> due;
    add_response(
        m_pipelines[connection], request,
        to_response(response, request.caller_id, m_setup.requests.names),
        m_is_draining, due);
    for (delivery const& item : due)
        item.exchange->respond(item.reply,
                               [this, connection] { on_written(connection); });
}

void front_loop::publish_in_flight()
{
    m_setup.in_flight->store(m_unanswered);
    m_setup.counts->set_in_flight(m_unanswered);
}

void front_loop::on_written(std::uint64_t connection)
{
    auto const found = m_pipelines.find(connection);
    if (found == m_pipelines.end() || found->second.unwritten == 0)
        return;
    --found->second.unwritten;
    --m_unanswered;
    publish_in_flight();
}

void front_loop::on_no_room(std::string const& client, std::uint64_t bytes,
                            bool ends_connection)
{
    // A request that is read to its end is counted when it is refused.
    if (ends_connection)
        m_setup.counts->count_refusal("body", error_kind::overloaded);
    log_info(event_line(event::body_without_room)
                 .field("client", client)
                 .field("bytes", bytes)
                 .field("connection", ends_connection ? "ended" : "kept"));
}

void front_loop::on_closed(std::uint64_t connection)
{
    auto const found = m_pipelines.find(connection);
    if (found == m_pipelines.end())
        return;
    for (pipelined_request const& request : found->second.requests)
    {
        if (m_open_requests.erase(request.id) > 0)
            m_setup.routing->try_push(routing::caller_disconnected{request.id});
    }
    m_unanswered -= count_unanswered(found->second);
    m_pipelines.erase(found);
    publish_in_flight();
}

void front_loop::on_caller_response(caller_response const& response)
{
    auto const found = m_open_requests.find(response.id);
    if (found == m_open_requests.end())
        return;
    std::uint64_t const connection = found->second;
    m_open_requests.erase(found);
    if (pipelined_request* const request =
            find_request(m_pipelines[connection], response.id))
        respond(connection, *request, response);
}

void front_loop::on_give_up()
{
    auto const unanswered = std::exchange(m_open_requests, {});
    for (auto const& [id, connection] : unanswered)
    {
        pipelined_request* const request =
            find_request(m_pipelines[connection], id);
        if (!request)
            continue;
        respond(connection, *request,
                make_refusal(request->caller_id, error_kind::outcome_unknown,
                             "the daemon stops before the request has ended"));
    }
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
        if (std::holds_alternative<give_up>(item))
            on_give_up();
        if (!std::holds_alternative<stop_accepting>(item) ||
            m_has_stopped_accepting)
            continue;
        m_is_draining = true;
        m_has_stopped_accepting = true;
        m_listener->stop();
    }
    m_batch.clear();
    // A second stop would end the flush of the last responses at once.
    if (is_open || !m_work.owns_work())
        return;
    m_work.reset();
    m_context.stop();
}

} // namespace

void run(inbox& messages, wiring const& setup)
{
    front_loop(messages, setup).run();
}

} // namespace gooseberrycove::front
