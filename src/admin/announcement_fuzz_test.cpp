#include "documents.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace gooseberrycove;

TEST_CASE("corrupted announcements are accepted or refused without a crash")
{
    // Guards against a crash or an unchecked value from a defective backend
    // server: an accepted announcement has valid slots and a valid lease.
    std::mt19937_64 generator(20261204);
    std::string const valid =
        R"({"name":"a","service":"s","address":"127.0.0.1:1","slots":4,)"
        R"("lease_ms":6000,"incarnation":7,"state":"draining","load":0.5})";
    std::string const alphabet = "{}[]\",:.-+eE0129azst\\u\x80\xff null true";
    int accepted = 0;
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = valid;
        for (std::uint64_t change = generator() % 4; change > 0; --change)
        {
            std::size_t const position = generator() % text.size();
            char const byte = alphabet[generator() % alphabet.size()];
            if (generator() % 3 == 0)
                text.erase(position, generator() % 8 + 1);
            else
                text.insert(position, 1, byte);
            if (text.empty())
                text.push_back('x');
        }
        try
        {
            members::announcement const announcement =
                admin::read_announcement(text);
            ++accepted;
            REQUIRE(announcement.slots >= 1);
            REQUIRE(announcement.lease >= std::chrono::seconds(1));
        }
        catch (error const& failure)
        {
            REQUIRE(failure.kind() == error_kind::bad_request);
        }
    }
    CHECK(accepted > 1'000);
}
