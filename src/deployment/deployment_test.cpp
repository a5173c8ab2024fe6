#include <gooseberrycove/deployment.hpp>

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t mebibyte = std::uint64_t{1} << 20;
constexpr std::uint64_t largest_body = 64 * mebibyte;

deployment make_deployment(std::chrono::milliseconds shutdown,
                           std::uint64_t megabytes, std::uint64_t descriptors)
{
    deployment given;
    given.shutdown_time = shutdown;
    given.memory = megabytes * mebibyte;
    given.descriptors = descriptors;
    given.max_body = largest_body;
    return given;
}

} // namespace

TEST_CASE("a shutdown uses the time that the deployment gives")
{
    // Guards against a constant made for one deployment: with 10 s, a drain
    // that ended after 5.5 s cut off requests that were being answered.
    struct row
    {
        std::chrono::milliseconds shutdown;
        std::chrono::milliseconds notice;
        std::chrono::milliseconds limit;
    };
    for (row const& item :
         {row{3s, 1500ms, 2500ms}, row{6s, 3s, 5500ms}, row{10s, 4s, 9500ms},
          row{30s, 4s, 29500ms}, row{600ms, 300ms, 500ms}})
    {
        INFO(item.shutdown.count());
        deployment_bounds const bounds =
            derive_bounds(make_deployment(item.shutdown, 260, 4100));
        CHECK(bounds.drain_notice == item.notice);
        CHECK(bounds.drain_limit == item.limit);
        CHECK(bounds.drain_limit < item.shutdown);
        CHECK(bounds.drain_notice < bounds.drain_limit);
    }
}

TEST_CASE("the bounds fit VMs of every size")
{
    for (std::uint64_t const megabytes : {128, 160, 260, 512, 4096})
    {
        for (std::uint64_t const descriptors : {512, 1024, 4100, 8192, 65536})
        {
            deployment const given =
                make_deployment(6s, megabytes, descriptors);
            deployment_bounds const bounds = derive_bounds(given);
            INFO(megabytes << " MiB, " << descriptors << " descriptors");
            CHECK(find_conflicts(given).empty());
            CHECK(assumed_settings(given).empty());
            CHECK(bounds.max_buffered >= largest_body);
            CHECK(bounds.max_buffered < *given.memory);
            CHECK(bounds.max_in_flight >= 1);
            CHECK(2 * bounds.max_in_flight < descriptors);
            CHECK(bounds.max_connections + bounds.max_in_flight < descriptors);
            CHECK(bounds.max_connections >= bounds.max_in_flight);
            CHECK(bounds.max_all_bodies > 0);
            CHECK(bounds.max_received_bodies > 0);
            CHECK(bounds.max_all_bodies + bounds.max_received_bodies +
                      bounds.max_buffered <
                  *given.memory);
        }
    }
}

TEST_CASE("values that are not stated are assumed and named")
{
    deployment given;
    given.max_body = mebibyte;
    CHECK(assumed_settings(given) == "shutdown_seconds,memory_mb,descriptors");
    CHECK(find_conflicts(given).empty());
    CHECK(derive_bounds(given).drain_limit == 30s);
    CHECK(derive_bounds(given).drain_notice == 0s);
    given.memory = 160 * mebibyte;
    CHECK(assumed_settings(given) == "shutdown_seconds,descriptors");
}

TEST_CASE("an operator's value takes the place of the derived one")
{
    deployment given = make_deployment(10s, 260, 4100);
    given.drain_limit = 7s;
    given.drain_notice = 1s;
    given.max_buffered = 100 * mebibyte;
    CHECK(derive_bounds(given).drain_limit == 7s);
    CHECK(derive_bounds(given).drain_notice == 1s);
    CHECK(derive_bounds(given).max_buffered == 100 * mebibyte);
}

TEST_CASE("settings that contradict each other are named")
{
    // Guards against a daemon that starts and is killed before its drain ends,
    // or that can receive no answer of the largest size.
    struct row
    {
        char const* first;
        char const* second;
        deployment given;
    };
    std::vector<row> rows;
    deployment given = make_deployment(6s, 260, 4100);
    given.drain_limit = 8s;
    rows.push_back({"drain_seconds", "shutdown_seconds", given});
    given = make_deployment(6s, 260, 4100);
    given.drain_notice = 6s;
    rows.push_back({"drain_notice_ms", "drain_seconds", given});
    rows.push_back(
        {"memory_mb", "max_body_bytes", make_deployment(6s, 100, 4100)});
    given = make_deployment(6s, 260, 4100);
    given.max_buffered = 300 * mebibyte;
    rows.push_back({"max_buffered_bytes", "memory_mb", given});
    rows.push_back({"descriptors", "listen", make_deployment(6s, 260, 300)});
    for (row const& item : rows)
    {
        auto const conflicts = find_conflicts(item.given);
        REQUIRE(conflicts.size() == 1);
        INFO(conflicts[0]);
        CHECK(conflicts[0].find(item.first) != std::string::npos);
        CHECK(conflicts[0].find(item.second) != std::string::npos);
    }
}
