#include "fake_server/announce.hpp"
#include <gooseberrycove/duty.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace gooseberrycove::fake_server
{

namespace
{

using easy_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t append_body(char* data, std::size_t size, std::size_t count,
                        void* out)
{
    static_cast<std::string*>(out)->append(data, size * count);
    return size * count;
}

/// Returns the granted lease, or nothing when the daemon did not accept.
std::optional<duration> announce(CURL* curl, std::string const& target,
                                 std::string const& key,
                                 std::string const& body)
{
    std::string const url = "http://" + target + "/announce";
    std::string const authorization = "Authorization: Bearer " + key;
    header_list headers(curl_slist_append(nullptr, authorization.c_str()),
                        curl_slist_free_all);
    curl_slist_append(headers.get(), "Content-Type: application/json");
    std::string response;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 500L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 1000L);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    CURLcode const result = curl_easy_perform(curl);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, nullptr);
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    if (result != CURLE_OK || status != 200)
        return std::nullopt;
    return granted_lease(response);
}

evidence::record draining_record(announce_options const& options,
                                 time_point now)
{
    evidence::record result;
    result.event = "draining";
    result.server = options.name;
    result.service = options.service;
    result.time_us = evidence::to_micros(now);
    return result;
}

} // namespace

void run_announcer(announce_inbox& inbox, announce_options const& options,
                   evidence::history_log& history)
{
    easy_handle const curl(curl_easy_init(), curl_easy_cleanup);
    announce_state state;
    state.target_count = options.targets.size();
    bool drain_recorded = false;
    auto const on_state = [&](server_state const& update, time_point now)
    {
        on_server_state(state, update, now);
        if (!update.is_draining || drain_recorded || state.target_count > 0)
            return;
        history.add(draining_record(options, now));
        drain_recorded = true;
    };
    auto const on_time = [&](time_point now)
    {
        if (auto const target = due_target(state, now))
        {
            auto const lease =
                announce(curl.get(), options.targets[*target], options.key,
                         announcement_body(options, *state.latest));
            time_point const replied_at = clock_now();
            if (on_reply(state, lease.has_value(),
                         lease.value_or(duration::zero()), replied_at))
                history.add(draining_record(options, replied_at));
        }
        return std::min(state.next_announcement, now + std::chrono::hours(1));
    };
    run_duty(inbox, on_state, on_time);
}

} // namespace gooseberrycove::fake_server
