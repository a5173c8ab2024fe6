#include <asio.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>

DEFINE_string(target, "", "ip:port of the server");
DEFINE_string(secret, "", "token of the header Authorization");
DEFINE_uint32(clients, 1, "connections that send a body at once");
DEFINE_uint64(body, 1, "size of each body in bytes");
DEFINE_uint64(chunk, 0, "size of a chunk in bytes; 0: the size is announced");
DEFINE_uint64(piece, 0, "bytes in a write; 0: as many as the socket takes");
DEFINE_uint32(pause_ms, 0, "pause between two pieces");
DEFINE_uint64(short_by, 0,
              "every second body stops this many bytes before its end, and its "
              "connection stays open");
DEFINE_uint32(seconds, 10, "time after which open connections are closed");

namespace
{

/// Bytes that are prepared once and sent repeatedly.
constexpr std::size_t block_bytes = std::size_t{64} << 10;

std::string make_block()
{
    std::string block;
    if (FLAGS_chunk == 0)
        return std::string(block_bytes, 'x');
    char size[32];
    std::snprintf(size, sizeof size, "%llx\r\n",
                  static_cast<unsigned long long>(FLAGS_chunk));
    do
        block += size + std::string(FLAGS_chunk, 'x') + "\r\n";
    while (block.size() < block_bytes);
    return block;
}

/// Number of bytes behind the head of a request.
std::uint64_t encoded_bytes(std::string const& block)
{
    if (FLAGS_chunk == 0)
        return FLAGS_body;
    std::uint64_t const one_chunk = block.find("\r\n", block.find('x')) + 2;
    return FLAGS_body / FLAGS_chunk * one_chunk;
}

struct totals
{
    std::uint64_t sent_bytes = 0;
    std::uint32_t completed = 0;
    std::uint32_t statuses = 0;
    std::uint32_t ended_by_server = 0;
};

/// One connection that sends one request and reads what the server answers.
class client : public std::enable_shared_from_this<client>
{
public:
    client(asio::io_context& context, std::string const& block, bool is_short,
           totals& sums)
        : m_socket(context), m_pause(context), m_block(block),
          m_left(encoded_bytes(block)), m_is_short(is_short), m_sums(sums)
    {
        m_head = "POST /body HTTP/1.1\r\nHost: shop\r\n"
                 "Content-Type: text/plain\r\nAuthorization: Bearer " +
                 FLAGS_secret + "\r\n";
        m_head += FLAGS_chunk == 0
                      ? "Content-Length: " + std::to_string(FLAGS_body)
                      : "Transfer-Encoding: chunked";
        m_head += "\r\n\r\n";
        if (m_is_short)
            m_left -= std::min<std::uint64_t>(m_left, FLAGS_short_by);
    }

    void start(asio::ip::tcp::endpoint const& server)
    {
        m_socket.async_connect(
            server,
            [self = shared_from_this()](asio::error_code const& failure)
            {
                if (failure)
                    return;
                self->read();
                asio::async_write(
                    self->m_socket, asio::buffer(self->m_head),
                    [self](asio::error_code const& failed, std::size_t)
                    {
                        if (!failed)
                            self->write();
                    });
            });
    }

private:
    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_received),
            [self = shared_from_this()](asio::error_code const& failure,
                                        std::size_t count)
            {
                if (failure)
                {
                    ++self->m_sums.ended_by_server;
                    self->m_has_ended = true;
                    asio::error_code ignored;
                    self->m_socket.close(ignored);
                    return;
                }
                if (count > 0 && !std::exchange(self->m_has_status, true))
                    ++self->m_sums.statuses;
                self->read();
            });
    }

    void write()
    {
        if (m_has_ended)
            return;
        if (m_left == 0)
            return finish();
        std::uint64_t count =
            std::min<std::uint64_t>(m_left, m_block.size() - m_block_position);
        if (FLAGS_piece > 0)
            count = std::min<std::uint64_t>(count, FLAGS_piece);
        m_socket.async_write_some(
            asio::buffer(m_block.data() + m_block_position, count),
            [self = shared_from_this()](asio::error_code const& failure,
                                        std::size_t written)
            {
                if (failure)
                    return;
                self->m_left -= written;
                self->m_sums.sent_bytes += written;
                self->m_block_position =
                    (self->m_block_position + written) % self->m_block.size();
                self->continue_writing();
            });
    }

    void continue_writing()
    {
        if (FLAGS_pause_ms == 0)
            return write();
        m_pause.expires_after(std::chrono::milliseconds(FLAGS_pause_ms));
        m_pause.async_wait(
            [self = shared_from_this()](asio::error_code const& failure)
            {
                if (!failure)
                    self->write();
            });
    }

    void finish()
    {
        if (m_is_short)
            return;
        ++m_sums.completed;
        if (FLAGS_chunk == 0)
            return;
        asio::async_write(m_socket, asio::buffer(m_last_chunk),
                          [self = shared_from_this()](asio::error_code const&,
                                                      std::size_t) {});
    }

    std::string const m_last_chunk = "0\r\n\r\n";
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_pause;
    std::string m_head;
    std::string const& m_block;
    std::size_t m_block_position = 0;
    std::uint64_t m_left;
    bool m_is_short;
    bool m_has_status = false;
    bool m_has_ended = false;
    std::array<char, 4096> m_received{};
    totals& m_sums;
};

} // namespace

int main(int count, char** arguments)
{
    gflags::SetUsageMessage("sends many request bodies at once");
    gflags::ParseCommandLineFlags(&count, &arguments, true);
    auto const colon = FLAGS_target.rfind(':');
    if (colon == std::string::npos)
    {
        std::fprintf(stderr, "--target: allowed: ip:port\n");
        return 2;
    }
    asio::ip::tcp::endpoint const server(
        asio::ip::make_address(FLAGS_target.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(FLAGS_target.substr(colon + 1))));
    std::string const block = make_block();
    totals sums;
    asio::io_context context;
    for (std::uint32_t i = 0; i < FLAGS_clients; ++i)
        std::make_shared<client>(context, block,
                                 FLAGS_short_by > 0 && i % 2 == 1, sums)
            ->start(server);
    context.run_for(std::chrono::seconds(FLAGS_seconds));
    std::printf(
        "sent_bytes=%llu completed=%u responses=%u ended_by_server=%u\n",
        static_cast<unsigned long long>(sums.sent_bytes), sums.completed,
        sums.statuses, sums.ended_by_server);
    return 0;
}
