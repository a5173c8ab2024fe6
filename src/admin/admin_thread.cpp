#include "admin_thread.hpp"

#include "documents.hpp"
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/http.hpp>
#include <gooseberrycove/uri.hpp>

#include <asio/post.hpp>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <memory>
#include <random>
#include <unordered_map>

namespace gooseberrycove::admin
{

namespace
{

/// Maximum size of a patch or announcement in bytes.
constexpr std::size_t max_body_size = std::size_t{4} << 20;

/// Key that a request to an endpoint needs.
enum class access
{
    open,
    server,
    operator_key
};

/// Returns NAME of `/announce/NAME` and `/withdraw/NAME`; empty for
/// `/announce`.
std::string server_in_path(std::string_view target)
{
    std::string_view const path = uri::path_of(target);
    auto const slash = path.find('/', 1);
    return slash == path.npos ? std::string()
                              : uri::decode_segment(path.substr(slash + 1));
}

/// Listeners of the administration endpoints; gets the data for responses from
/// other duties by request messages.
class admin_loop
{
public:
    admin_loop(inbox& messages, wiring const& setup)
        : m_messages(messages), m_setup(setup),
          m_generator(std::random_device{}())
    {
    }

    void run();

private:
    using handler = void (admin_loop::*)(http::exchange_ptr const&);

    struct endpoint
    {
        std::string_view method;
        /// A path that ends in `/` matches all paths that start with it.
        std::string_view path;
        access required_access;
        handler handle;
    };

    void on_request(http::exchange_ptr const& exchange);
    void handle_messages();
    bool is_authorized(http::exchange const& exchange,
                       access required_access) const;
    void refuse(http::exchange_ptr const& exchange, error_kind kind,
                std::string_view detail);

    void get_health(http::exchange_ptr const& exchange);
    void get_ready(http::exchange_ptr const& exchange);
    void get_metrics(http::exchange_ptr const& exchange);
    void post_announce(http::exchange_ptr const& exchange);
    void post_withdraw(http::exchange_ptr const& exchange);
    void announce(http::exchange_ptr const& exchange,
                  members::announcement announcement);
    void get_config(http::exchange_ptr const& exchange);
    void patch_config(http::exchange_ptr const& exchange);
    void get_history(http::exchange_ptr const& exchange);
    void get_services(http::exchange_ptr const& exchange);
    void get_servers(http::exchange_ptr const& exchange);
    void get_daemons(http::exchange_ptr const& exchange);
    void get_explain(http::exchange_ptr const& exchange);
    void post_server(http::exchange_ptr const& exchange);

    /// Pushes a request message to another duty; responds with an error when
    /// its ring is full.
    template <class Inbox, class Request>
    void push_request(Inbox& duty, http::exchange_ptr const& exchange,
                      Request request)
    {
        if (duty.try_push(std::move(request)))
            return;
        // Added by make_reply_callback() for this request.
        m_open_requests.erase(m_last_request);
        refuse(exchange, error_kind::overloaded,
               "the ring of the duty that handles this request is full");
    }

    /// Returns a callback for the reply of another duty. It may be called on
    /// any thread, also after this loop has ended: \p make_response runs, and
    /// its result is sent, on this thread.
    template <class MakeResponse>
    auto make_reply_callback(http::exchange_ptr const& exchange,
                             MakeResponse make_response)
    {
        m_open_requests.emplace(++m_last_request, exchange);
        return [&messages = m_messages, number = m_last_request,
                make_response](auto&&... values)
        {
            bool const is_queued = messages.try_push(
                {number, [make_response,
                          ... held = std::decay_t<decltype(values)>(values)]
                 { return make_response(held...); }});
            if (!is_queued && !messages.is_closed())
                log_warning(
                    event_line(event::ring_full).field("duty", "admin"));
        };
    }

    static constexpr std::size_t endpoint_count = 14;
    static std::array<endpoint, endpoint_count> const endpoints;

    inbox& m_messages;
    wiring const& m_setup;
    asio::io_context m_context;
    std::vector<std::unique_ptr<http::listener>> m_listeners;
    std::mt19937_64 m_generator;
    /// Requests that wait for the reply of another duty.
    std::unordered_map<std::uint64_t, http::exchange_ptr> m_open_requests;
    std::uint64_t m_last_request = 0;
    std::vector<reply> m_batch;
    waker_scope m_waker;
};

std::array<admin_loop::endpoint,
           admin_loop::endpoint_count> const admin_loop::endpoints{{
    {"GET", "/healthz", access::open, &admin_loop::get_health},
    {"GET", "/readyz", access::open, &admin_loop::get_ready},
    {"GET", "/metrics", access::open, &admin_loop::get_metrics},
    {"POST", "/announce", access::server, &admin_loop::post_announce},
    {"POST", "/announce/", access::server, &admin_loop::post_announce},
    {"POST", "/withdraw/", access::server, &admin_loop::post_withdraw},
    {"GET", "/config", access::operator_key, &admin_loop::get_config},
    {"PATCH", "/config", access::operator_key, &admin_loop::patch_config},
    {"GET", "/config/history", access::operator_key, &admin_loop::get_history},
    {"GET", "/services", access::operator_key, &admin_loop::get_services},
    {"GET", "/servers", access::operator_key, &admin_loop::get_servers},
    {"GET", "/daemons", access::operator_key, &admin_loop::get_daemons},
    {"GET", "/explain", access::operator_key, &admin_loop::get_explain},
    {"POST", "/servers/", access::operator_key, &admin_loop::post_server},
}};

void admin_loop::run()
{
    http::handlers handlers;
    handlers.on_request = [this](http::exchange_ptr const& exchange)
    { on_request(exchange); };
    m_listeners.push_back(std::make_unique<http::listener>(
        m_context, http::listener_options{m_setup.address, max_body_size},
        handlers));
    for (std::string const& address : m_setup.additional_addresses)
        m_listeners.push_back(std::make_unique<http::listener>(
            m_context, http::listener_options{address, max_body_size},
            handlers));
    m_waker = m_messages.set_waker(
        [this] { asio::post(m_context, [this] { handle_messages(); }); });
    m_context.run();
}

void admin_loop::handle_messages()
{
    bool const is_open = m_messages.pop_all(m_batch);
    for (reply const& item : m_batch)
    {
        auto const request = m_open_requests.extract(item.request);
        if (!request.empty())
            request.mapped()->respond(item.make_response());
    }
    m_batch.clear();
    if (!is_open)
        m_context.stop();
}

void admin_loop::on_request(http::exchange_ptr const& exchange)
{
    std::string_view const path = uri::path_of(exchange->target());
    for (endpoint const& item : endpoints)
    {
        bool const matches = item.path.ends_with('/')
                                 ? path.starts_with(item.path)
                                 : path == item.path;
        if (!matches || exchange->method() != item.method)
            continue;
        if (!is_authorized(*exchange, item.required_access))
            return refuse(
                exchange, error_kind::wrong_token,
                "Authorization: allowed: Bearer with the key for this port");
        try
        {
            (this->*item.handle)(exchange);
        }
        catch (error const& failure)
        {
            refuse(exchange, failure.kind(), failure.what());
        }
        return;
    }
    refuse(exchange, error_kind::no_route, path);
}

bool admin_loop::is_authorized(http::exchange const& exchange,
                               access required_access) const
{
    if (required_access == access::open)
        return true;
    std::string_view const token =
        http::bearer_token(exchange.header("Authorization"));
    if (required_access == access::operator_key &&
        !m_setup.admin_keys->has_file())
        return false;
    if (required_access == access::server)
        return m_setup.announce_keys->accepts(token);
    return m_setup.admin_keys->accepts(token);
}

void admin_loop::refuse(http::exchange_ptr const& exchange, error_kind kind,
                        std::string_view detail)
{
    m_setup.counts->count_refusal("admin", kind);
    log_warning(event_line(event::admin_refused)
                    .field("method", exchange->method())
                    .field("target", exchange->target())
                    .field("kind", error_response_for(kind).name)
                    .field("detail", detail));
    exchange->respond(problem_response(kind, detail));
}

void admin_loop::get_health(http::exchange_ptr const& exchange)
{
    exchange->respond({200, "text/plain", "ok\n", {}, false});
}

void admin_loop::get_ready(http::exchange_ptr const& exchange)
{
    if (m_setup.is_draining->load())
        return exchange->respond({503, "text/plain", "draining\n", {}, false});
    if (!m_setup.is_ready->load())
        return exchange->respond(
            {503, "text/plain", "waiting for the configuration\n", {}, false});
    exchange->respond({200, "text/plain", "ready\n", {}, false});
}

void admin_loop::get_metrics(http::exchange_ptr const& exchange)
{
    exchange->respond(
        {200, "text/plain; version=0.0.4", m_setup.counts->text(), {}, false});
}

void admin_loop::post_announce(http::exchange_ptr const& exchange)
{
    announce(exchange, read_announcement(exchange->body(),
                                         server_in_path(exchange->target())));
}

void admin_loop::post_withdraw(http::exchange_ptr const& exchange)
{
    announce(exchange, read_withdrawal(exchange->body(),
                                       server_in_path(exchange->target())));
}

void admin_loop::announce(http::exchange_ptr const& exchange,
                          members::announcement announcement)
{
    if (m_setup.is_draining->load())
        return refuse(exchange, error_kind::draining, "shutting down");
    members::announce_request request;
    request.details = std::move(announcement);
    request.deliver = make_reply_callback(
        exchange,
        [](duration lease)
        {
            auto const lease_ms =
                std::chrono::duration_cast<std::chrono::milliseconds>(lease);
            return http::response{
                200,
                "application/json",
                fmt::format("{{\"lease_ms\":{}}}", lease_ms.count()),
                {},
                false};
        });
    push_request(*m_setup.members, exchange, std::move(request));
}

void admin_loop::get_config(http::exchange_ptr const& exchange)
{
    push_request(
        *m_setup.config, exchange,
        config::document_request{make_reply_callback(
            exchange,
            [](std::uint64_t version, std::string const& document)
            {
                http::response out{
                    200, "application/json", document, {}, false};
                out.headers.push_back({"ETag", fmt::format("\"{}\"", version)});
                return out;
            })});
}

void admin_loop::patch_config(http::exchange_ptr const& exchange)
{
    config::patch_request request;
    request.base_version = read_version(exchange->header("If-Match"));
    request.patch = exchange->body();
    request.patch_id = exchange->header("X-Patch-Id");
    if (request.patch_id.empty())
        request.patch_id = to_string({m_generator(), m_generator()});
    request.author = exchange->header("X-Author");
    log_info(event_line(event::admin_action)
                 .field("action", "patch")
                 .field("base", request.base_version)
                 .field("patch_id", request.patch_id)
                 .field("author", request.author));
    request.deliver =
        make_reply_callback(exchange, [](config::patch_result const& result)
                            { return to_response(result); });
    push_request(*m_setup.config, exchange, std::move(request));
}

void admin_loop::get_history(http::exchange_ptr const& exchange)
{
    config::history_request request;
    std::string const since = uri::query_value(exchange->target(), "since");
    request.since_version = since.empty() ? 0 : read_version(since);
    request.deliver = make_reply_callback(
        exchange, [](std::vector<config::delta> const& patches)
        { return history_response(patches); });
    push_request(*m_setup.config, exchange, std::move(request));
}

void admin_loop::get_services(http::exchange_ptr const& exchange)
{
    push_request(
        *m_setup.routing, exchange,
        routing::services_request{make_reply_callback(
            exchange, [](std::vector<routing::service_summary> const& summaries)
            { return services_response(summaries); })});
}

void admin_loop::get_servers(http::exchange_ptr const& exchange)
{
    push_request(*m_setup.members, exchange,
                 members::list_request{make_reply_callback(
                     exchange, [](members::listing const& directory)
                     { return servers_response(directory); })});
}

void admin_loop::get_daemons(http::exchange_ptr const& exchange)
{
    push_request(*m_setup.members, exchange,
                 members::list_request{make_reply_callback(
                     exchange, [](members::listing const& directory)
                     { return daemons_response(directory); })});
}

void admin_loop::get_explain(http::exchange_ptr const& exchange)
{
    routing::explain_request request;
    request.method = uri::query_value(exchange->target(), "method");
    request.host = uri::query_value(exchange->target(), "host");
    request.path = uri::query_value(exchange->target(), "path");
    request.account = uri::query_value(exchange->target(), "account");
    if (request.method.empty() || request.path.empty())
        return refuse(exchange, error_kind::bad_request,
                      "required: query parameters method and path");
    std::string const body = uri::query_value(exchange->target(), "body_bytes");
    char const* const end = body.data() + body.size();
    auto const parsed = std::from_chars(body.data(), end, request.body_bytes);
    if (!body.empty() && (parsed.ec != std::errc() || parsed.ptr != end))
        return refuse(exchange, error_kind::bad_request,
                      "body_bytes: allowed: a number of bytes");
    request.deliver =
        make_reply_callback(exchange, [](routing::explanation const& decision)
                            { return explain_response(decision); });
    push_request(*m_setup.routing, exchange, std::move(request));
}

void admin_loop::post_server(http::exchange_ptr const& exchange)
{
    std::string_view server_and_action = uri::path_of(exchange->target());
    server_and_action.remove_prefix(std::string_view("/servers/").size());
    auto const slash = server_and_action.find('/');
    std::string_view const action = slash == server_and_action.npos
                                        ? std::string_view{}
                                        : server_and_action.substr(slash + 1);
    if (action != "drain" && action != "undrain")
        return refuse(exchange, error_kind::no_route,
                      "allowed: /servers/NAME/drain, /servers/NAME/undrain");
    members::drain_request request;
    request.server = uri::decode_segment(server_and_action.substr(0, slash));
    request.drain = action == "drain";
    log_info(event_line(event::admin_action)
                 .field("action", action)
                 .field("server", request.server));
    request.deliver = make_reply_callback(
        exchange,
        [](bool found)
        {
            if (!found)
                return problem_response(
                    error_kind::no_route,
                    "no backend server of this name is homed at this daemon; "
                    "GET /servers names its home");
            return http::response{200, "application/json", "{}", {}, false};
        });
    push_request(*m_setup.members, exchange, std::move(request));
}

} // namespace

void run(inbox& messages, wiring const& setup)
{
    admin_loop(messages, setup).run();
}

} // namespace gooseberrycove::admin
