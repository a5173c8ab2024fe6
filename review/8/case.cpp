// The operator removes the last tenant. Clients send requests with its old key
// and with a key that no configuration ever held.
#include "standin.hpp"

using namespace standin;

namespace
{

std::string const host = "taxi.example";
std::string const ip = "127.0.0.1";
std::string const key = "492cqf75rjvz48wuakn2";
std::string const forged_key = "zzzzzzzzzzzzzzzzzzzz";

json make_config(int version, json const& tenants)
{
    return {{"version", version},
            {"routes",
             {{"status", make_route(host, "/rides/", "safe", "dispatch")},
              {"book", make_route(host, "/bookings/", "unsafe", "dispatch")}}},
            {"services", {{"dispatch", make_service()}}},
            {"limits", make_limits()},
            {"tenants", tenants}};
}

} // namespace

int main(int, char** arguments)
{
    record_file record(arguments[1]);
    temporary_folder const folder;
    run_log runs;
    fleet all({.service = "dispatch", .daemons = 2}, folder.path, runs);
    json const tenants{{"huka270",
                        {{"api_keys", {key}},
                         {"priority", 1},
                         {"rate_per_s", 107},
                         {"burst", 107}}}};
    all.platform.put_config(make_config(7, tenants));
    if (!all.wait_until_serving(record, host, "/rides/1", key))
        return 2;
    if (has_trouble())
    {
        all.platform.put_config(make_config(9, json::object()));
        record.line("version 9 removes the last tenant");
    }
    // Twice config_apply_ms.
    std::this_thread::sleep_for(5s);
    std::vector<std::string> refused_keys{forged_key};
    if (has_trouble())
        refused_keys.push_back(key);
    int ran = 0;
    for (int i = 0; i < 20; ++i)
    {
        for (std::string const& used_key : refused_keys)
        {
            client_request request;
            request.method = i % 2 == 0 ? "GET" : "POST";
            request.target = i % 2 == 0 ? "/rides/1" : "/bookings/1";
            request.host = host;
            request.id = new_id();
            request.key = used_key;
            daemon_process const& target =
                *all.daemons[static_cast<std::size_t>(i / 2) % 2];
            message const reply = ask(ip, target.outbound, request);
            std::size_t const count = runs.with_id(request.id).size();
            ran += count > 0 ? 1 : 0;
            record.line("client " + request.id + " " + request.method +
                        " with the " +
                        (used_key == key ? "removed" : "forged") + " key to " +
                        target.name() + " -> " +
                        std::to_string(reply.status) + ", run " +
                        std::to_string(count) + " times");
        }
    }
    return report(record, "ROUTE", ran,
                  "requests ran with a removed or forged key");
}
