#include "peer_thread.hpp"

#include "connection.hpp"
#include "delivery.hpp"
#include "reachability.hpp"
#include "received_bodies.hpp"
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

/// A connection without traffic for this long is closed: in a fleet of the
/// intended size, a daemon exchanges messages with most others only rarely.
constexpr std::chrono::seconds idle_timeout{60};
constexpr std::chrono::seconds sweep_interval{5};
/// Maximum time of a connect attempt; the remote daemon then counts as
/// unreachable.
constexpr std::chrono::seconds connect_timeout{2};
/// Maximum time to write the queued frames when the daemon stops.
constexpr std::chrono::seconds finish_timeout{2};
constexpr std::size_t max_datagram_size = 65'507;

struct sent_work
{
    connection* stream = nullptr;
    std::uint64_t tag = 0;
    std::uint32_t attempt = 0;
    std::string address;
    time_point sent_at;
    scope home_scope = scope::unknown;
};

/// Reachability of a connection and the work that waits for the reply to its
/// check.
struct checked_connection
{
    reachability state;
    std::vector<outgoing> waiting;
};

/// Event loop, sockets and connections of the peer thread.
class peer_loop
{
public:
    peer_loop(inbox& messages, wiring const& to);
    void run();

private:
    tcp::endpoint to_endpoint(std::string_view address) const;
    void bind();
    void accept();
    void receive();
    void drain_inbox();
    void send(outgoing outgoing_message);
    void send_datagram(std::string_view address, std::string const& frame);
    void send_stream(outgoing const& outgoing_message, std::string_view frame);
    void send_work(outgoing& outgoing_message);
    void write_work(connection& stream, outgoing& outgoing_message);
    void return_not_run(outgoing const& outgoing_message);
    void return_waiting_not_run(checked_connection& checked);
    void start_check_timer(time_point check_sent_at);
    void return_overdue_work();
    void on_check(connection& stream, path_check const& check);
    /// Takes the body of work.
    std::string encode(payload&& content,
                       scope receiver_scope = scope::unknown);
    scope scope_of(payload const& received) const;
    connection& connection_to(std::string const& address);
    std::shared_ptr<connection> make_connection(tcp::socket socket);
    void on_frame(connection* stream, std::string_view frame);
    void on_result(connection* stream, work_result const& result);
    /// Refuses work whose body has no room. Returns false when it has.
    bool refuse_large_work(work_request const& work);
    void on_end(connection& ended, std::uint64_t last_written);
    void return_lost_work(sent_work const& lost, request_id id, bool was_sent);
    void sweep();
    void finish();

    inbox& m_messages;
    wiring const& m_to;
    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context};
    udp::socket m_datagrams{m_context};
    asio::steady_timer m_sweep_timer{m_context};
    asio::steady_timer m_check_timer{m_context};
    bool m_is_check_timer_running = false;
    std::uint64_t m_last_check_number = 0;
    std::unordered_map<connection*, checked_connection> m_checked_connections;
    std::vector<char> m_datagram = std::vector<char>(max_datagram_size);
    udp::endpoint m_datagram_sender;
    std::unordered_set<std::shared_ptr<connection>> m_connections;
    std::unordered_map<std::string, connection*> m_connection_by_address;
    std::unordered_map<attempt_key, sent_work, attempt_key_hash> m_sent_work;
    received_bodies m_received_bodies;
    std::vector<message> m_batch;
    bool m_is_finishing = false;
    waker_scope m_waker;
};

peer_loop::peer_loop(inbox& messages, wiring const& to)
    : m_messages(messages), m_to(to)
{
    m_received_bodies.max_bytes = to.max_received_bodies;
}

tcp::endpoint peer_loop::to_endpoint(std::string_view address) const
{
    auto const [host, port] = split_address(address);
    return {asio::ip::make_address(host), port};
}

void peer_loop::bind()
{
    tcp::endpoint const bind_endpoint = to_endpoint(
        m_to.bind_address.empty() ? m_to.address : m_to.bind_address);
    m_acceptor.open(bind_endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(bind_endpoint);
    m_acceptor.listen();
    udp::endpoint const bind_endpoint_udp(bind_endpoint.address(),
                                          bind_endpoint.port());
    m_datagrams.open(bind_endpoint_udp.protocol());
    m_datagrams.bind(bind_endpoint_udp);
}

void peer_loop::run()
{
    bind();
    m_waker = m_messages.set_waker(
        [this] { asio::post(m_context, [this] { drain_inbox(); }); });
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
            if (m_is_finishing)
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
            if (m_is_finishing)
                return;
            if (!failure)
                on_frame(nullptr, {m_datagram.data(), size});
            receive();
        });
}

void peer_loop::drain_inbox()
{
    bool const is_open = m_messages.pop_all(m_batch);
    for (message& item : m_batch)
    {
        if (auto* outgoing_message = std::get_if<outgoing>(&item))
            send(std::move(*outgoing_message));
    }
    m_batch.clear();
    if (!is_open && !m_is_finishing)
        finish();
}

std::string peer_loop::encode(payload&& content, scope receiver_scope)
{
    bool const is_work = carries_work(content);
    std::string frame = wire::encode(m_to.keys->current(), m_to.self,
                                     std::move(content), clock_now());
    count_bytes(*m_to.counts, direction::out, is_work, receiver_scope,
                frame.size());
    return frame;
}

scope peer_loop::scope_of(payload const& received) const
{
    auto const* const result = std::get_if<work_result>(&received);
    if (result == nullptr)
        return scope::unknown;
    auto const sent = m_sent_work.find({result->id, result->attempt});
    return sent == m_sent_work.end() ? scope::unknown : sent->second.home_scope;
}

void peer_loop::send(outgoing outgoing_message)
{
    if (std::holds_alternative<work_request>(outgoing_message.content))
        return send_work(outgoing_message);
    if (auto const* result =
            std::get_if<work_result>(&outgoing_message.content))
        release_body(m_received_bodies, {result->id, result->attempt});
    bool const is_datagram =
        std::holds_alternative<members::packet>(outgoing_message.content);
    std::string const frame = encode(std::move(outgoing_message.content));
    if (is_datagram)
        return send_datagram(outgoing_message.address, frame);
    send_stream(outgoing_message, frame);
}

void peer_loop::send_datagram(std::string_view address,
                              std::string const& frame)
{
    if (!is_address(address))
        return;
    tcp::endpoint const target = to_endpoint(address);
    asio::error_code ignored;
    m_datagrams.send_to(asio::buffer(frame),
                        udp::endpoint(target.address(), target.port()), 0,
                        ignored);
}

void peer_loop::send_stream(outgoing const& outgoing_message,
                            std::string_view frame)
{
    if (is_address(outgoing_message.address))
        connection_to(outgoing_message.address).send(frame);
}

void peer_loop::send_work(outgoing& outgoing_message)
{
    if (!is_address(outgoing_message.address))
        return return_not_run(outgoing_message);
    time_point const now = clock_now();
    connection& stream = connection_to(outgoing_message.address);
    checked_connection& checked = m_checked_connections[&stream];
    switch (next_send_step(checked.state, m_last_check_number + 1, now))
    {
    case send_step::send:
        return write_work(stream, outgoing_message);
    case send_step::check:
        checked.waiting.push_back(std::move(outgoing_message));
        stream.send(encode(path_check{++m_last_check_number, false}));
        return start_check_timer(now);
    case send_step::wait:
        checked.waiting.push_back(std::move(outgoing_message));
        return;
    case send_step::return_not_run:
        return return_not_run(outgoing_message);
    case send_step::reconnect:
        // The old connection stays open: results may still arrive on it.
        m_connection_by_address.erase(outgoing_message.address);
        return send_work(outgoing_message);
    }
}

void peer_loop::write_work(connection& stream, outgoing& outgoing_message)
{
    work_request const& request =
        std::get<work_request>(outgoing_message.content);
    sent_work record{nullptr,         0,
                     request.attempt, outgoing_message.address,
                     clock_now(),     outgoing_message.receiver_scope};
    attempt_key const key{request.id, request.attempt};
    // The entry is added before send(), so that error handling that runs inside
    // send() finds it.
    m_sent_work[key] = record;
    std::uint64_t const tag = stream.send(encode(
        std::move(outgoing_message.content), outgoing_message.receiver_scope));
    if (tag == 0)
    {
        m_sent_work.erase(key);
        return return_lost_work(record, key.first, false);
    }
    m_sent_work[key].stream = &stream;
    m_sent_work[key].tag = tag;
}

void peer_loop::return_not_run(outgoing const& outgoing_message)
{
    work_request const& request =
        std::get<work_request>(outgoing_message.content);
    return_lost_work(
        {nullptr, 0, request.attempt, outgoing_message.address, {}}, request.id,
        false);
}

void peer_loop::return_waiting_not_run(checked_connection& checked)
{
    std::vector<outgoing> const waiting = std::exchange(checked.waiting, {});
    for (outgoing const& outgoing_message : waiting)
        return_not_run(outgoing_message);
}

/// Starts the timer that returns waiting work once a check sent at
/// \p check_sent_at is overdue.
void peer_loop::start_check_timer(time_point check_sent_at)
{
    if (m_is_check_timer_running)
        return;
    m_is_check_timer_running = true;
    m_check_timer.expires_at(check_sent_at + check_timeout);
    m_check_timer.async_wait(
        [this](asio::error_code failure)
        {
            m_is_check_timer_running = false;
            if (!failure && !m_is_finishing)
                return_overdue_work();
        });
}

void peer_loop::return_overdue_work()
{
    time_point const now = clock_now();
    time_point oldest = time_point::max();
    for (auto& [stream, checked] : m_checked_connections)
    {
        if (checked.waiting.empty())
            continue;
        if (is_check_overdue(checked.state, now))
            return_waiting_not_run(checked);
        else
            oldest = std::min(oldest, checked.state.check_sent_at);
    }
    if (oldest != time_point::max())
        start_check_timer(oldest);
}

void peer_loop::on_check(connection& stream, path_check const& check)
{
    if (!check.is_reply)
    {
        stream.send(encode(path_check{check.number, true}));
        return;
    }
    checked_connection& checked = m_checked_connections[&stream];
    on_check_reply(checked.state, check.number);
    if (checked.state.check_number != 0)
        return;
    std::vector<outgoing> waiting = std::exchange(checked.waiting, {});
    for (outgoing& item : waiting)
        write_work(stream, item);
}

connection& peer_loop::connection_to(std::string const& address)
{
    auto const found = m_connection_by_address.find(address);
    if (found != m_connection_by_address.end() && !found->second->has_ended())
        return *found->second;
    auto const created = make_connection(tcp::socket(m_context));
    created->address = address;
    m_connection_by_address[address] = created.get();
    std::optional<asio::ip::address> source;
    if (!m_to.bind_address.empty())
        source = to_endpoint(m_to.bind_address).address();
    created->connect(to_endpoint(address), source);
    auto const timer = std::make_shared<asio::steady_timer>(m_context);
    timer->expires_after(connect_timeout);
    timer->async_wait(
        [timer,
         weak_connection = std::weak_ptr(created)](asio::error_code failure)
        {
            auto const pending = weak_connection.lock();
            if (!failure && pending && !pending->is_connected())
                pending->close();
        });
    return *created;
}

std::shared_ptr<connection> peer_loop::make_connection(tcp::socket socket)
{
    connection::handlers callbacks;
    callbacks.on_frame = [this](connection& stream, std::string_view frame)
    { on_frame(&stream, frame); };
    callbacks.on_end = [this](connection& ended, std::uint64_t last_written)
    { on_end(ended, last_written); };
    auto created =
        std::make_shared<connection>(std::move(socket), std::move(callbacks));
    m_connections.insert(created);
    return created;
}

void peer_loop::on_frame(connection* stream, std::string_view frame)
{
    try
    {
        wire::message decoded =
            wire::decode(frame, m_to.keys->all(), clock_now());
        count_bytes(*m_to.counts, direction::in, carries_work(decoded.content),
                    scope_of(decoded.content), frame.size());
        if (auto const* result = std::get_if<work_result>(&decoded.content))
            on_result(stream, *result);
        std::string_view const reply = reply_address(decoded.content);
        if (stream && !reply.empty())
        {
            // Replies are sent on the connection of the last request: the peer
            // may have replaced an earlier, unresponsive one.
            stream->address = reply;
            m_connection_by_address[stream->address] = stream;
        }
        if (auto const* check = std::get_if<path_check>(&decoded.content))
        {
            if (stream)
                on_check(*stream, *check);
            return;
        }
        if (auto const* work = std::get_if<work_request>(&decoded.content);
            work && refuse_large_work(*work))
            return;
        auto refusal = deliver(std::move(decoded.content), m_to);
        if (refusal)
            send(std::move(*refusal));
    }
    catch (error const& failure)
    {
        m_to.counts->count_refusal("peer", failure.kind());
        log_warning(event_line(event::peer_refused)
                        .field("kind", error_response_for(failure.kind()).name)
                        .field("detail", failure.what()));
        if (stream)
            stream->close();
    }
}

bool peer_loop::refuse_large_work(work_request const& work)
{
    if (admit_body(m_received_bodies, {work.id, work.attempt}, work.body.size(),
                   work.deadline, clock_now()))
        return false;
    m_to.counts->count_refusal("peer", error_kind::overloaded);
    log_info(event_line(event::body_without_room)
                 .field("client", work.origin_address)
                 .field("bytes", std::uint64_t{work.body.size()})
                 .field("connection", "kept"));
    send({work.origin_address,
          make_refused_result(work, m_to.self,
                              "no memory for the body at the home")});
    return true;
}

void peer_loop::on_result(connection* stream, work_result const& result)
{
    auto const sent_entry = m_sent_work.find({result.id, result.attempt});
    if (sent_entry == m_sent_work.end())
        return;
    if (stream != nullptr && sent_entry->second.stream == stream)
        on_confirmed(m_checked_connections[stream].state,
                     sent_entry->second.sent_at);
    m_sent_work.erase(sent_entry);
}

void peer_loop::on_end(connection& ended, std::uint64_t last_written)
{
    auto const checked = m_checked_connections.find(&ended);
    if (checked != m_checked_connections.end())
    {
        return_waiting_not_run(checked->second);
        m_checked_connections.erase(checked);
    }
    auto const found = m_connection_by_address.find(ended.address);
    if (found != m_connection_by_address.end() && found->second == &ended)
        m_connection_by_address.erase(found);
    for (auto item = m_sent_work.begin(); item != m_sent_work.end();)
    {
        if (item->second.stream != &ended)
        {
            ++item;
            continue;
        }
        return_lost_work(item->second, item->first.first,
                         item->second.tag <= last_written);
        item = m_sent_work.erase(item);
    }
    if (!ended.address.empty())
        log_info(event_line(event::peer_connection_lost)
                     .field("address", ended.address));
    // Deferred because the connection's own handler is still running.
    asio::post(m_context,
               [this, gone = ended.shared_from_this()]
               {
                   m_connections.erase(gone);
                   if (m_is_finishing && m_connections.empty())
                       m_context.stop();
               });
}

void peer_loop::return_lost_work(sent_work const& lost, request_id id,
                                 bool was_sent)
{
    m_to.routing->try_push(
        make_lost_work_result(id, lost.attempt, was_sent, lost.address));
}

void peer_loop::sweep()
{
    m_sweep_timer.expires_after(sweep_interval);
    m_sweep_timer.async_wait(
        [this](asio::error_code failure)
        {
            if (failure || m_is_finishing)
                return;
            time_point const oldest = clock_now() - idle_timeout;
            auto const connections = m_connections;
            for (auto const& item : connections)
            {
                if (item->last_use() < oldest && !item->is_writing())
                    item->close();
            }
            sweep();
        });
}

void peer_loop::finish()
{
    m_is_finishing = true;
    asio::error_code ignored;
    m_acceptor.close(ignored);
    m_datagrams.close(ignored);
    m_sweep_timer.cancel();
    auto const connections = m_connections;
    for (auto const& item : connections)
        item->close_after_writes();
    m_sweep_timer.expires_after(finish_timeout);
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
