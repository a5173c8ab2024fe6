#include "peer_thread.hpp"

#include "connection.hpp"
#include "delivery.hpp"
#include "path.hpp"
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/settings.hpp>
#include <gooseberrycove/wire.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace gooseberrycove::peer
{

namespace
{

using asio::ip::tcp;
using asio::ip::udp;

/// A connection without use for this long is closed: at the target's size a
/// daemon talks to most others only now and then.
constexpr std::chrono::seconds idle_limit{60};
constexpr std::chrono::seconds sweep_interval{5};
/// A connect attempt that takes longer counts as unreachable.
constexpr std::chrono::seconds connect_limit{2};
/// Time for queued frames when the daemon stops.
constexpr std::chrono::seconds finish_limit{2};
constexpr std::size_t max_datagram = 65'507;

struct sent_work
{
    connection* carrier = nullptr;
    std::uint64_t tag = 0;
    std::uint32_t attempt = 0;
    std::string address;
    time_point sent;
};

/// A connection's path and the work that waits for its proof.
struct checked_path
{
    path state;
    std::vector<outgoing> waiting;
};

using attempt_key = std::pair<request_id, std::uint32_t>;

struct attempt_key_hash
{
    std::size_t operator()(attempt_key const& key) const noexcept
    {
        return request_id_hash()(key.first) + key.second;
    }
};

/// Sockets and connections of the peer thread.
class peer_loop
{
public:
    peer_loop(inbox& messages, wiring const& to);
    void run();

private:
    tcp::endpoint endpoint_of(std::string_view address) const;
    void bind();
    void accept();
    void receive();
    void drain_inbox();
    void send(outgoing const& what);
    void send_datagram(std::string_view address, std::string const& frame);
    void send_stream(outgoing const& what, std::string_view frame);
    void send_work(outgoing const& what);
    void write_work(connection& stream, outgoing const& what);
    void give_back_unsent(outgoing const& what);
    void give_back_waiting(checked_path& of);
    void watch_checks(time_point from);
    void end_late_checks();
    void on_check(connection& from, path_check const& what);
    std::string encode(payload const& what);
    connection& connection_to(std::string const& address);
    std::shared_ptr<connection> make_connection(tcp::socket socket);
    void on_frame(connection* from, std::string_view frame);
    void on_result(connection* from, work_result const& result);
    void on_end(connection& ended, std::uint64_t last_written);
    void give_back(sent_work const& lost, request_id id, bool sent);
    void sweep();
    void finish();

    inbox& m_messages;
    wiring const& m_to;
    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context};
    udp::socket m_datagrams{m_context};
    asio::steady_timer m_sweep_timer{m_context};
    asio::steady_timer m_check_timer{m_context};
    bool m_checks_watched = false;
    std::uint64_t m_last_check = 0;
    std::unordered_map<connection*, checked_path> m_paths;
    std::vector<char> m_datagram = std::vector<char>(max_datagram);
    udp::endpoint m_datagram_sender;
    std::unordered_set<std::shared_ptr<connection>> m_connections;
    std::unordered_map<std::string, connection*> m_by_address;
    std::unordered_map<attempt_key, sent_work, attempt_key_hash> m_sent;
    std::vector<message> m_batch;
    bool m_finishing = false;
};

peer_loop::peer_loop(inbox& messages, wiring const& to)
    : m_messages(messages), m_to(to)
{
}

tcp::endpoint peer_loop::endpoint_of(std::string_view address) const
{
    auto const [host, port] = split_address(address);
    return {asio::ip::make_address(host), port};
}

void peer_loop::bind()
{
    tcp::endpoint const own = endpoint_of(
        m_to.bind_address.empty() ? m_to.address : m_to.bind_address);
    m_acceptor.open(own.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(own);
    m_acceptor.listen();
    udp::endpoint const own_udp(own.address(), own.port());
    m_datagrams.open(own_udp.protocol());
    m_datagrams.bind(own_udp);
}

void peer_loop::run()
{
    bind();
    m_messages.set_waker([this]
                         { asio::post(m_context, [this] { drain_inbox(); }); });
    asio::post(m_context, [this] { drain_inbox(); });
    accept();
    receive();
    sweep();
    m_context.run();
}

void peer_loop::accept()
{
    m_acceptor.async_accept(
        [this](asio::error_code failure, tcp::socket socket)
        {
            if (m_finishing)
                return;
            if (!failure)
                make_connection(std::move(socket))->start();
            accept();
        });
}

void peer_loop::receive()
{
    m_datagrams.async_receive_from(
        asio::buffer(m_datagram), m_datagram_sender,
        [this](asio::error_code failure, std::size_t size)
        {
            if (m_finishing)
                return;
            if (!failure)
                on_frame(nullptr, {m_datagram.data(), size});
            receive();
        });
}

void peer_loop::drain_inbox()
{
    bool const open = m_messages.pop_all(m_batch);
    for (message& item : m_batch)
    {
        if (auto const* what = std::get_if<outgoing>(&item))
            send(*what);
    }
    m_batch.clear();
    if (!open && !m_finishing)
        finish();
}

std::string peer_loop::encode(payload const& what)
{
    std::string frame =
        wire::encode(m_to.keys->current(), m_to.self, what, clock_now());
    m_to.counts->count_peer_bytes(
        direction::out, carries_work(what) ? "work" : "control", frame.size());
    return frame;
}

void peer_loop::send(outgoing const& what)
{
    if (std::holds_alternative<work_request>(what.content))
        return send_work(what);
    std::string const frame = encode(what.content);
    if (std::holds_alternative<members::packet>(what.content))
        return send_datagram(what.address, frame);
    send_stream(what, frame);
}

void peer_loop::send_datagram(std::string_view address,
                              std::string const& frame)
{
    if (!is_address(address))
        return;
    tcp::endpoint const target = endpoint_of(address);
    asio::error_code ignored;
    m_datagrams.send_to(asio::buffer(frame),
                        udp::endpoint(target.address(), target.port()), 0,
                        ignored);
}

void peer_loop::send_stream(outgoing const& what, std::string_view frame)
{
    if (is_address(what.address))
        connection_to(what.address).send(frame);
}

void peer_loop::send_work(outgoing const& what)
{
    if (!is_address(what.address))
        return give_back_unsent(what);
    time_point const now = clock_now();
    connection& stream = connection_to(what.address);
    checked_path& way = m_paths[&stream];
    switch (on_outgoing_work(way.state, m_last_check + 1, now))
    {
    case path_step::send:
        return write_work(stream, what);
    case path_step::check:
        way.waiting.push_back(what);
        stream.send(encode(path_check{++m_last_check, false}));
        return watch_checks(now);
    case path_step::wait:
        way.waiting.push_back(what);
        return;
    case path_step::give_back:
        return give_back_unsent(what);
    case path_step::reconnect:
        // The old connection stays open for the answers that it may bring.
        m_by_address.erase(what.address);
        return send_work(what);
    }
}

void peer_loop::write_work(connection& stream, outgoing const& what)
{
    work_request const& carried = std::get<work_request>(what.content);
    sent_work record{nullptr, 0, carried.attempt, what.address, clock_now()};
    attempt_key const key{carried.id, carried.attempt};
    // The entry exists before the frame can fail, so that a failure inside
    // send() finds it.
    m_sent[key] = record;
    std::uint64_t const tag = stream.send(encode(what.content));
    if (tag == 0)
    {
        m_sent.erase(key);
        return give_back(record, carried.id, false);
    }
    m_sent[key].carrier = &stream;
    m_sent[key].tag = tag;
}

void peer_loop::give_back_unsent(outgoing const& what)
{
    work_request const& carried = std::get<work_request>(what.content);
    give_back({nullptr, 0, carried.attempt, what.address, {}}, carried.id,
              false);
}

void peer_loop::give_back_waiting(checked_path& of)
{
    std::vector<outgoing> const waiting = std::exchange(of.waiting, {});
    for (outgoing const& what : waiting)
        give_back_unsent(what);
}

/// Looks at the checks when one sent at \p from is late.
void peer_loop::watch_checks(time_point from)
{
    if (m_checks_watched)
        return;
    m_checks_watched = true;
    m_check_timer.expires_at(from + check_limit);
    m_check_timer.async_wait(
        [this](asio::error_code failure)
        {
            m_checks_watched = false;
            if (!failure && !m_finishing)
                end_late_checks();
        });
}

void peer_loop::end_late_checks()
{
    time_point const now = clock_now();
    time_point oldest = time_point::max();
    for (auto& [stream, way] : m_paths)
    {
        if (way.waiting.empty())
            continue;
        if (is_late(way.state, now))
            give_back_waiting(way);
        else
            oldest = std::min(oldest, way.state.asked);
    }
    if (oldest != time_point::max())
        watch_checks(oldest);
}

void peer_loop::on_check(connection& from, path_check const& what)
{
    if (!what.is_reply)
    {
        from.send(encode(path_check{what.number, true}));
        return;
    }
    checked_path& way = m_paths[&from];
    on_check_answer(way.state, what.number);
    if (way.state.check != 0)
        return;
    std::vector<outgoing> const waiting = std::exchange(way.waiting, {});
    for (outgoing const& item : waiting)
        write_work(from, item);
}

connection& peer_loop::connection_to(std::string const& address)
{
    auto const known = m_by_address.find(address);
    if (known != m_by_address.end() && !known->second->ended())
        return *known->second;
    auto const made = make_connection(tcp::socket(m_context));
    made->address = address;
    m_by_address[address] = made.get();
    std::optional<asio::ip::address> source;
    if (!m_to.bind_address.empty())
        source = endpoint_of(m_to.bind_address).address();
    made->connect(endpoint_of(address), source);
    auto const limit = std::make_shared<asio::steady_timer>(m_context);
    limit->expires_after(connect_limit);
    limit->async_wait(
        [limit, weak = std::weak_ptr(made)](asio::error_code failure)
        {
            auto const pending = weak.lock();
            if (!failure && pending && !pending->connected())
                pending->close();
        });
    return *made;
}

std::shared_ptr<connection> peer_loop::make_connection(tcp::socket socket)
{
    connection::handlers what;
    what.on_frame = [this](connection& from, std::string_view frame)
    { on_frame(&from, frame); };
    what.on_end = [this](connection& ended, std::uint64_t last_written)
    { on_end(ended, last_written); };
    auto made =
        std::make_shared<connection>(std::move(socket), std::move(what));
    m_connections.insert(made);
    return made;
}

void peer_loop::on_frame(connection* from, std::string_view frame)
{
    try
    {
        wire::message decoded =
            wire::decode(frame, m_to.keys->all(), clock_now());
        m_to.counts->count_peer_bytes(
            direction::in, carries_work(decoded.content) ? "work" : "control",
            frame.size());
        if (auto const* result = std::get_if<work_result>(&decoded.content))
            on_result(from, *result);
        std::string_view const reply = reply_address(decoded.content);
        if (from && !reply.empty())
        {
            // Answers go back on the stream that brought the last request:
            // the peer may have replaced an earlier one that went silent.
            from->address = reply;
            m_by_address[from->address] = from;
        }
        if (auto const* check = std::get_if<path_check>(&decoded.content))
        {
            if (from)
                on_check(*from, *check);
            return;
        }
        auto const refusal = deliver(std::move(decoded.content), m_to);
        if (refusal)
            send(*refusal);
    }
    catch (error const& fault)
    {
        m_to.counts->count_refusal("peer", fault.kind());
        log_warning(event_line(event::peer_refused)
                        .field("kind", error_response_for(fault.kind()).name)
                        .field("detail", fault.what()));
        if (from)
            from->close();
    }
}

void peer_loop::on_result(connection* from, work_result const& result)
{
    auto const sent = m_sent.find({result.id, result.attempt});
    if (sent == m_sent.end())
        return;
    if (from != nullptr && sent->second.carrier == from)
        on_proof(m_paths[from].state, sent->second.sent);
    m_sent.erase(sent);
}

void peer_loop::on_end(connection& ended, std::uint64_t last_written)
{
    auto const way = m_paths.find(&ended);
    if (way != m_paths.end())
    {
        give_back_waiting(way->second);
        m_paths.erase(way);
    }
    auto const known = m_by_address.find(ended.address);
    if (known != m_by_address.end() && known->second == &ended)
        m_by_address.erase(known);
    for (auto item = m_sent.begin(); item != m_sent.end();)
    {
        if (item->second.carrier != &ended)
        {
            ++item;
            continue;
        }
        give_back(item->second, item->first.first,
                  item->second.tag <= last_written);
        item = m_sent.erase(item);
    }
    if (!ended.address.empty())
        log_info(event_line(event::peer_connection_lost)
                     .field("address", ended.address));
    // The connection is still on the call stack of its own handler.
    asio::post(m_context,
               [this, gone = ended.shared_from_this()]
               {
                   m_connections.erase(gone);
                   if (m_finishing && m_connections.empty())
                       m_context.stop();
               });
}

void peer_loop::give_back(sent_work const& lost, request_id id, bool sent)
{
    m_to.routing->try_push(lost_work(id, lost.attempt, sent, lost.address));
}

void peer_loop::sweep()
{
    m_sweep_timer.expires_after(sweep_interval);
    m_sweep_timer.async_wait(
        [this](asio::error_code failure)
        {
            if (failure || m_finishing)
                return;
            time_point const oldest = clock_now() - idle_limit;
            auto const connections = m_connections;
            for (auto const& item : connections)
            {
                if (item->last_use() < oldest && !item->writing())
                    item->close();
            }
            sweep();
        });
}

void peer_loop::finish()
{
    m_finishing = true;
    asio::error_code ignored;
    m_acceptor.close(ignored);
    m_datagrams.close(ignored);
    m_sweep_timer.cancel();
    auto const connections = m_connections;
    for (auto const& item : connections)
        item->finish();
    m_sweep_timer.expires_after(finish_limit);
    m_sweep_timer.async_wait([this](asio::error_code) { m_context.stop(); });
    if (m_connections.empty())
        m_context.stop();
}

} // namespace

void run(inbox& messages, wiring const& to)
{
    peer_loop(messages, to).run();
}

} // namespace gooseberrycove::peer
