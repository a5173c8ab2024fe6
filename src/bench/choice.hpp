#ifndef GOOSEBERRYCOVE_BENCH_CHOICE_HPP
#define GOOSEBERRYCOVE_BENCH_CHOICE_HPP

#include <cstdint>
#include <ostream>

namespace gooseberrycove::bench
{

struct choice_options
{
    std::uint64_t first_seed = 1;
    unsigned seeds = 20;
};

/// Latency under ways to choose a server, as a Markdown table.
void run_choice(choice_options const& options, std::ostream& out);

} // namespace gooseberrycove::bench

#endif
