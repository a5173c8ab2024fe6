#include "claim_memory.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::admission;
using namespace std::chrono_literals;

TEST_CASE("a full claim memory refuses new claims and keeps recent ones")
{
    claim_memory memory;
    memory.max_records = 4;
    time_point const now{3600s};
    work_result ran;
    ran.run_outcome = outcome::ran;
    for (char const* id : {"a", "b", "c", "d"})
    {
        REQUIRE(admit_claim(memory, {id, 1}, now) == claim_admission::accepted);
        mark_claim_running(memory, {id, 1});
        record_claim_result(memory, {id, 1}, ran, now);
    }
    CHECK(admit_claim(memory, {"e", 1}, now + 9min) ==
          claim_admission::memory_full);
    CHECK(admit_claim(memory, {"a", 1}, now + 9min) ==
          claim_admission::finished);
    // Fences have a reserve of a quarter of the records. Beyond it a fence is
    // not recorded, and the claim is reported as running.
    CHECK(fence_claim(memory, {"f", 1}, now).state ==
          claims::fence_state::fenced);
    CHECK(fence_claim(memory, {"g", 1}, now).state ==
          claims::fence_state::running);
    CHECK(admit_claim(memory, {"e", 1}, now + 11min) ==
          claim_admission::accepted);
}
