#include "members/sync.hpp"

#include "members/directory.hpp"
#include "members/peers.hpp"

#include <algorithm>

namespace gooseberrycove::members
{

namespace
{

/// Below this many entries the buckets cost more than what they save.
constexpr std::size_t bucket_threshold = 1024;
constexpr duration join_period{1'000'000};
constexpr std::size_t join_contacts = 3;
/// News of a sync is gossiped on only when there is little of it.
constexpr std::size_t spread_limit = 64;

sync make_sync(state const& s, bool reply_wanted)
{
    sync result;
    result.sender = s.self.daemon;
    result.sender_address = s.self.address;
    result.reply_wanted = reply_wanted;
    result.peers.push_back(s.self);
    return result;
}

void add_digest(state const& s, sync& what)
{
    what.digest = s.listed.total;
    if (s.peers.size() + s.servers.used >= bucket_threshold)
        what.buckets = s.listed.buckets;
}

/// Whether the entries of a bucket are to be sent.
bool differs(state const& s, sync const& theirs, std::uint64_t hash)
{
    std::size_t const bucket = bucket_of(hash);
    return theirs.buckets.size() != digest::bucket_count ||
           theirs.buckets[bucket] != s.listed.buckets[bucket];
}

/// Sends what is listed here and differs from the other daemon's digest, in
/// messages of limited size. Only the last one carries the digest.
void send_content(state& s, sync const& theirs, bool reply_wanted, actions& out)
{
    sync part = make_sync(s, false);
    for (member const& who : s.peers)
    {
        if (is_live(who.record) &&
            differs(s, theirs, peer_hash(who.record.daemon.id)))
            part.peers.push_back(who.record);
    }
    for (std::uint32_t id = 0; id < s.servers.entries.size(); ++id)
    {
        server_entry const& entry = s.servers.entries[id];
        if (!entry.used || !entry.home_live ||
            !differs(s, theirs, hash_name(s.servers.names.name(id))))
            continue;
        part.servers.push_back(make_record(s, id));
        if (part.servers.size() < s.limits.sync_servers)
            continue;
        out.to_peers.push_back({theirs.sender_address, std::move(part)});
        part = make_sync(s, false);
    }
    part.reply_wanted = reply_wanted;
    if (reply_wanted)
        add_digest(s, part);
    out.to_peers.push_back({theirs.sender_address, std::move(part)});
}

bool has_content(sync const& what)
{
    return what.peers.size() > 1 || !what.servers.empty();
}

void apply_content(state& s, sync const& what, time_point now, actions& out)
{
    for (peer_record const& record : what.peers)
    {
        bool const own = record.daemon == what.sender;
        merge_peer(s, record, own ? origin::itself : origin::sync, now, out);
    }
    bool const spread = what.servers.size() <= spread_limit;
    for (server_record const& record : what.servers)
        apply_server(s, record, spread, now, out);
}

void add_contact(std::vector<std::string>& contacts, state const& s,
                 std::string const& address)
{
    if (address != s.self.address &&
        std::ranges::find(contacts, address) == contacts.end())
        contacts.push_back(address);
}

void join(state& s, time_point now, actions& out)
{
    s.next_join = now + join_period;
    std::vector<std::string> contacts;
    for (std::string const& address : s.seeds)
        add_contact(contacts, s, address);
    for (std::string const& address : s.rendezvous)
        add_contact(contacts, s, address);
    std::ranges::shuffle(contacts, s.random);
    if (contacts.size() > join_contacts)
        contacts.resize(join_contacts);
    for (std::string const& address : contacts)
        start_sync(s, address, out);
}

/// Contacts one seed or rendezvous address that no live peer has: after a
/// split the two groups may know nothing of each other.
void contact_stranger(state& s, actions& out)
{
    std::vector<std::string> strangers;
    for (std::string const& address : s.seeds)
        add_contact(strangers, s, address);
    for (std::string const& address : s.rendezvous)
        add_contact(strangers, s, address);
    std::erase_if(strangers,
                  [&](std::string const& address)
                  {
                      return std::ranges::any_of(
                          s.peers, [&](member const& who)
                          { return who.record.address == address; });
                  });
    if (!strangers.empty())
        start_sync(s, strangers[s.random() % strangers.size()], out);
}

} // namespace

void start_sync(state& s, std::string_view address, actions& out)
{
    sync what = make_sync(s, true);
    add_digest(s, what);
    out.to_peers.push_back({std::string(address), std::move(what)});
}

void on_sync(state& s, sync const& what, time_point now, actions& out)
{
    if (what.sender.id == s.self.daemon.id)
        return;
    bool const content = has_content(what);
    apply_content(s, what, now, out);
    confirm_alive(s, what.sender, now, out);
    s.joined = true;
    if (what.reply_wanted && what.digest != s.listed.total)
        send_content(s, what, !content, out);
}

void run_sync(state& s, time_point now, actions& out)
{
    member const* const partner = random_live(s);
    if ((!s.joined || partner == nullptr) && now >= s.next_join)
        join(s, now, out);
    if (now < s.next_sync)
        return;
    s.last_sync = now;
    s.next_sync = now + s.limits.sync_period;
    if (partner != nullptr)
        start_sync(s, partner->record.address, out);
    contact_stranger(s, out);
}

} // namespace gooseberrycove::members
