#include "fake_platform/http.hpp"

#include "fake_platform/json_codec.hpp"
#include <gooseberrycove/error.hpp>
#include <gooseberrycove/settings.hpp>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>

#include <memory>

namespace gooseberrycove::fake_platform
{

namespace
{

using traits = restinio::default_single_thread_traits_t;

/// Longer than the slowest call (max_slow_ms in json_codec.cpp).
constexpr std::chrono::seconds handle_request_timeout{15};

/// Time that the connection of a dropped call stays open without a response,
/// as in a network partition; longer than the usual client timeout of 2 s.
/// A lost reply closes the connection at once.
constexpr std::chrono::seconds dropped_call_hold{3};

/// Limit of a request body; a configuration snapshot at the target fleet size
/// has about 60 MB.
constexpr std::size_t max_body_bytes = 256 << 20;

constexpr std::string_view object_prefix = "/object/";

http_call read_call(restinio::request_t const& request)
{
    http_call call;
    auto const& header = request.header();
    call.method = header.method().c_str();
    call.path = std::string(header.path());
    for (auto const& [name, value] :
         restinio::parse_query<restinio::parse_query_traits::relaxed>(
             header.query()))
        call.query.emplace(std::string(name), std::string(value));
    call.body = request.body();
    return call;
}

void send_response(restinio::request_handle_t const& request,
                   http_response response)
{
    restinio::http_status_line_t line{
        restinio::http_status_code_t{
            static_cast<std::uint16_t>(response.status)},
        response.status == 200 ? "OK" : "Error"};
    auto sent = request->create_response(std::move(line));
    if (response.era > 0)
        sent.append_header("Store-Era", std::to_string(response.era));
    sent.append_header(restinio::http_field::content_type, "application/json")
        .set_body(std::move(response.body))
        .done();
}

/// Calls \p next after \p delay, at once when it is zero.
template <class Next>
void run_after(asio::io_context& loop, duration delay, Next next)
{
    if (delay.count() == 0)
        return next();
    auto timer = std::make_shared<asio::steady_timer>(loop, delay);
    timer->async_wait(
        [timer, next = std::move(next)](asio::error_code failure)
        {
            if (!failure)
                next();
        });
}

class request_handler
{
public:
    request_handler(state& platform, asio::io_context& loop)
        : m_platform(platform), m_loop(loop)
    {
    }

    restinio::request_handling_status_t
    operator()(restinio::request_handle_t const& request)
    {
        try
        {
            handle(request, read_call(*request));
        }
        catch (error const& failure)
        {
            send_response(
                request,
                render_problem(error_response_for(failure.kind()).status,
                               failure.what()));
        }
        catch (std::exception const& failure)
        {
            send_response(request, render_problem(400, failure.what()));
        }
        return restinio::request_accepted();
    }

private:
    void handle(restinio::request_handle_t const& request,
                http_call const& call)
    {
        if (call.path == "/faults" || call.path == "/stats")
            return send_response(request, handle_control(call));
        std::string object_name;
        if (call.path.starts_with(object_prefix))
            object_name = restinio::utils::unescape_percent_encoding<
                restinio::utils::relaxed_unescape_traits>(
                call.path.substr(object_prefix.size()));
        store::operation operation = parse_operation(call, object_name);
        std::string const client =
            request->header().get_field_or("X-Client", "");
        admission const admitted =
            on_call(m_platform, client, is_write(operation), clock_now());
        run(request, client, std::move(operation), admitted);
    }

    http_response handle_control(http_call const& call)
    {
        if (call.path == "/stats")
            return {200, render_counters(m_platform)};
        if (call.method == "POST")
        {
            parse_faults(call.body, m_platform.faults);
            if (duration const age = parse_copy_age(call.body); age.count() > 0)
                restore_from_copy(m_platform, age, clock_now());
        }
        return {200, render_faults(m_platform.faults)};
    }

    void run(restinio::request_handle_t const& request,
             std::string const& client, store::operation operation,
             admission admitted)
    {
        switch (admitted.result)
        {
        case admission::decision::drop:
            return run_after(m_loop, dropped_call_hold, [request] {});
        case admission::decision::over_rate:
            return send_response(request, render_problem(429, "over rate"));
        case admission::decision::down:
            return send_response(request, render_problem(503, "down"));
        case admission::decision::run:
            break;
        }
        auto effect =
            [this, request, client, admitted, operation = std::move(operation)]
        {
            store::reply const result =
                on_operation(m_platform, operation, client);
            http_response reply = render_reply(operation, result);
            reply.era = result.era;
            if (admitted.lose_reply)
                return;
            run_after(m_loop, admitted.delay / 2,
                      [request, reply = std::move(reply)]
                      { send_response(request, reply); });
        };
        run_after(m_loop, admitted.delay / 2, std::move(effect));
    }

    state& m_platform;
    asio::io_context& m_loop;
};

struct server_traits : traits
{
    using request_handler_t = request_handler;
};

} // namespace

void serve(state& platform, std::string const& address)
{
    auto const [host, port] = split_address(address);
    asio::io_context loop;
    restinio::http_server_t<server_traits> http(
        restinio::external_io_context(loop),
        restinio::server_settings_t<server_traits>{}
            .address(asio::ip::make_address(host))
            .port(port)
            .handle_request_timeout(handle_request_timeout)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(
                    max_body_bytes))
            .request_handler(
                std::make_unique<request_handler>(platform, loop)));
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code, int) { loop.stop(); });
    http.open_sync();
    loop.run();
}

} // namespace gooseberrycove::fake_platform
