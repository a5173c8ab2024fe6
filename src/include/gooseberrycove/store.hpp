#ifndef GOOSEBERRYCOVE_STORE_HPP
#define GOOSEBERRYCOVE_STORE_HPP

#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/types.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gooseberrycove::store
{

struct row
{
    std::string key;
    /// Increases with each write of the key; 0 means that the row is absent.
    std::uint64_t version = 0;
    std::string value;
};

struct condition
{
    std::string key;
    std::uint64_t version = 0;
};

struct put
{
    std::string key;
    std::string value;
};

/// Applies all changes when all conditions hold, otherwise none.
struct transaction
{
    std::vector<condition> conditions;
    std::vector<put> puts;
    std::vector<std::string> deletes;
};

struct get_row
{
    std::string key;
};

/// Waits until a row changes.
struct watch_row
{
    std::string key;
    /// reply::revision of the last reply about the row.
    std::uint64_t after = 0;
    /// The reply has no row when nothing changed in this time.
    duration wait{0};
};

struct scan_rows
{
    std::string prefix;
    std::string after;
    std::size_t limit = 100;
};

struct get_object
{
    std::string name;
};

struct put_object
{
    std::string name;
    std::string content;
};

using operation = std::variant<get_row, watch_row, scan_rows, transaction,
                               get_object, put_object>;

enum class status
{
    ok,
    condition_failed, ///< nothing was written; rows has the failed rows
    not_found,
    refused,      ///< unavailable or rate-limited; nothing was written
    history_lost, ///< a watch cannot resume from the requested revision
    unknown       ///< no reply: a write may or may not have taken effect
};

struct reply
{
    /// Equal to request::number.
    std::uint64_t number = 0;
    status result = status::unknown;
    std::vector<row> rows;
    std::string content;
    /// Version of the newest write that the reply reflects; 0 when the
    /// platform does not report it.
    std::uint64_t revision = 0;
    /// Increases each time the store is restored from a copy; 0 when the
    /// platform does not report it.
    std::uint64_t era = 0;
};

/// Era of the replies that a duty has used.
struct era_position
{
    std::uint64_t era = 0;
    /// The store has replied, with or without an era.
    bool has_reply = false;
};

enum class era_change
{
    none,
    newer, ///< versions, rows and revisions known so far are invalid
    older  ///< what the reply shows may have been lost
};

/// Compares the era of a reply with that of the earlier ones and records it.
/// An era that is first reported after replies without one is a newer era.
inline era_change observe_era(era_position& position, reply const& received)
{
    if (received.era == 0)
    {
        position.has_reply = position.has_reply ||
                             received.result == status::ok ||
                             received.result == status::not_found;
        return era_change::none;
    }
    if (received.era < position.era)
        return era_change::older;
    bool const is_newer = received.era > position.era && position.has_reply;
    position = {received.era, true};
    return is_newer ? era_change::newer : era_change::none;
}

/// One call to the platform. `deliver` is called on the store thread and pushes
/// the reply into the ring of the requesting duty.
struct request
{
    std::uint64_t number = 0;
    operation op;
    duration timeout{2'000'000};
    std::function<void(reply&&)> deliver;
};

using inbox = ring<request>;

/// An operation encoded as an HTTP request.
struct http_call
{
    std::string method;
    /// Path and query, percent-encoded.
    std::string target;
    std::string body;
    bool is_write = false;
};

/// How a transfer ended.
struct transfer_end
{
    /// The whole response was received.
    bool complete = false;
    /// Bytes of the request may have been sent.
    bool sent = false;
    int status = 0;
    std::string_view body;
};

/// The HTTP interface of a table service and object store.
struct protocol
{
    std::function<http_call(operation const&)> encode;
    /// Classifies the end of a transfer. A write without a complete, valid
    /// response is `unknown`; `refused` is only for calls that certainly wrote
    /// nothing.
    std::function<reply(operation const&, std::uint64_t number,
                        transfer_end const&)>
        decode;
    /// Response header with the number of the era; empty: none is reported.
    std::string era_header{};
};

/// The HTTP interface of src/fake_platform.
protocol fake_platform_protocol();

/// Calls that can be queued for the store; further calls are refused.
inline constexpr std::size_t inbox_capacity = 1024;

/// Client of the platform's service.
class client
{
public:
    /// \param base_url  `http://ip:port` of the platform's service
    /// \param name      value of the X-Client header
    client(inbox& requests, std::string_view base_url, std::string_view name,
           protocol http_protocol = fake_platform_protocol());

    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Returns soon after the ring is closed: writes in flight have a short
    /// time to end, all other calls end at once as status::unknown.
    void run();

private:
    inbox& m_requests;
    std::string m_base_url;
    std::string m_name;
    protocol m_protocol;
    /// Handle of libcurl's multi interface.
    std::shared_ptr<void> m_multi;
    waker_scope m_waker;
};

/// Constructs a client and runs it.
void run(inbox& requests, std::string_view base_url, std::string_view client,
         protocol const& http_protocol = fake_platform_protocol());

} // namespace gooseberrycove::store

#endif
