// The operator adds tenants. Clients send requests with their keys, and the
// backend notes which tenant it was told.
#include "standin.hpp"

using namespace standin;

namespace
{

std::string const host = "taxi.example";
std::string const ip = "127.0.0.1";

json make_tenant(std::string const& key)
{
    return {{"api_keys", {key}},
            {"priority", 1},
            {"rate_per_s", 107},
            {"burst", 107}};
}

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
    std::map<std::string, std::string> key_of{
        {"huka270", "492cqf75rjvz48wuakn2"}};
    json tenants{{"huka270", make_tenant(key_of["huka270"])}};
    all.platform.put_config(make_config(7, tenants));
    if (!all.wait_until_serving(record, host, "/rides/1", key_of["huka270"]))
        return 2;
    if (has_trouble())
    {
        key_of["hotel desk Linz"] = "hs7d0kq2m4x9w1c8t5z3";
        key_of["porters:wien"] = "p3v8n1b6j4y0r7e2u9a5";
        for (auto const& [name, key] : key_of)
            tenants[name] = make_tenant(key);
        all.platform.put_config(make_config(9, tenants));
        record.line("version 9 adds the tenants 'hotel desk Linz' and "
                    "'porters:wien'");
    }
    std::this_thread::sleep_for(5s);
    int wrong = 0;
    for (int i = 0; i < 10; ++i)
    {
        for (auto const& [name, key] : key_of)
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
            std::string told = "(not run)";
            for (run const& item : runs.with_id(request.id))
            {
                told = item.request.header("X-Tenant-Id");
                wrong += told != name ? 1 : 0;
            }
            record.line("client " + request.id + " " + request.method +
                        " of tenant '" + name + "' to " + target.name() +
                        " -> " + std::to_string(reply.status) +
                        ", the backend was told '" + told + "'");
        }
    }
    return report(record, "UNASKED", wrong,
                  "runs for a tenant that doesn't hold the key");
}
