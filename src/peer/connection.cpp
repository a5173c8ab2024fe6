#include "connection.hpp"

#include <gooseberrycove/wire.hpp>

#include <asio/read.hpp>
#include <asio/write.hpp>

namespace gooseberrycove::peer
{

namespace
{

/// A larger buffer is freed after its frame, because a connection that carried
/// one large body would hold its memory while idle.
constexpr std::size_t max_kept_buffer = std::size_t{64} << 10;

std::size_t frame_length(std::span<unsigned char const, 4> bytes)
{
    std::size_t length = 0;
    for (unsigned char const byte : bytes)
        length = length << 8 | byte;
    return length;
}

std::string with_length_prefix(std::string_view frame)
{
    std::string out;
    out.reserve(frame.size() + 4);
    for (int shift = 24; shift >= 0; shift -= 8)
        out += static_cast<char>(frame.size() >> shift & 0xFF);
    out += frame;
    return out;
}

} // namespace

connection::connection(asio::ip::tcp::socket socket, handlers callbacks)
    : m_socket(std::move(socket)), m_handlers(std::move(callbacks))
{
}

void connection::connect(asio::ip::tcp::endpoint const& target,
                         std::optional<asio::ip::address> const& source)
{
    asio::error_code ignored;
    if (source)
    {
        // If the bind fails, the connection uses the default local address.
        m_socket.open(target.protocol(), ignored);
        m_socket.bind({*source, 0}, ignored);
    }
    m_socket.async_connect(target,
                           [self = shared_from_this()](asio::error_code failure)
                           {
                               if (failure || self->m_has_ended)
                                   return self->report_end();
                               self->start();
                               self->write_next();
                           });
}

void connection::start()
{
    m_is_connected = true;
    asio::error_code ignored;
    // Most requests and results are single small frames; Nagle's algorithm
    // would delay them by up to 40 ms.
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    read_length();
}

std::uint64_t connection::send(std::string_view frame)
{
    if (m_has_ended || m_is_finishing || m_queue.size() >= max_queued_frames)
        return 0;
    m_last_use = clock_now();
    m_queue.push_back(with_length_prefix(frame));
    if (m_is_connected && m_queue.size() == 1)
        write_next();
    return m_next_tag++;
}

void connection::close_after_writes()
{
    m_is_finishing = true;
    if (m_queue.empty())
        close();
}

void connection::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
    report_end();
}

void connection::read_length()
{
    asio::async_read(
        m_socket, asio::buffer(m_length_prefix),
        [self = shared_from_this()](asio::error_code failure, std::size_t)
        {
            if (failure || self->m_has_ended)
                return self->report_end();
            std::size_t const length = frame_length(self->m_length_prefix);
            if (length == 0 || length > wire::max_frame_size)
                return self->close();
            self->m_incoming.resize(length);
            self->read_frame();
        });
}

void connection::read_frame()
{
    asio::async_read(
        m_socket, asio::buffer(m_incoming),
        [self = shared_from_this()](asio::error_code failure, std::size_t)
        {
            // A read may complete before close() and its handler run after it.
            // The owner has then dropped the connection.
            if (failure || self->m_has_ended)
                return self->report_end();
            self->m_last_use = clock_now();
            self->m_handlers.on_frame(*self, self->m_incoming);
            if (self->m_incoming.capacity() > max_kept_buffer)
                self->m_incoming = {};
            if (!self->m_has_ended)
                self->read_length();
        });
}

void connection::write_next()
{
    if (m_queue.empty() || m_has_ended)
        return;
    ++m_last_started_tag;
    asio::async_write(
        m_socket, asio::buffer(m_queue.front()),
        [self = shared_from_this()](asio::error_code failure, std::size_t)
        {
            if (failure || self->m_has_ended)
                return self->report_end();
            self->m_queue.pop_front();
            if (self->m_queue.empty() && self->m_is_finishing)
                return self->close();
            self->write_next();
        });
}

void connection::report_end()
{
    if (m_has_ended)
        return;
    m_has_ended = true;
    asio::error_code ignored;
    m_socket.close(ignored);
    m_handlers.on_end(*this, m_last_started_tag);
}

} // namespace gooseberrycove::peer
