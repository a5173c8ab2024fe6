#include "transfer.hpp"

#include <gooseberrycove/curl_socket.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <new>

namespace gooseberrycove::dispatch
{

namespace
{

/// Connections inside a region take about 1 ms; a server that does not accept
/// within this time is treated as unreachable.
constexpr duration connect_limit{1'000'000};

/// A healthy probe takes about 25 ms.
constexpr duration probe_limit{2'000'000};

std::size_t write_body(char* data, std::size_t size, std::size_t count,
                       void* context)
{
    transfer& self = *static_cast<transfer*>(context);
    std::size_t const bytes = size * count;
    if (self.body.size() + bytes > self.dialect->max_answer)
    {
        self.too_large = true;
        return CURL_WRITEFUNC_ERROR;
    }
    self.body.append(data, bytes);
    return bytes;
}

std::size_t read_header(char* data, std::size_t size, std::size_t count,
                        void* context)
{
    transfer& self = *static_cast<transfer*>(context);
    on_header_line(self.head, self.dialect->names, {data, size * count});
    return size * count;
}

/// Called before each sending of the request. libcurl silently repeats a
/// request when a kept connection ends without an answer, up to five times;
/// it is aborted here instead. Whether work is repeated is for routing, which
/// knows whether it may run twice and what the service allows.
int before_send(void* context, char*, char*, int, int)
{
    transfer& self = *static_cast<transfer*>(context);
    ++self.sends;
    if (self.sends > 1)
        return CURL_PREREQFUNC_ABORT;
    return CURL_PREREQFUNC_OK;
}

long to_milliseconds(duration time)
{
    return std::max<long>(1, static_cast<long>(time.count() / 1000));
}

void add_header(header_ptr& list, std::string const& line)
{
    curl_slist* const longer = curl_slist_append(list.get(), line.c_str());
    if (!longer)
        throw std::bad_alloc();
    // The list keeps its head, so ownership does not change but for the first.
    (void)list.release();
    list.reset(longer);
}

void add_header(header_ptr& list, std::string_view name, std::string_view value)
{
    if (!value.empty())
        add_header(list, fmt::format("{}: {}", name, value));
}

header_ptr make_headers(start const& job, header_names const& names,
                        duration remaining)
{
    work_request const& what = job.request;
    header_ptr list;
    for (header_field const& field : what.headers)
        // libcurl sends a header without a value only when it is written with
        // a semicolon.
        add_header(list, field.value.empty() ? field.name + ";"
                                             : field.name + ": " + field.value);
    bool const has_agent =
        std::ranges::any_of(what.headers, [](header_field const& field)
                            { return is_same_header(field.name, "Accept"); });
    // Without a value libcurl leaves out its own default.
    if (!has_agent)
        add_header(list, "Accept:");
    add_header(list, names.request_id, what.caller_id);
    add_header(list, names.time_allowed,
               fmt::format("{}", to_milliseconds(remaining)));
    if (!names.expected_server.empty())
        add_header(list, names.expected_server, job.server);
    if (!names.caller_service.empty())
        add_header(list, names.caller_service, what.caller_service);
    add_header(list, "traceparent", what.traceparent);
    add_header(list, "Idempotency-Key", what.idempotency_key);
    add_header(list, what.content_type.empty()
                         ? "Content-Type:"
                         : "Content-Type: " + what.content_type);
    add_header(list, "Expect:");
    return list;
}

void set_common_options(transfer& self, std::string const& target,
                        duration limit)
{
    CURL* const easy = self.easy.get();
    std::string const url = "http://" + self.job.address + target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, keepalive_socket_callback);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &self);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &write_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &self);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &read_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &self);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &self);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, to_milliseconds(limit));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     to_milliseconds(std::min(limit, connect_limit)));
}

/// A connection of its own, closed afterwards.
void use_own_connection(CURL* easy)
{
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

void set_method(CURL* easy, work_request const& what)
{
    bool const sends_body = !what.body.empty() || what.method == "POST" ||
                            what.method == "PUT" || what.method == "PATCH";
    if (sends_body)
    {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(what.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, what.body.data());
    }
    else if (what.method == "HEAD")
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    else
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, what.method.c_str());
}

transfer_end end_of(CURLcode code)
{
    if (code == CURLE_OK)
        return transfer_end::complete;
    return code == CURLE_OPERATION_TIMEDOUT ? transfer_end::timed_out
                                            : transfer_end::failed;
}

} // namespace

std::unique_ptr<transfer> make_transfer(easy_ptr easy, start&& job,
                                        server_dialect const& dialect,
                                        time_point now)
{
    auto self = std::make_unique<transfer>();
    self->easy = std::move(easy);
    self->dialect = &dialect;
    self->job = std::move(job);
    self->started = now;
    work_request const& what = self->job.request;
    duration const remaining = what.deadline - now;
    self->headers = make_headers(self->job, dialect.names, remaining);
    set_common_options(*self, what.target, remaining);
    set_method(self->easy.get(), what);
    curl_easy_setopt(self->easy.get(), CURLOPT_HTTPHEADER, self->headers.get());
    // A server may close a kept connection while the request is on its way,
    // which leaves the outcome unknown. A new connection (about 1 ms) does not
    // have that fault.
    if (!what.repeatable)
        use_own_connection(self->easy.get());
    return self;
}

std::unique_ptr<transfer> make_transfer(easy_ptr easy, probe const& what,
                                        server_dialect const& dialect,
                                        time_point now)
{
    auto self = std::make_unique<transfer>();
    self->easy = std::move(easy);
    self->dialect = &dialect;
    self->is_probe = true;
    self->job.server = what.server;
    self->job.address = what.address;
    self->started = now;
    set_common_options(*self, what.path, probe_limit);
    use_own_connection(self->easy.get());
    return self;
}

finished finish_transfer(transfer& done, CURLcode code, time_point now)
{
    transfer_facts facts;
    facts.end = end_of(code);
    facts.may_have_sent = done.sends > 0;
    facts.head_request = done.job.request.method == "HEAD";
    facts.undelimited_is_whole = done.dialect->undelimited_answers;
    facts.request_id = done.job.request.caller_id;
    finished result;
    result.ticket = done.job.ticket;
    result.result = classify(facts, done.head);
    // Latency zero tells that nothing was attempted at the server.
    if (code != CURLE_URL_MALFORMAT)
        result.latency = now - done.started;
    if (done.too_large)
        result.detail =
            fmt::format("answer exceeds {} bytes", done.dialect->max_answer);
    else if (code != CURLE_OK)
        result.detail = curl_easy_strerror(code);
    else if (result.result == result_class::cut)
        result.detail = "answer to another request, or one without an end";
    if (result.result == result_class::answered ||
        result.result == result_class::refused_not_run)
    {
        result.status = done.head.status;
        result.content_type = std::move(done.head.content_type);
        result.headers = forwarded_headers(
            done.head.headers,
            std::array<std::string_view, 3>{"Content-Type", "X-Outcome",
                                            done.dialect->names.request_id});
        result.body = std::move(done.body);
    }
    return result;
}

} // namespace gooseberrycove::dispatch
