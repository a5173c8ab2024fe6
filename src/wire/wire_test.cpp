#include <gooseberrycove/wire.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace gooseberrycove;

namespace
{

std::vector<std::string> const keys{"new key", "old key"};
time_point const now{duration(1'000'000)};

error_kind kind_of_refusal(std::string const& frame)
{
    try
    {
        wire::decode(frame, keys, now);
    }
    catch (error const& fault)
    {
        return fault.kind();
    }
    return error_kind::none;
}

work_request sample_work()
{
    work_request what;
    what.id = {1, 2};
    what.attempt = 3;
    what.service = "orders";
    what.body = std::string("\0binary", 7);
    what.deadline = now + duration(500);
    what.received = now - duration(300);
    what.claim = {"claim", 9};
    what.origin = {7, 8};
    what.has_other_homes = true;
    what.retry_weight = 0.5;
    what.home = {9, 10};
    return what;
}

} // namespace

TEST_CASE("work keeps its fields, its remaining time and the time waited")
{
    auto const frame = wire::encode("old key", {5, 6}, sample_work(), now);
    time_point const later = now + std::chrono::hours(1);
    auto const decoded = wire::decode(frame, keys, later);
    CHECK(decoded.sender == daemon_ref{5, 6});
    auto const& what = std::get<work_request>(decoded.content);
    CHECK(what.id == request_id{1, 2});
    CHECK(what.body == sample_work().body);
    CHECK(what.deadline == later + duration(500));
    CHECK(what.received == later - duration(300));
    CHECK(what.claim.epoch == 9);
    CHECK(what.origin == daemon_ref{7, 8});
    CHECK(what.has_other_homes);
    CHECK(what.retry_weight == 0.5);
    CHECK(what.home == daemon_ref{9, 10});
}

TEST_CASE("every kind of payload comes back as the same kind")
{
    std::vector<peer::payload> const payloads{sample_work(),
                                              work_result{},
                                              admission::cancel{},
                                              claims::fence{},
                                              claims::fence_response{},
                                              config::pull{},
                                              config::deltas{},
                                              config::peer_version{},
                                              members::sync{},
                                              members::packet{}};
    for (peer::payload const& what : payloads)
    {
        auto const frame = wire::encode("new key", {1, 1}, what, now);
        CHECK(wire::decode(frame, keys, now).content.index() == what.index());
    }
}

TEST_CASE("buckets of a synchronisation keep their bits")
{
    // Without them every difference would send the whole directory.
    members::sync what;
    what.buckets = {0, 1, 0xFFFFFFFF};
    auto const frame = wire::encode("new key", {1, 1}, what, now);
    auto const decoded = wire::decode(frame, keys, now);
    CHECK(std::get<members::sync>(decoded.content).buckets == what.buckets);
}

TEST_CASE("unknown senders, newer versions and damage are refused")
{
    std::string const good =
        wire::encode("new key", {1, 1}, sample_work(), now);
    CHECK(kind_of_refusal(good) == error_kind::none);
    CHECK(kind_of_refusal(wire::encode("other", {1, 1}, sample_work(), now)) ==
          error_kind::wrong_token);
    std::string newer = good;
    newer[0] = 2;
    CHECK(kind_of_refusal(newer) == error_kind::wrong_protocol);
    std::string damaged = good;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    CHECK(kind_of_refusal(damaged) == error_kind::wrong_token);
    CHECK(kind_of_refusal("") == error_kind::bad_request);
}

TEST_CASE("damaged messages with a valid code never crash the decoder")
{
    // Guards against a member with a faulty build: its frames carry a valid
    // code but arbitrary bytes. The code is made valid by re-encoding.
    std::mt19937_64 generator(20261204);
    members::packet packet;
    packet.peers.resize(3);
    packet.servers.resize(3);
    std::string const good = wire::encode("new key", {1, 1}, packet, now);
    for (int round = 0; round < 20'000; ++round)
    {
        std::string frame = good;
        for (int change = 0; change < 3; ++change)
            frame[wire::frame_header_size +
                  generator() % (frame.size() - wire::frame_header_size)] =
                static_cast<char>(generator());
        frame = wire::recompute_mac("new key", frame);
        CHECK_NOTHROW(kind_of_refusal(frame));
    }
}
