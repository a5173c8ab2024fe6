#include "ctl/http_client.hpp"

#include <curl/curl.h>
#include <fmt/format.h>

#include <memory>

namespace gooseberrycove::ctl
{

namespace
{

struct easy_deleter
{
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

struct headers_deleter
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using header_list = std::unique_ptr<curl_slist, headers_deleter>;

std::size_t append_body(char* data, std::size_t, std::size_t size, void* body)
{
    static_cast<std::string*>(body)->append(data, size);
    return size;
}

void add_header(header_list& list, std::string const& line)
{
    // libcurl returns the same list for every line after the first one.
    curl_slist* const longer = curl_slist_append(list.get(), line.c_str());
    if (!list)
        list.reset(longer);
}

header_list make_headers(std::string_view key, http_request const& request)
{
    header_list list;
    add_header(list, "Expect:");
    if (!key.empty())
        add_header(list, "Authorization: Bearer " + std::string(key));
    for (auto const& [name, value] : request.headers)
        add_header(list, fmt::format("{}: {}", name, value));
    return list;
}

std::string read_version(CURL* handle)
{
    curl_header* found = nullptr;
    if (curl_easy_header(handle, "ETag", 0, CURLH_HEADER, -1, &found) !=
        CURLHE_OK)
        return {};
    std::string version = found->value;
    std::erase(version, '"');
    return version;
}

} // namespace

http_response send_request(std::string_view address, std::string_view key,
                           http_request const& request,
                           std::chrono::seconds timeout)
{
    std::unique_ptr<CURL, easy_deleter> owner(curl_easy_init());
    CURL* const handle = owner.get();
    if (handle == nullptr)
        throw unreachable_error("curl_easy_init failed", false);
    std::string const url = "http://" + std::string(address) + request.target;
    header_list const headers = make_headers(key, request);
    http_response response;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT,
                     static_cast<long>(timeout.count()));
    if (request.method != "GET")
    {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
    }
    CURLcode const code = curl_easy_perform(handle);
    long sent_bytes = 0;
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK)
        throw unreachable_error(curl_easy_strerror(code), sent_bytes > 0);
    response.status = static_cast<int>(status);
    response.version = read_version(handle);
    return response;
}

} // namespace gooseberrycove::ctl
