#include "daemon_settings.hpp"

#include <array>

namespace gooseberrycove
{

namespace
{

setting required(char const* key, setting_type type, char const* help)
{
    setting out;
    out.section = "daemon";
    out.key = key;
    out.type = type;
    out.required = true;
    out.help = help;
    return out;
}

setting optional(char const* key, setting_type type, char const* value,
                 char const* help)
{
    setting out = required(key, type, help);
    out.required = false;
    out.default_value = value;
    return out;
}

setting bounded(char const* key, char const* value, double minimum,
                double maximum, char const* help)
{
    setting out = optional(key, setting_type::number, value, help);
    out.minimum = minimum;
    out.maximum = maximum;
    return out;
}

std::array const schema{
    required("name", setting_type::text,
             "name of this daemon, unique in the fleet and kept over restarts"),
    required("data_centre", setting_type::text, "name of the data centre"),
    required("listen", setting_type::address, "port for callers, ip:port"),
    required("admin", setting_type::address,
             "port for operators and backend servers, ip:port"),
    required("peer", setting_type::address,
             "port for daemons, TCP and UDP, ip:port"),
    optional("peer_bind", setting_type::address, "",
             "ip:port to bind when it differs from `peer`; outgoing "
             "connections come from this ip"),
    required("platform", setting_type::address,
             "the platform's table service and object store, ip:port"),
    required(
        "peer_key_file", setting_type::text,
        "file with one or two keys shared by the daemons; reread on SIGHUP"),
    required("admin_key_file", setting_type::text,
             "file with one or two operators' keys; reread on SIGHUP"),
    required("announce_key_file", setting_type::text,
             "file with one or two backend servers' keys; reread on SIGHUP"),
    optional("seeds", setting_type::addresses, "",
             "peer addresses of daemons to join, ip:port separated by blanks"),
    bounded("drain_seconds", "30", 0, 3600,
            "seconds that a shutdown waits for requests in flight"),
    bounded(
        "log_level", "0", 0, 3,
        "least severity that is logged: 0 info, 1 warning, 2 error, 3 fatal; "
        "reread on SIGHUP"),
};

} // namespace

std::span<setting const> daemon_schema()
{
    return schema;
}

} // namespace gooseberrycove
