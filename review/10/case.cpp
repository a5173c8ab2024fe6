// A backend deregisters and serves on. All daemons are then killed and start
// again, and a heartbeat that the backend sent before it deregistered arrives
// late.
#include "standin.hpp"

using namespace standin;

namespace
{

constexpr auto drain_time = 2000ms;      // bounds.drain_ms
constexpr auto stability_time = 3000ms;  // bounds.stability_ms
constexpr auto heartbeat_delay = 3000ms; // "may arrive seconds late"
constexpr auto serving_time = 10s;       // "at times many seconds"
std::string const ip = "127.0.0.1";
std::string const host = "shop.example";

/// Sends one call to a control address. Returns the status, or 0.
int call_control(daemon_process const& home, std::string const& path,
                 std::string const& body)
{
    int const fd = connect_to(ip, home.control, 1s);
    message reply;
    bool const answered =
        fd >= 0 &&
        send_all(fd, "POST " + path +
                         " HTTP/1.1\r\nHost: c\r\nContent-Type: "
                         "application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body) &&
        reader(fd).read_message(reply, true);
    if (fd >= 0)
        ::close(fd);
    return answered ? reply.status : 0;
}

} // namespace

int main(int, char** arguments)
{
    record_file record(arguments[1]);
    temporary_folder const folder;
    run_log runs;
    fleet all({.service = "books",
               .daemons = 3,
               .memory_mb = 260,
               .slots = 4,
               .work = 200ms},
              folder.path, runs);
    all.platform.put_config(
        {{"version", 7},
         {"routes",
          {{"read", make_route(host, "/books/", "safe", "books")},
           {"order", make_route(host, "/orders/", "unsafe", "books")}}},
         {"services", {{"books", make_service()}}},
         {"limits", make_limits()}});
    if (!all.wait_until_serving(record, host, "/books/1"))
        return 2;
    auto const& daemons = all.daemons;

    // Requests to all daemons in turn until the end.
    std::atomic<bool> is_stopping{false};
    std::atomic<int> sent{0}, succeeded{0};
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n < 4 * daemons.size(); ++n)
        clients.emplace_back(
            [&, target = daemons[n % daemons.size()].get()]
            {
                for (int i = 0; !is_stopping; ++i)
                {
                    client_request request;
                    request.method = i % 2 == 0 ? "GET" : "POST";
                    request.target = i % 2 == 0 ? "/books/1" : "/orders/1";
                    request.host = host;
                    request.id = new_id();
                    message const reply = ask(ip, target->outbound, request);
                    record.line("client " + request.id + " " +
                                request.method + " to " + target->name() +
                                " -> " + std::to_string(reply.status));
                    ++sent;
                    succeeded += reply.status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(50ms);
                }
            });
    std::this_thread::sleep_for(5s);

    backend& leaving = *all.backends[0];
    leaving.stop_beats();
    std::string const late_beat = leaving.next_beat();
    auto const beat_sent = steady::now();
    int const withdrawn = call_control(
        *daemons[0], "/withdraw/i-1",
        json{{"born", json::parse(late_beat)["born"]}}.dump());
    auto const acknowledged = steady::now();
    auto const acknowledged_ms = elapsed_ms();
    record.line("i-1 deregisters at sidecar-a-1 -> " +
                std::to_string(withdrawn));
    if (withdrawn != 200)
        return 2;
    std::this_thread::sleep_for(500ms);
    if (has_trouble())
    {
        for (auto const& one : daemons)
            one->end();
        record.line("all daemons are killed");
        std::this_thread::sleep_for(500ms);
        for (auto const& one : daemons)
            one->start();
        record.line("all daemons start");
    }
    auto const in_touch = steady::now() + stability_time;
    std::this_thread::sleep_until(beat_sent + heartbeat_delay);
    record.line("heartbeat of i-1, sent before it deregistered, arrives -> " +
                std::to_string(call_control(*daemons[0], "/announce/i-1",
                                            late_beat)));
    std::this_thread::sleep_until(acknowledged + serving_time);
    is_stopping = true;
    for (std::thread& one : clients)
        one.join();

    auto const start_ms =
        acknowledged_ms +
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(in_touch, acknowledged + drain_time) - acknowledged)
            .count();
    int late = 0;
    for (run const& item : runs.all())
    {
        record.line("run " + item.request.header("X-Request-Id") + " " +
                    item.request.method + " at " + item.backend + " at " +
                    std::to_string(item.at_ms));
        late += item.backend == "i-1" && item.at_ms > start_ms ? 1 : 0;
    }
    record.line("sent " + std::to_string(sent) + ", succeeded " +
                std::to_string(succeeded) + ", counted from " +
                std::to_string(start_ms - acknowledged_ms) +
                " ms after the acknowledgement");
    return report(record, "DRAIN", late,
                  "requests reached a backend that had left");
}
