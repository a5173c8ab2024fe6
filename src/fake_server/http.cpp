#include "fake_server/http.hpp"

#include "evidence/response_body.hpp"
#include <gooseberrycove/header.hpp>
#include <gooseberrycove/settings.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <charconv>
#include <csignal>
#include <span>
#include <unordered_map>

namespace gooseberrycove::fake_server
{

namespace
{

class http_front;

/// Notifies http_front of closed connections.
struct connection_listener
{
    http_front* front = nullptr;

    void state_changed(restinio::connection_state::notice_t const& notice);
};

struct request_handler
{
    http_front* front = nullptr;

    restinio::request_handling_status_t
    operator()(restinio::request_handle_t const& request) const;
};

struct server_traits
    : restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                       restinio::null_logger_t, request_handler>
{
    static constexpr bool use_connection_count_limiter = true;
    using connection_state_listener_t = connection_listener;
};

using http_server = restinio::http_server_t<server_traits>;

std::uint64_t parse_unsigned(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string header_of(restinio::request_handle_t const& request,
                      std::string_view name)
{
    return std::string(request->header().get_field_or(
        restinio::string_view_t(name.data(), name.size()), ""));
}

restinio::http_status_line_t status_of(response_kind kind)
{
    switch (kind)
    {
    case response_kind::done:
        return restinio::status_ok();
    case response_kind::failed:
        return restinio::status_internal_server_error();
    case response_kind::refused:
        return restinio::status_service_unavailable();
    }
    return restinio::status_internal_server_error();
}

std::string refusal_body(response const& result, work_limits const& limits)
{
    return nlohmann::json{{"request_id", result.request_id},
                          {"server", limits.name},
                          {"outcome", "not_run"},
                          {"reason", result.reason}}
        .dump();
}

using output_builder =
    restinio::response_builder_t<restinio::user_controlled_output_t>;

/// A response that has been sent and the parts to write after it.
struct second_response
{
    std::uint64_t connection = 0;
    output_builder output;
    std::vector<std::string> parts;
};

std::string encode_response(response_kind kind,
                            std::span<header_field const> headers,
                            std::string_view body)
{
    auto const status = status_of(kind);
    std::string result = fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
                                     status.status_code().raw_code(),
                                     status.reason_phrase(), body.size());
    for (header_field const& field : headers)
        result += fmt::format("{}: {}\r\n", field.name, field.value);
    result += "\r\n";
    result += body;
    return result;
}

/// \param response  the first response as it was sent
std::vector<std::string> make_second_parts(second_kind kind,
                                           std::string const& response)
{
    switch (kind)
    {
    case second_kind::same:
        return {response};
    case second_kind::split:
        return {response.substr(0, 20), response.substr(20)};
    case second_kind::bare:
        return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    case second_kind::undelimited:
        return {"HTTP/1.1 200 OK\r\n\r\nok"};
    case second_kind::noise:
        return {"\x01 no response\r\n\r\n"};
    }
    return {};
}

/// Owns the work state; runs on the thread of its io_context only.
class http_front
{
public:
    http_front(http_options const& options, work_limits const& limits,
               announce_inbox& announcer, evidence::history_log& history);

    void run();

    restinio::request_handling_status_t
    on_request(restinio::request_handle_t const& request, time_point now);

    void on_connection_closed(std::uint64_t connection);

private:
    std::unique_ptr<http_server> make_server(http_options const& options);
    void accept_work(restinio::request_handle_t const& request, time_point now);
    void set_faults(restinio::request_handle_t const& request, time_point now);
    void apply(actions&& out, time_point now);
    void send_response(response const& result);
    void send_json(restinio::request_handle_t const& request,
                   restinio::http_status_line_t status, std::string body);
    /// Sends a response that second_part messages follow.
    void send_first(restinio::request_handle_t const& request,
                    response const& result, std::string_view body);
    void send_second_part(second_part const& part);
    std::vector<header_field> make_headers(response const& result) const;
    void send_truncated(restinio::request_handle_t const& request,
                        std::string_view body);
    void on_signal();
    void announce();
    void wait_for_tick(time_point now);
    void stop_when_drained(time_point now);

    asio::io_context m_io;
    asio::steady_timer m_timer{m_io};
    asio::steady_timer m_load_timer{m_io};
    asio::signal_set m_signals{m_io, SIGTERM, SIGINT};
    work_state m_work;
    announce_inbox& m_announcer;
    evidence::history_log& m_history;
    duration m_min_drain_time;
    std::string m_stamp;
    double m_limit = 0;
    bool m_is_leaving = false;
    time_point m_drain_start;
    std::uint64_t m_next_ticket = 1;
    std::size_t m_unfinished_writes = 0;
    std::unordered_map<std::uint64_t, restinio::request_handle_t> m_requests;
    std::unordered_map<std::uint64_t, second_response> m_second_responses;
    std::unique_ptr<http_server> m_server;
};

void connection_listener::state_changed(
    restinio::connection_state::notice_t const& notice)
{
    if (std::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause()))
        front->on_connection_closed(notice.connection_id());
}

restinio::request_handling_status_t
request_handler::operator()(restinio::request_handle_t const& request) const
{
    return front->on_request(request, clock_now());
}

http_front::http_front(http_options const& options, work_limits const& limits,
                       announce_inbox& announcer,
                       evidence::history_log& history)
    : m_work(make_work_state(limits, clock_now())), m_announcer(announcer),
      m_history(history), m_min_drain_time(options.min_drain_time),
      m_stamp(options.stamp), m_limit(options.limit),
      m_is_leaving(options.is_leaving), m_server(make_server(options))
{
}

std::unique_ptr<http_server>
http_front::make_server(http_options const& options)
{
    auto const address = split_address(options.listen);
    constexpr auto no_limit = std::chrono::hours(1);
    return std::make_unique<http_server>(
        restinio::external_io_context(m_io),
        [&](auto& settings)
        {
            settings.address(address.first)
                .port(address.second)
                .protocol(asio::ip::make_address(address.first).is_v6()
                              ? asio::ip::tcp::v6()
                              : asio::ip::tcp::v4())
                .request_handler(request_handler{this})
                .connection_state_listener(
                    std::make_shared<connection_listener>(
                        connection_listener{this}))
                .max_parallel_connections(options.connections)
                // Two, because only a pending read of the next message
                // detects a closed connection while a request is handled.
                .max_pipelined_requests(2)
                .read_next_http_message_timelimit(no_limit)
                .handle_request_timeout(no_limit)
                .separate_accept_and_create_connect(false);
        });
}

void http_front::run()
{
    m_signals.async_wait(
        [this](asio::error_code const& failure, int)
        {
            if (!failure)
                on_signal();
        });
    m_server->open_sync();
    announce();
    m_io.run();
}

restinio::request_handling_status_t
http_front::on_request(restinio::request_handle_t const& request,
                       time_point now)
{
    auto const& header = request->header();
    std::string_view const path(header.path().data(), header.path().size());
    bool const is_get = header.method() == restinio::http_method_get();
    if (is_get && path == "/healthz")
        send_json(request, restinio::status_ok(), R"({"status":"ok"})");
    else if (is_get && path == "/load")
        send_json(request, restinio::status_ok(),
                  fmt::format(R"({{"in_flight":{},"slots":{}}})",
                              reported_in_flight(m_work, now),
                              m_work.limits.slots));
    else if (path == "/faults")
        set_faults(request, now);
    else
        accept_work(request, now);
    return restinio::request_accepted();
}

void http_front::accept_work(restinio::request_handle_t const& request,
                             time_point now)
{
    arrival next;
    next.ticket = m_next_ticket++;
    next.connection = request->connection_id();
    next.request_id = header_of(request, "X-Request-Id");
    next.key = header_of(request, "Idempotency-Key");
    next.at = now;
    std::string const deadline = header_of(request, "X-Deadline-Ms");
    if (!deadline.empty())
        next.deadline =
            now + std::chrono::milliseconds(parse_unsigned(deadline));
    auto const query = restinio::parse_query(request->header().query());
    if (query.has("size"))
    {
        auto const size = query["size"];
        next.filler_size =
            parse_unsigned(std::string_view(size.data(), size.size()));
    }
    m_requests.emplace(next.ticket, request);
    actions out;
    on_arrival(m_work, std::move(next), now, out);
    apply(std::move(out), now);
}

void http_front::set_faults(restinio::request_handle_t const& request,
                            time_point now)
{
    try
    {
        if (request->header().method() == restinio::http_method_post())
        {
            actions out;
            on_faults(m_work, parse_faults(request->body(), now), now, out);
            apply(std::move(out), now);
        }
        send_json(request, restinio::status_ok(), to_json(m_work.faults));
    }
    catch (std::invalid_argument const& failure)
    {
        send_json(request, restinio::status_bad_request(),
                  nlohmann::json{{"fault", failure.what()}}.dump());
    }
}

void http_front::on_connection_closed(std::uint64_t connection)
{
    time_point const now = clock_now();
    std::erase_if(m_requests, [&](auto const& item)
                  { return item.second->connection_id() == connection; });
    std::erase_if(m_second_responses, [&](auto const& item)
                  { return item.second.connection == connection; });
    actions out;
    on_closed(m_work, connection, now, out);
    apply(std::move(out), now);
}

void http_front::apply(actions&& out, time_point now)
{
    // Records are added before the responses are sent: the record that a
    // caller makes of a response must not be older.
    for (evidence::record& item : out.records)
        m_history.add(std::move(item));
    for (response const& item : out.responses)
        send_response(item);
    for (second_part const& item : out.second_parts)
        send_second_part(item);
    wait_for_tick(now);
    stop_when_drained(now);
}

void http_front::send_response(response const& result)
{
    auto const found = m_requests.find(result.ticket);
    if (found == m_requests.end())
        return;
    restinio::request_handle_t const request = std::move(found->second);
    m_requests.erase(found);
    bool const ran = result.kind != response_kind::refused;
    work_limits const& limits = m_work.limits;
    std::string body =
        ran ? evidence::make_response_body({result.request_id, limits.name,
                                            limits.service, result.sequence},
                                           result.filler_size)
            : refusal_body(result, limits);
    if (result.is_truncated)
        return send_truncated(request, body);
    if (result.second)
        return send_first(request, result, body);
    ++m_unfinished_writes;
    auto encoded = request->create_response(status_of(result.kind));
    for (header_field const& field : make_headers(result))
        encoded.append_header(field.name, field.value);
    encoded.set_body(std::move(body))
        .done(
            [this](auto const&)
            {
                --m_unfinished_writes;
                stop_when_drained(clock_now());
            });
}

std::vector<header_field> http_front::make_headers(response const& result) const
{
    bool const ran = result.kind != response_kind::refused;
    std::vector<header_field> headers;
    if (m_limit > 0)
        headers.push_back({"Server-Limit", fmt::format("{}", m_limit)});
    if (m_is_leaving)
        headers.push_back({"Server-Leaving", "1"});
    if (ran && !m_stamp.empty())
        headers.push_back({m_stamp, fmt::format("{}.{}", m_work.limits.name,
                                                result.sequence)});
    headers.push_back({"Content-Type", "application/json"});
    headers.push_back({"X-Request-Id", result.request_id});
    headers.push_back({"X-Outcome", ran ? "ran" : "not_run"});
    return headers;
}

void http_front::send_first(restinio::request_handle_t const& request,
                            response const& result, std::string_view body)
{
    std::vector<header_field> const headers = make_headers(result);
    auto output = request->create_response<restinio::user_controlled_output_t>(
        status_of(result.kind));
    output.set_content_length(body.size());
    for (header_field const& field : headers)
        output.append_header(field.name, field.value);
    output.append_body(std::string(body));
    output.flush();
    m_second_responses.emplace(
        result.ticket,
        second_response{
            request->connection_id(), std::move(output),
            make_second_parts(*result.second,
                              encode_response(result.kind, headers, body))});
}

/// The parts are sent as body bytes beyond the stated length, because RESTinio
/// sends one response to a request.
void http_front::send_second_part(second_part const& part)
{
    auto const found = m_second_responses.find(part.ticket);
    if (found == m_second_responses.end())
        return;
    second_response& second = found->second;
    second.output.append_body(second.parts[part.index]);
    if (part.index + 1 < second.parts.size())
    {
        second.output.flush();
        return;
    }
    second.output.done();
    m_second_responses.erase(found);
}

void http_front::send_json(restinio::request_handle_t const& request,
                           restinio::http_status_line_t status,
                           std::string body)
{
    request->create_response(std::move(status))
        .append_header("Content-Type", "application/json")
        .set_body(std::move(body))
        .done();
}

/// Sends the Content-Length of the whole body but only half of the body, and
/// closes the connection.
void http_front::send_truncated(restinio::request_handle_t const& request,
                                std::string_view body)
{
    auto truncated =
        request->create_response<restinio::user_controlled_output_t>();
    truncated.set_content_length(body.size())
        .append_header("Content-Type", "application/json")
        .append_header("X-Outcome", "ran")
        .connection_close();
    truncated.append_body(std::string(body.substr(0, body.size() / 2)));
    truncated.done();
}

void http_front::on_signal()
{
    time_point const now = clock_now();
    m_drain_start = now;
    on_drain(m_work);
    announce();
    m_timer.expires_at(now);
    wait_for_tick(now);
}

/// Sends the present state to the announcing duty, now and periodically. When
/// the ring is full, the message is dropped: the next one supersedes it.
void http_front::announce()
{
    time_point const now = clock_now();
    double const in_flight =
        static_cast<double>(reported_in_flight(m_work, now));
    double const load = in_flight / static_cast<double>(m_work.limits.slots);
    m_announcer.try_push(server_state{m_work.is_draining, load});
    m_load_timer.expires_at(now + load_period);
    m_load_timer.async_wait(
        [this](asio::error_code const& failure)
        {
            if (!failure)
                announce();
        });
}

void http_front::wait_for_tick(time_point now)
{
    std::optional<time_point> next = next_tick(m_work, now);
    if (m_work.is_draining)
    {
        time_point const earliest_exit = m_drain_start + m_min_drain_time;
        time_point const latest_exit = m_drain_start + max_drain_time;
        time_point const exit =
            earliest_exit > now ? earliest_exit : latest_exit;
        next = std::min(next.value_or(exit), exit);
    }
    m_timer.cancel();
    if (!next)
        return;
    m_timer.expires_at(*next);
    m_timer.async_wait(
        [this](asio::error_code const& failure)
        {
            if (failure)
                return;
            time_point const tick_time = clock_now();
            actions out;
            on_tick(m_work, tick_time, out);
            apply(std::move(out), tick_time);
        });
}

void http_front::stop_when_drained(time_point now)
{
    if (!m_work.is_draining || now < m_drain_start + m_min_drain_time)
        return;
    bool const is_finished = is_idle(m_work) && m_unfinished_writes == 0;
    if (is_finished || now >= m_drain_start + max_drain_time)
        m_io.stop();
}

} // namespace

void run_http(http_options const& options, work_limits const& limits,
              announce_inbox& announcer, evidence::history_log& history)
{
    http_front(options, limits, announcer, history).run();
}

} // namespace gooseberrycove::fake_server
