#include "baselines.hpp"

namespace gooseberrycove::bench
{

bool take_sample(consecutive_failures& detector, bool failed, time_point)
{
    detector.in_row = failed ? detector.in_row + 1 : 0;
    if (detector.in_row < consecutive_failures::limit)
        return false;
    detector = {};
    return true;
}

bool take_sample(failure_percentage& detector, bool failed, time_point now)
{
    auto& recent = detector.recent;
    recent.push_back({now, failed});
    detector.failures += failed ? 1 : 0;
    while (now - recent.front().at > failure_percentage::window)
    {
        detector.failures -= recent.front().failed ? 1 : 0;
        recent.pop_front();
    }
    if (recent.size() < failure_percentage::least_samples ||
        static_cast<double>(detector.failures) <
            failure_percentage::limit * static_cast<double>(recent.size()))
        return false;
    detector = {};
    return true;
}

} // namespace gooseberrycove::bench
