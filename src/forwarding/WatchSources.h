#pragma once

#include "forwarding/RelayedWatchMessages.h"
#include "support/Identifiers.h"
#include "support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Carawaymill {

struct WatchSourcesOptions
{
    HostId self;
    FailureDomainId failureDomain;
    /// A candidate that failed is not asked again for this time.
    Duration skipPeriod = 2s;
    /// The service is asked when this number of candidates have failed to answer one watch.
    std::size_t maximumFailures = 2;
    /// Minimum time between two log lines for a range.
    Duration logInterval = 1s;
};

enum class WatchSourceReason : std::uint8_t {
    /// The source is the first candidate; if that is this host, the service.
    Ranked,
    /// All candidates before the source are skipped.
    Skipped,
    /// The maximum number of candidates have failed.
    Failed,
    /// A candidate could answer only after the view is too old.
    Age,
};

/// Whom to ask for the updates of a range.
struct WatchSource
{
    /// std::nullopt for the key-value service.
    std::optional<HostId> host;
    WatchSourceReason reason = WatchSourceReason::Ranked;
};

/// Decides which host is asked for the updates of a range. The candidates are the living hosts of the own failure
/// domain in rendezvous order, so that all hosts select the same successor of a failed host without agreeing on it. A
/// host asks the key-value service when it is itself the next candidate.
class WatchSources
{
public:
    explicit WatchSources(WatchSourcesOptions options)
        : m_options(std::move(options))
    {
    }

    /// Sets the living hosts of the own failure domain, this host included. Returns whether the first one changed.
    bool setHosts(const std::vector<HostId> &hosts);

    /// The first candidate; empty before any host is known.
    [[nodiscard]] HostId collector() const { return m_ranked.empty() ? HostId() : m_ranked.front(); }

    /// `failures`: number of candidates that have failed to answer this watch. `excluded` is not asked.
    [[nodiscard]] WatchSource choose(RelayedRange range,
                                     std::size_t failures,
                                     TimePoint now,
                                     const std::optional<HostId> &excluded = std::nullopt) const;

    /// Skips a host that cannot serve the range.
    void skip(const HostId &host, RelayedRange range, TimePoint now);
    /// Skips a host that does not respond.
    void skip(const HostId &host, TimePoint now);

    /// Records the source that is asked; returns the log line if it changed.
    [[nodiscard]] std::optional<std::string> recordSource(RelayedRange range, const WatchSource &source, TimePoint now);

private:
    struct LoggedSource
    {
        std::optional<HostId> host;
        TimePoint at;
    };

    [[nodiscard]] bool isSkipped(const HostId &host, RelayedRange range, TimePoint now) const;

    WatchSourcesOptions m_options;
    /// The hosts as they were set, to notice changes.
    std::vector<HostId> m_hosts;
    std::vector<HostId> m_ranked;
    /// When a host that was skipped is asked again.
    std::map<std::pair<HostId, RelayedRange>, TimePoint> m_skippedUntil;
    std::map<RelayedRange, LoggedSource> m_logged;
};

} // namespace Carawaymill
