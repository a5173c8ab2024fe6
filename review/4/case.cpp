// A backend deregisters and is acknowledged; its daemon is killed and started
// again; a heartbeat that the backend sent before arrives seconds late.
#include "standin.hpp"

using namespace standin;

namespace
{

constexpr double drain_s = 2;
constexpr double stability_s = 3;
// More than the eight slots of the two servers that stay.
constexpr std::size_t client_count = 12;

} // namespace

int main(int argc, char** argv)
{
    setup test(argc, argv);
    int const store_port = free_port();
    row_store store(store_port);
    store.put("op", "config",
              config(1, {{"r-order", route("/order/", "unsafe", "orders")}},
                     {"orders"})
                  .dump());

    std::vector<proxy_daemon> daemons(3);
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        daemons[i].name = "sidecar-a-" + std::to_string(i);
        daemons[i].zone = "a";
        daemons[i].service = "orders";
        daemons[i].store_port = store_port;
        daemons[i].assign();
        daemons[i].start(test.root, test.run);
    }
    for (proxy_daemon const& item : daemons)
        if (!item.wait_ready(15))
            test.finish(2, "a daemon is not ready");

    std::mutex mutex;
    std::vector<double> arrivals_at_leaver;
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        backends.push_back(std::make_unique<backend>(
            "i-" + std::to_string(i), "orders", "a", daemons[i].control,
            [&](message const& request, backend& self)
            {
                if (self.id() == "i-0")
                {
                    std::lock_guard lock(mutex);
                    arrivals_at_leaver.push_back(now_s());
                }
                sleep_s(0.15);
                return self.answer(request, 200, "done");
            }));
        backends.back()->start_beats();
    }
    sleep_s(2);

    std::atomic<bool> is_over{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < client_count; ++i)
        clients.emplace_back(
            [&, i]
            {
                while (!is_over)
                {
                    // Only daemons without disruption take requests.
                    auto const reply =
                        ask(daemons[1 + i % 2].outbound,
                            {"POST", "/order/x", "shop.example",
                             "order-" + std::to_string(sent++), 2000});
                    served += reply && reply->status() == 200 ? 1 : 0;
                    sleep_s(0.02);
                }
            });
    sleep_s(4);

    backend& leaver = *backends[0];
    leaver.stop_beats();
    sleep_s(0.3);
    json const late_beat = leaver.beat_body("serving");
    double const beat_sent = now_s();
    record.line("i-0 sends heartbeat " + late_beat["sequence"].dump() +
                ", state serving; it is held up");
    sleep_s(0.2);
    int const acknowledged = leaver.deregister();
    double const acknowledged_at = now_s();
    record.line("i-0 deregisters, the daemon answers " +
                std::to_string(acknowledged));
    if (acknowledged != 200)
        test.finish(2, "the deregistration is not acknowledged");
    sleep_s(0.3);
    double restarted_at = 0;
    if (test.has_trouble)
    {
        daemons[0].signal(SIGKILL);
        daemons[0].wait(2);
        sleep_s(0.2);
        daemons[0].start(test.root, test.run);
        restarted_at = now_s();
        if (!daemons[0].wait_ready(15))
            test.finish(2, "the restarted daemon is not ready");
        record.line("sidecar-a-0 is ready again");
    }
    sleep_s(std::max(0.0, acknowledged_at + 5 - now_s()));
    int const status =
        post(daemons[0].control, "/announce/i-0", late_beat);
    record.line("the heartbeat arrives " +
                std::to_string(now_s() - beat_sent) + " s late, answer " +
                std::to_string(status));
    // The backend goes on for some seconds after drain_ms, then it exits.
    sleep_s(std::max(0.0, acknowledged_at + 10 - now_s()));
    is_over = true;
    for (std::thread& item : clients)
        item.join();

    int late = 0;
    std::lock_guard lock(mutex);
    for (double const at : arrivals_at_leaver)
        late += at > acknowledged_at + drain_s &&
                        at > restarted_at + stability_s
                    ? 1
                    : 0;
    std::string const counts =
        std::to_string(late) + " requests reached i-0 over " +
        std::to_string(static_cast<int>(drain_s)) +
        " s after its acknowledged deregistration, by daemons in touch (" +
        std::to_string(served) + " of " + std::to_string(sent) +
        " requests served)";
    if (late > 0)
        test.finish(1, "DRAIN broken: " + counts);
    test.finish(0, "DRAIN held: " + counts);
}
