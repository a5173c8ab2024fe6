#ifndef GOOSEBERRYCOVE_DISPATCH_TRANSFER_HPP
#define GOOSEBERRYCOVE_DISPATCH_TRANSFER_HPP

#include "classify.hpp"
#include <gooseberrycove/dispatch.hpp>

#include <curl/curl.h>

#include <memory>
#include <optional>

namespace gooseberrycove::dispatch
{

/// How a deployment's backend servers are spoken to.
struct server_dialect
{
    header_names names;
    /// Largest answer in bytes.
    std::size_t max_answer = 1 << 20;
    /// Answers may have no length and end with their connection.
    bool undelimited_answers = false;
};

struct easy_deleter
{
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct header_deleter
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using easy_ptr = std::unique_ptr<CURL, easy_deleter>;
using header_ptr = std::unique_ptr<curl_slist, header_deleter>;

/// One request to a backend server. Its address is known to libcurl, so it
/// stays where it is until the handle is removed.
struct transfer
{
    start job;
    server_dialect const* dialect = nullptr;
    /// Set for a probe; `job` then holds only the server and its address.
    bool is_probe = false;
    easy_ptr easy;
    header_ptr headers;
    answer_head head;
    std::string body;
    bool too_large = false;
    /// Times that libcurl was about to send the request.
    int sends = 0;
    time_point started;
};

/// Sets up \p easy for the job. The transfer's time limit is what remains of
/// the job's deadline at \p now.
std::unique_ptr<transfer> make_transfer(easy_ptr easy, start&& job,
                                        server_dialect const& dialect,
                                        time_point now);

/// Sets up a request to the probe endpoint.
std::unique_ptr<transfer> make_transfer(easy_ptr easy, probe const& what,
                                        server_dialect const& dialect,
                                        time_point now);

/// Moves the answer out of a transfer that libcurl has ended.
finished finish_transfer(transfer& done, CURLcode code, time_point now);

} // namespace gooseberrycove::dispatch

#endif
