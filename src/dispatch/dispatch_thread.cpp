#include "dispatch_thread.hpp"

#include "transfer.hpp"
#include <gooseberrycove/event.hpp>

#include <deque>
#include <new>
#include <unordered_map>

namespace gooseberrycove::dispatch
{

namespace
{

/// Idle connections kept over all servers. A daemon is home to about 12
/// servers with 3 to 4 slots, so this never closes a connection in use.
constexpr long max_idle_connections = 1024;

/// Hard bound per server; admission keeps far below it with the server's slots.
constexpr long max_server_connections = 64;

constexpr int poll_limit_ms = 1000;

/// Waiting time while results wait for room in another duty's ring.
constexpr int retry_delivery_ms = 10;

constexpr std::size_t max_spare_handles = 64;

struct multi_deleter
{
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

/// Transfers in flight. The multi handle is shared with the ring's waker,
/// which another thread may still be calling when the loop ends.
struct state
{
    std::shared_ptr<CURLM> multi;
    std::unordered_map<CURL*, std::unique_ptr<transfer>> transfers;
    std::unordered_map<std::uint64_t, CURL*> by_ticket;
    std::vector<easy_ptr> spare;
    std::deque<admission::message> undelivered;
};

state make_state()
{
    state self;
    self.multi.reset(curl_multi_init(), multi_deleter{});
    if (!self.multi)
        throw std::bad_alloc();
    curl_multi_setopt(self.multi.get(), CURLMOPT_MAXCONNECTS,
                      max_idle_connections);
    curl_multi_setopt(self.multi.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                      max_server_connections);
    curl_multi_setopt(self.multi.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    return self;
}

easy_ptr take_handle(state& self)
{
    if (self.spare.empty())
    {
        easy_ptr fresh(curl_easy_init());
        if (!fresh)
            throw std::bad_alloc();
        return fresh;
    }
    easy_ptr handle = std::move(self.spare.back());
    self.spare.pop_back();
    curl_easy_reset(handle.get());
    return handle;
}

/// Takes a transfer out of the multi handle; an unfinished one loses its
/// connection.
std::unique_ptr<transfer> remove_transfer(state& self, CURL* easy)
{
    curl_multi_remove_handle(self.multi.get(), easy);
    auto const found = self.transfers.find(easy);
    std::unique_ptr<transfer> removed = std::move(found->second);
    self.transfers.erase(found);
    self.by_ticket.erase(removed->job.ticket);
    return removed;
}

void recycle(state& self, transfer& done)
{
    if (self.spare.size() < max_spare_handles)
        self.spare.push_back(std::move(done.easy));
}

void add_transfer(state& self, std::unique_ptr<transfer> added)
{
    CURL* const easy = added->easy.get();
    if (!added->is_probe)
        self.by_ticket[added->job.ticket] = easy;
    self.transfers.emplace(easy, std::move(added));
    curl_multi_add_handle(self.multi.get(), easy);
}

void log_finished(transfer const& done, finished const& result)
{
    static constexpr std::string_view names[] = {
        "answered", "connect_failed", "refused_not_run",
        "cut",      "timed_out",      "cancelled"};
    event_line line(event::dispatch_finished);
    line.field("request", done.job.request.caller_id)
        .field("server", done.job.server)
        .field("class", names[static_cast<std::size_t>(result.result)])
        .field("status", result.status)
        .field("latency_us", std::int64_t{result.latency.count()})
        .routine(result.result == result_class::answered &&
                 result.status < 500);
    if (!result.detail.empty())
        line.field("reason", result.detail);
    log_info(line);
}

/// Sends results in order; what finds no room waits for the next call.
void flush(state& self, wiring const& out)
{
    while (!self.undelivered.empty() &&
           out.admission->try_push(std::move(self.undelivered.front())))
        self.undelivered.pop_front();
}

void deliver(state& self, wiring const& out, finished&& result)
{
    self.undelivered.emplace_back(std::move(result));
    flush(self, out);
}

void handle(state&, wiring const&, std::monostate, time_point) {}

void handle(state& self, wiring const& out, start&& job, time_point now)
{
    if (job.request.deadline > now)
    {
        add_transfer(self, make_transfer(take_handle(self), std::move(job),
                                         out.dialect, now));
        return;
    }
    finished result;
    result.ticket = job.ticket;
    result.result = result_class::connect_failed;
    result.detail = "deadline passed before sending";
    deliver(self, out, std::move(result));
}

void handle(state& self, wiring const& out, cancel const& which, time_point now)
{
    auto const found = self.by_ticket.find(which.ticket);
    if (found == self.by_ticket.end())
        return;
    auto const removed = remove_transfer(self, found->second);
    finished result;
    result.ticket = which.ticket;
    result.result = result_class::cancelled;
    result.latency = now - removed->started;
    log_finished(*removed, result);
    recycle(self, *removed);
    deliver(self, out, std::move(result));
}

void handle(state& self, wiring const& out, probe const& what, time_point now)
{
    add_transfer(self,
                 make_transfer(take_handle(self), what, out.dialect, now));
}

void report_probe(wiring const& out, transfer const& done,
                  finished const& result)
{
    health::probe_result answer;
    answer.server = done.job.server;
    answer.ok = result.result == result_class::answered &&
                result.status >= 200 && result.status < 300;
    answer.latency = result.latency;
    // Probe results are weak evidence and repeated, so one may be dropped.
    if (!out.health->try_push(std::move(answer)))
        log_warning(event_line(event::ring_full).field("duty", "health"));
}

void collect_finished(state& self, wiring const& out, time_point now)
{
    int queued = 0;
    while (CURLMsg const* ended =
               curl_multi_info_read(self.multi.get(), &queued))
    {
        if (ended->msg != CURLMSG_DONE)
            continue;
        CURLcode const code = ended->data.result;
        auto const done = remove_transfer(self, ended->easy_handle);
        finished result = finish_transfer(*done, code, now);
        recycle(self, *done);
        if (done->is_probe)
        {
            report_probe(out, *done, result);
            continue;
        }
        log_finished(*done, result);
        deliver(self, out, std::move(result));
    }
}

} // namespace

void run(inbox& requests, wiring const& out)
{
    state self = make_state();
    requests.set_waker([multi = self.multi]
                       { curl_multi_wakeup(multi.get()); });
    std::vector<message> batch;
    bool open = true;
    while (open || !self.transfers.empty())
    {
        open = requests.pop_until(batch, clock_now());
        time_point const now = clock_now();
        for (message& item : batch)
            std::visit([&](auto& what)
                       { handle(self, out, std::move(what), now); },
                       item);
        batch.clear();
        int running = 0;
        curl_multi_perform(self.multi.get(), &running);
        collect_finished(self, out, clock_now());
        flush(self, out);
        if (!open && self.transfers.empty())
            break;
        curl_multi_poll(self.multi.get(), nullptr, 0,
                        self.undelivered.empty() ? poll_limit_ms
                                                 : retry_delivery_ms,
                        nullptr);
    }
    if (!self.undelivered.empty())
        log_error(event_line(event::ring_full)
                      .field("duty", "admission")
                      .field("lost", std::uint64_t{self.undelivered.size()}));
}

} // namespace gooseberrycove::dispatch
