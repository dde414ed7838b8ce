#pragma once

#include "forwarding/ForwardTargets.h"
#include "forwarding/TargetLiveness.h"
#include "forwarding/TargetObservationMessages.h"
#include "support/Random.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Carawaymill {

struct TargetObservationsOptions
{
    std::uint64_t seed = 0;
    /// Minimum time between two observations of one target and cause that this host tells.
    Duration tellInterval = 300ms;
    /// Bounds the traffic when many targets fail at once: each message goes to all hosts.
    std::size_t messagesPerSecond = 10;
    /// A target without room is avoided for a random time within these bounds, so that the hosts do not return
    /// together. A stream that ends makes room after some hundred milliseconds.
    Duration shortestNoRoom = 200ms;
    Duration longestNoRoom = 600ms;
    /// A target that failed is avoided for a random time within these bounds, unless it shows a sign of life.
    Duration shortestFailure = 1500ms;
    Duration longestFailure = 2s;
    /// An observation is ignored if the target has shown a sign of life within this time.
    Duration signLifetime = 150ms;
    /// Number of targets that are avoided on the word of one host. A host with bad links loses connections to targets
    /// that work; others confirm the failure of a target that does not.
    std::size_t failuresPerHost = 3;
    /// A host that has told the failure of a target's process is not believed again for this time, unless another host
    /// has told it meanwhile: otherwise one host with a bad link could keep the target from all others.
    Duration repeatedFailurePeriod = 10s;
};

/// Action: send the observation to all other hosts.
struct BroadcastTargetObservation
{
    TargetObservation observation;
};

/// Event: another host told an observation. It may come late, twice or out of order.
struct TargetObservationReceived
{
    HostId from;
    TargetObservation observation;
};

/// Numbers of observations since the start of the process.
struct TargetObservationCounts
{
    std::uint64_t told = 0;
    std::uint64_t heard = 0;
    /// Observations of other hosts that signs of life contradicted, when they arrived or while they were believed.
    std::uint64_t contradicted = 0;
};

/// Tells other hosts which targets failed or have no room, and avoids the targets that they name, for a short time.
///
/// A target that is avoided is used only where no other one can be. Nothing else depends on what is told.
class TargetObservations
{
public:
    explicit TargetObservations(TargetObservationsOptions options);

    /// Begins the record of a target's process. What is told of targets that are not listed is ignored.
    void listed(const TargetId &target, IncarnationNumber incarnation);
    void unlisted(const TargetId &target);

    /// Records an observation of this host, and tells it unless it is known already or too much was told. `age`: how
    /// long ago it was true for sure.
    void observe(const TargetId &target, ObservationCause cause, Duration age, TimePoint now);

    /// Avoids the target that another host has named, unless this host knows better.
    void receive(const TargetObservationReceived &event,
                 const TargetLiveness &liveness,
                 ForwardTargets &targets,
                 ChainRouter &router,
                 TimePoint now);

    /// Records that the target replied or that it sent events.
    void recordSign(const TargetId &target, ForwardTargets &targets, ChainRouter &router);
    void recordSigns(const std::vector<PathStage> &path, ForwardTargets &targets, ChainRouter &router);

    /// Records the end of a probe. A target that did not reply, to a host that trusts its links, is told and avoided
    /// here too.
    void recordProbe(
        const TargetProbed &probed, bool trustsLinks, ForwardTargets &targets, ChainRouter &router, TimePoint now);

    /// Ends the avoidance of targets that is over.
    void tick(ForwardTargets &targets, ChainRouter &router, TimePoint now);

    /// What is to be told to all other hosts since the last call.
    [[nodiscard]] std::vector<BroadcastTargetObservation> takeMessages() { return std::exchange(m_messages, {}); }

    /// Log lines on decisions since the last call.
    [[nodiscard]] std::vector<std::string> takeLog() { return std::exchange(m_log, {}); }

    [[nodiscard]] const TargetObservationCounts &counts() const { return m_counts; }

    /// Number of targets that are avoided now.
    [[nodiscard]] std::size_t avoided() const { return m_avoided.size(); }

private:
    /// A failure that is believed.
    struct Failure
    {
        ObservationCause cause = ObservationCause::Silent;
        /// The host that told it; empty for this host.
        HostId from;
        TimePoint until;
    };

    struct State
    {
        IncarnationNumber incarnation;
        /// When an observation of each cause was last told; that of another host counts as told earlier.
        std::array<std::optional<TimePoint>, 4> toldAt;
        std::optional<TimePoint> noRoomUntil;
        std::optional<Failure> failure;
        /// The last host whose report of a failure was believed, and when.
        std::optional<std::pair<HostId, TimePoint>> lastFailure;
    };

    /// A random time within the bounds.
    [[nodiscard]] Duration between(Duration shortest, Duration longest);
    /// Avoids the listed target.
    void believe(const HostId &from,
                 const TargetObservation &observation,
                 ForwardTargets &targets,
                 ChainRouter &router,
                 TimePoint now);
    /// Whether as many targets as allowed are avoided on the word of this host, without the given one.
    [[nodiscard]] bool hasToldEnough(const HostId &from, const TargetId &target) const;
    /// Whether the last failure of the target that was believed came from this host, a short time ago.
    [[nodiscard]] bool hasToldBefore(const HostId &from, const State &state, TimePoint now) const;
    void endFailure(const TargetId &target, bool isReply, ForwardTargets &targets, ChainRouter &router);
    /// Updates whether the target is avoided.
    void update(const TargetId &target, const State &state, ForwardTargets &targets, ChainRouter &router);

    TargetObservationsOptions m_options;
    Random m_random;
    std::map<TargetId, State> m_targets;
    std::set<TargetId> m_avoided;
    /// When this host sent its messages of the last second.
    std::deque<TimePoint> m_sentAt;
    std::vector<BroadcastTargetObservation> m_messages;
    std::vector<std::string> m_log;
    TargetObservationCounts m_counts;
};

} // namespace Carawaymill
