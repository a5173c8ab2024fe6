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

/// More than the slowest call.
constexpr std::chrono::seconds handle_request_timeout{15};

/// A call that does not arrive keeps its client waiting this long, as in a cut
/// network; longer than the usual timeout of 2 s. A lost reply closes the
/// connection at once.
constexpr std::chrono::seconds cut_hold{3};

/// Limit of a body; a snapshot of the configuration at the target has ~60 MB.
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

void answer(restinio::request_handle_t const& request, http_answer what)
{
    restinio::http_status_line_t line{
        restinio::http_status_code_t{static_cast<std::uint16_t>(what.status)},
        what.status == 200 ? "OK" : "Error"};
    request->create_response(std::move(line))
        .append_header(restinio::http_field::content_type, "application/json")
        .set_body(std::move(what.body))
        .done();
}

/// Calls \p next after \p delay, at once when it is zero.
template <class Next>
void after(asio::io_context& loop, duration delay, Next next)
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

class server
{
public:
    server(state& platform, asio::io_context& loop)
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
        catch (error const& fault)
        {
            answer(request,
                   render_problem(error_response_for(fault.kind()).status,
                                  fault.what()));
        }
        catch (std::exception const& fault)
        {
            answer(request, render_problem(400, fault.what()));
        }
        return restinio::request_accepted();
    }

private:
    void handle(restinio::request_handle_t const& request,
                http_call const& call)
    {
        if (call.path == "/faults" || call.path == "/stats")
            return answer(request, control(call));
        std::string object_name;
        if (call.path.starts_with(object_prefix))
            object_name = restinio::utils::unescape_percent_encoding<
                restinio::utils::relaxed_unescape_traits>(
                call.path.substr(object_prefix.size()));
        store::operation what = parse_operation(call, object_name);
        std::string const client =
            request->header().get_field_or("X-Client", "");
        admission const admitted =
            on_call(m_platform, client, is_write(what), clock_now());
        run(request, std::move(what), admitted);
    }

    http_answer control(http_call const& call)
    {
        if (call.path == "/stats")
            return {200, render_counters(m_platform)};
        if (call.method == "POST")
            parse_faults(call.body, m_platform.faults);
        return {200, render_faults(m_platform.faults)};
    }

    void run(restinio::request_handle_t const& request, store::operation what,
             admission admitted)
    {
        switch (admitted.what)
        {
        case admission::answer::none:
            return after(m_loop, cut_hold, [request] {});
        case admission::answer::over_rate:
            return answer(request, render_problem(429, "over rate"));
        case admission::answer::down:
            return answer(request, render_problem(503, "down"));
        case admission::answer::run:
            break;
        }
        auto effect = [this, request, admitted, what = std::move(what)]
        {
            http_answer reply =
                render_reply(what, on_operation(m_platform, what));
            if (admitted.lose_reply)
                return;
            after(m_loop, admitted.delay / 2,
                  [request, reply = std::move(reply)]
                  { answer(request, reply); });
        };
        after(m_loop, admitted.delay / 2, std::move(effect));
    }

    state& m_platform;
    asio::io_context& m_loop;
};

struct server_traits : traits
{
    using request_handler_t = server;
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
            .request_handler(std::make_unique<server>(platform, loop)));
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code, int) { loop.stop(); });
    http.open_sync();
    loop.run();
}

} // namespace gooseberrycove::fake_platform
