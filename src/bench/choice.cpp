#include "choice.hpp"

#include "choice_model.hpp"
#include "fleet_model.hpp"
#include "summary.hpp"

#include <fmt/format.h>

#include <numeric>

namespace gooseberrycove::bench
{

namespace
{

struct load_case
{
    std::string_view name;
    double load = 0.7;
    double slow_factor = 1;
};

constexpr load_case load_cases[] = {{"70% load", 0.7},
                                    {"90% load", 0.9},
                                    {"70% load, one server 2x slower", 0.7, 2},
                                    {"80% load, one server 2x slower", 0.8, 2}};

void bench_case(deployment const& where, load_case const& which,
                choice_options const& options, std::ostream& out)
{
    std::size_t const daemons = std::accumulate(
        where.services.begin(), where.services.end(), std::size_t{0});
    choice_setting const setting{where.services[0], where.slots, daemons,
                                 which.load, which.slow_factor};
    for (policy const used :
         {policy::two_choices, policy::least_in_flight, policy::two_stage})
    {
        std::vector<double> means;
        std::vector<double> tails;
        for (unsigned i = 0; i < options.seeds; ++i)
        {
            std::vector<double> latencies =
                run_choice_model(setting, used, (options.first_seed + i) * 100);
            means.push_back(summarize(latencies).mean);
            tails.push_back(quantile(latencies, 0.99));
        }
        out << fmt::format("| {} | {} | {} | {} | {} |\n", where.name,
                           which.name, to_string(used),
                           text_of(summarize(means)),
                           text_of(summarize(tails)));
    }
}

} // namespace

void run_choice(choice_options const& options, std::ostream& out)
{
    out << fmt::format(
        "### Choice of server, seeds {} to {}\n\n"
        "First service of each deployment; requests arrive at all daemons, "
        "whose reports are up to 500 ms old. Mean / median / worst over the "
        "seeds.\n\n"
        "| deployment | load | choice | mean ms | 99th percentile ms |\n"
        "|---|---|---|---|---|\n",
        options.first_seed, options.first_seed + options.seeds - 1);
    for (deployment const& where : deployments())
    {
        for (load_case const& which : load_cases)
            bench_case(where, which, options, out);
    }
    out << '\n';
}

} // namespace gooseberrycove::bench
