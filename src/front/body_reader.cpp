#include "body_reader.hpp"

#include <algorithm>
#include <new>
#include <utility>

namespace gooseberrycove::http
{

namespace
{

/// Growth of the room for a body whose size is not announced.
constexpr std::size_t growth_divisor = 2;
constexpr std::size_t first_capacity = 4096;

/// Holds the ledger of an io_context, because RESTinio constructs a socket from
/// the io_context alone.
class ledger_service : public asio::execution_context::service
{
public:
    static asio::execution_context::id id;

    explicit ledger_service(asio::execution_context& context)
        : asio::execution_context::service(context)
    {
    }

    std::shared_ptr<body_ledger> ledger;

private:
    void shutdown() override {}
};

asio::execution_context::id ledger_service::id;

std::string client_of(asio::ip::tcp::socket const& socket)
{
    asio::error_code failure;
    auto const remote = socket.remote_endpoint(failure);
    return failure ? std::string() : remote.address().to_string();
}

} // namespace

thread_local body_connection* parsed_connection = nullptr;

void attach_ledger(asio::io_context& context,
                   std::shared_ptr<body_ledger> const& ledger)
{
    asio::use_service<ledger_service>(context).ledger = ledger;
}

held_body::held_body(std::shared_ptr<body_ledger> ledger, std::uint64_t number,
                     std::string body, error_kind reason)
    : bytes(std::move(body)), refusal(reason), m_ledger(std::move(ledger)),
      m_number(number)
{
}

held_body::held_body(held_body&& other) noexcept
    : bytes(std::move(other.bytes)), refusal(other.refusal),
      m_ledger(std::move(other.m_ledger)),
      m_number(std::exchange(other.m_number, 0))
{
}

held_body& held_body::operator=(held_body&& other) noexcept
{
    std::swap(bytes, other.bytes);
    std::swap(refusal, other.refusal);
    std::swap(m_ledger, other.m_ledger);
    std::swap(m_number, other.m_number);
    return *this;
}

held_body::~held_body()
{
    if (m_number != 0)
        front::remove_body(m_ledger->budget, m_number);
}

body_connection::body_connection(asio::io_context& context)
    : socket(context),
      m_ledger(asio::use_service<ledger_service>(context).ledger)
{
}

body_connection::~body_connection()
{
    drop(error_kind::none);
}

bool body_connection::begin_body(std::uint64_t announced_bytes)
{
    drop(error_kind::none);
    m_received = 0;
    if (announced_bytes > m_ledger->limits.max_read)
        return false;
    if (announced_bytes > m_ledger->limits.max_kept)
        m_refusal = error_kind::too_large;
    if (announced_bytes == 0 || m_refusal != error_kind::none)
        return true;
    start();
    if (make_room(announced_bytes))
        m_body.reserve(announced_bytes);
    return true;
}

bool body_connection::append(std::string_view bytes)
{
    m_received += bytes.size();
    if (m_received > m_ledger->limits.max_read)
        return false;
    if (m_refusal != error_kind::none)
        return true;
    if (m_received > m_ledger->limits.max_kept)
    {
        drop(error_kind::too_large);
        return true;
    }
    if (!is_reading())
        start();
    if (!make_room(m_received))
        return true;
    // Exact steps: a string that doubles would take memory that is not counted.
    if (m_received > m_body.capacity())
        m_body.reserve(std::min(
            m_ledger->limits.max_kept,
            std::max<std::size_t>(
                {m_received, first_capacity,
                 m_body.capacity() + m_body.capacity() / growth_divisor})));
    m_body.append(bytes);
    front::set_body_bytes(m_ledger->budget, m_number, m_received, clock_now());
    return true;
}

void body_connection::start()
{
    m_number = ++m_ledger->last_body;
    front::add_body(m_ledger->budget, m_number, client_of(socket), clock_now());
    m_ledger->readers[m_number] = this;
    if (m_ledger->unfinished++ == 0 && m_ledger->on_first_unfinished)
        m_ledger->on_first_unfinished();
}

bool body_connection::make_room(std::uint64_t bytes)
{
    front::growth_decision const decision =
        front::decide_growth(m_ledger->budget, m_number, bytes, clock_now());
    for (std::uint64_t const body : decision.ended)
    {
        auto const found = m_ledger->readers.find(body);
        if (found != m_ledger->readers.end())
            found->second->give_way();
    }
    if (decision.is_admitted)
        return true;
    if (m_ledger->on_no_room)
        m_ledger->on_no_room(client_of(socket), m_received, false);
    drop(error_kind::overloaded);
    return false;
}

void body_connection::give_way()
{
    bool const ends_connection = *open_exchanges == 0;
    if (m_ledger->on_no_room)
        m_ledger->on_no_room(client_of(socket), m_received, ends_connection);
    drop(error_kind::overloaded);
    if (!ends_connection)
        return;
    // The pending read then ends, and RESTinio closes the connection.
    asio::error_code ignored;
    socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

held_body body_connection::take()
{
    held_body result(m_ledger, m_number, std::move(m_body), m_refusal);
    if (is_reading())
    {
        front::complete_body(m_ledger->budget, m_number);
        m_ledger->readers.erase(m_number);
        --m_ledger->unfinished;
    }
    m_number = 0;
    m_body = {};
    return result;
}

void body_connection::drop(error_kind reason)
{
    m_refusal = reason;
    m_body = {};
    if (!is_reading())
        return;
    front::remove_body(m_ledger->budget, m_number);
    m_ledger->readers.erase(m_number);
    --m_ledger->unfinished;
    m_number = 0;
}

} // namespace gooseberrycove::http
