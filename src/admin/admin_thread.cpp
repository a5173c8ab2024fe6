#include "admin_thread.hpp"

#include "documents.hpp"
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/http.hpp>
#include <gooseberrycove/uri.hpp>

#include <asio/post.hpp>
#include <fmt/format.h>

#include <array>
#include <memory>
#include <random>

namespace gooseberrycove::admin
{

namespace
{

/// Largest patch or announcement in bytes.
constexpr std::size_t max_body = std::size_t{4} << 20;

/// Who may call an endpoint.
enum class access
{
    open,
    server,
    operator_key
};

/// Name behind the first part of `/announce/NAME`; empty for `/announce`.
std::string_view last_part(std::string_view target)
{
    std::string_view const path = uri::path_of(target);
    auto const slash = path.find('/', 1);
    return slash == path.npos ? std::string_view{} : path.substr(slash + 1);
}

/// Sockets of the administration port and the questions to other duties.
class admin_loop
{
public:
    admin_loop(inbox& messages, wiring const& to)
        : m_messages(messages), m_to(to), m_generator(std::random_device{}())
    {
    }

    void run();

private:
    using handler = void (admin_loop::*)(http::exchange_ptr const&);

    struct endpoint
    {
        std::string_view method;
        /// A path that ends in `/` matches everything below it.
        std::string_view path;
        access allowed;
        handler handle;
    };

    void on_request(http::exchange_ptr const& exchange);
    bool authorized(http::exchange const& exchange, access needed) const;
    void refuse(http::exchange_ptr const& exchange, error_kind kind,
                std::string_view detail);

    void get_health(http::exchange_ptr const& exchange);
    void get_ready(http::exchange_ptr const& exchange);
    void get_metrics(http::exchange_ptr const& exchange);
    void post_announce(http::exchange_ptr const& exchange);
    void post_withdraw(http::exchange_ptr const& exchange);
    void announce(http::exchange_ptr const& exchange,
                  members::announcement what);
    void get_config(http::exchange_ptr const& exchange);
    void patch_config(http::exchange_ptr const& exchange);
    void get_history(http::exchange_ptr const& exchange);
    void get_services(http::exchange_ptr const& exchange);
    void get_servers(http::exchange_ptr const& exchange);
    void get_daemons(http::exchange_ptr const& exchange);
    void get_explain(http::exchange_ptr const& exchange);
    void post_server(http::exchange_ptr const& exchange);

    /// Pushes a question to another duty; refuses when its ring is full.
    template <class Inbox, class Question>
    void ask(Inbox& duty, http::exchange_ptr const& exchange, Question question)
    {
        if (!duty.try_push(std::move(question)))
            refuse(exchange, error_kind::overloaded, "the duty's ring is full");
    }

    /// Wraps \p answer so that another duty's thread may call it.
    template <class Answer>
    auto on_this_thread(http::exchange_ptr const& exchange, Answer answer)
    {
        return [this, exchange, answer](auto&&... values)
        {
            asio::post(m_context, [exchange, answer,
                                   ... held = std::decay_t<decltype(values)>(
                                       values)]() mutable
                       { exchange->respond(answer(held...)); });
        };
    }

    static constexpr std::size_t endpoint_count = 14;
    static std::array<endpoint, endpoint_count> const endpoints;

    inbox& m_messages;
    wiring const& m_to;
    asio::io_context m_context;
    std::vector<std::unique_ptr<http::listener>> m_listeners;
    std::mt19937_64 m_generator;
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
        m_context, m_to.address, max_body, handlers));
    for (std::string const& address : m_to.also_at)
        m_listeners.push_back(std::make_unique<http::listener>(
            m_context, address, max_body, handlers));
    m_messages.set_waker([this] { m_context.stop(); });
    std::vector<std::monostate> none;
    if (!m_messages.pop_all(none))
        return;
    m_context.run();
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
        if (!authorized(*exchange, item.allowed))
            return refuse(
                exchange, error_kind::wrong_token,
                "Authorization: allowed: Bearer with the key for this port");
        try
        {
            (this->*item.handle)(exchange);
        }
        catch (error const& fault)
        {
            refuse(exchange, fault.kind(), fault.what());
        }
        return;
    }
    refuse(exchange, error_kind::no_route, path);
}

bool admin_loop::authorized(http::exchange const& exchange, access needed) const
{
    if (needed == access::open)
        return true;
    std::string_view const token =
        http::bearer_token(exchange.header("Authorization"));
    if (needed == access::operator_key && !m_to.admin_keys->has_file())
        return false;
    if (needed == access::server)
        return m_to.announce_keys->accepts(token);
    return m_to.admin_keys->accepts(token);
}

void admin_loop::refuse(http::exchange_ptr const& exchange, error_kind kind,
                        std::string_view detail)
{
    m_to.counts->count_refusal("admin", kind);
    log_warning(event_line(event::admin_refused)
                    .field("method", exchange->method())
                    .field("target", exchange->target())
                    .field("kind", error_response_for(kind).name)
                    .field("detail", detail));
    exchange->respond(refusal(kind, detail));
}

void admin_loop::get_health(http::exchange_ptr const& exchange)
{
    exchange->respond({200, "text/plain", "ok\n", {}, false});
}

void admin_loop::get_ready(http::exchange_ptr const& exchange)
{
    if (m_to.draining->load())
        return exchange->respond({503, "text/plain", "draining\n", {}, false});
    if (!m_to.ready->load())
        return exchange->respond(
            {503, "text/plain", "waiting for the configuration\n", {}, false});
    exchange->respond({200, "text/plain", "ready\n", {}, false});
}

void admin_loop::get_metrics(http::exchange_ptr const& exchange)
{
    exchange->respond(
        {200, "text/plain; version=0.0.4", m_to.counts->text(), {}, false});
}

void admin_loop::post_announce(http::exchange_ptr const& exchange)
{
    announce(exchange, read_announcement(exchange->body(),
                                         last_part(exchange->target())));
}

void admin_loop::post_withdraw(http::exchange_ptr const& exchange)
{
    announce(exchange,
             read_withdrawal(exchange->body(), last_part(exchange->target())));
}

void admin_loop::announce(http::exchange_ptr const& exchange,
                          members::announcement what)
{
    if (m_to.draining->load())
        return refuse(exchange, error_kind::draining, "shutting down");
    members::announce_request question;
    question.details = std::move(what);
    question.deliver = on_this_thread(
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
    ask(*m_to.members, exchange, std::move(question));
}

void admin_loop::get_config(http::exchange_ptr const& exchange)
{
    ask(*m_to.config, exchange,
        config::document_request{on_this_thread(
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
    config::patch_request question;
    question.base_version = read_version(exchange->header("If-Match"));
    question.patch = exchange->body();
    question.patch_id = exchange->header("X-Patch-Id");
    if (question.patch_id.empty())
        question.patch_id = to_string({m_generator(), m_generator()});
    question.author = exchange->header("X-Author");
    log_info(event_line(event::admin_action)
                 .field("action", "patch")
                 .field("base", question.base_version)
                 .field("patch_id", question.patch_id)
                 .field("author", question.author));
    question.deliver =
        on_this_thread(exchange, [](config::patch_result const& what)
                       { return to_response(what); });
    ask(*m_to.config, exchange, std::move(question));
}

void admin_loop::get_history(http::exchange_ptr const& exchange)
{
    config::history_request question;
    std::string const since = uri::query_value(exchange->target(), "since");
    question.since_version = since.empty() ? 0 : read_version(since);
    question.deliver =
        on_this_thread(exchange, [](std::vector<config::delta> const& patches)
                       { return history_response(patches); });
    ask(*m_to.config, exchange, std::move(question));
}

void admin_loop::get_services(http::exchange_ptr const& exchange)
{
    ask(*m_to.routing, exchange,
        routing::services_request{on_this_thread(
            exchange, [](std::vector<routing::service_summary> const& what)
            { return services_response(what); })});
}

void admin_loop::get_servers(http::exchange_ptr const& exchange)
{
    ask(*m_to.members, exchange,
        members::list_request{
            on_this_thread(exchange, [](members::listing const& what)
                           { return servers_response(what); })});
}

void admin_loop::get_daemons(http::exchange_ptr const& exchange)
{
    ask(*m_to.members, exchange,
        members::list_request{
            on_this_thread(exchange, [](members::listing const& what)
                           { return daemons_response(what); })});
}

void admin_loop::get_explain(http::exchange_ptr const& exchange)
{
    routing::explain_request question;
    question.method = uri::query_value(exchange->target(), "method");
    question.host = uri::query_value(exchange->target(), "host");
    question.path = uri::query_value(exchange->target(), "path");
    question.account = uri::query_value(exchange->target(), "account");
    if (question.method.empty() || question.path.empty())
        return refuse(exchange, error_kind::bad_request,
                      "required: query parameters method and path");
    question.deliver =
        on_this_thread(exchange, [](routing::explanation const& what)
                       { return explain_response(what); });
    ask(*m_to.routing, exchange, std::move(question));
}

void admin_loop::post_server(http::exchange_ptr const& exchange)
{
    std::string_view rest = uri::path_of(exchange->target());
    rest.remove_prefix(std::string_view("/servers/").size());
    auto const slash = rest.find('/');
    std::string_view const action =
        slash == rest.npos ? std::string_view{} : rest.substr(slash + 1);
    if (action != "drain" && action != "undrain")
        return refuse(exchange, error_kind::no_route,
                      "allowed: /servers/NAME/drain, /servers/NAME/undrain");
    members::drain_request question;
    question.server = rest.substr(0, slash);
    question.drain = action == "drain";
    log_info(event_line(event::admin_action)
                 .field("action", action)
                 .field("server", question.server));
    question.deliver = on_this_thread(
        exchange,
        [](bool found)
        {
            if (!found)
                return refusal(
                    error_kind::no_route,
                    "no backend server of this name is homed at this daemon; "
                    "GET /servers names its home");
            return http::response{200, "application/json", "{}", {}, false};
        });
    ask(*m_to.members, exchange, std::move(question));
}

} // namespace

void run(inbox& messages, wiring const& to)
{
    admin_loop(messages, to).run();
}

} // namespace gooseberrycove::admin
