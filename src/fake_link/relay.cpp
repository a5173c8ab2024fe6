#include "fake_link/relay.hpp"

#include <gooseberrycove/settings.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/read_until.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>

namespace gooseberrycove::fake_link
{

namespace
{

using asio::ip::tcp;
using asio::ip::udp;

/// Interval at which a blocked direction of a stream checks for its release.
constexpr std::chrono::milliseconds blocked_poll_period{20};
constexpr std::size_t max_datagram = 65'507;

template <class Protocol>
typename Protocol::endpoint endpoint_of(std::string_view address)
{
    auto const [host, port] = split_address(address);
    return {asio::ip::make_address(host), port};
}

/// Both directions of one TCP connection between two daemons.
struct stream
{
    stream(asio::io_context& loop, tcp::socket accepted)
        : accepted_socket(std::move(accepted)), connected_socket(loop)
    {
    }

    void close()
    {
        asio::error_code ignored;
        accepted_socket.close(ignored);
        connected_socket.close(ignored);
    }

    tcp::socket accepted_socket;
    tcp::socket connected_socket;
};

/// Copies one direction of a stream, and waits while that direction is blocked.
class direction_relay : public std::enable_shared_from_this<direction_relay>
{
public:
    direction_relay(state const& link, std::shared_ptr<stream> connection,
                    tcp::socket& source, tcp::socket& destination,
                    std::string sender, std::string receiver)
        : m_link(link), m_connection(std::move(connection)), m_source(source),
          m_destination(destination), m_sender(std::move(sender)),
          m_receiver(std::move(receiver)), m_timer(source.get_executor())
    {
    }

    void read()
    {
        m_source.async_read_some(
            asio::buffer(m_bytes),
            [self = shared_from_this()](asio::error_code failure,
                                        std::size_t count)
            {
                if (failure)
                    return self->handle_end();
                self->forward(count);
            });
    }

private:
    void forward(std::size_t count)
    {
        if (is_blocked(m_link, m_sender, m_receiver))
            return retry_later([count](direction_relay& direction)
                               { direction.forward(count); });
        asio::async_write(
            m_destination, asio::buffer(m_bytes.data(), count),
            [self = shared_from_this()](asio::error_code failure, std::size_t)
            {
                if (failure)
                    return self->m_connection->close();
                self->read();
            });
    }

    /// While the direction is blocked, the end of the stream is held back like
    /// its data.
    void handle_end()
    {
        if (is_blocked(m_link, m_sender, m_receiver))
            return retry_later([](direction_relay& direction)
                               { direction.handle_end(); });
        m_connection->close();
    }

    void retry_later(std::function<void(direction_relay&)> next)
    {
        m_timer.expires_after(blocked_poll_period);
        m_timer.async_wait([self = shared_from_this(), next = std::move(next)](
                               asio::error_code) { next(*self); });
    }

    state const& m_link;
    std::shared_ptr<stream> m_connection;
    tcp::socket& m_source;
    tcp::socket& m_destination;
    std::string m_sender;
    std::string m_receiver;
    asio::steady_timer m_timer;
    std::array<char, 65'536> m_bytes;
};

/// Listens at the advertised address of one daemon, over TCP and UDP.
class advertised_endpoint
{
public:
    advertised_endpoint(asio::io_context& loop, state const& link,
                        node const& daemon)
        : m_loop(loop), m_link(link), m_daemon(daemon),
          m_acceptor(loop, endpoint_of<tcp>(daemon.advertised)),
          m_datagrams(loop, endpoint_of<udp>(daemon.advertised)),
          m_bound(endpoint_of<udp>(daemon.bound))
    {
        accept();
        receive();
    }

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](asio::error_code failure, tcp::socket socket)
            {
                if (!failure)
                    connect(std::move(socket));
                accept();
            });
    }

    void connect(tcp::socket socket)
    {
        asio::error_code failure;
        auto const remote = socket.remote_endpoint(failure);
        if (failure)
            return;
        std::string const sender(
            sender_name(m_link, remote.address().to_string()));
        auto const connection =
            std::make_shared<stream>(m_loop, std::move(socket));
        connection->connected_socket.async_connect(
            endpoint_of<tcp>(m_daemon.bound),
            [this, connection, sender](asio::error_code connect_failure)
            {
                if (connect_failure)
                    return connection->close();
                asio::error_code ignored;
                connection->accepted_socket.set_option(tcp::no_delay(true),
                                                       ignored);
                connection->connected_socket.set_option(tcp::no_delay(true),
                                                        ignored);
                std::make_shared<direction_relay>(
                    m_link, connection, connection->accepted_socket,
                    connection->connected_socket, sender, m_daemon.name)
                    ->read();
                std::make_shared<direction_relay>(
                    m_link, connection, connection->connected_socket,
                    connection->accepted_socket, m_daemon.name, sender)
                    ->read();
            });
    }

    void receive()
    {
        m_datagrams.async_receive_from(
            asio::buffer(m_datagram), m_sender,
            [this](asio::error_code failure, std::size_t size)
            {
                if (!failure)
                    forward_datagram(size);
                receive();
            });
    }

    void forward_datagram(std::size_t size)
    {
        auto const sender = sender_name(m_link, m_sender.address().to_string());
        if (is_blocked(m_link, sender, m_daemon.name))
            return;
        asio::error_code ignored;
        m_datagrams.send_to(asio::buffer(m_datagram.data(), size), m_bound, 0,
                            ignored);
    }

    asio::io_context& m_loop;
    state const& m_link;
    node const& m_daemon;
    tcp::acceptor m_acceptor;
    udp::socket m_datagrams;
    udp::endpoint m_bound;
    udp::endpoint m_sender;
    std::vector<char> m_datagram = std::vector<char>(max_datagram);
};

/// One connection to the control address.
class command_session : public std::enable_shared_from_this<command_session>
{
public:
    command_session(state& link, tcp::socket socket)
        : m_link(link), m_socket(std::move(socket))
    {
    }

    void read()
    {
        asio::async_read_until(m_socket,
                               asio::dynamic_buffer(m_input, max_line), '\n',
                               [self = shared_from_this()](
                                   asio::error_code failure, std::size_t count)
                               {
                                   if (!failure)
                                       self->run_command(count);
                               });
    }

private:
    static constexpr std::size_t max_line = 1024;

    void run_command(std::size_t length)
    {
        m_output =
            on_command(m_link, std::string_view(m_input).substr(0, length));
        m_output += '\n';
        m_input.erase(0, length);
        asio::async_write(
            m_socket, asio::buffer(m_output),
            [self = shared_from_this()](asio::error_code failure, std::size_t)
            {
                if (!failure)
                    self->read();
            });
    }

    state& m_link;
    tcp::socket m_socket;
    std::string m_input;
    std::string m_output;
};

void accept_commands(tcp::acceptor& acceptor, state& link)
{
    acceptor.async_accept(
        [&](asio::error_code failure, tcp::socket socket)
        {
            if (!failure)
                std::make_shared<command_session>(link, std::move(socket))
                    ->read();
            accept_commands(acceptor, link);
        });
}

} // namespace

void relay(state& link, std::string_view control)
{
    asio::io_context loop;
    std::vector<std::unique_ptr<advertised_endpoint>> endpoints;
    for (node const& item : link.nodes)
        endpoints.push_back(
            std::make_unique<advertised_endpoint>(loop, link, item));
    tcp::acceptor commands(loop, endpoint_of<tcp>(control));
    accept_commands(commands, link);
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code, int) { loop.stop(); });
    loop.run();
}

} // namespace gooseberrycove::fake_link
