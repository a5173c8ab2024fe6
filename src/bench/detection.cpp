#include "detection.hpp"

#include "baselines.hpp"
#include "fleet_model.hpp"
#include "summary.hpp"

#include <fmt/format.h>

#include <array>
#include <cmath>

namespace gooseberrycove::bench
{

namespace
{

using namespace std::chrono_literals;

/// Healthy time before the fault, which fills the baselines.
constexpr duration history = 30s;
constexpr duration longest_fault = 120s;

struct fault
{
    std::string_view name;
    double fail_rate = 0.002;
    double slow_factor = 1;
    /// Zero: the fault lasts. Otherwise half of each period is bad.
    duration flap_period{0};
};

std::array<fault, 10> const faults{fault{"gray 20.5% (declared)", 0.205},
                                   fault{"gray 30%", 0.3},
                                   fault{"failing 100%", 1.0},
                                   fault{"slow 2.5x (declared)", 0.002, 2.5},
                                   fault{"slow 5x", 0.002, 5},
                                   fault{"flapping 1 s", 1.0, 1, 1s},
                                   fault{"flapping 5 s", 1.0, 1, 5s},
                                   fault{"flapping 20 s", 1.0, 1, 20s},
                                   fault{"flapping 60 s", 1.0, 1, 60s},
                                   fault{"gray 30%, 2 samples/s", 0.3}};

bool is_bad(fault const& which, duration since)
{
    return since >= duration(0) &&
           (which.flap_period == duration(0) ||
            since % which.flap_period < which.flap_period / 2);
}

/// The same for the fault that the tests are built for.
double declared_divergence(fault const& which)
{
    if (which.slow_factor > 1)
        return std::pow(health::slow_shift / log_deviation, 2) / 2;
    health::failure_rates const rates =
        health::partial_failure(health::min_failure_rate);
    return health::failure_divergence(rates.failing, rates.healthy);
}

/// Expected evidence of one sample for a test that knows the fault exactly.
double divergence(fault const& which)
{
    if (which.slow_factor > 1)
        return std::pow(std::log(which.slow_factor) / log_deviation, 2) / 2;
    return health::failure_divergence(which.fail_rate,
                                      health::min_failure_rate);
}

struct first_detection
{
    double samples = 0;
    double milliseconds = 0;
    bool found = false;
};

struct trial
{
    first_detection alarm;
    first_detection sequential;
    first_detection consecutive;
    first_detection percentage;
    bool wrong_server = false;
    bool before_onset = false;
};

trial run_trial(fault const& which, std::size_t servers, double rate,
                std::uint64_t seed)
{
    trial result;
    consecutive_failures consecutive;
    failure_percentage percentage;
    double samples = 0;
    health_model model = make_service(servers, rate, seed);
    // At low rates the baselines need a longer history.
    duration const before = rate < 10 ? 20 * history : history;
    time_point const onset = model.start + before;
    auto const note = [&](first_detection& what)
    {
        if (!what.found && model.now >= onset)
            what = {samples,
                    static_cast<double>((model.now - onset).count()) / 1000,
                    true};
    };
    model.behave = [&](std::size_t server, duration elapsed)
    {
        bool const bad = server == 0 && is_bad(which, elapsed - before);
        return bad ? behaviour{which.fail_rate, which.slow_factor}
                   : behaviour{};
    };
    model.observe = [&](model_sample const& taken)
    {
        if (taken.server != 0)
            return;
        samples += taken.at >= onset ? 1 : 0;
        if (take_sample(consecutive, taken.failed, taken.at))
            note(result.consecutive);
        if (take_sample(percentage, taken.failed, taken.at))
            note(result.percentage);
    };
    model.on_status_update =
        [&](std::size_t server, health::status_update const& what)
    {
        if (server == 0 && what.requests_reports)
            note(result.alarm);
        if (what.status.health != health_state::ejected)
            return;
        if (server != 0)
            result.wrong_server = true;
        else if (model.now < onset)
            result.before_onset = true;
        else
            note(result.sequential);
    };
    run_until(
        model, onset + longest_fault,
        [&]
        {
            return result.sequential.found &&
                   ((result.consecutive.found && result.percentage.found) ||
                    model.now > onset + 30s);
        });
    return result;
}

void print_row(std::ostream& out, std::string_view place, fault const& which,
               std::string_view detector,
               std::vector<first_detection> const& found)
{
    std::vector<double> samples;
    std::vector<double> times;
    for (first_detection const& one : found)
    {
        if (!one.found)
            continue;
        samples.push_back(one.samples);
        times.push_back(one.milliseconds);
    }
    health::error_rates const rates;
    double const exact = health::wald_bound(rates, divergence(which));
    double const declared =
        health::wald_bound(rates, declared_divergence(which));
    distribution const in_samples = summarize(samples);
    auto const ratio = [&](double bound)
    {
        return samples.empty() ? "-"
                               : fmt::format("{:.2f}", in_samples.mean / bound);
    };
    out << fmt::format(
        "| {} | {} | {} | {}/{} | {} | {} | {:.1f} | {} | {:.1f} | {} |\n",
        place, which.name, detector, samples.size(), found.size(),
        text_of(in_samples), text_of(summarize(times)), exact, ratio(exact),
        declared, ratio(declared));
}

void bench_fault(deployment const& where, fault const& which,
                 detection_options const& options, std::ostream& out)
{
    std::array<std::vector<first_detection>, 4> found;
    std::size_t wrong = 0;
    bool const few = which.name.ends_with("samples/s");
    for (unsigned i = 0; i < options.seeds; ++i)
    {
        for (std::size_t service = 0; service < where.services.size();
             ++service)
        {
            trial const one = run_trial(
                which, where.services[service], few ? 2.0 : where.rate,
                (options.first_seed + i) * 100 + service);
            found[0].push_back(one.alarm);
            found[1].push_back(one.sequential);
            found[2].push_back(one.consecutive);
            found[3].push_back(one.percentage);
            wrong += one.wrong_server || one.before_onset ? 1 : 0;
        }
    }
    std::array<std::string_view, 4> const names{
        "sequential, alarm", "sequential, ejection", "5 consecutive failures",
        "20% of >= 20 in 10 s"};
    for (std::size_t i = 0; i < names.size(); ++i)
        print_row(out, where.name, which, names[i], found[i]);
    if (wrong > 0)
        out << fmt::format("| {} | {} | healthy server ejected in {} trials "
                           "| | | | | | | |\n",
                           where.name, which.name, wrong);
}

} // namespace

void run_detection(detection_options const& options, std::ostream& out)
{
    out << fmt::format(
        "### Detection, seeds {} to {}, every service\n\n"
        "Wald's bound is the least expected number of samples of a test that "
        "knows the fault exactly (alpha {:.2g}, beta {:.2g}). The declared "
        "faults are 20.5% failures and 2.5x latency.\n\n"
        "| deployment | fault | detector | found | samples mean / median / "
        "worst | ms mean / median / worst | bound, exact | ratio | bound, "
        "declared | ratio |\n"
        "|---|---|---|---|---|---|---|---|---|---|\n",
        options.first_seed, options.first_seed + options.seeds - 1,
        health::error_rates{}.alpha, health::error_rates{}.beta);
    for (deployment const& where : deployments())
    {
        for (fault const& which : faults)
            bench_fault(where, which, options, out);
    }
    out << '\n';
}

} // namespace gooseberrycove::bench
