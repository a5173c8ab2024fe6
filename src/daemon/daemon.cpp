#include "daemon.hpp"

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

#include <atomic>
#include <condition_variable>
#include <thread>

namespace gooseberrycove
{

namespace
{

/// Control messages that may wait for a duty.
constexpr std::size_t control_ring_capacity = 8192;
constexpr std::chrono::milliseconds drain_poll{20};
/// Time before the end of a shutdown at which work that still waits at its
/// home is taken back; enough for the way there and back.
constexpr std::chrono::milliseconds withdrawal_time{1000};
/// Two empty looks this far apart cover a message that is between two rings.
constexpr int empty_looks_needed = 5;

bool uses_rows(settings const& from)
{
    return from.text("daemon", "platform_interface") == "rows";
}

store::protocol protocol_of(settings const& from)
{
    std::string const& name = from.text("daemon", "platform_interface");
    if (name == "own")
        return store::fake_platform_protocol();
    if (name != "rows")
        throw settings_error("daemon.platform_interface: '" + name +
                             "' is not allowed, allowed: own, rows");
    return platform::row_store_protocol({from.real("daemon", "floor_share"),
                                         from.real("daemon", "repeat_share"),
                                         from.real("daemon", "repeat_slack")});
}

header_names names_of(settings const& from)
{
    header_names names;
    names.request_id = from.text("headers", "request_id");
    names.time_allowed = from.text("headers", "time_allowed");
    names.expected_server = from.text("headers", "expected_server");
    names.caller_service = from.text("headers", "caller_service");
    names.not_run = from.text("headers", "not_run");
    return names;
}

} // namespace

struct daemon_process::implementation
{
    explicit implementation(settings const& from);

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
    admin::inbox admin{1};

    std::atomic<bool> ready{false};
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> callers_in_flight{0};
    std::atomic<std::size_t> work_in_flight{0};
    admission::retry_share repeats{0};

    std::unique_ptr<front::wiring> to_front;
    std::unique_ptr<routing::wiring> to_routing;
    std::unique_ptr<claims::wiring> to_claims;
    std::unique_ptr<admission::wiring> to_admission;
    std::unique_ptr<dispatch::wiring> to_dispatch;
    std::unique_ptr<peer::wiring> to_peer;
    std::unique_ptr<health::wiring> to_health;
    std::unique_ptr<members::wiring> to_members;
    std::unique_ptr<config::wiring> to_config;
    std::unique_ptr<admin::wiring> to_admin;

    std::vector<std::thread> threads;

    void wire(settings const& from, daemon_ref self);
    void wire_requests(settings const& from, daemon_ref self);
    void wire_control(settings const& from, daemon_ref self);
};

daemon_process::implementation::implementation(settings const& from)
    : name(from.text("daemon", "name")),
      platform("http://" + from.text("daemon", "platform")),
      platform_protocol(protocol_of(from)),
      peer_keys(from.text("daemon", "peer_key_file")),
      admin_keys(from.text("daemon", "admin_key_file")),
      announce_keys(from.text("daemon", "announce_key_file"))
{
}

void daemon_process::implementation::wire(settings const& from, daemon_ref self)
{
    wire_requests(from, self);
    wire_control(from, self);
}

void daemon_process::implementation::wire_requests(settings const& from,
                                                   daemon_ref self)
{
    std::string const& address = from.text("daemon", "peer");
    to_front = std::make_unique<front::wiring>(
        front::wiring{from.text("daemon", "listen"),
                      {names_of(from), from.number("daemon", "max_body_bytes")},
                      &counts,
                      &routing,
                      &callers_in_flight});
    to_routing = std::make_unique<routing::wiring>(
        routing::wiring{&front, &admission, &peer, &claims, self, address,
                        from.text("daemon", "data_centre"),
                        from.text("daemon", "service"), &counts, &repeats});
    to_claims = std::make_unique<claims::wiring>(
        claims::wiring{&routing, &admission, &peer, &store, self, address,
                       peer_keys.current()});
    to_admission = std::make_unique<admission::wiring>(
        admission::wiring{&dispatch, &health, &members, &routing, &peer,
                          &claims, self, address, &work_in_flight, &repeats});
    dispatch::server_http_options dialect;
    dialect.names = names_of(from);
    dialect.max_body_bytes = from.number("daemon", "max_body_bytes");
    dialect.accepts_undelimited = from.boolean("daemon", "undelimited_answers");
    to_dispatch = std::make_unique<dispatch::wiring>(
        dispatch::wiring{&admission, &health, std::move(dialect)});
    to_peer = std::make_unique<peer::wiring>(peer::wiring{
        self, address, from.text("daemon", "peer_bind"), &peer_keys, &counts,
        &routing, &admission, &claims, &config, &members});
}

void daemon_process::implementation::wire_control(settings const& from,
                                                  daemon_ref self)
{
    to_health = std::make_unique<health::wiring>(
        health::wiring{&members, &admission, &dispatch, &counts});
    members::peer_record record;
    record.daemon = self;
    record.name = name;
    record.data_centre = from.text("daemon", "data_centre");
    record.address = from.text("daemon", "peer");
    record.admin_address = from.text("daemon", "admin");
    to_members = std::make_unique<members::wiring>(
        members::wiring{&peer, &routing, &admission, &health, &config, &claims,
                        &store, record, from.addresses("daemon", "seeds"),
                        self.id ^ self.incarnation, &counts});
    to_config = std::make_unique<config::wiring>(
        config::wiring{routing, admission, members, peer, store, record.address,
                       uses_rows(from), ready, &counts});
    to_admin = std::make_unique<admin::wiring>(admin::wiring{
        record.admin_address, from.addresses("daemon", "also_admin"), name,
        &admin_keys, &announce_keys, &counts, &members, &config, &routing,
        &ready, &draining});
}

daemon_process::daemon_process(std::unique_ptr<implementation> made)
    : m_implementation(std::move(made))
{
}

daemon_process::~daemon_process() = default;

void daemon_process::start(
    std::function<void(std::string_view what)> const& on_failure)
{
    implementation& own = *m_implementation;
    auto const begin = [&own, on_failure](char const* duty, auto run)
    {
        own.threads.emplace_back(
            [duty, run, on_failure]
            {
                try
                {
                    run();
                }
                catch (std::exception const& fault)
                {
                    on_failure(std::string(duty) + ": " + fault.what());
                }
            });
    };
    begin("store",
          [&own] {
              store::run(own.store, own.platform, own.name,
                         own.platform_protocol);
          });
    begin("peer", [&own] { peer::run(own.peer, *own.to_peer); });
    begin("dispatch",
          [&own] { dispatch::run(own.dispatch, *own.to_dispatch); });
    begin("health", [&own] { health::run(own.health, *own.to_health); });
    begin("admission",
          [&own] { admission::run(own.admission, *own.to_admission); });
    begin("claims", [&own] { claims::run(own.claims, *own.to_claims); });
    begin("routing", [&own] { routing::run(own.routing, *own.to_routing); });
    begin("members", [&own] { members::run(own.members, *own.to_members); });
    begin("config", [&own] { config::run(own.config, *own.to_config); });
    begin("front", [&own] { front::run(own.front, *own.to_front); });
    begin("admin", [&own] { admin::run(own.admin, *own.to_admin); });
}

void daemon_process::reload_keys()
{
    m_implementation->peer_keys.reload();
    m_implementation->admin_keys.reload();
    m_implementation->announce_keys.reload();
}

void daemon_process::drain(time_point notice_end, time_point limit)
{
    implementation& own = *m_implementation;
    own.draining = true;
    own.members.try_push(members::leave{});
    own.front.try_push(front::drain{});
    own.admission.try_push(admission::drain{});
    std::this_thread::sleep_until(notice_end);
    own.front.try_push(front::stop_accepting{});
    int empty_looks = 0;
    bool waiting = true;
    while (empty_looks < empty_looks_needed && clock_now() < limit)
    {
        if (waiting && clock_now() >= limit - withdrawal_time)
        {
            own.routing.try_push(routing::refuse_unstarted{});
            waiting = false;
        }
        std::this_thread::sleep_for(drain_poll);
        bool const empty =
            own.callers_in_flight.load() == 0 && own.work_in_flight.load() == 0;
        empty_looks = empty ? empty_looks + 1 : 0;
    }
}

void daemon_process::stop()
{
    implementation& own = *m_implementation;
    // From callers inwards, so that each duty still reaches the ones after it.
    own.front.close();
    own.admin.close();
    own.routing.close();
    own.claims.close();
    own.admission.close();
    own.health.close();
    own.members.close();
    own.config.close();
    own.dispatch.close();
    own.store.close();
    own.peer.close();
    for (std::thread& item : own.threads)
        item.join();
    own.threads.clear();
}

daemon_builder& daemon_builder::values(settings const& from)
{
    m_values = from;
    return *this;
}

daemon_builder& daemon_builder::incarnation(std::uint64_t number)
{
    m_incarnation = number;
    return *this;
}

std::unique_ptr<daemon_process> daemon_builder::build() const
{
    auto made = std::make_unique<daemon_process::implementation>(m_values);
    daemon_ref const self{hash_name(m_values.text("daemon", "name")),
                          m_incarnation};
    made->wire(m_values, self);
    return std::unique_ptr<daemon_process>(new daemon_process(std::move(made)));
}

} // namespace gooseberrycove
