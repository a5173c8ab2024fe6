#include "body_reader.hpp"
#include <gooseberrycove/error.hpp>
#include <gooseberrycove/http.hpp>
#include <gooseberrycove/settings.hpp>

#include <restinio/all.hpp>

#include <limits>
#include <utility>

namespace gooseberrycove::http
{

namespace
{

constexpr std::size_t max_url_bytes = 8192;
constexpr std::size_t max_header_value_bytes = 16384;
/// Time to receive one request or to send one response, so that a slow client
/// does not hold a connection forever.
constexpr std::chrono::seconds io_timeout{60};
/// Longer than any request's deadline, so that the deadline ends a request
/// first.
constexpr std::chrono::minutes response_timeout{10};
/// Interval of the search for bodies without progress, while any is unfinished.
constexpr std::chrono::seconds stall_check_interval{2};

struct close_notifier
{
    std::function<void(std::uint64_t)> on_closed;

    void
    state_changed(restinio::connection_state::notice_t const& notice) noexcept
    {
        auto const cause = notice.cause();
        if (std::holds_alternative<restinio::connection_state::closed_t>(
                cause) &&
            on_closed)
            on_closed(notice.connection_id());
    }
};

struct server_traits : restinio::default_single_thread_traits_t
{
    using connection_state_listener_t = close_notifier;
    using stream_socket_t = counted_socket;
    using http_methods_mapper_t = body_methods;
    static constexpr bool use_connection_count_limiter = true;
};

class restinio_exchange : public exchange
{
public:
    explicit restinio_exchange(restinio::request_handle_t request)
        : m_request(std::move(request)),
          m_method(m_request->header().method().c_str()),
          m_body(parsed_connection->take()),
          m_open_exchanges(parsed_connection->open_exchanges)
    {
        ++*m_open_exchanges;
    }

    ~restinio_exchange() override { --*m_open_exchanges; }
    restinio_exchange(restinio_exchange const&) = delete;
    restinio_exchange& operator=(restinio_exchange const&) = delete;

    std::string_view method() const override { return m_method; }

    std::string_view target() const override
    {
        return m_request->header().request_target();
    }

    std::string_view header(std::string_view name) const override
    {
        auto const value = m_request->header().opt_value_of(
            restinio::string_view_t(name.data(), name.size()));
        if (!value)
            return {};
        return {value->data(), value->size()};
    }

    std::vector<header_field> headers() const override
    {
        std::vector<header_field> fields;
        m_request->header().for_each_field(
            [&](restinio::http_header_field_t const& field) {
                fields.push_back({field.name(), field.value()});
            });
        return fields;
    }

    std::string_view body() const override { return m_body.bytes; }

    std::string take_body() override { return std::exchange(m_body.bytes, {}); }

    error_kind body_refusal() const override { return m_body.refusal; }

    std::uint64_t connection() const override
    {
        return m_request->connection_id();
    }

    using exchange::respond;

    void respond(response const& reply,
                 std::function<void()> on_written) override
    {
        if (m_has_responded)
            return;
        m_has_responded = true;
        // This builder sends the length as it is stated.
        auto builder =
            m_request->create_response<restinio::user_controlled_output_t>(
                restinio::http_status_line_t(
                    restinio::http_status_code_t(
                        static_cast<std::uint16_t>(reply.status)),
                    reason_phrase(reply.status)));
        if (!reply.content_type.empty())
            builder.append_header(restinio::http_field::content_type,
                                  reply.content_type);
        for (header_field const& field : reply.headers)
            builder.append_header(
                restinio::http_header_field_t(field.name, field.value));
        if (reply.close_connection)
            builder.connection_close();
        if (may_have_length(reply.status))
            builder.set_content_length(reply.body.size());
        if (may_have_length(reply.status) && m_method != "HEAD")
            builder.append_body(reply.body);
        if (on_written)
            builder.done([callback = std::move(on_written)](
                             asio::error_code const&) { callback(); });
        else
            builder.done();
    }

private:
    /// A client reads bytes behind the head of a response with another status
    /// as the start of the next response.
    static bool may_have_length(int status)
    {
        constexpr int no_content = 204;
        constexpr int not_modified = 304;
        return status >= 200 && status != no_content && status != not_modified;
    }

    static std::string reason_phrase(int status)
    {
        if (status < 300)
            return "OK";
        return status < 500 ? "Request Refused" : "Request Failed";
    }

    restinio::request_handle_t m_request;
    std::string m_method;
    /// Keeps its place in the budget when the bytes are taken, because their
    /// taker holds them until there is a response.
    held_body m_body;
    std::shared_ptr<std::size_t> m_open_exchanges;
    bool m_has_responded = false;
};

} // namespace

struct listener::implementation
{
    using server = restinio::http_server_t<server_traits>;

    implementation(asio::io_context& context, listener_options const& given,
                   handlers callbacks)
        : m_handlers(std::move(callbacks)),
          m_ledger(make_ledger(context, given)), m_stall_timer(context),
          m_server(
              restinio::external_io_context(context),
              [&](auto& settings)
              {
                  auto const [host, port] = split_address(given.address);
                  settings.address(host).port(port);
                  settings.protocol(asio::ip::make_address(host).is_v6()
                                        ? asio::ip::tcp::v6()
                                        : asio::ip::tcp::v4());
                  settings.request_handler(
                      [this](auto request)
                      {
                          m_handlers.on_request(
                              std::make_shared<restinio_exchange>(
                                  std::move(request)));
                          return restinio::request_accepted();
                      });
                  settings.connection_state_listener(
                      std::make_shared<close_notifier>(close_notifier{
                          [this](std::uint64_t connection)
                          {
                              if (m_handlers.on_closed)
                                  m_handlers.on_closed(connection);
                          }}));
                  settings.max_pipelined_requests(given.max_pipelined);
                  settings.read_next_http_message_timelimit(io_timeout);
                  settings.write_http_response_timelimit(io_timeout);
                  settings.handle_request_timeout(response_timeout);
                  settings.incoming_http_msg_limits(
                      restinio::incoming_http_msg_limits_t{}
                          .max_url_size(max_url_bytes)
                          .max_field_value_size(max_header_value_bytes)
                          .max_body_size(given.max_body));
                  settings.max_parallel_connections(
                      given.max_connections > 0
                          ? given.max_connections
                          : std::numeric_limits<std::size_t>::max());
                  settings.acceptor_options_setter(
                      [](auto& options) {
                          options.set_option(
                              asio::ip::tcp::acceptor::reuse_address(true));
                      });
                  settings.socket_options_setter(
                      [](auto& options)
                      { options.set_option(asio::ip::tcp::no_delay(true)); });
              })
    {
        m_ledger->on_no_room = [this](std::string const& client,
                                      std::uint64_t bytes, bool ends_connection)
        {
            if (m_handlers.on_no_room)
                m_handlers.on_no_room(client, bytes, ends_connection);
        };
        m_ledger->on_first_unfinished = [this] { watch_stalls(); };
    }

    ~implementation()
    {
        // Connections live as long as the io_context.
        m_ledger->on_no_room = {};
        m_ledger->on_first_unfinished = {};
    }

    /// Attaches the ledger to the context, where the server's sockets find it.
    static std::shared_ptr<body_ledger>
    make_ledger(asio::io_context& context, listener_options const& given)
    {
        auto ledger = std::make_shared<body_ledger>();
        ledger->limits.max_read = given.max_body;
        ledger->limits.max_kept =
            given.max_kept_body > 0 ? given.max_kept_body : given.max_body;
        ledger->budget.max_bytes = given.max_all_bodies;
        attach_ledger(context, ledger);
        return ledger;
    }

    void watch_stalls()
    {
        if (m_ledger->budget.max_bytes == 0 || m_is_watching)
            return;
        m_is_watching = true;
        m_stall_timer.expires_after(stall_check_interval);
        m_stall_timer.async_wait(
            [this](asio::error_code const& failure)
            {
                if (failure)
                    return;
                m_is_watching = false;
                for (std::uint64_t const body :
                     front::find_overdue_bodies(m_ledger->budget, clock_now()))
                    m_ledger->readers.at(body)->give_way();
                if (m_ledger->unfinished > 0)
                    watch_stalls();
            });
    }

    handlers m_handlers;
    // Before the server, whose sockets look for it.
    std::shared_ptr<body_ledger> m_ledger;
    asio::steady_timer m_stall_timer;
    bool m_is_watching = false;
    server m_server;
};

listener::listener(asio::io_context& context, listener_options const& options,
                   handlers callbacks)
    : m_implementation(std::make_unique<implementation>(context, options,
                                                        std::move(callbacks)))
{
    std::exception_ptr failure;
    m_implementation->m_server.open_async(
        [] {},
        [&failure](std::exception_ptr const& cause) { failure = cause; });
    // open_async() posts to the context, where nothing else is queued yet.
    context.poll();
    context.restart();
    if (failure)
    {
        try
        {
            std::rethrow_exception(failure);
        }
        catch (std::exception const& cause)
        {
            throw error(error_kind::internal,
                        options.address + ": " + cause.what());
        }
    }
}

listener::~listener() = default;

void listener::stop()
{
    m_implementation->m_server.close_async([] {},
                                           [](std::exception_ptr const&) {});
}

} // namespace gooseberrycove::http
