#include "store/http_codec.hpp"
#include <gooseberrycove/curl_socket.hpp>
#include <gooseberrycove/event.hpp>

#include <curl/curl.h>

#include <charconv>
#include <map>
#include <memory>
#include <stdexcept>

namespace gooseberrycove::store
{

namespace
{

/// Connections to the platform; libcurl queues the calls beyond this limit.
constexpr long max_connections = 16;

/// curl_multi_poll() also returns when the timer of a transfer expires or the
/// waker is called; this is only the poll timeout of an idle loop.
constexpr int idle_poll_ms = 60'000;

/// Time in which writes in flight may end after the ring is closed. The
/// platform answers a write within milliseconds; a watch may take half a
/// minute.
constexpr std::chrono::milliseconds write_grace{250};

struct easy_deleter
{
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

struct headers_deleter
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// One call in flight. libcurl holds pointers into it until the call has ended.
struct transfer
{
    request requested;
    http_call call;
    std::string url;
    std::string body;
    std::unique_ptr<curl_slist, headers_deleter> headers;
    std::unique_ptr<CURL, easy_deleter> handle;
};

std::size_t append_body(char* data, std::size_t, std::size_t size, void* body)
{
    static_cast<std::string*>(body)->append(data, size);
    return size;
}

struct client_state
{
    std::shared_ptr<CURLM> multi;
    std::string base_url;
    std::string client_name;
    protocol http_protocol;
    std::map<CURL*, std::unique_ptr<transfer>> transfers;
    /// The last call was refused or its outcome is unknown.
    bool is_failing = false;
};

void set_options(transfer& active, client_state const& state)
{
    CURL* const handle = active.handle.get();
    active.headers.reset(
        curl_slist_append(nullptr, ("X-Client: " + state.client_name).c_str()));
    curl_slist_append(active.headers.get(), "Content-Type: application/json");
    // Without this header libcurl waits for "100 Continue" before it sends a
    // large body.
    curl_slist_append(active.headers.get(), "Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, active.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, active.headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &active.body);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION,
                     keepalive_socket_callback);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(
        handle, CURLOPT_TIMEOUT_MS,
        static_cast<long>(active.requested.timeout.count() / 1000));
    // The store's replies have no id, so only a connection of its own shows
    // which call a reply belongs to. It also keeps libcurl from sending a
    // write again when a reused connection is closed before the response: if
    // the first write took effect, the second one's condition would fail.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    if (!active.call.is_write)
        return;
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, active.call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, active.call.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(active.call.body.size()));
}

void log_state_change(client_state& state, bool has_failed,
                      std::string_view reason)
{
    if (has_failed == state.is_failing)
        return;
    state.is_failing = has_failed;
    if (has_failed)
        log_warning(event_line(event::store_call_failed)
                        .field("platform", state.base_url)
                        .field("why", reason));
    else
        log_info(event_line(event::store_recovered)
                     .field("platform", state.base_url));
}

void start_transfer(client_state& state, request requested)
{
    auto active = std::make_unique<transfer>();
    active->requested = std::move(requested);
    active->call = state.http_protocol.encode(active->requested.op);
    active->url = state.base_url + active->call.target;
    active->handle.reset(curl_easy_init());
    CURL* const handle = active->handle.get();
    if (handle == nullptr)
        return active->requested.deliver(
            {active->requested.number, status::refused, {}, {}, 0});
    set_options(*active, state);
    curl_multi_add_handle(state.multi.get(), handle);
    state.transfers.emplace(handle, std::move(active));
}

/// Era in the response to \p handle, or 0.
std::uint64_t read_era(CURL* handle, std::string const& header_name)
{
    curl_header* header = nullptr;
    if (header_name.empty() ||
        curl_easy_header(handle, header_name.c_str(), 0, CURLH_HEADER, -1,
                         &header) != CURLHE_OK)
        return 0;
    std::string_view const text(header->value);
    std::uint64_t era = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), era);
    return failure == std::errc() && end == text.data() + text.size() ? era : 0;
}

void finish_transfer(client_state& state, CURL* handle, CURLcode code)
{
    curl_multi_remove_handle(state.multi.get(), handle);
    auto node = state.transfers.extract(handle);
    transfer& active = *node.mapped();
    long http_status = 0;
    long sent_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &http_status);
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    transfer_end const end{code == CURLE_OK, sent_bytes > 0,
                           static_cast<int>(http_status), active.body};
    reply result = state.http_protocol.decode(active.requested.op,
                                              active.requested.number, end);
    result.era = read_era(handle, state.http_protocol.era_header);
    bool const has_failed =
        result.result == status::refused || result.result == status::unknown;
    log_state_change(state, has_failed,
                     code == CURLE_OK ? "status " + std::to_string(http_status)
                                      : curl_easy_strerror(code));
    active.requested.deliver(std::move(result));
}

void finish_ended_transfers(client_state& state)
{
    int remaining = 0;
    while (CURLMsg const* message =
               curl_multi_info_read(state.multi.get(), &remaining))
    {
        if (message->msg == CURLMSG_DONE)
            finish_transfer(state, message->easy_handle, message->data.result);
    }
}

/// Ends the calls in flight that \p matches selects, without a response.
template <class Predicate>
void abandon_transfers(client_state& state, Predicate matches)
{
    for (auto item = state.transfers.begin(); item != state.transfers.end();)
    {
        if (!matches(*item->second))
        {
            ++item;
            continue;
        }
        curl_multi_remove_handle(state.multi.get(), item->first);
        request& requested = item->second->requested;
        requested.deliver({requested.number, status::unknown, {}, {}, 0});
        item = state.transfers.erase(item);
    }
}

/// Waits until the writes in flight have ended, for write_grace at most. Other
/// calls end at once, because nobody uses their replies any more.
void finish_writes(client_state& state, time_point now)
{
    time_point const end = now + write_grace;
    abandon_transfers(state, [](transfer const& active)
                      { return !active.call.is_write; });
    while (!state.transfers.empty() && now < end)
    {
        auto const remaining =
            std::chrono::ceil<std::chrono::milliseconds>(end - now);
        int running = 0;
        curl_multi_perform(state.multi.get(), &running);
        finish_ended_transfers(state);
        if (!state.transfers.empty())
            curl_multi_poll(state.multi.get(), nullptr, 0,
                            static_cast<int>(remaining.count()), nullptr);
        now = clock_now();
    }
    abandon_transfers(state, [](transfer const&) { return true; });
}

/// Starts queued calls. Returns false when the ring is closed and no call of it
/// can be started.
bool start_queued_requests(client_state& state, inbox& requests)
{
    // While the maximum is in flight, further calls stay in the ring, so that
    // a full ring refuses new ones.
    if (state.transfers.size() >= inbox_capacity)
        return !requests.is_closed();
    std::vector<request> batch;
    bool const is_open = requests.pop_all(batch);
    for (request& requested : batch)
        start_transfer(state, std::move(requested));
    return is_open;
}

} // namespace

client::client(inbox& requests, std::string_view base_url,
               std::string_view name, protocol http_protocol)
    : m_requests(requests), m_base_url(base_url), m_name(name),
      m_protocol(std::move(http_protocol)),
      m_multi(curl_multi_init(), curl_multi_cleanup)
{
    if (!m_multi)
        throw std::runtime_error("curl_multi_init failed");
    curl_multi_setopt(static_cast<CURLM*>(m_multi.get()),
                      CURLMOPT_MAX_TOTAL_CONNECTIONS, max_connections);
    m_waker =
        requests.set_waker([multi = m_multi.get()]
                           { curl_multi_wakeup(static_cast<CURLM*>(multi)); });
}

void client::run()
{
    client_state state{m_multi, m_base_url, m_name, m_protocol, {}, false};
    while (start_queued_requests(state, m_requests))
    {
        int running = 0;
        curl_multi_perform(state.multi.get(), &running);
        finish_ended_transfers(state);
        curl_multi_poll(state.multi.get(), nullptr, 0, idle_poll_ms, nullptr);
    }
    finish_writes(state, clock_now());
}

void run(inbox& requests, std::string_view base_url, std::string_view client,
         protocol const& http_protocol)
{
    gooseberrycove::store::client(requests, base_url, client, http_protocol)
        .run();
}

} // namespace gooseberrycove::store
