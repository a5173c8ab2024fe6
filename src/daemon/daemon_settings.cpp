#include "daemon_settings.hpp"

#include <array>

namespace gooseberrycove
{

namespace
{

setting required_setting(char const* key, setting_type type, char const* help)
{
    setting out;
    out.section = "daemon";
    out.key = key;
    out.type = type;
    out.required = true;
    out.help = help;
    return out;
}

setting optional_setting(char const* key, setting_type type, char const* value,
                         char const* help)
{
    setting out = required_setting(key, type, help);
    out.required = false;
    out.default_value = value;
    return out;
}

setting number_setting(char const* key, char const* value, double minimum,
                       double maximum, char const* help)
{
    setting out = optional_setting(key, setting_type::number, value, help);
    out.minimum = minimum;
    out.maximum = maximum;
    return out;
}

setting real_setting(char const* key, char const* value, double maximum,
                     char const* help)
{
    setting out = optional_setting(key, setting_type::real, value, help);
    out.minimum = 0;
    out.maximum = maximum;
    return out;
}

setting header_setting(char const* key, char const* value, char const* help)
{
    setting out = optional_setting(key, setting_type::text, value, help);
    out.section = "headers";
    return out;
}

std::array const schema{
    required_setting(
        "name", setting_type::text,
        "name of this daemon, unique in the fleet and kept over restarts"),
    required_setting("data_centre", setting_type::text,
                     "name of the data centre"),
    required_setting("listen", setting_type::address,
                     "port for callers, ip:port"),
    required_setting("admin", setting_type::address,
                     "port for operators and backend servers, ip:port"),
    optional_setting("also_admin", setting_type::addresses, "",
                     "further addresses with the endpoints of `admin`, ip:port "
                     "separated by blanks"),
    optional_setting(
        "service", setting_type::text, "",
        "service of the backend server on this VM, told to the servers "
        "that run requests from here"),
    required_setting("peer", setting_type::address,
                     "port for daemons, TCP and UDP, ip:port"),
    optional_setting("peer_bind", setting_type::address, "",
                     "ip:port to bind when it differs from `peer`; outgoing "
                     "connections come from this ip"),
    required_setting("platform", setting_type::address,
                     "the platform's table service and object store, ip:port"),
    optional_setting(
        "platform_interface", setting_type::text, "own",
        "interface of the platform: own, or rows with the operator's "
        "document in a row"),
    optional_setting(
        "peer_key_file", setting_type::text, "",
        "file with one or two keys shared by the daemons; reread on "
        "SIGHUP; without it peers are not authenticated"),
    optional_setting(
        "admin_key_file", setting_type::text, "",
        "file with one or two operators' keys; reread on SIGHUP; without "
        "it the operators' endpoints are closed"),
    optional_setting(
        "announce_key_file", setting_type::text, "",
        "file with one or two backend servers' keys; reread on SIGHUP; "
        "without it announcements need no key"),
    optional_setting(
        "seeds", setting_type::addresses, "",
        "peer addresses of daemons to join, ip:port separated by blanks"),
    real_setting("shutdown_seconds", "", 3600,
                 "seconds from SIGTERM until the process is killed; reread on "
                 "SIGHUP"),
    number_setting("memory_mb", "", 16, 1e6,
                   "MiB of memory at which the process is killed; "
                   "bounds the answers and the request bodies that are held"),
    number_setting("descriptors", "", 1, 1e9,
                   "file descriptors that the process may have open; "
                   "bounds the requests in flight and the connections of "
                   "callers"),
    real_setting("drain_seconds", "", 3600,
                 "seconds that a shutdown waits for requests in flight; "
                 "derived when empty; reread on SIGHUP"),
    number_setting(
        "drain_notice_ms", "", 0, 60'000,
        "milliseconds of a shutdown in which callers and the backend servers "
        "here are still served; derived when empty; reread on SIGHUP"),
    number_setting("max_body_bytes", "1048576", 1024, 64 << 20,
                   "largest body of a request or an answer in bytes"),
    number_setting("max_buffered_bytes", "", 1024, 1e12,
                   "largest size of all answers that are being received from "
                   "the backend servers here, in bytes; derived when empty"),
    number_setting("max_pipelined", "8", 1, 64,
                   "requests of one connection of a caller that are read and "
                   "have no complete response; further ones are read later"),
    real_setting("floor_share", "0", 1,
                 "share of a service's slots that ejection leaves in use, with "
                 "platform_interface rows"),
    real_setting("repeat_share", "0", 10,
                 "repeats in 10 s as a share of a service's requests, with "
                 "platform_interface rows"),
    real_setting(
        "repeat_slack", "0", 1e6,
        "repeats in 10 s beyond repeat_share, with platform_interface rows"),
    real_setting("cross_data_centre_cost", "0", 1000,
                 "seconds that a request waits in its data centre rather than "
                 "send 1 MiB to another one; at 0 each request has the same "
                 "constant cost"),
    number_setting("refusal_siblings", "0", 0, 16,
                   "servers with free slots at other homes that a refusal of "
                   "this daemon names"),
    real_setting("account_limit_window", "0", 60,
                 "seconds in any of which an account may send its rate times "
                 "this plus its burst, with account_limits fleet; at 0 the "
                 "limit is a token bucket"),
    optional_setting(
        "undelimited_answers", setting_type::boolean, "false",
        "whether an answer of a backend server may have no length and "
        "end with its connection"),
    optional_setting(
        "account_limits", setting_type::text, "daemon",
        "where the rate limits of accounts hold: at each daemon, or in the "
        "whole fleet: daemon or fleet"),
    number_setting("log_level", "0", 0, 2,
                   "least severity that is logged: 0 info, 1 warning, 2 error; "
                   "reread on SIGHUP"),
    header_setting("request_id", "X-Request-Id", "header with the caller's id"),
    header_setting("time_allowed", "X-Deadline-Ms",
                   "header with the milliseconds that the sender still waits"),
    header_setting(
        "expected_server", "",
        "header that names the backend server that is meant; not sent when "
        "empty"),
    header_setting(
        "caller_service", "",
        "header that names the service of the VM where the request began; "
        "not sent when empty"),
    header_setting(
        "account_key", "",
        "header that holds an account's key and nothing else; when empty, "
        "callers send `Authorization: Bearer ACCOUNT:SECRET`"),
    header_setting(
        "account_name", "",
        "header that names the caller's account to the backend server; not "
        "sent when empty"),
    header_setting(
        "not_run", "",
        "header whose presence on an answer states that the request was "
        "not run; when empty, `X-Outcome: not_run` does"),
    header_setting(
        "server_name", "",
        "header in which a backend server names itself when it is probed; a "
        "success of another server is a failed probe; not read when empty"),
    header_setting(
        "server_stamp", "",
        "header that each success of a backend server bears; a success "
        "without it counts as cut; not expected when empty"),
    header_setting(
        "server_limit", "",
        "header of an answer with the requests a second that the backend "
        "server takes from all daemons; not read when empty"),
    header_setting(
        "server_leaving", "",
        "header that is 1 on the answers of a backend server that leaves; "
        "not read when empty"),
    header_setting(
        "server_load", "",
        "header with the load of a backend server, `running,waiting,slots`; "
        "not read when empty"),
};

} // namespace

std::span<setting const> daemon_schema()
{
    return schema;
}

} // namespace gooseberrycove
