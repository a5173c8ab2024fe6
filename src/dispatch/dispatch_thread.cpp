#include "dispatch_thread.hpp"

#include "transfer.hpp"
#include <gooseberrycove/event.hpp>

#include <algorithm>
#include <deque>
#include <new>
#include <unordered_map>

namespace gooseberrycove::dispatch
{

namespace
{

/// Idle connections kept open to all servers together. A daemon is home to
/// about 12 servers with 3 to 4 slots each, so this limit never closes a
/// connection that is in use.
constexpr long max_idle_connections = 1024;

/// Hard limit per server. Admission stays far below it, because it limits the
/// requests in flight by the server's slots.
constexpr long max_server_connections = 64;

constexpr int idle_poll_ms = 1000;

/// Poll timeout while results are pending for a full ring.
constexpr int delivery_poll_ms = 10;

constexpr std::size_t max_spare_handles = 64;

/// Time in which transfers may end after the inbox is closed. The daemon has
/// already waited for its shutdown limit; a server that does not answer would
/// keep it running until a deadline of its callers.
constexpr std::chrono::milliseconds stop_grace{250};

struct multi_deleter
{
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

struct dispatch_state
{
    /// Before `multi`, which uses it until it is destroyed.
    http_client::connection_table connections;
    std::unique_ptr<CURLM, multi_deleter> multi;
    /// Transfers in flight.
    std::unordered_map<CURL*, std::unique_ptr<transfer>> transfers;
    std::unordered_map<std::uint64_t, CURL*> handle_by_ticket;
    std::vector<easy_ptr> spare_handles;
    /// Size of the bodies that the transfers have received so far.
    std::size_t buffered_bytes = 0;
    std::deque<admission::message> undelivered_results;
};

dispatch_state make_state()
{
    dispatch_state state;
    state.multi.reset(curl_multi_init());
    if (!state.multi)
        throw std::bad_alloc();
    curl_multi_setopt(state.multi.get(), CURLMOPT_MAXCONNECTS,
                      max_idle_connections);
    curl_multi_setopt(state.multi.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                      max_server_connections);
    curl_multi_setopt(state.multi.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    return state;
}

transfer_context share(dispatch_state& state, wiring const& setup)
{
    return {&setup.options, &state.connections, &state.buffered_bytes};
}

easy_ptr acquire_handle(dispatch_state& state)
{
    if (state.spare_handles.empty())
    {
        easy_ptr fresh(curl_easy_init());
        if (!fresh)
            throw std::bad_alloc();
        return fresh;
    }
    easy_ptr handle = std::move(state.spare_handles.back());
    state.spare_handles.pop_back();
    curl_easy_reset(handle.get());
    return handle;
}

/// Removes a transfer from the multi handle, which closes the connection of a
/// transfer that has not ended.
std::unique_ptr<transfer> remove_transfer(dispatch_state& state, CURL* easy)
{
    curl_multi_remove_handle(state.multi.get(), easy);
    auto const found = state.transfers.find(easy);
    std::unique_ptr<transfer> removed = std::move(found->second);
    state.transfers.erase(found);
    state.handle_by_ticket.erase(removed->job.ticket);
    if (removed->buffered_bytes)
        state.buffered_bytes -= removed->body.size();
    return removed;
}

void recycle_handle(dispatch_state& state, transfer& ended)
{
    if (state.spare_handles.size() < max_spare_handles)
        state.spare_handles.push_back(std::move(ended.easy));
}

void add_transfer(dispatch_state& state, std::unique_ptr<transfer> added)
{
    CURL* const easy = added->easy.get();
    if (!added->is_probe)
        state.handle_by_ticket[added->job.ticket] = easy;
    state.transfers.emplace(easy, std::move(added));
    curl_multi_add_handle(state.multi.get(), easy);
}

void log_finished(transfer const& ended, finished const& result)
{
    static constexpr std::string_view names[] = {
        "answered", "connect_failed", "refused_not_run",
        "cut",      "timed_out",      "cancelled"};
    event_line line(event::dispatch_finished);
    line.field("request", ended.job.request.caller_id)
        .field("server", ended.job.server)
        .field("class", names[static_cast<std::size_t>(result.result)])
        .field("status", result.status)
        .field("latency_us", std::int64_t{result.latency.count()})
        .field("connection", ended.connection.number)
        .field("earlier_requests", ended.connection.earlier_requests)
        .routine(result.result == result_class::answered &&
                 result.status < 500);
    if (!result.detail.empty())
        line.field("reason", result.detail);
    log_info(line);
}

/// Logs a response that cannot be shown to belong to its request, and counts
/// all.
void report_response(wiring const& setup, transfer const& ended)
{
    if (!ended.response_attribution)
        return;
    attribution const found = *ended.response_attribution;
    if (setup.counts)
        setup.counts->count_server_response(to_string(found));
    if (is_attributed(found))
        return;
    log_warning(
        event_line(event::response_unattributed)
            .field("request", ended.job.request.caller_id)
            .field("server", ended.job.server)
            .field("reason", to_string(found))
            .field("status", ended.head.status)
            .field("response_id", ended.head.request_id)
            .field("connection", ended.connection.number)
            .field("earlier_requests", ended.connection.earlier_requests));
}

/// Logs and counts a connection that is not used for the transfer.
void report_unusable_connection(wiring const& setup, transfer const& ended)
{
    http_client::connection_state const state = ended.connection.state;
    if (state == http_client::connection_state::usable)
        return;
    if (setup.counts)
        setup.counts->count_unusable_connection(to_string(state));
    log_info(event_line(event::connection_unusable)
                 .field("request", ended.job.request.caller_id)
                 .field("server", ended.job.server)
                 .field("state", to_string(state))
                 .field("connection", ended.connection.number)
                 .field("earlier_requests", ended.connection.earlier_requests));
}

/// Sends results in order; those that the ring has no room for stay for the
/// next call.
void flush_results(dispatch_state& state, wiring const& setup)
{
    while (
        !state.undelivered_results.empty() &&
        setup.admission->try_push(std::move(state.undelivered_results.front())))
        state.undelivered_results.pop_front();
}

void deliver_result(dispatch_state& state, wiring const& setup,
                    finished&& result)
{
    state.undelivered_results.emplace_back(std::move(result));
    flush_results(state, setup);
}

void handle(dispatch_state&, wiring const&, std::monostate, time_point) {}

void handle(dispatch_state& state, wiring const& setup, start&& job,
            time_point now)
{
    if (job.request.deadline > now)
    {
        add_transfer(state, make_transfer(acquire_handle(state), std::move(job),
                                          share(state, setup), now));
        return;
    }
    finished result;
    result.ticket = job.ticket;
    result.result = result_class::connect_failed;
    result.detail = "deadline passed before sending";
    deliver_result(state, setup, std::move(result));
}

void handle(dispatch_state& state, wiring const& setup, cancel const& request,
            time_point now)
{
    auto const found = state.handle_by_ticket.find(request.ticket);
    if (found == state.handle_by_ticket.end())
        return;
    auto const removed = remove_transfer(state, found->second);
    finished result;
    result.ticket = request.ticket;
    result.result = result_class::cancelled;
    result.latency = now - removed->started;
    log_finished(*removed, result);
    recycle_handle(state, *removed);
    deliver_result(state, setup, std::move(result));
}

void handle(dispatch_state& state, wiring const& setup, probe const& request,
            time_point now)
{
    add_transfer(state, make_transfer(acquire_handle(state), request,
                                      share(state, setup), now));
}

/// An address may have passed to another server, whose health says nothing of
/// the one that was probed.
bool is_from_probed_server(transfer const& ended)
{
    return ended.options->names.server_name.empty() ||
           ended.head.server_name == ended.job.server;
}

void report_probe(wiring const& setup, transfer const& ended,
                  finished const& result)
{
    health::probe_result report;
    report.server = ended.job.server;
    report.ok = result.result == result_class::answered &&
                result.status >= 200 && result.status < 300 &&
                is_from_probed_server(ended);
    report.latency = result.latency;
    // Probes are sent regularly and each is weak evidence, so a result may be
    // dropped.
    if (!setup.health->try_push(std::move(report)))
        log_warning(event_line(event::ring_full).field("duty", "health"));
}

void collect_finished_transfers(dispatch_state& state, wiring const& setup,
                                time_point now)
{
    int remaining = 0;
    while (CURLMsg const* curl_message =
               curl_multi_info_read(state.multi.get(), &remaining))
    {
        if (curl_message->msg != CURLMSG_DONE)
            continue;
        CURLcode const code = curl_message->data.result;
        auto ended = remove_transfer(state, curl_message->easy_handle);
        report_unusable_connection(setup, *ended);
        if (may_send_again(*ended, now))
        {
            send_again(*ended, now);
            add_transfer(state, std::move(ended));
            continue;
        }
        report_response(setup, *ended);
        finished result = finish_transfer(*ended, code, now);
        recycle_handle(state, *ended);
        if (ended->is_probe)
        {
            report_probe(setup, *ended, result);
            continue;
        }
        log_finished(*ended, result);
        deliver_result(state, setup, std::move(result));
    }
}

/// Closes the connections of the transfers that have not ended.
void abandon_transfers(dispatch_state& state)
{
    while (!state.transfers.empty())
    {
        auto const abandoned =
            remove_transfer(state, state.transfers.begin()->first);
        if (abandoned->is_probe)
            continue;
        log_warning(event_line(event::dispatch_finished)
                        .field("request", abandoned->job.request.caller_id)
                        .field("server", abandoned->job.server)
                        .field("class", "cancelled")
                        .field("reason", "the daemon stops"));
    }
}

} // namespace

void run(inbox& requests, wiring const& setup)
{
    dispatch_state state = make_state();
    waker_scope const waker = requests.set_waker([multi = state.multi.get()]
                                                 { curl_multi_wakeup(multi); });
    std::vector<message> batch;
    time_point stop_at = time_point::max();
    for (time_point now = clock_now(); now < stop_at; now = clock_now())
    {
        bool const is_open = requests.pop_all(batch);
        if (!is_open)
            stop_at = std::min(stop_at, now + stop_grace);
        for (message& item : batch)
            std::visit([&](auto& content)
                       { handle(state, setup, std::move(content), now); },
                       item);
        batch.clear();
        int running = 0;
        curl_multi_perform(state.multi.get(), &running);
        collect_finished_transfers(state, setup, clock_now());
        flush_results(state, setup);
        if (!is_open && state.transfers.empty())
            break;
        curl_multi_poll(state.multi.get(), nullptr, 0,
                        is_open && state.undelivered_results.empty()
                            ? idle_poll_ms
                            : delivery_poll_ms,
                        nullptr);
    }
    abandon_transfers(state);
    if (!state.undelivered_results.empty())
        log_error(event_line(event::ring_full)
                      .field("duty", "admission")
                      .field("lost",
                             std::uint64_t{state.undelivered_results.size()}));
}

} // namespace gooseberrycove::dispatch
