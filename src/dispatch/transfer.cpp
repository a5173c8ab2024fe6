#include "transfer.hpp"

#include <gooseberrycove/status.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <new>

namespace gooseberrycove::dispatch
{

namespace
{

/// Connecting inside a region takes about 1 ms; a server that does not accept
/// within this time is treated as unreachable.
constexpr duration connect_timeout{1'000'000};

/// A healthy probe takes about 25 ms.
constexpr duration probe_timeout{2'000'000};

std::size_t write_body(char* data, std::size_t size, std::size_t count,
                       void* context)
{
    transfer& active = *static_cast<transfer*>(context);
    std::size_t const bytes = size * count;
    std::size_t const others =
        active.buffered_bytes ? *active.buffered_bytes : 0;
    if (active.body.size() + bytes > active.options->max_body_bytes ||
        others + bytes > active.options->max_buffered_bytes)
    {
        active.is_too_large = true;
        return CURL_WRITEFUNC_ERROR;
    }
    active.body.append(data, bytes);
    if (active.buffered_bytes)
        *active.buffered_bytes += bytes;
    return bytes;
}

sent_request describe_sent(transfer const& active)
{
    return {active.job.request.caller_id, active.connection.earlier_requests,
            !active.is_probe && !active.options->names.server_stamp.empty()};
}

std::size_t read_header(char* data, std::size_t size, std::size_t count,
                        void* context)
{
    transfer& active = *static_cast<transfer*>(context);
    apply_header_line(active.head, active.options->names, {data, size * count});
    if (!active.head.is_complete || active.response_attribution)
        return size * count;
    attribution const found = attribute(active.head, describe_sent(active));
    active.response_attribution = found;
    // An error ends the transfer and closes its connection, on which the
    // response to this request may still follow.
    if (!is_attributed(found))
        return 0;
    if (found == attribution::by_connection)
        curl_easy_setopt(active.easy.get(), CURLOPT_FORBID_REUSE, 1L);
    return size * count;
}

/// Called each time libcurl is about to send the request. Aborts the transfer
/// when the chosen connection is not usable. libcurl resends a request up to
/// five times when a reused connection is closed without a response; that is
/// aborted, too. Only routing decides about retries, because it checks whether
/// the request may run twice and what the service allows.
int before_send(void* context, char* remote_ip, char* local_ip, int remote_port,
                int local_port)
{
    transfer& active = *static_cast<transfer*>(context);
    if (active.send_count > 0 ||
        choose_connection(active.connection,
                          {remote_ip, local_ip, remote_port, local_port},
                          active.job.request.caller_id) !=
            http_client::connection_state::usable)
        return CURL_PREREQFUNC_ABORT;
    ++active.send_count;
    return CURL_PREREQFUNC_OK;
}

long to_milliseconds(duration time)
{
    return std::max<long>(1, static_cast<long>(time.count() / 1000));
}

void add_header(header_ptr& list, std::string const& line)
{
    curl_slist* const extended = curl_slist_append(list.get(), line.c_str());
    if (!extended)
        throw std::bad_alloc();
    // curl_slist_append() returns the head of the list, which is new only for
    // the first line. The list is released before it is set, because freeing
    // the old head would free the extended list.
    (void)list.release();
    list.reset(extended);
}

void add_header(header_ptr& list, std::string_view name, std::string_view value)
{
    if (!value.empty())
        add_header(list, fmt::format("{}: {}", name, value));
}

header_ptr make_request_headers(start const& job, header_names const& names,
                                duration remaining)
{
    work_request const& request = job.request;
    header_ptr list;
    for (header_field const& field : request.headers)
        // libcurl sends a header without a value only when its name is followed
        // by a semicolon.
        add_header(list, field.value.empty() ? field.name + ";"
                                             : field.name + ": " + field.value);
    bool const has_accept =
        std::ranges::any_of(request.headers, [](header_field const& field)
                            { return is_same_header(field.name, "Accept"); });
    // Without a value libcurl does not send its own default.
    if (!has_accept)
        add_header(list, "Accept:");
    add_header(list, names.request_id, request.caller_id);
    add_header(list, names.time_allowed,
               fmt::format("{}", to_milliseconds(remaining)));
    if (!names.expected_server.empty())
        add_header(list, names.expected_server, job.server);
    if (!names.caller_service.empty())
        add_header(list, names.caller_service, request.caller_service);
    if (!names.account_name.empty())
        add_header(list, names.account_name, request.account);
    add_header(list, "traceparent", request.traceparent);
    add_header(list, "Idempotency-Key", request.idempotency_key);
    add_header(list, request.content_type.empty()
                         ? "Content-Type:"
                         : "Content-Type: " + request.content_type);
    add_header(list, "Expect:");
    return list;
}

void set_common_options(transfer& active, std::string const& target,
                        duration timeout)
{
    CURL* const easy = active.easy.get();
    std::string const url = "http://" + active.job.address + target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    track_connection(easy, active.connection);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &active);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &write_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &active);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &read_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &active);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &active);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, to_milliseconds(timeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     to_milliseconds(std::min(timeout, connect_timeout)));
}

/// Makes the transfer open a connection and close it at its end.
void use_own_connection(CURL* easy)
{
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

void set_method(CURL* easy, work_request const& request)
{
    bool const sends_body = !request.body.empty() || request.method == "POST" ||
                            request.method == "PUT" ||
                            request.method == "PATCH";
    if (sends_body)
    {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    else if (request.method == "HEAD")
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    else
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

std::unique_ptr<transfer> make_empty_transfer(easy_ptr easy,
                                              transfer_context const& shared,
                                              time_point now)
{
    auto created = std::make_unique<transfer>();
    created->easy = std::move(easy);
    created->options = shared.options;
    created->connection.table = shared.connections;
    created->started = now;
    return created;
}

transfer_end to_transfer_end(CURLcode code)
{
    if (code == CURLE_OK)
        return transfer_end::complete;
    return code == CURLE_OPERATION_TIMEDOUT ? transfer_end::timed_out
                                            : transfer_end::failed;
}

} // namespace

std::unique_ptr<transfer> make_transfer(easy_ptr easy, start&& job,
                                        transfer_context const& shared,
                                        time_point now)
{
    auto created = make_empty_transfer(std::move(easy), shared, now);
    created->buffered_bytes = shared.buffered_bytes;
    created->job = std::move(job);
    work_request const& request = created->job.request;
    duration const remaining = request.deadline - now;
    created->headers =
        make_request_headers(created->job, shared.options->names, remaining);
    set_common_options(*created, request.target, remaining);
    set_method(created->easy.get(), request);
    curl_easy_setopt(created->easy.get(), CURLOPT_HTTPHEADER,
                     created->headers.get());
    // A server may close an idle connection while the request is being sent,
    // which leaves the outcome unknown. A new connection, which takes about
    // 1 ms, avoids this. A response to a request without an id is attributed to
    // it only by a connection of its own.
    if (!request.repeatable || request.caller_id.empty())
        use_own_connection(created->easy.get());
    return created;
}

std::unique_ptr<transfer> make_transfer(easy_ptr easy, probe const& request,
                                        transfer_context const& shared,
                                        time_point now)
{
    auto created = make_empty_transfer(std::move(easy), shared, now);
    created->is_probe = true;
    created->job.server = request.server;
    created->job.address = request.address;
    set_common_options(*created, request.path, probe_timeout);
    use_own_connection(created->easy.get());
    return created;
}

bool may_send_again(transfer const& ended, time_point now)
{
    return ended.send_count == 0 && !ended.is_resent && !ended.is_probe &&
           ended.connection.state != http_client::connection_state::usable &&
           ended.job.request.deadline > now;
}

void send_again(transfer& ended, time_point now)
{
    ended.is_resent = true;
    ended.connection = {.table = ended.connection.table};
    CURL* const easy = ended.easy.get();
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     to_milliseconds(ended.job.request.deadline - now));
}

finished finish_transfer(transfer& ended, CURLcode code, time_point now)
{
    transfer_summary summary;
    summary.end = to_transfer_end(code);
    summary.may_have_sent = ended.send_count > 0;
    summary.is_head_request = ended.job.request.method == "HEAD";
    summary.accepts_undelimited = ended.options->accepts_undelimited;
    summary.has_request_id = !ended.job.request.caller_id.empty();
    summary.response_attribution = ended.response_attribution;
    finished result;
    result.ticket = ended.job.ticket;
    result.result = classify(summary, ended.head);
    // Latency zero means that no request to the server was attempted.
    if (code != CURLE_URL_MALFORMAT)
        result.latency = now - ended.started;
    if (ended.is_too_large)
        result.detail = fmt::format(
            "response body exceeds {} bytes, or all bodies {} bytes",
            ended.options->max_body_bytes, ended.options->max_buffered_bytes);
    else if (ended.response_attribution &&
             !is_attributed(*ended.response_attribution))
        result.detail = fmt::format("response not attributed: {}",
                                    to_string(*ended.response_attribution));
    else if (code != CURLE_OK)
        result.detail = curl_easy_strerror(code);
    else if (!is_final_status(ended.head.status))
        result.detail =
            fmt::format("response with the status {}", ended.head.status);
    else if (result.result == result_class::cut)
        result.detail = "response without a length, or refusal without the id";
    if (result.result == result_class::answered ||
        result.result == result_class::refused_not_run)
    {
        result.status = ended.head.status;
        if (result.status != misdirected_status)
            result.statement = ended.head.statement;
        result.content_type = std::move(ended.head.content_type);
        result.headers = forwarded_headers(
            ended.head.headers,
            std::array<std::string_view, 3>{"Content-Type", "X-Outcome",
                                            ended.options->names.request_id});
        result.body = std::move(ended.body);
    }
    return result;
}

} // namespace gooseberrycove::dispatch
