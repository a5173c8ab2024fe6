// The operator takes the only key of a tenant away and later removes all
// routes. Clients of another tenant go on to send requests.
#include "standin.hpp"

using namespace standin;

namespace
{

std::string const host = "taxi.example";
std::string const ip = "127.0.0.1";
std::string const key = "492cqf75rjvz48wuakn2";
std::string const other_key = "ftimaj3nr26tta828m82";

json make_tenant(json const& keys)
{
    return {{"api_keys", keys},
            {"priority", 1},
            {"rate_per_s", 107},
            {"burst", 107}};
}

json make_config(int version, json const& routes, json const& other_keys)
{
    return {{"version", version},
            {"routes", routes},
            {"services", {{"dispatch", make_service()}}},
            {"limits", make_limits()},
            {"tenants",
             {{"huka270", make_tenant({key})},
              {"lohu930", make_tenant(other_keys)}}}};
}

} // namespace

int main(int, char** arguments)
{
    record_file record(arguments[1]);
    temporary_folder const folder;
    run_log runs;
    fleet all({.service = "dispatch", .daemons = 2}, folder.path, runs);
    json const routes{
        {"status", make_route(host, "/rides/", "safe", "dispatch")},
        {"book", make_route(host, "/bookings/", "unsafe", "dispatch")}};
    all.platform.put_config(make_config(7, routes, {other_key}));
    if (!all.wait_until_serving(record, host, "/rides/1", key))
        return 2;
    json other_keys{other_key};
    if (has_trouble())
    {
        other_keys = json::array();
        all.platform.put_config(make_config(9, routes, other_keys));
        record.line("version 9 takes the only key of lohu930 away");
        std::this_thread::sleep_for(5s);
        client_request request;
        request.target = "/rides/1";
        request.host = host;
        request.id = new_id();
        request.key = other_key;
        record.line("client " + request.id + " GET with that key -> " +
                    std::to_string(
                        ask(ip, all.daemons[0]->outbound, request).status));
    }
    all.platform.put_config(make_config(11, json::object(), other_keys));
    record.line("version 11 removes all routes");
    // Twice config_apply_ms.
    std::this_thread::sleep_for(5s);
    int ran = 0;
    for (int i = 0; i < 40; ++i)
    {
        client_request request;
        request.method = i % 2 == 0 ? "GET" : "POST";
        request.target = i % 2 == 0 ? "/rides/1" : "/bookings/1";
        request.host = host;
        request.id = new_id();
        request.key = key;
        daemon_process const& target =
            *all.daemons[static_cast<std::size_t>(i / 2) % 2];
        message const reply = ask(ip, target.outbound, request);
        std::size_t const count = runs.with_id(request.id).size();
        ran += count > 0 ? 1 : 0;
        record.line("client " + request.id + " " + request.method + " " +
                    request.target + " to " + target.name() + " -> " +
                    std::to_string(reply.status) + ", run " +
                    std::to_string(count) + " times");
        std::this_thread::sleep_for(50ms);
    }
    return report(record, "CONFIG", ran,
                  "requests ran on routes that were removed");
}
