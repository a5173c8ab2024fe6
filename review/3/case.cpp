// The operator changes the configuration: one route moves to another service,
// another one is split by weights that are fractions. Every backend server,
// daemon and the store are undisturbed.
#include "standin.hpp"

using namespace standin;

namespace
{

constexpr double config_apply_s = 2;
constexpr double recover_s = 15;

} // namespace

int main(int argc, char** argv)
{
    setup test(argc, argv);
    int const store_port = free_port();
    row_store store(store_port);
    json const routes{{"r-view", route("/view/", "safe", "orders")},
                      {"r-art", route("/art/", "safe", "proofs")}};
    std::vector<std::string> const services{"orders", "proofs"};
    store.put("op", "config", config(3, routes, services).dump());

    std::vector<proxy_daemon> daemons(4);
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        daemons[i].name = "sidecar-a-" + std::to_string(i);
        daemons[i].zone = "a";
        daemons[i].service = services[i / 2];
        daemons[i].store_port = store_port;
        daemons[i].assign();
        daemons[i].start(test.root, test.run);
    }
    for (proxy_daemon const& item : daemons)
        if (!item.wait_ready(15))
            test.finish(2, "a daemon is not ready");
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        backends.push_back(std::make_unique<backend>(
            "i-" + std::to_string(i), daemons[i].service, "a",
            daemons[i].control,
            [i, &services](message const& request, backend& self)
            { return self.answer(request, 200, services[i / 2]); }));
        backends.back()->start_beats();
    }
    sleep_s(5);

    int number = 0;
    // Returns how many of the requests for /view/ run at each service.
    auto const ask_all = [&]
    {
        std::map<std::string, int> ran;
        for (int i = 0; i < 40; ++i)
        {
            std::string const id = "view-" + std::to_string(number++);
            auto const reply =
                ask(daemons[static_cast<std::size_t>(i) % 4].outbound,
                    {"GET", "/view/x", "shop.example", id, 2000});
            ++ran[!reply                    ? "no answer"
                  : reply->status() == 200 ? reply->body
                                           : std::to_string(reply->status())];
            record.line(id + ": " +
                        (reply ? reply->first + " " +
                                     (reply->status() == 200 ? reply->body : "")
                               : std::string("no answer")));
        }
        return ran;
    };
    auto const to_text = [](std::map<std::string, int> const& ran)
    {
        std::string out;
        for (auto const& [where, count] : ran)
            out += (out.empty() ? "" : ", ") + where + " " +
                   std::to_string(count);
        return out;
    };
    record.line("version 3 in force: " + to_text(ask_all()));

    json changed = routes;
    changed["r-view"]["service"] = "proofs";
    changed["r-art"].erase("service");
    // The same shares of the requests, in whole numbers without the trouble.
    changed["r-art"]["traffic_split"] = {
        {{"service", "proofs"}, {"weight", test.has_trouble ? json(0.9) : json(9)}},
        {{"service", "orders"}, {"weight", test.has_trouble ? json(0.1) : json(1)}}};
    store.put("op", "config", config(7, changed, services).dump());
    record.line("the store acknowledges version 7: " +
                changed["r-art"].dump());
    // Much later than config_apply_ms.
    sleep_s(5 * config_apply_s);
    auto ran = ask_all();
    std::string const counts = "10 s after the acknowledgement of version 7, "
                               "by which /view/ goes to proofs: " +
                               to_text(ran);
    record.line(counts);

    // Not judged: what the fleet does after a loss of power.
    for (proxy_daemon const& item : daemons)
        item.signal(SIGKILL);
    for (proxy_daemon& item : daemons)
        item.wait(2);
    for (proxy_daemon& item : daemons)
        item.start(test.root, test.run);
    sleep_s(recover_s + 1);
    int ready = 0;
    for (proxy_daemon const& item : daemons)
        ready += item.is_ready() ? 1 : 0;
    record.line("16 s after all daemons were started again " +
                std::to_string(ready) +
                " of 4 are ready; requests for /view/: " +
                to_text(ask_all()));
    if (ran["orders"] > 0)
        test.finish(1, "CONFIG broken: " + counts);
    test.finish(ran["proofs"] > 0 ? 0 : 2, "CONFIG held: " + counts);
}
