#include "load/transfer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gooseberrycove::load
{

namespace
{

/// Maximum number of idle connections kept for later requests.
constexpr long max_idle_connections = 512;

using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

struct open_transfer
{
    transfer request;
    transfer_result result;
    header_list headers{nullptr, curl_slist_free_all};
    /// Whether bytes of the request may have been sent.
    bool may_be_sent = false;
};

/// Aborts a second send of the same request. libcurl sends a request again when
/// its reused connection closes; if the second send failed, the transfer would
/// end as not sent although the first one may have reached the daemon.
int before_send(void* user_data, char*, char*, int, int)
{
    bool& may_be_sent = static_cast<open_transfer*>(user_data)->may_be_sent;
    if (may_be_sent)
        return CURL_PREREQFUNC_ABORT;
    may_be_sent = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count,
                    void* user_data)
{
    static_cast<open_transfer*>(user_data)->result.body.append(data,
                                                               size * count);
    return size * count;
}

/// Stores the value of the header \p name when \p line is that header.
/// \return whether it is
bool read_header(std::string_view line, std::string_view name,
                 std::string& value)
{
    if (line.size() <= name.size() || line[name.size()] != ':' ||
        !std::equal(name.begin(), name.end(), line.begin(),
                    [](unsigned char a, unsigned char b)
                    { return std::tolower(a) == std::tolower(b); }))
        return false;
    line.remove_prefix(name.size() + 1);
    auto const first = line.find_first_not_of(" \t");
    auto const last = line.find_last_not_of(" \t\r\n");
    value = first <= last && last != line.npos
                ? std::string(line.substr(first, last - first + 1))
                : std::string();
    return true;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count,
                      void* user_data)
{
    transfer_result& result = static_cast<open_transfer*>(user_data)->result;
    std::string_view const line(data, size * count);
    if (!read_header(line, "X-Outcome", result.outcome))
        read_header(line, "X-Request-Id", result.request_id);
    return size * count;
}

header_list make_headers(transfer const& request,
                         std::string_view authorization)
{
    header_list list(nullptr, curl_slist_free_all);
    auto const append = [&](std::string const& line)
    { list.reset(curl_slist_append(list.release(), line.c_str())); };
    append(fmt::format("Authorization: {}", authorization));
    append("X-Request-Id: " + request.request_id);
    append("Content-Type: application/json");
    // Without this, libcurl waits for 100 Continue before it sends larger
    // bodies.
    append("Expect:");
    if (!request.idempotency_key.empty())
        append("Idempotency-Key: " + request.idempotency_key);
    if (request.deadline > duration::zero())
        append(
            fmt::format("X-Deadline-Ms: {}", request.deadline.count() / 1000));
    return list;
}

void set_options(CURL* easy, open_transfer& open)
{
    transfer const& request = open.request;
    std::string const url = "http://" + request.target + request.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, open.headers.get());
    if (!request.body.empty())
    {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &open);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &open);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &open);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.timeout.count() / 1000));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &open);
}

transfer_end classify(bool may_be_sent, CURLcode code, int status)
{
    if (code == CURLE_OK)
        return transfer_end::complete;
    if (!may_be_sent)
        return transfer_end::not_sent;
    if (code == CURLE_OPERATION_TIMEDOUT)
        return transfer_end::timed_out;
    return status != 0 ? transfer_end::truncated : transfer_end::lost;
}

/// Open transfers of the transfer duty.
class transfer_set
{
public:
    transfer_set(CURLM* multi, result_inbox& results,
                 std::string_view authorization)
        : m_multi(multi), m_results(results), m_authorization(authorization)
    {
    }

    bool empty() const { return m_open.empty(); }

    void start(transfer&& request)
    {
        CURL* const easy = curl_easy_init();
        auto open = std::make_unique<open_transfer>();
        open->request = std::move(request);
        open->result.ticket = open->request.ticket;
        open->headers = make_headers(open->request, m_authorization);
        set_options(easy, *open);
        curl_multi_add_handle(m_multi, easy);
        m_open.emplace(easy, std::move(open));
    }

    void perform()
    {
        int running = 0;
        curl_multi_perform(m_multi, &running);
        int queued = 0;
        while (CURLMsg const* done = curl_multi_info_read(m_multi, &queued))
        {
            if (done->msg == CURLMSG_DONE)
                finish(done->easy_handle, done->data.result);
        }
    }

private:
    void finish(CURL* easy, CURLcode code)
    {
        auto const open = m_open.extract(easy);
        transfer_result& result = open.mapped()->result;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        result.status = static_cast<int>(status);
        result.end = classify(open.mapped()->may_be_sent, code, result.status);
        m_results.try_push(std::move(result));
        curl_multi_remove_handle(m_multi, easy);
        curl_easy_cleanup(easy);
    }

    CURLM* m_multi;
    result_inbox& m_results;
    std::string m_authorization;
    std::unordered_map<CURL*, std::unique_ptr<open_transfer>> m_open;
};

} // namespace

void run_transfers(transfer_inbox& requests, result_inbox& results,
                   std::string_view authorization)
{
    std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)> const handle(
        curl_multi_init(), curl_multi_cleanup);
    CURLM* const multi = handle.get();
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, max_idle_connections);
    waker_scope const waker =
        requests.set_waker([multi] { curl_multi_wakeup(multi); });
    transfer_set transfers(multi, results, authorization);
    std::vector<transfer> batch;
    bool is_ring_open = true;
    while (is_ring_open || !transfers.empty())
    {
        // Returns at once, because the time limit has already passed.
        is_ring_open = requests.pop_until(batch, clock_now());
        for (transfer& request : batch)
            transfers.start(std::move(request));
        batch.clear();
        transfers.perform();
        if (is_ring_open || !transfers.empty())
            curl_multi_poll(multi, nullptr, 0, 1000, nullptr);
    }
}

} // namespace gooseberrycove::load
