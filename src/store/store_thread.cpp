#include "store/http_codec.hpp"
#include <gooseberrycove/curl_socket.hpp>
#include <gooseberrycove/event.hpp>

#include <curl/curl.h>

#include <map>
#include <memory>
#include <stdexcept>

namespace gooseberrycove::store
{

namespace
{

/// Connections to the platform. Further calls wait inside libcurl.
constexpr long max_connections = 16;

/// curl_multi_poll also returns when a transfer's timer or the waker fires;
/// this only bounds the wait of an idle loop.
constexpr int idle_poll_ms = 60'000;

struct easy_deleter
{
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

struct headers_deleter
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// One call in flight. libcurl holds pointers into it until it ends.
struct transfer
{
    request asked;
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

struct loop_state
{
    std::shared_ptr<CURLM> multi;
    std::string base_url;
    std::string client;
    protocol spoken;
    std::map<CURL*, std::unique_ptr<transfer>> running;
    /// The last call had no usable reply.
    bool failing = false;
};

void set_options(transfer& one, loop_state const& loop)
{
    CURL* const handle = one.handle.get();
    one.headers.reset(
        curl_slist_append(nullptr, ("X-Client: " + loop.client).c_str()));
    curl_slist_append(one.headers.get(), "Content-Type: application/json");
    // Without it libcurl waits for "100 Continue" before a large body.
    curl_slist_append(one.headers.get(), "Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, one.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, one.headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &one.body);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION,
                     keepalive_socket_callback);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(one.asked.timeout.count() / 1000));
    if (!one.call.is_write)
        return;
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, one.call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, one.call.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(one.call.body.size()));
    // On a reused connection that dies libcurl sends the request a second
    // time by itself. The second run of a write that took effect would be
    // answered "condition failed".
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
}

void log_change(loop_state& loop, bool failed, std::string_view why)
{
    if (failed == loop.failing)
        return;
    loop.failing = failed;
    if (failed)
        log_warning(event_line(event::store_call_failed)
                        .field("platform", loop.base_url)
                        .field("why", why));
    else
        log_info(event_line(event::store_recovered)
                     .field("platform", loop.base_url));
}

void start(loop_state& loop, request asked)
{
    auto one = std::make_unique<transfer>();
    one->asked = std::move(asked);
    one->call = loop.spoken.encode(one->asked.op);
    one->url = loop.base_url + one->call.target;
    one->handle.reset(curl_easy_init());
    CURL* const handle = one->handle.get();
    if (handle == nullptr)
        return one->asked.deliver(
            {one->asked.number, status::refused, {}, {}, 0});
    set_options(*one, loop);
    curl_multi_add_handle(loop.multi.get(), handle);
    loop.running.emplace(handle, std::move(one));
}

void finish(loop_state& loop, CURL* handle, CURLcode code)
{
    curl_multi_remove_handle(loop.multi.get(), handle);
    auto node = loop.running.extract(handle);
    transfer& one = *node.mapped();
    long http_status = 0;
    long sent_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &http_status);
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    transfer_end const end{code == CURLE_OK, sent_bytes > 0,
                           static_cast<int>(http_status), one.body};
    reply result = loop.spoken.decode(one.asked.op, one.asked.number, end);
    bool const failed =
        result.result == status::refused || result.result == status::unknown;
    log_change(loop, failed,
               code == CURLE_OK ? "status " + std::to_string(http_status)
                                : curl_easy_strerror(code));
    one.asked.deliver(std::move(result));
}

void finish_ended(loop_state& loop)
{
    int left = 0;
    while (CURLMsg const* message =
               curl_multi_info_read(loop.multi.get(), &left))
    {
        if (message->msg == CURLMSG_DONE)
            finish(loop, message->easy_handle, message->data.result);
    }
}

/// Starts queued calls. Returns false when the ring is closed and empty.
bool start_queued(loop_state& loop, inbox& requests)
{
    // Leaves calls in the ring while as many are in flight, so that the
    // ring's bound holds back its writers.
    if (loop.running.size() >= inbox_capacity)
        return true;
    std::vector<request> batch;
    bool const open = requests.pop_until(batch, time_point{});
    for (request& asked : batch)
        start(loop, std::move(asked));
    return open;
}

} // namespace

client::client(inbox& requests, std::string_view base_url,
               std::string_view name, protocol spoken)
    : m_requests(requests), m_base_url(base_url), m_name(name),
      m_protocol(std::move(spoken)),
      m_multi(curl_multi_init(), curl_multi_cleanup)
{
    if (!m_multi)
        throw std::runtime_error("curl_multi_init failed");
    curl_multi_setopt(static_cast<CURLM*>(m_multi.get()),
                      CURLMOPT_MAX_TOTAL_CONNECTIONS, max_connections);
    // The waker shares ownership, because a thread that closes the ring may
    // still call it when this client is gone.
    requests.set_waker(
        [multi = m_multi]
        { curl_multi_wakeup(static_cast<CURLM*>(multi.get())); });
}

void client::run()
{
    loop_state loop{m_multi, m_base_url, m_name, m_protocol, {}, false};
    bool open = true;
    while (open || !loop.running.empty())
    {
        if (open)
            open = start_queued(loop, m_requests);
        int running = 0;
        curl_multi_perform(loop.multi.get(), &running);
        finish_ended(loop);
        if (open || !loop.running.empty())
            curl_multi_poll(loop.multi.get(), nullptr, 0, idle_poll_ms,
                            nullptr);
    }
}

void run(inbox& requests, std::string_view base_url, std::string_view client,
         protocol const& spoken)
{
    gooseberrycove::store::client(requests, base_url, client, spoken).run();
}

} // namespace gooseberrycove::store
