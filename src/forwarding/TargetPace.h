#pragma once

#include "forwarding/ForwardTargets.h"
#include "forwarding/TargetObservations.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Carawaymill {

struct TargetPaceOptions
{
    /// This host's id: decides which of several hosts goes on to confirm a pace.
    HostId self;
    /// A stream that waits for an event for more than this share of its objective is slow; callers notice it next.
    double slowShare = 0.6;
    /// A stream whose event came within this share of its objective shows that the targets on its path are not slow.
    double normalShare = 0.4;
    /// For how long a slow stream makes the targets on its path suspected, and a normal one clears them.
    Duration suspicionPeriod = 1s;
    Duration clearancePeriod = 300ms;
    /// Bounds the reads of reports, which are charged for, by all hosts together; when all targets are overloaded, all
    /// of them are suspected everywhere. Within the bounds for one host, so that the first slow stream is looked into
    /// soon.
    double readsPerSecond = 30;
    double fewestReadsPerSecond = 0.5;
    double mostReadsPerSecond = 10;
    Duration readTimeout = 300ms;
    /// Minimum time between two reads of one target by this host.
    Duration readInterval = 500ms;
    /// A pace is forgotten after this time unless it is confirmed. The host that told it reads the target again in
    /// `confirmInterval`, so that one lost message does not end it.
    Duration lifetime = 2s;
    Duration confirmInterval = 800ms;
    /// Pace from which a target is told to the other hosts; below `usualPace` it counts as usual again.
    double slowPace = 1.5;
    double usualPace = 1.25;
    /// Pace from which streams without an event yet are sent elsewhere: less is not worth a second run.
    double movePace = 2;
};

/// Knows which targets run slower than usual, and tells the other hosts.
///
/// Targets report their pace, but each read of a report is charged for. So only targets that slow streams have in
/// common are read: a target is suspected if it was on the path of a slow stream and on that of no normal one. What is
/// found is told to all hosts. It affects the choice of targets and nothing else.
class TargetPace
{
public:
    explicit TargetPace(TargetPaceOptions options)
        : m_options(std::move(options))
    {
    }

    void setHosts(std::size_t hosts) { m_hosts = hosts; }

    /// Begins the record of a target's process. What is told of targets that are not listed is ignored.
    void listed(const DirectoryTarget &target);
    void unlisted(const TargetId &target);

    /// Records that a stream has waited for an event for this share of its objective, or waits for it still.
    void recordWait(const std::vector<PathStage> &path, double shareOfObjective, TimePoint now);

    /// The probes that read the reports of suspected targets. None while this host does not trust its links.
    [[nodiscard]] std::vector<ProbeTarget>
    readsDue(const std::map<TargetId, DirectoryTarget> &listed, bool trustsLinks, TimePoint now);

    /// Records the reply to a probe of any purpose.
    void recordReport(const TargetProbed &probed, TimePoint now);

    /// Records a pace that another host told. It may come late, twice or out of order.
    void receive(const TargetObservationReceived &event, TimePoint now);

    /// Sets the pace of the targets in the router. Returns the targets that have become slow enough to send streams
    /// that have not begun elsewhere.
    [[nodiscard]] std::vector<TargetId> apply(ChainRouter &router, TimePoint now);

    /// Whether the target is slow enough to send streams that have not begun elsewhere.
    [[nodiscard]] bool isSlow(const TargetId &target) const;

    /// What is to be told to all other hosts since the last call.
    [[nodiscard]] std::vector<BroadcastTargetObservation> takeMessages() { return std::exchange(m_messages, {}); }

    /// Log lines on decisions since the last call.
    [[nodiscard]] std::vector<std::string> takeLog() { return std::exchange(m_log, {}); }

    /// Number of targets that are known to be slow.
    [[nodiscard]] std::size_t slowTargets() const;

    [[nodiscard]] std::uint64_t reads() const { return m_reads; }

private:
    struct State
    {
        IncarnationNumber incarnation;
        ServiceId service;
        /// When a stream over the target was last slow and last normal, and how many slow ones there were since then.
        std::optional<TimePoint> slowAt;
        std::optional<TimePoint> normalAt;
        std::uint32_t slowStreams = 0;
        std::optional<TimePoint> readAt;
        /// When the pace was last told, by this host or another one.
        std::optional<TimePoint> toldAt;
        /// As reported; 1 is usual.
        double pace = 1;
        TimePoint paceUntil{};
        /// Until when a pace that another host told is valid.
        TimePoint toldUntil{};
        /// Whether this host told the pace, so that it reads the target again.
        bool confirms = false;
        /// What the router has: the pace relative to the service's other targets.
        double applied = 1;
    };

    [[nodiscard]] bool isSuspected(const State &state, TimePoint now) const;
    [[nodiscard]] bool isDue(const State &state, TimePoint now) const;
    /// Sets the pace that was reported `age` ago.
    void setPace(const TargetId &target, State &state, double pace, Duration age, const HostId &from, TimePoint now);
    void tell(const TargetId &target, const State &state);
    /// The median pace of each service's targets, the lower one of two; those of unknown pace count as usual.
    [[nodiscard]] std::map<ServiceId, double> medians() const;

    TargetPaceOptions m_options;
    std::size_t m_hosts = 1;
    std::map<TargetId, State> m_targets;
    /// Targets whose pace differs from the usual one, or did at the last call of apply().
    std::size_t m_paced = 0;
    /// Reads that may be made now, and when this was computed.
    double m_readTokens = 1;
    TimePoint m_readTokensAt{};
    std::uint64_t m_reads = 0;
    std::vector<BroadcastTargetObservation> m_messages;
    std::vector<std::string> m_log;
};

} // namespace Carawaymill
