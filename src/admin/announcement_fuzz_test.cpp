#include "documents.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace gooseberrycove;

TEST_CASE("generated announcements are read or refused")
{
    // Guards against a crash or an unchecked value from a faulty backend
    // server: whatever is accepted has a usable address and lease.
    std::mt19937_64 generator(20261204);
    std::string const good =
        R"({"name":"a","service":"s","address":"127.0.0.1:1","slots":4,)"
        R"("lease_ms":6000,"incarnation":7,"state":"draining","load":0.5})";
    std::string const alphabet = "{}[]\",:.-+eE0129azst\\u\x80\xff null true";
    int accepted = 0;
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = good;
        for (std::uint64_t change = generator() % 4; change > 0; --change)
        {
            std::size_t const at = generator() % text.size();
            char const byte = alphabet[generator() % alphabet.size()];
            if (generator() % 3 == 0)
                text.erase(at, generator() % 8 + 1);
            else
                text.insert(at, 1, byte);
            if (text.empty())
                text.push_back('x');
        }
        try
        {
            members::announcement const read = admin::read_announcement(text);
            ++accepted;
            REQUIRE(read.slots >= 1);
            REQUIRE(read.lease >= std::chrono::seconds(1));
        }
        catch (error const& fault)
        {
            REQUIRE(fault.kind() == error_kind::bad_request);
        }
    }
    CHECK(accepted > 1'000);
}
