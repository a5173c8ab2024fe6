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

/// Maximum number of frames queued on one connection when the receiver is slow.
inline constexpr std::size_t max_queued_frames = 1024;

/// TCP stream to another daemon that carries frames, each preceded by a 4-byte
/// big-endian length. Used on the peer thread only; closes itself after a read
/// or write error.
class connection : public std::enable_shared_from_this<connection>
{
public:
    struct handlers
    {
        /// Called with each complete frame.
        std::function<void(connection&, std::string_view frame)> on_frame;
        /// Called once when the stream has ended. Frames with tags up to and
        /// including \p last_written may have reached the peer; frames with
        /// higher tags have not.
        std::function<void(connection&, std::uint64_t last_written)> on_end;
    };

    connection(asio::ip::tcp::socket socket, handlers callbacks);

    /// Connects to \p target and then sends the queued frames.
    /// \param source  local address of the connection; the default when empty
    void connect(asio::ip::tcp::endpoint const& target,
                 std::optional<asio::ip::address> const& source);

    /// Starts reading from an accepted socket.
    void start();

    /// Queues a frame. Returns its tag, which increases with every frame, or 0
    /// when the queue is full or the stream has ended or is closing.
    std::uint64_t send(std::string_view frame);

    /// Closes the stream after the queued frames are written.
    void close_after_writes();

    void close();

    bool is_connected() const { return m_is_connected; }
    bool has_ended() const { return m_has_ended; }
    /// True while frames are queued or being written.
    bool is_writing() const { return !m_queue.empty(); }
    time_point last_use() const { return m_last_use; }

    /// Peer address under which this connection is registered.
    std::string address;

private:
    void read_length();
    void read_frame();
    void write_next();
    void report_end();

    asio::ip::tcp::socket m_socket;
    handlers m_handlers;
    std::array<unsigned char, 4> m_length_prefix{};
    std::string m_incoming;
    std::deque<std::string> m_queue;
    std::uint64_t m_next_tag = 1;
    std::uint64_t m_last_started_tag = 0;
    time_point m_last_use = clock_now();
    bool m_is_connected = false;
    bool m_has_ended = false;
    bool m_is_finishing = false;
};

} // namespace gooseberrycove::peer

#endif
