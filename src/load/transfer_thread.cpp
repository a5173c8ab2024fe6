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

/// Idle connections that are kept for later requests.
constexpr long kept_connections = 512;

using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

struct open_transfer
{
    transfer what;
    transfer_result result;
    header_list headers{nullptr, curl_slist_free_all};
    /// Bytes of the request may have left this process.
    bool sent = false;
};

/// On a reused connection that dies libcurl sends the request a second time;
/// when that one could not be sent, the first one would be forgotten.
int before_send(void* to, char*, char*, int, int)
{
    bool& sent = static_cast<open_transfer*>(to)->sent;
    if (sent)
        return CURL_PREREQFUNC_ABORT;
    sent = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* to)
{
    static_cast<open_transfer*>(to)->result.body.append(data, size * count);
    return size * count;
}

/// Value of the header \p name when \p line is that header, else nothing.
bool read_header(std::string_view line, std::string_view name, std::string& to)
{
    if (line.size() <= name.size() || line[name.size()] != ':' ||
        !std::equal(name.begin(), name.end(), line.begin(),
                    [](unsigned char a, unsigned char b)
                    { return std::tolower(a) == std::tolower(b); }))
        return false;
    line.remove_prefix(name.size() + 1);
    auto const first = line.find_first_not_of(" \t");
    auto const last = line.find_last_not_of(" \t\r\n");
    to = first <= last && last != line.npos
             ? std::string(line.substr(first, last - first + 1))
             : std::string();
    return true;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* to)
{
    transfer_result& result = static_cast<open_transfer*>(to)->result;
    std::string_view const line(data, size * count);
    if (!read_header(line, "X-Outcome", result.outcome))
        read_header(line, "X-Request-Id", result.request);
    return size * count;
}

header_list make_headers(transfer const& what, std::string_view authorization)
{
    header_list list(nullptr, curl_slist_free_all);
    auto const append = [&](std::string const& line)
    { list.reset(curl_slist_append(list.release(), line.c_str())); };
    append(fmt::format("Authorization: {}", authorization));
    append("X-Request-Id: " + what.request);
    append("Content-Type: application/json");
    // libcurl would otherwise wait for 100 Continue with larger bodies.
    append("Expect:");
    if (!what.key.empty())
        append("Idempotency-Key: " + what.key);
    if (what.deadline > duration::zero())
        append(fmt::format("X-Deadline-Ms: {}", what.deadline.count() / 1000));
    return list;
}

void set_options(CURL* easy, open_transfer& open)
{
    transfer const& what = open.what;
    std::string const url = "http://" + what.target + what.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, open.headers.get());
    if (!what.body.empty())
    {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, what.body.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(what.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, what.method.c_str());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &open);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &open);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &open);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(what.timeout.count() / 1000));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &open);
}

transfer_end classify(bool sent, CURLcode code, int status)
{
    if (code == CURLE_OK)
        return transfer_end::complete;
    if (!sent)
        return transfer_end::not_sent;
    if (code == CURLE_OPERATION_TIMEDOUT)
        return transfer_end::timed_out;
    return status != 0 ? transfer_end::cut : transfer_end::lost;
}

/// State of the transfer duty.
class transfers
{
public:
    transfers(CURLM* multi, result_inbox& results,
              std::string_view authorization)
        : m_multi(multi), m_results(results), m_authorization(authorization)
    {
    }

    bool empty() const { return m_open.empty(); }

    void start(transfer&& what)
    {
        CURL* const easy = curl_easy_init();
        auto open = std::make_unique<open_transfer>();
        open->what = std::move(what);
        open->result.ticket = open->what.ticket;
        open->headers = make_headers(open->what, m_authorization);
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
        result.end = classify(open.mapped()->sent, code, result.status);
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

multi_handle make_multi(transfer_inbox& requests)
{
    multi_handle multi(curl_multi_init(), curl_multi_cleanup);
    curl_multi_setopt(multi.get(), CURLMOPT_MAXCONNECTS, kept_connections);
    requests.set_waker([wake = multi.get()] { curl_multi_wakeup(wake); });
    return multi;
}

void run_transfers(CURLM* multi, transfer_inbox& requests,
                   result_inbox& results, std::string_view authorization)
{
    transfers state(multi, results, authorization);
    std::vector<transfer> batch;
    bool open = true;
    while (open || !state.empty())
    {
        // Does not wait: the end of the wait has already come.
        open = requests.pop_until(batch, clock_now());
        for (transfer& what : batch)
            state.start(std::move(what));
        batch.clear();
        state.perform();
        if (open || !state.empty())
            curl_multi_poll(multi, nullptr, 0, 1000, nullptr);
    }
}

} // namespace gooseberrycove::load
