#pragma once

#include "quarantine/tests/QuarantineFleet.h"

#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// What hosts do with a request whose target crashed.
enum class CrashPolicy {
    /// Send it to any target again.
    RetryAnywhere,
    Quarantine,
};

struct QuarantineWorkloadOptions
{
    std::uint64_t seed = 1;
    CrashPolicy policy = CrashPolicy::Quarantine;
    unsigned hosts = 8;
    unsigned targets = 12;
    /// Requests that one target runs at once.
    unsigned batch = 8;
    /// Innocent requests in each second.
    double requestsPerSecond = 20;
    /// Requests that crash their target, at the same moment through different hosts when more than 1.
    unsigned culpritCopies = 1;
    Duration length = 5min;
};

struct QuarantineWorkloadResult
{
    unsigned targetsLost = 0;
    unsigned innocents = 0;
    unsigned innocentsAnswered = 0;
    /// Innocent requests that were in a crashed batch or refused at least once.
    unsigned innocentsDisturbed = 0;
    unsigned innocentRefusals = 0;
    /// From arrival to answer, of innocents whose target crashed or that were refused.
    std::vector<Duration> disturbedTimes;
};

/// Callers, hosts and engines around a fleet of quarantines; callers repeat whatever was not answered.
class QuarantineWorkload
{
public:
    explicit QuarantineWorkload(QuarantineWorkloadOptions options);

    [[nodiscard]] QuarantineWorkloadResult run();

private:
    struct Request
    {
        Fingerprint fingerprint;
        bool culprit = false;
        bool disturbed = false;
        TimePoint arrival;
        /// Through this host and on this target while it runs.
        unsigned host = 0;
        std::optional<unsigned> target;
        /// The end of its run, or the time of its next try.
        TimePoint next;
        bool wantsTrial = false;
        /// The trial was granted and waits until its target has finished other work.
        bool mayRunAlone = false;
        std::optional<unsigned> trialTarget;
        bool done = false;
    };

    struct Target
    {
        std::vector<std::size_t> running;
        TimePoint downUntil;
    };

    void arrive(bool culprit);
    void step();
    void begin(std::size_t index);
    void place(std::size_t index, bool alone);
    void refuse(Request &request, Duration retryAfter);
    void finish(std::size_t index);
    void crash(unsigned target);
    [[nodiscard]] std::optional<unsigned> leastLoaded(unsigned host) const;

    QuarantineWorkloadOptions m_options;
    Random m_random;
    QuarantineFleet m_fleet;
    std::vector<Request> m_requests;
    std::vector<Target> m_targets;
    QuarantineWorkloadResult m_result;
};

} // namespace Carawaymill
