#include "members/sync.hpp"

#include "members/directory.hpp"
#include "members/peers.hpp"
#include "members/withdrawal.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

/// Below this many entries the buckets take more bytes than they save.
constexpr std::size_t bucket_threshold = 1024;
constexpr duration join_period{1'000'000};
constexpr std::size_t max_join_contacts = 3;
/// Maximum number of server records in a sync message that are also spread by
/// gossip; the records of a larger message are not.
constexpr std::size_t max_spread_servers = 64;

sync make_sync(membership_state const& state, bool requests_reply)
{
    sync result;
    result.sender = state.own_record.daemon;
    result.sender_address = state.own_record.address;
    result.requests_reply = requests_reply;
    result.peers.push_back(state.own_record);
    return result;
}

void add_digest(membership_state const& state, sync& request)
{
    request.digest = state.local_digest.total;
    if (state.peers.size() + state.servers.used_entries >= bucket_threshold)
        request.buckets = state.local_digest.buckets;
}

/// Whether entries with this hash are to be sent: their bucket differs, or the
/// remote message has no buckets.
bool is_bucket_different(membership_state const& state, sync const& remote,
                         std::uint64_t hash)
{
    std::size_t const bucket = bucket_of(hash);
    return remote.buckets.size() != digest::bucket_count ||
           remote.buckets[bucket] != state.local_digest.buckets[bucket];
}

/// Sends this daemon's entries that differ from the remote digest in messages
/// of limited size. With \p requests_reply the last one carries the digest.
void send_differences(membership_state& state, sync const& remote,
                      bool requests_reply, actions& out)
{
    sync part = make_sync(state, false);
    append_withdrawals(state, remote.sender, part);
    for (member const& peer : state.peers)
    {
        if (is_live(peer.record) &&
            is_bucket_different(state, remote,
                                peer_hash(peer.record.daemon.id)))
            part.peers.push_back(peer.record);
    }
    for (std::uint32_t id = 0; id < state.servers.entries.size(); ++id)
    {
        server_entry const& entry = state.servers.entries[id];
        if (!entry.is_used || !entry.is_home_live ||
            !is_bucket_different(
                state, remote, hash_name(state.servers.server_names.name(id))))
            continue;
        part.servers.push_back(make_record(state, id));
        if (part.servers.size() < state.parameters.max_sync_servers)
            continue;
        out.to_peers.push_back({remote.sender_address, std::move(part)});
        part = make_sync(state, false);
    }
    part.requests_reply = requests_reply;
    if (requests_reply)
        add_digest(state, part);
    out.to_peers.push_back({remote.sender_address, std::move(part)});
}

bool has_records(sync const& received)
{
    return received.peers.size() > 1 || !received.servers.empty();
}

void apply_records(membership_state& state, sync const& received,
                   time_point now, actions& out)
{
    for (peer_record const& record : received.peers)
    {
        bool const is_own = record.daemon == received.sender;
        merge_peer(state, record,
                   is_own ? record_source::owner : record_source::sync, now,
                   out);
    }
    bool const should_spread = received.servers.size() <= max_spread_servers;
    for (server_record const& record : received.servers)
        apply_server(state, record, should_spread, now, out);
}

void add_contact(std::vector<std::string>& contacts,
                 membership_state const& state, std::string const& address)
{
    if (address != state.own_record.address &&
        std::ranges::find(contacts, address) == contacts.end())
        contacts.push_back(address);
}

void join(membership_state& state, time_point now, actions& out)
{
    state.next_join = now + join_period;
    std::vector<std::string> contacts;
    for (std::string const& address : state.seeds)
        add_contact(contacts, state, address);
    for (std::string const& address : state.rendezvous_addresses)
        add_contact(contacts, state, address);
    // A daemon that restarts while the store is out is known to its peers, and
    // their pings reach it before any address does.
    if (member const* const peer = random_live_peer(state))
        add_contact(contacts, state, peer->record.address);
    std::ranges::shuffle(contacts, state.random);
    if (contacts.size() > max_join_contacts)
        contacts.resize(max_join_contacts);
    for (std::string const& address : contacts)
        start_sync(state, address, out);
}

/// Contacts one seed or rendezvous address that no peer has. After a partition
/// it is possible that neither group lists a daemon of the other one.
void contact_unlisted_address(membership_state& state, actions& out)
{
    std::vector<std::string> unlisted;
    for (std::string const& address : state.seeds)
        add_contact(unlisted, state, address);
    for (std::string const& address : state.rendezvous_addresses)
        add_contact(unlisted, state, address);
    std::erase_if(unlisted,
                  [&](std::string const& address)
                  {
                      return std::ranges::any_of(
                          state.peers, [&](member const& peer)
                          { return peer.record.address == address; });
                  });
    if (!unlisted.empty())
        start_sync(state, unlisted[state.random() % unlisted.size()], out);
}

} // namespace

void start_sync(membership_state& state, std::string_view address, actions& out)
{
    sync request = make_sync(state, true);
    add_digest(state, request);
    out.to_peers.push_back({std::string(address), std::move(request)});
}

void on_sync(membership_state& state, sync const& received, time_point now,
             actions& out)
{
    if (received.sender.id == state.own_record.daemon.id)
        return;
    bool const had_records = has_records(received);
    apply_records(state, received, now, out);
    confirm_alive(state, received.sender, now, out);
    state.has_joined = true;
    if (had_records && !state.has_peer_records)
        state.has_peer_records = state.has_liveness_changed = true;
    if (received.requests_reply && received.digest != state.local_digest.total)
        send_differences(state, received, !had_records, out);
}

void run_sync(membership_state& state, time_point now, actions& out)
{
    member const* const peer = random_live_peer(state);
    if ((!state.has_joined || peer == nullptr) && now >= state.next_join)
        join(state, now, out);
    if (now < state.next_sync)
        return;
    state.last_sync = now;
    state.next_sync = now + state.parameters.sync_period;
    if (peer != nullptr)
        start_sync(state, peer->record.address, out);
    contact_unlisted_address(state, out);
}

} // namespace gooseberrycove::members
