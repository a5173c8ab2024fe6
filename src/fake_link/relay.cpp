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

/// How often a stream that stands still looks whether its cut is healed.
constexpr std::chrono::milliseconds cut_poll{20};
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
        : near(std::move(accepted)), far(loop)
    {
    }

    void close()
    {
        asio::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }

    tcp::socket near;
    tcp::socket far;
};

/// Copies one direction of a stream, and waits while that direction is cut.
class pump : public std::enable_shared_from_this<pump>
{
public:
    pump(state const& link, std::shared_ptr<stream> both, tcp::socket& from,
         tcp::socket& to, std::string sender, std::string receiver)
        : m_link(link), m_both(std::move(both)), m_from(from), m_to(to),
          m_sender(std::move(sender)), m_receiver(std::move(receiver)),
          m_timer(from.get_executor())
    {
    }

    void read()
    {
        m_from.async_read_some(
            asio::buffer(m_bytes),
            [self = shared_from_this()](asio::error_code failure, std::size_t n)
            {
                if (failure)
                    return self->end();
                self->pass(n);
            });
    }

private:
    void pass(std::size_t count)
    {
        if (is_cut(m_link, m_sender, m_receiver))
            return wait([count](pump& self) { self.pass(count); });
        asio::async_write(
            m_to, asio::buffer(m_bytes.data(), count),
            [self = shared_from_this()](asio::error_code failure, std::size_t)
            {
                if (failure)
                    return self->m_both->close();
                self->read();
            });
    }

    /// The end of a stream is held back by a cut like its bytes.
    void end()
    {
        if (is_cut(m_link, m_sender, m_receiver))
            return wait([](pump& self) { self.end(); });
        m_both->close();
    }

    void wait(std::function<void(pump&)> next)
    {
        m_timer.expires_after(cut_poll);
        m_timer.async_wait([self = shared_from_this(), next = std::move(next)](
                               asio::error_code) { next(*self); });
    }

    state const& m_link;
    std::shared_ptr<stream> m_both;
    tcp::socket& m_from;
    tcp::socket& m_to;
    std::string m_sender;
    std::string m_receiver;
    asio::steady_timer m_timer;
    std::array<char, 65'536> m_bytes;
};

/// The advertised address of one daemon.
class entrance
{
public:
    entrance(asio::io_context& loop, state const& link, node const& own)
        : m_loop(loop), m_link(link), m_own(own),
          m_acceptor(loop, endpoint_of<tcp>(own.advertised)),
          m_datagrams(loop, endpoint_of<udp>(own.advertised)),
          m_bound(endpoint_of<udp>(own.bound))
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
                    start(std::move(socket));
                accept();
            });
    }

    void start(tcp::socket socket)
    {
        asio::error_code failure;
        auto const remote = socket.remote_endpoint(failure);
        if (failure)
            return;
        std::string const sender(
            sender_of(m_link, remote.address().to_string()));
        auto const both = std::make_shared<stream>(m_loop, std::move(socket));
        both->far.async_connect(
            endpoint_of<tcp>(m_own.bound),
            [this, both, sender](asio::error_code refused)
            {
                if (refused)
                    return both->close();
                asio::error_code ignored;
                both->near.set_option(tcp::no_delay(true), ignored);
                both->far.set_option(tcp::no_delay(true), ignored);
                std::make_shared<pump>(m_link, both, both->near, both->far,
                                       sender, m_own.name)
                    ->read();
                std::make_shared<pump>(m_link, both, both->far, both->near,
                                       m_own.name, sender)
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
                    pass(size);
                receive();
            });
    }

    void pass(std::size_t size)
    {
        auto const sender = sender_of(m_link, m_sender.address().to_string());
        if (is_cut(m_link, sender, m_own.name))
            return;
        asio::error_code ignored;
        m_datagrams.send_to(asio::buffer(m_datagram.data(), size), m_bound, 0,
                            ignored);
    }

    asio::io_context& m_loop;
    state const& m_link;
    node const& m_own;
    tcp::acceptor m_acceptor;
    udp::socket m_datagrams;
    udp::endpoint m_bound;
    udp::endpoint m_sender;
    std::vector<char> m_datagram = std::vector<char>(max_datagram);
};

/// One connection that brings commands.
class session : public std::enable_shared_from_this<session>
{
public:
    session(state& link, tcp::socket socket)
        : m_link(link), m_socket(std::move(socket))
    {
    }

    void read()
    {
        asio::async_read_until(
            m_socket, asio::dynamic_buffer(m_in, max_line), '\n',
            [self = shared_from_this()](asio::error_code failure, std::size_t n)
            {
                if (!failure)
                    self->answer(n);
            });
    }

private:
    static constexpr std::size_t max_line = 1024;

    void answer(std::size_t length)
    {
        m_out = on_command(m_link, std::string_view(m_in).substr(0, length));
        m_out += '\n';
        m_in.erase(0, length);
        asio::async_write(
            m_socket, asio::buffer(m_out),
            [self = shared_from_this()](asio::error_code failure, std::size_t)
            {
                if (!failure)
                    self->read();
            });
    }

    state& m_link;
    tcp::socket m_socket;
    std::string m_in;
    std::string m_out;
};

void accept_commands(tcp::acceptor& acceptor, state& link)
{
    acceptor.async_accept(
        [&](asio::error_code failure, tcp::socket socket)
        {
            if (!failure)
                std::make_shared<session>(link, std::move(socket))->read();
            accept_commands(acceptor, link);
        });
}

} // namespace

void relay(state& link, std::string_view control)
{
    asio::io_context loop;
    std::vector<std::unique_ptr<entrance>> entrances;
    for (node const& item : link.nodes)
        entrances.push_back(std::make_unique<entrance>(loop, link, item));
    tcp::acceptor commands(loop, endpoint_of<tcp>(control));
    accept_commands(commands, link);
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code, int) { loop.stop(); });
    loop.run();
}

} // namespace gooseberrycove::fake_link
