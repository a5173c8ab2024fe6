#ifndef GOOSEBERRYCOVE_PEER_CONNECTION_HPP
#define GOOSEBERRYCOVE_PEER_CONNECTION_HPP

#include <gooseberrycove/types.hpp>

#include <asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gooseberrycove::peer
{

/// Frames that may wait on one connection for a slow receiver.
inline constexpr std::size_t max_queued_frames = 1024;

/// One stream to a daemon that carries frames with a 4-byte length before
/// each. Lives on the peer thread; ends by itself after a fault.
class connection : public std::enable_shared_from_this<connection>
{
public:
    struct handlers
    {
        /// A complete frame arrived.
        std::function<void(connection&, std::string_view frame)> on_frame;
        /// The stream ended. Tags up to and including \p last_written may have
        /// reached the peer; later ones have not.
        std::function<void(connection&, std::uint64_t last_written)> on_end;
    };

    connection(asio::ip::tcp::socket socket, handlers what);

    /// Connects to \p target, from \p source when it is given, then sends the
    /// queued frames.
    void connect(asio::ip::tcp::endpoint const& target,
                 std::optional<asio::ip::address> const& source);

    /// Starts reading on an accepted socket.
    void start();

    /// Queues a frame. Returns its tag, a rising number, or 0 when the queue
    /// is full or the stream has ended.
    std::uint64_t send(std::string_view frame);

    /// Closes after the queued frames are written.
    void finish();

    void close();

    bool connected() const { return m_connected; }
    bool ended() const { return m_ended; }
    /// True while frames are queued or being written.
    bool writing() const { return !m_queue.empty(); }
    time_point last_use() const { return m_last_use; }

    /// Peer address under which this connection is registered.
    std::string address;

private:
    void read_length();
    void read_frame();
    void write_next();
    void end();

    asio::ip::tcp::socket m_socket;
    handlers m_handlers;
    std::array<unsigned char, 4> m_length{};
    std::string m_incoming;
    std::deque<std::string> m_queue;
    std::uint64_t m_next_tag = 1;
    std::uint64_t m_last_started = 0;
    time_point m_last_use = clock_now();
    bool m_connected = false;
    bool m_ended = false;
    bool m_finishing = false;
};

} // namespace gooseberrycove::peer

#endif
