#include "daemon.hpp"

#include "account_limit/account_limit_thread.hpp"
#include "admin/admin_thread.hpp"
#include "admission/admission_thread.hpp"
#include "claims/claims_thread.hpp"
#include "config/config_thread.hpp"
#include "dispatch/dispatch_thread.hpp"
#include "front/front_thread.hpp"
#include "health/health_thread.hpp"
#include "members/members_thread.hpp"
#include "peer/peer_thread.hpp"
#include "platform/row_store.hpp"
#include "routing/routing_thread.hpp"
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/metrics.hpp>
#include <gooseberrycove/store.hpp>

#include <pthread.h>

#include <atomic>
#include <condition_variable>
#include <thread>

namespace gooseberrycove
{

namespace
{

/// Maximum number of control messages in the ring of a duty.
constexpr std::size_t control_ring_capacity = 8192;
constexpr std::chrono::milliseconds drain_poll_interval{20};
/// Number of consecutive polls without requests in flight that end the wait;
/// one poll could miss a request whose message is between two rings.
constexpr int required_empty_polls = 5;

bool uses_row_store(settings const& values)
{
    return values.text("daemon", "platform_interface") == "rows";
}

store::protocol select_protocol(settings const& values)
{
    std::string const& name = values.text("daemon", "platform_interface");
    if (name == "own")
        return store::fake_platform_protocol();
    if (name != "rows")
        throw settings_error("daemon.platform_interface: '" + name +
                             "' is not allowed, allowed: own, rows");
    return platform::row_store_protocol(
        {values.real("daemon", "floor_share"),
         values.real("daemon", "repeat_share"),
         values.real("daemon", "repeat_slack")});
}

bool uses_fleet_limits(settings const& values)
{
    std::string const& place = values.text("daemon", "account_limits");
    if (place != "daemon" && place != "fleet")
        throw settings_error("daemon.account_limits: '" + place +
                             "' is not allowed, allowed: daemon, fleet");
    return place == "fleet";
}

header_names read_header_names(settings const& values)
{
    header_names names;
    names.request_id = values.text("headers", "request_id");
    names.time_allowed = values.text("headers", "time_allowed");
    names.expected_server = values.text("headers", "expected_server");
    names.caller_service = values.text("headers", "caller_service");
    names.account_key = values.text("headers", "account_key");
    names.account_name = values.text("headers", "account_name");
    names.not_run = values.text("headers", "not_run");
    names.server_name = values.text("headers", "server_name");
    names.server_stamp = values.text("headers", "server_stamp");
    names.server_limit = values.text("headers", "server_limit");
    names.server_leaving = values.text("headers", "server_leaving");
    names.server_load = values.text("headers", "server_load");
    return names;
}

} // namespace

struct daemon_process::implementation
{
    explicit implementation(settings const& values);

    std::string name;
    std::string platform;
    store::protocol platform_protocol;
    key_set peer_keys;
    key_set admin_keys;
    key_set announce_keys;
    metrics counts;

    front::inbox front{request_ring_capacity};
    routing::inbox routing{request_ring_capacity};
    claims::inbox claims{request_ring_capacity};
    admission::inbox admission{request_ring_capacity};
    dispatch::inbox dispatch{request_ring_capacity};
    peer::inbox peer{request_ring_capacity};
    health::inbox health{control_ring_capacity};
    members::inbox members{control_ring_capacity};
    config::inbox config{control_ring_capacity};
    store::inbox store{store::inbox_capacity};
    admin::inbox admin{control_ring_capacity};
    account_limit::inbox account_limit{request_ring_capacity};
    bool has_fleet_limits = false;

    std::atomic<bool> is_ready{false};
    std::atomic<bool> is_draining{false};
    std::atomic<std::size_t> callers_in_flight{0};
    std::atomic<std::size_t> work_in_flight{0};
    admission::retry_share retry_share{0};

    std::unique_ptr<front::wiring> front_wiring;
    std::unique_ptr<routing::wiring> routing_wiring;
    std::unique_ptr<claims::wiring> claims_wiring;
    std::unique_ptr<admission::wiring> admission_wiring;
    std::unique_ptr<dispatch::wiring> dispatch_wiring;
    std::unique_ptr<peer::wiring> peer_wiring;
    std::unique_ptr<health::wiring> health_wiring;
    std::unique_ptr<members::wiring> members_wiring;
    std::unique_ptr<config::wiring> config_wiring;
    std::unique_ptr<admin::wiring> admin_wiring;
    std::unique_ptr<account_limit::wiring> account_limit_wiring;

    std::vector<std::thread> threads;

    void make_wirings(settings const& values, daemon_ref own_daemon);
    void make_request_wirings(settings const& values, daemon_ref own_daemon);
    void make_control_wirings(settings const& values, daemon_ref own_daemon);
    bool is_idle() const;
};

daemon_process::implementation::implementation(settings const& values)
    : name(values.text("daemon", "name")),
      platform("http://" + values.text("daemon", "platform")),
      platform_protocol(select_protocol(values)),
      peer_keys(values.text("daemon", "peer_key_file")),
      admin_keys(values.text("daemon", "admin_key_file")),
      announce_keys(values.text("daemon", "announce_key_file")),
      has_fleet_limits(uses_fleet_limits(values))
{
}

void daemon_process::implementation::make_wirings(settings const& values,
                                                  daemon_ref own_daemon)
{
    make_request_wirings(values, own_daemon);
    make_control_wirings(values, own_daemon);
}

void daemon_process::implementation::make_request_wirings(
    settings const& values, daemon_ref own_daemon)
{
    std::string const& address = values.text("daemon", "peer");
    deployment_bounds const bounds = derive_bounds(read_deployment(values));
    front_wiring = std::make_unique<front::wiring>(front::wiring{
        values.text("daemon", "listen"),
        {read_header_names(values), values.number("daemon", "max_body_bytes")},
        &counts,
        &routing,
        &callers_in_flight,
        bounds.max_in_flight,
        values.number("daemon", "max_pipelined"),
        bounds.max_all_bodies,
        bounds.max_connections});
    routing_wiring = std::make_unique<routing::wiring>(routing::wiring{
        &front, &admission, &peer, &claims, own_daemon, address,
        values.text("daemon", "data_centre"), values.text("daemon", "service"),
        &counts, &retry_share, !values.text("headers", "account_key").empty(),
        values.real("daemon", "cross_data_centre_cost"),
        has_fleet_limits ? &account_limit : nullptr,
        values.number("daemon", "refusal_siblings") > 0,
        values.number("daemon", "max_body_bytes"), !uses_row_store(values)});
    account_limit_wiring =
        std::make_unique<account_limit::wiring>(account_limit::wiring{
            &peer, &routing, own_daemon, address, &counts,
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                values.real("daemon", "account_limit_window")))});
    claims_wiring = std::make_unique<claims::wiring>(
        claims::wiring{&routing, &admission, &peer, &store, own_daemon, address,
                       peer_keys.current()});
    admission_wiring = std::make_unique<admission::wiring>(admission::wiring{
        &dispatch, &health, &members, &routing, &peer, &claims, own_daemon,
        address, &work_in_flight, &retry_share, &counts,
        values.number("daemon", "refusal_siblings")});
    dispatch::server_http_options dialect;
    dialect.names = read_header_names(values);
    dialect.max_body_bytes = values.number("daemon", "max_body_bytes");
    dialect.max_buffered_bytes = bounds.max_buffered;
    dialect.accepts_undelimited =
        values.boolean("daemon", "undelimited_answers");
    dispatch_wiring = std::make_unique<dispatch::wiring>(
        dispatch::wiring{&admission, &health, std::move(dialect), &counts});
    peer_wiring = std::make_unique<peer::wiring>(peer::wiring{
        own_daemon, address, values.text("daemon", "peer_bind"), &peer_keys,
        &counts, &routing, &admission, &claims, &config, &members,
        has_fleet_limits ? &account_limit : nullptr,
        bounds.max_received_bodies});
}

void daemon_process::implementation::make_control_wirings(
    settings const& values, daemon_ref own_daemon)
{
    health_wiring = std::make_unique<health::wiring>(
        health::wiring{&members, &admission, &dispatch, &counts});
    members::peer_record record;
    record.daemon = own_daemon;
    record.name = name;
    record.data_centre = values.text("daemon", "data_centre");
    record.address = values.text("daemon", "peer");
    record.admin_address = values.text("daemon", "admin");
    members_wiring = std::make_unique<members::wiring>(
        members::wiring{&peer, &routing, &admission, &health, &config, &claims,
                        &store, record, values.addresses("daemon", "seeds"),
                        own_daemon.id ^ own_daemon.incarnation, &counts,
                        has_fleet_limits ? &account_limit : nullptr,
                        values.number("daemon", "refusal_siblings") > 0});
    config_wiring = std::make_unique<config::wiring>(config::wiring{
        routing, admission, members, peer, store, claims, record.address,
        uses_row_store(values), is_ready, &counts});
    admin_wiring = std::make_unique<admin::wiring>(admin::wiring{
        record.admin_address, values.addresses("daemon", "also_admin"), name,
        &admin_keys, &announce_keys, &counts, &members, &config, &routing,
        &is_ready, &is_draining});
}

daemon_process::daemon_process(std::unique_ptr<implementation> impl)
    : m_implementation(std::move(impl))
{
}

daemon_process::~daemon_process() = default;

void daemon_process::start(
    std::function<void(std::string_view reason)> const& on_failure)
{
    implementation& impl = *m_implementation;
    auto const start_thread = [&impl, on_failure](char const* duty, auto run)
    {
        impl.threads.emplace_back(
            [duty, run, on_failure]
            {
                pthread_setname_np(pthread_self(), duty);
                try
                {
                    run();
                }
                catch (std::exception const& failure)
                {
                    on_failure(std::string(duty) + ": " + failure.what());
                }
            });
    };
    start_thread("store",
                 [&impl] {
                     store::run(impl.store, impl.platform, impl.name,
                                impl.platform_protocol);
                 });
    start_thread("peer", [&impl] { peer::run(impl.peer, *impl.peer_wiring); });
    start_thread("dispatch", [&impl]
                 { dispatch::run(impl.dispatch, *impl.dispatch_wiring); });
    start_thread("health",
                 [&impl] { health::run(impl.health, *impl.health_wiring); });
    start_thread("admission", [&impl]
                 { admission::run(impl.admission, *impl.admission_wiring); });
    start_thread("claims",
                 [&impl] { claims::run(impl.claims, *impl.claims_wiring); });
    start_thread("routing",
                 [&impl] { routing::run(impl.routing, *impl.routing_wiring); });
    if (impl.has_fleet_limits)
        start_thread("account_limit",
                     [&impl] {
                         account_limit::run(impl.account_limit,
                                            *impl.account_limit_wiring);
                     });
    start_thread("members",
                 [&impl] { members::run(impl.members, *impl.members_wiring); });
    start_thread("config",
                 [&impl] { config::run(impl.config, *impl.config_wiring); });
    start_thread("front",
                 [&impl] { front::run(impl.front, *impl.front_wiring); });
    start_thread("admin",
                 [&impl] { admin::run(impl.admin, *impl.admin_wiring); });
}

void daemon_process::reload_keys()
{
    m_implementation->peer_keys.reload();
    m_implementation->admin_keys.reload();
    m_implementation->announce_keys.reload();
}

bool daemon_process::implementation::is_idle() const
{
    return callers_in_flight.load() == 0 && work_in_flight.load() == 0;
}

void daemon_process::drain(deployment_bounds const& bounds,
                           shutdown_schedule schedule,
                           termination_wait const& wait)
{
    implementation& impl = *m_implementation;
    time_point const drain_start = clock_now();
    impl.is_draining = true;
    impl.front.try_push(front::drain{});
    impl.admission.try_push(admission::shutdown_notice{schedule.drain_end});
    auto const wait_until = [&](time_point end)
    {
        if (!wait(end))
            return;
        extend_shutdown(schedule, bounds, clock_now());
        impl.admission.try_push(admission::shutdown_notice{schedule.drain_end});
        log_info(event_line(event::drain_extended)
                     .field("limit_ms", to_milliseconds(bounds.drain_limit)));
    };
    while (clock_now() < schedule.notice_end)
        wait_until(schedule.notice_end);
    impl.members.try_push(members::leave{});
    impl.admission.try_push(admission::drain{});
    impl.front.try_push(front::stop_accepting{});
    int empty_polls = 0;
    bool can_still_start = true;
    while (empty_polls < required_empty_polls &&
           clock_now() < schedule.drain_end)
    {
        if (can_still_start && clock_now() >= schedule.refusal_start)
        {
            impl.routing.try_push(routing::refuse_unstarted{});
            can_still_start = false;
        }
        wait_until(clock_now() + drain_poll_interval);
        empty_polls = impl.is_idle() ? empty_polls + 1 : 0;
    }
    impl.front.try_push(front::give_up{});
    log_info(event_line(event::drain_ended)
                 .field("waited_ms", to_milliseconds(clock_now() - drain_start))
                 .field("callers", std::uint64_t{impl.callers_in_flight})
                 .field("work", std::uint64_t{impl.work_in_flight}));
}

void daemon_process::stop()
{
    implementation& impl = *m_implementation;
    // Duties near the callers are closed first, so that each of them can still
    // send to the duties that are closed later.
    impl.front.close();
    impl.admin.close();
    impl.routing.close();
    impl.account_limit.close();
    impl.claims.close();
    impl.admission.close();
    impl.health.close();
    impl.members.close();
    impl.config.close();
    impl.dispatch.close();
    impl.store.close();
    impl.peer.close();
    for (std::thread& item : impl.threads)
        item.join();
    impl.threads.clear();
}

daemon_builder& daemon_builder::values(settings const& checked_values)
{
    m_values = checked_values;
    return *this;
}

daemon_builder& daemon_builder::incarnation(std::uint64_t number)
{
    m_incarnation = number;
    return *this;
}

std::unique_ptr<daemon_process> daemon_builder::build() const
{
    auto impl = std::make_unique<daemon_process::implementation>(m_values);
    daemon_ref const own_daemon{hash_name(m_values.text("daemon", "name")),
                                m_incarnation};
    impl->make_wirings(m_values, own_daemon);
    return std::unique_ptr<daemon_process>(new daemon_process(std::move(impl)));
}

} // namespace gooseberrycove
