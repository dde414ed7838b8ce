#include "QuarantineWorkload.h"

#include <algorithm>
#include <iostream>

/// Prints targets lost and innocents delayed, for both policies, over fixed seeds.

using namespace Carawaymill;

static constexpr std::uint64_t seedCount = 10;

static double seconds(std::vector<Duration> &times, double share)
{
    if (times.empty()) {
        return 0;
    }
    std::ranges::sort(times);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
    return std::chrono::duration<double>(times[index]).count();
}

static void measure(const char *name, CrashPolicy policy, unsigned copies)
{
    QuarantineWorkloadResult sum;
    unsigned worst = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        QuarantineWorkload workload({.seed = seed, .policy = policy, .culpritCopies = copies});
        const QuarantineWorkloadResult result = workload.run();
        sum.targetsLost += result.targetsLost;
        worst = std::max(worst, result.targetsLost);
        sum.innocents += result.innocents;
        sum.innocentsAnswered += result.innocentsAnswered;
        sum.innocentsDisturbed += result.innocentsDisturbed;
        sum.innocentRefusals += result.innocentRefusals;
        sum.disturbedTimes.insert(sum.disturbedTimes.end(), result.disturbedTimes.begin(), result.disturbedTimes.end());
    }
    std::cout << name << ", copies " << copies << ": targets lost mean "
              << static_cast<double>(sum.targetsLost) / static_cast<double>(seedCount) << " worst " << worst
              << "; innocents " << sum.innocents << " answered " << sum.innocentsAnswered << " disturbed "
              << sum.innocentsDisturbed << " refusals " << sum.innocentRefusals << "; disturbed answered after median "
              << seconds(sum.disturbedTimes, 0.5) << " s, 95 in 100 " << seconds(sum.disturbedTimes, 0.95)
              << " s, worst " << seconds(sum.disturbedTimes, 1.0) << " s\n";
}

int main()
{
    for (const unsigned copies : {1U, 2U, 3U}) {
        measure("retry anywhere", CrashPolicy::RetryAnywhere, copies);
        measure("quarantine", CrashPolicy::Quarantine, copies);
    }
    return 0;
}
