// The operator adds a route with the prefix "/". Clients send orders on every
// route of the configuration in force, each to the path `keys` below its
// prefix.
#include "standin.hpp"

using namespace standin;

namespace
{

std::string const ip = "127.0.0.1";
std::string const host = "taxi.example";
std::string const key = "492cqf75rjvz48wuakn2";

json make_config(int version, bool has_catch_all)
{
    json routes{{"status", make_route(host, "/rides/", "safe", "dispatch")},
                {"book", make_route(host, "/bookings/", "unsafe", "dispatch")}};
    if (has_catch_all)
        routes["rest"] = make_route(host, "/", "unsafe", "dispatch");
    return {{"version", version},
            {"routes", routes},
            {"services", {{"dispatch", make_service()}}},
            {"limits", make_limits()},
            {"tenants",
             {{"huka270",
               {{"api_keys", {key}},
                {"priority", 1},
                {"rate_per_s", 107},
                {"burst", 107}}}}}};
}

} // namespace

int main(int, char** arguments)
{
    record_file record(arguments[1]);
    temporary_folder const folder;
    run_log runs;
    fleet all({.service = "dispatch", .daemons = 2}, folder.path, runs);
    all.platform.put_config(make_config(7, false));
    if (!all.wait_until_serving(record, host, "/rides/1", key))
        return 2;
    std::vector<std::string> prefixes{"/bookings/"};
    if (has_trouble())
    {
        all.platform.put_config(make_config(9, true));
        record.line("version 9 adds a route with the prefix /");
        prefixes.push_back("/");
    }
    std::this_thread::sleep_for(5s);
    int false_successes = 0;
    for (int i = 0; i < 40; ++i)
    {
        client_request request;
        request.method = "POST";
        request.target =
            prefixes[static_cast<std::size_t>(i) % prefixes.size()] + "keys";
        request.host = host;
        request.id = new_id();
        request.key = key;
        request.body = "order " + request.id;
        daemon_process const& target =
            *all.daemons[static_cast<std::size_t>(i / 2) % 2];
        message const reply = ask(ip, target.outbound, request);
        std::string const stamp = reply.header("X-Server-Stamp");
        std::size_t const ran = runs.with_id(request.id).size();
        record.line("client " + request.id + " POST " + request.target +
                    " to " + target.name() + " -> " +
                    std::to_string(reply.status) + ", stamp '" + stamp +
                    "', body '" + reply.body + "', run " +
                    std::to_string(ran) + " times");
        bool const is_success = reply.status >= 200 && reply.status < 300;
        false_successes += is_success && stamp.empty() ? 1 : 0;
        std::this_thread::sleep_for(50ms);
    }
    return report(record, "MIXED", false_successes,
                  "successes without a backend's stamp");
}
