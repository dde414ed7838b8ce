#pragma once

#include "admission/SharedLimits.h"
#include "support/Random.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

struct ShareFleetOptions
{
    std::size_t hosts = 4;
    std::uint64_t seed = 1;
    /// Fractions of the messages.
    double lossRate = 0;
    double duplicateRate = 0;
    Duration longestDelay = 40ms;
    Duration step = 20ms;
    bool firstStartOfDeployment = true;
    std::vector<NamedLimits> limits;
    /// Whether each message travels packed, so that its bytes are counted.
    bool packMessages = false;
};

/// Drives the `SharedLimits` of several hosts over a faulty network in virtual time.
class ShareFleet
{
public:
    explicit ShareFleet(ShareFleetOptions options);

    void run(Duration duration);
    /// Starts (again) a host that knows nothing of its former life.
    void start(std::size_t index);
    void kill(std::size_t index);
    /// Tells each running host which hosts it sees as alive and how many it knows.
    void setViews(const std::function<bool(std::size_t observer, std::size_t subject)> &sees, std::size_t known);

    [[nodiscard]] bool isRunning(std::size_t index) const { return m_nodes[index].has_value(); }

    [[nodiscard]] SharedLimits &at(std::size_t index) { return *m_nodes[index]; }

    [[nodiscard]] static HostId host(std::size_t index) { return HostId("host-" + std::to_string(index)); }

    /// Sum over the running hosts of what each may use of the limit, in millionths.
    [[nodiscard]] std::uint64_t sum(const LimitName &limit);

    [[nodiscard]] TimePoint now() const { return m_now; }

    /// Called after each step of `run`.
    std::function<void()> onStep;
    /// Whether messages between two hosts get lost at present.
    std::function<bool(std::size_t from, std::size_t to)> isCut;
    std::vector<std::size_t> sentBytes;
    std::vector<std::size_t> receivedBytes;

private:
    struct Delivery
    {
        std::size_t to = 0;
        ShareMessageReceived event;
        std::size_t bytes = 0;
    };

    void inject(std::size_t index, const SharedLimitsEvent &event);
    void post(std::size_t from, const SendShareMessage &message);
    void deliverDue();

    ShareFleetOptions m_options;
    Random m_random;
    TimePoint m_now;
    std::uint64_t m_epoch = 0;
    std::vector<std::optional<SharedLimits>> m_nodes;
    std::map<HostId, std::size_t> m_indices;
    std::multimap<TimePoint, Delivery> m_inFlight;
};

} // namespace Carawaymill
