#include "convert.hpp"

#include "convert_account_limit.hpp"
#include <gooseberrycove/status.hpp>

#include <algorithm>
#include <cmath>

namespace gooseberrycove::wire
{

gen::Daemon to_gen(daemon_ref value)
{
    gen::Daemon out;
    out.id = static_cast<std::int64_t>(value.id);
    out.incarnation = static_cast<std::int64_t>(value.incarnation);
    return out;
}

daemon_ref from_gen(gen::Daemon const& in)
{
    return {static_cast<std::uint64_t>(in.id),
            static_cast<std::uint64_t>(in.incarnation)};
}

namespace
{

using wire::from_gen;
using wire::to_gen;

/// Limit of the remaining and waited times accepted from a peer: one hour.
constexpr std::int64_t max_remaining_us = 3'600'000'000;

/// Converts a received number to an enumeration of \p count values.
/// \throws error of kind bad_request when it is out of range
template <class Enum>
Enum to_enum(std::int8_t value, int count)
{
    if (value < 0 || value >= count)
        throw error(error_kind::bad_request, "enumeration value out of range");
    return static_cast<Enum>(value);
}

std::uint32_t to_count(std::int32_t value)
{
    if (value < 0)
        throw error(error_kind::bad_request, "negative count");
    return static_cast<std::uint32_t>(value);
}

constexpr int error_kind_count =
    static_cast<int>(error_kind::no_configuration) + 1;

gen::Claim to_gen(claim_ref const& value)
{
    gen::Claim out;
    out.id = value.id;
    out.epoch = static_cast<std::int64_t>(value.epoch);
    return out;
}

claim_ref from_gen(gen::Claim const& in)
{
    return {in.id, static_cast<std::uint64_t>(in.epoch)};
}

template <class Thrift>
void put_id(request_id id, Thrift& out)
{
    out.id_high = static_cast<std::int64_t>(id.high);
    out.id_low = static_cast<std::int64_t>(id.low);
}

template <class Thrift>
request_id get_id(Thrift const& in)
{
    return {static_cast<std::uint64_t>(in.id_high),
            static_cast<std::uint64_t>(in.id_low)};
}

std::vector<gen::HeaderField> to_gen(std::vector<header_field> const& fields)
{
    std::vector<gen::HeaderField> out(fields.size());
    for (std::size_t i = 0; i < fields.size(); ++i)
    {
        out[i].name = fields[i].name;
        out[i].value = fields[i].value;
    }
    return out;
}

std::vector<header_field> from_gen(std::vector<gen::HeaderField> const& fields)
{
    std::vector<header_field> out;
    out.reserve(fields.size());
    for (gen::HeaderField const& field : fields)
        out.push_back({field.name, field.value});
    return out;
}

/// Sets the optional statement of a message when one is known.
template <class Message>
void put_statement(server_statement const& value, Message& out)
{
    if (!value.is_known)
        return;
    gen::ServerStatement statement;
    statement.incarnation = static_cast<std::int64_t>(value.incarnation);
    statement.rate_limit = value.rate_limit;
    statement.leaving = value.is_leaving;
    out.__set_statement(statement);
}

template <class Message>
server_statement get_statement(Message const& in)
{
    // A rate that is no finite number from 0 on comes from a faulty peer.
    bool const is_valid = in.__isset.statement &&
                          std::isfinite(in.statement.rate_limit) &&
                          in.statement.rate_limit >= 0;
    if (!is_valid)
        return {};
    return {true, static_cast<std::uint64_t>(in.statement.incarnation),
            in.statement.rate_limit, in.statement.leaving};
}

/// A time from a peer, which is never negative nor beyond max_remaining_us.
duration to_wait(std::int64_t microseconds)
{
    return duration(
        std::clamp<std::int64_t>(microseconds, 0, max_remaining_us));
}

gen::Work to_gen(work_request const& value, time_point now)
{
    gen::Work out;
    put_id(value.id, out);
    out.attempt = static_cast<std::int32_t>(value.attempt);
    out.account = value.account;
    out.service_name = value.service;
    out.route = value.route;
    out.priority = static_cast<std::int8_t>(value.priority);
    out.repeatable = value.repeatable;
    out.method = value.method;
    out.target = value.target;
    out.content_type = value.content_type;
    out.body = value.body;
    out.idempotency_key = value.idempotency_key;
    out.traceparent = value.traceparent;
    out.remaining_us = (value.deadline - now).count();
    out.claim = to_gen(value.claim);
    out.server = value.server;
    out.origin = to_gen(value.origin);
    out.origin_address = value.origin_address;
    out.other_homes = value.has_other_homes;
    out.home = to_gen(value.home);
    out.caller_id = value.caller_id;
    out.headers = to_gen(value.headers);
    out.caller_service = value.caller_service;
    out.known_doubt = value.accepted_failure_probability;
    out.repeat = value.is_retry;
    out.repeat_share = value.retry_weight;
    out.servers = static_cast<std::int32_t>(value.retry_limit_servers);
    out.waited_us = (now - value.received).count();
    put_statement(value.statement, out);
    return out;
}

work_request from_gen(gen::Work&& in, time_point now)
{
    work_request out;
    out.id = get_id(in);
    out.attempt = to_count(in.attempt);
    out.account = in.account;
    out.service = in.service_name;
    out.route = in.route;
    out.priority =
        to_enum<priority_index>(in.priority, static_cast<int>(max_priorities));
    out.repeatable = in.repeatable;
    out.method = in.method;
    out.target = in.target;
    out.content_type = in.content_type;
    out.body = std::move(in.body);
    out.idempotency_key = in.idempotency_key;
    out.traceparent = in.traceparent;
    out.deadline =
        now + duration(std::clamp<std::int64_t>(
                  in.remaining_us, -max_remaining_us, max_remaining_us));
    out.claim = from_gen(in.claim);
    out.server = in.server;
    out.origin = from_gen(in.origin);
    out.origin_address = in.origin_address;
    out.has_other_homes = in.other_homes;
    out.home = from_gen(in.home);
    out.caller_id = in.caller_id;
    out.headers = from_gen(in.headers);
    out.caller_service = in.caller_service;
    out.accepted_failure_probability = in.known_doubt;
    out.is_retry = in.repeat;
    out.retry_weight = std::clamp(in.repeat_share, 0.0, 1.0);
    out.retry_limit_servers = to_count(in.servers);
    out.received = now - to_wait(in.waited_us);
    out.statement = get_statement(in);
    return out;
}

gen::ServerStatus to_gen(server_status const& value)
{
    gen::ServerStatus out;
    out.server = value.server;
    out.service_name = value.service;
    out.slots = static_cast<std::int32_t>(value.slots);
    out.in_flight = static_cast<std::int32_t>(value.in_flight);
    out.queued = static_cast<std::int32_t>(value.queued);
    out.health = static_cast<std::int8_t>(value.health);
    out.score = value.score;
    out.samples = value.samples;
    out.failures = value.failures;
    out.mean_log_latency = value.mean_log_latency;
    out.sequence = static_cast<std::int64_t>(value.sequence);
    out.doubt = value.failure_probability;
    put_statement(value.statement, out);
    if (value.start_wait.count() > 0)
        out.__set_start_wait_us(value.start_wait.count());
    return out;
}

server_status from_gen(gen::ServerStatus const& in)
{
    server_status out;
    out.server = in.server;
    out.service = in.service_name;
    out.slots = to_count(in.slots);
    out.in_flight = to_count(in.in_flight);
    out.queued = to_count(in.queued);
    out.health = to_enum<health_state>(in.health, 3);
    out.score = in.score;
    out.samples = in.samples;
    out.failures = in.failures;
    out.mean_log_latency = in.mean_log_latency;
    out.sequence = static_cast<std::uint64_t>(in.sequence);
    out.failure_probability = in.doubt;
    out.statement = get_statement(in);
    out.start_wait = to_wait(in.start_wait_us);
    return out;
}

// Declared before the templates below, which call these overloads.
gen::Delta to_gen(config::delta const& value);
gen::PeerRecord to_gen(members::peer_record const& value);
gen::ServerRecord to_gen(members::server_record const& value);
config::delta from_gen(gen::Delta const& in);
members::peer_record from_gen(gen::PeerRecord const& in);
members::server_record from_gen(gen::ServerRecord const& in);
gen::SiblingLoad to_gen(sibling_load const& value);
sibling_load from_gen(gen::SiblingLoad const& in);

template <class To, class From>
std::vector<To> to_gen_all(std::vector<From> const& values)
{
    std::vector<To> out;
    out.reserve(values.size());
    for (From const& value : values)
        out.push_back(to_gen(value));
    return out;
}

template <class To, class From>
std::vector<To> from_gen_all(std::vector<From> const& values)
{
    std::vector<To> out;
    out.reserve(values.size());
    for (From const& value : values)
        out.push_back(from_gen(value));
    return out;
}

gen::SiblingLoad to_gen(sibling_load const& value)
{
    gen::SiblingLoad out;
    out.server = value.server;
    out.home = to_gen(value.home);
    out.in_flight = static_cast<std::int32_t>(value.in_flight);
    out.queued = static_cast<std::int32_t>(value.queued);
    out.age_us = value.age.count();
    return out;
}

sibling_load from_gen(gen::SiblingLoad const& in)
{
    return {in.server, from_gen(in.home), to_count(in.in_flight),
            to_count(in.queued), to_wait(in.age_us)};
}

gen::WorkResult to_gen(work_result const& value)
{
    gen::WorkResult out;
    put_id(value.id, out);
    out.attempt = static_cast<std::int32_t>(value.attempt);
    out.kind = static_cast<std::int8_t>(value.kind);
    out.outcome = static_cast<std::int8_t>(value.run_outcome);
    out.status = value.status;
    out.content_type = value.content_type;
    out.body = value.body;
    out.server = value.server;
    out.detail = value.detail;
    out.service_time_us = value.service_time.count();
    out.statuses = to_gen_all<gen::ServerStatus>(value.statuses);
    out.home = to_gen(value.home);
    out.headers = to_gen(value.headers);
    if (value.retry_after.count() > 0)
        out.__set_retry_after_us(value.retry_after.count());
    if (value.is_service_wide)
        out.__set_service_wide(true);
    if (!value.siblings.empty())
        out.__set_siblings(to_gen_all<gen::SiblingLoad>(value.siblings));
    return out;
}

/// A response with an invalid status counts as one that was cut.
work_result make_cut(work_result&& result)
{
    result.kind = error_kind::answer_cut;
    result.run_outcome = outcome::unknown;
    result.status = error_response_for(result.kind).status;
    return std::move(result);
}

work_result from_gen(gen::WorkResult const& in)
{
    work_result out;
    out.id = get_id(in);
    out.attempt = to_count(in.attempt);
    out.kind = to_enum<error_kind>(in.kind, error_kind_count);
    out.run_outcome = to_enum<outcome>(in.outcome, 3);
    out.status = in.status;
    if (out.run_outcome == outcome::ran && !is_final_status(in.status))
        return make_cut(std::move(out));
    out.content_type = in.content_type;
    out.body = in.body;
    out.server = in.server;
    out.detail = in.detail;
    out.service_time = duration(in.service_time_us);
    out.statuses = from_gen_all<server_status>(in.statuses);
    out.home = from_gen(in.home);
    out.headers = from_gen(in.headers);
    out.retry_after = to_wait(in.retry_after_us);
    out.is_service_wide = in.__isset.service_wide && in.service_wide;
    out.siblings = from_gen_all<sibling_load>(in.siblings);
    return out;
}

gen::Delta to_gen(config::delta const& value)
{
    gen::Delta out;
    out.version = static_cast<std::int64_t>(value.version);
    out.patch_id = value.patch_id;
    out.author = value.author;
    out.patch = value.patch;
    return out;
}

config::delta from_gen(gen::Delta const& in)
{
    return {static_cast<std::uint64_t>(in.version), in.patch_id, in.author,
            in.patch};
}

gen::PeerRecord to_gen(members::peer_record const& value)
{
    gen::PeerRecord out;
    out.daemon = to_gen(value.daemon);
    out.name = value.name;
    out.data_centre = value.data_centre;
    out.address = value.address;
    out.admin_address = value.admin_address;
    out.state = static_cast<std::int8_t>(value.state);
    out.refutation = static_cast<std::int64_t>(value.refutation);
    out.config_version = static_cast<std::int64_t>(value.config_version);
    return out;
}

members::peer_record from_gen(gen::PeerRecord const& in)
{
    members::peer_record out;
    out.daemon = from_gen(in.daemon);
    out.name = in.name;
    out.data_centre = in.data_centre;
    out.address = in.address;
    out.admin_address = in.admin_address;
    out.state = to_enum<members::peer_state>(in.state, 4);
    out.refutation = static_cast<std::uint64_t>(in.refutation);
    out.config_version = static_cast<std::uint64_t>(in.config_version);
    return out;
}

gen::ServerRecord to_gen(members::server_record const& value)
{
    gen::ServerRecord out;
    out.server = value.server;
    out.service_name = value.service;
    out.slots = static_cast<std::int32_t>(value.slots);
    out.state = static_cast<std::int8_t>(value.state);
    out.health = static_cast<std::int8_t>(value.health);
    out.score = value.score;
    out.home = to_gen(value.home);
    out.sequence = static_cast<std::int64_t>(value.sequence);
    out.drains = static_cast<std::int32_t>(value.drain_changes);
    if (value.announced.incarnation != 0)
    {
        out.__set_server_incarnation(
            static_cast<std::int64_t>(value.announced.incarnation));
        out.__set_announcement_sequence(
            static_cast<std::int64_t>(value.announced.sequence));
    }
    return out;
}

members::server_record from_gen(gen::ServerRecord const& in)
{
    members::server_record out;
    out.server = in.server;
    out.service = in.service_name;
    out.slots = to_count(in.slots);
    out.state = to_enum<members::server_state>(in.state, 3);
    out.health = to_enum<health_state>(in.health, 3);
    out.score = in.score;
    out.home = from_gen(in.home);
    out.sequence = static_cast<std::uint64_t>(in.sequence);
    out.drain_changes = to_count(in.drains);
    out.announced = {static_cast<std::uint64_t>(in.server_incarnation),
                     static_cast<std::uint64_t>(in.announcement_sequence)};
    return out;
}

/// Sets the field of the message for each type of payload.
struct payload_writer
{
    gen::Message& out;
    time_point now;

    void operator()(std::monostate) const {}

    void operator()(work_request const& value) const
    {
        out.__set_work(to_gen(value, now));
    }

    void operator()(work_result const& value) const
    {
        out.__set_work_result(to_gen(value));
    }

    void operator()(admission::cancel const& value) const
    {
        gen::Cancel field;
        put_id(value.id, field);
        field.attempt = static_cast<std::int32_t>(value.attempt);
        field.origin = to_gen(value.origin);
        field.queued_only = value.is_queued_only;
        out.__set_cancel(field);
    }

    void operator()(claims::fence const& value) const
    {
        gen::Fence field;
        field.claim = to_gen(value.claim);
        field.home = to_gen(value.home);
        field.sender = to_gen(value.sender);
        field.sender_address = value.sender_address;
        out.__set_fence(field);
    }

    void operator()(claims::fence_response const& value) const
    {
        gen::FenceAnswer field;
        field.claim = to_gen(value.claim);
        field.home = to_gen(value.home);
        field.state = static_cast<std::int8_t>(value.state);
        field.result = to_gen(value.result);
        out.__set_fence_answer(field);
    }

    void operator()(config::pull const& value) const
    {
        gen::Pull field;
        field.sender_address = value.sender_address;
        field.after = static_cast<std::int64_t>(value.after_version);
        out.__set_pull(field);
    }

    void operator()(config::deltas const& value) const
    {
        gen::Deltas field;
        field.sender_address = value.sender_address;
        field.snapshot_version =
            static_cast<std::int64_t>(value.snapshot_version);
        field.snapshot = value.snapshot;
        field.entries = to_gen_all<gen::Delta>(value.entries);
        out.__set_deltas(field);
    }

    void operator()(config::peer_version const& value) const
    {
        gen::PeerVersion field;
        field.address = value.address;
        field.version = static_cast<std::int64_t>(value.version);
        out.__set_peer_version(field);
    }

    void operator()(members::sync const& value) const
    {
        gen::Sync field;
        field.sender = to_gen(value.sender);
        field.sender_address = value.sender_address;
        field.reply_wanted = value.requests_reply;
        field.digest = static_cast<std::int64_t>(value.digest);
        field.peers = to_gen_all<gen::PeerRecord>(value.peers);
        field.servers = to_gen_all<gen::ServerRecord>(value.servers);
        field.buckets.assign(value.buckets.begin(), value.buckets.end());
        out.__set_sync(field);
    }

    void operator()(peer::path_check const& value) const
    {
        gen::PathCheck field;
        field.number = static_cast<std::int64_t>(value.number);
        field.answer = value.is_reply;
        out.__set_path_check(field);
    }

    void operator()(account_limit::report const& value) const
    {
        out.__set_account_report(wire::to_gen(value));
    }

    void operator()(account_limit::grant const& value) const
    {
        out.__set_account_grant(wire::to_gen(value));
    }

    void operator()(members::packet const& value) const
    {
        gen::Packet field;
        field.kind = static_cast<std::int8_t>(value.kind);
        field.sender = to_gen(value.sender);
        field.sender_address = value.sender_address;
        field.number = static_cast<std::int64_t>(value.number);
        field.probe_address = value.probe_address;
        field.config_version = static_cast<std::int64_t>(value.config_version);
        field.peers = to_gen_all<gen::PeerRecord>(value.peers);
        field.servers = to_gen_all<gen::ServerRecord>(value.servers);
        field.statuses = to_gen_all<gen::ServerStatus>(value.statuses);
        out.__set_packet(field);
    }
};

members::sync from_gen(gen::Sync const& in)
{
    members::sync out;
    out.sender = from_gen(in.sender);
    out.sender_address = in.sender_address;
    out.requests_reply = in.reply_wanted;
    out.digest = static_cast<std::uint64_t>(in.digest);
    out.peers = from_gen_all<members::peer_record>(in.peers);
    out.servers = from_gen_all<members::server_record>(in.servers);
    for (std::int32_t const bucket : in.buckets)
        out.buckets.push_back(static_cast<std::uint32_t>(bucket));
    return out;
}

members::packet from_gen(gen::Packet const& in)
{
    members::packet out;
    out.kind = to_enum<members::packet_kind>(in.kind, 4);
    out.sender = from_gen(in.sender);
    out.sender_address = in.sender_address;
    out.number = static_cast<std::uint64_t>(in.number);
    out.probe_address = in.probe_address;
    out.config_version = static_cast<std::uint64_t>(in.config_version);
    out.peers = from_gen_all<members::peer_record>(in.peers);
    out.servers = from_gen_all<members::server_record>(in.servers);
    out.statuses = from_gen_all<server_status>(in.statuses);
    return out;
}

} // namespace

void to_thrift(peer::payload const& content, time_point now, gen::Message& out)
{
    std::visit(payload_writer{out, now}, content);
}

peer::payload from_thrift(gen::Message&& in, time_point now)
{
    if (in.__isset.work)
        return from_gen(std::move(in.work), now);
    if (in.__isset.work_result)
        return from_gen(in.work_result);
    if (in.__isset.path_check)
        return peer::path_check{
            static_cast<std::uint64_t>(in.path_check.number),
            in.path_check.answer};
    if (in.__isset.cancel)
        return admission::cancel{get_id(in.cancel), to_count(in.cancel.attempt),
                                 from_gen(in.cancel.origin),
                                 in.cancel.queued_only};
    if (in.__isset.fence)
        return claims::fence{from_gen(in.fence.claim), from_gen(in.fence.home),
                             from_gen(in.fence.sender),
                             in.fence.sender_address};
    if (in.__isset.fence_answer)
        return claims::fence_response{
            from_gen(in.fence_answer.claim), from_gen(in.fence_answer.home),
            to_enum<claims::fence_state>(in.fence_answer.state, 4),
            from_gen(in.fence_answer.result)};
    if (in.__isset.pull)
        return config::pull{in.pull.sender_address,
                            static_cast<std::uint64_t>(in.pull.after)};
    if (in.__isset.deltas)
        return config::deltas{
            in.deltas.sender_address,
            static_cast<std::uint64_t>(in.deltas.snapshot_version),
            in.deltas.snapshot, from_gen_all<config::delta>(in.deltas.entries)};
    if (in.__isset.peer_version)
        return config::peer_version{
            in.peer_version.address,
            static_cast<std::uint64_t>(in.peer_version.version)};
    if (in.__isset.sync)
        return from_gen(in.sync);
    if (in.__isset.packet)
        return from_gen(in.packet);
    if (in.__isset.account_report)
        return wire::from_gen(in.account_report);
    if (in.__isset.account_grant)
        return wire::from_gen(in.account_grant);
    return {};
}

} // namespace gooseberrycove::wire
