#pragma once

#include "forwarding/LoadDigest.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Carawaymill {

struct LoadExchangeOptions
{
    HostId self;
    FailureDomainId failureDomain;
    /// Least time between two digests to the hosts of the own failure domain. A request takes some seconds, so that
    /// loads change little in this time.
    Duration leastInterval = 200ms;
    /// The same for the sums that go to other failure domains, whose links are shared and paid for.
    Duration leastDomainInterval = 500ms;
    /// What one host's digests may use of its link on average; a large fleet shares loads less often.
    double bytesPerSecond = 40000;
};

/// A host that takes part in the exchange.
struct LoadExchangePeer
{
    HostId host;
    FailureDomainId failureDomain;
};

/// Sent to each of `to`.
struct SendLoadDigest
{
    std::vector<HostId> to;
    LoadDigest digest;
};

/// Tells the other hosts what this host's streams take up on the targets, and adds up what they tell.
///
/// Hosts of one failure domain tell each other. One of them, the collector, tells the hosts of other domains the sum of
/// its domain, so that the traffic between domains grows with the hosts and not with their pairs.
class LoadExchange
{
public:
    explicit LoadExchange(LoadExchangeOptions options)
        : m_options(std::move(options))
    {
    }

    /// The digests that are due. `own`: this host's streams; `peers`: all other hosts that may be alive; `collector`:
    /// that of the own failure domain.
    [[nodiscard]] std::vector<SendLoadDigest> digestsDue(const LoadDigest &own,
                                                         const std::vector<LoadExchangePeer> &peers,
                                                         const HostId &collector,
                                                         TimePoint now);

    /// `peer` has told its own load, or as a collector of another domain that of its domain.
    void recordDigest(const LoadExchangePeer &peer, LoadDigest digest, TimePoint now);

    /// The sums over all other hosts that told lately. A target that was in an earlier sum and is in none now is there
    /// with zero load.
    [[nodiscard]] LoadDigest sums(TimePoint now);

private:
    struct Told
    {
        LoadDigest digest;
        TimePoint at;
    };

    void dropOld(TimePoint now);
    [[nodiscard]] Duration pause(const SendLoadDigest &digest, Duration least) const;

    LoadExchangeOptions m_options;
    /// Of hosts of the own failure domain.
    std::map<HostId, Told> m_hosts;
    /// Of the collectors of other domains.
    std::map<FailureDomainId, Told> m_domains;
    std::set<TargetId> m_summed;
    TimePoint m_nextOwn{};
    TimePoint m_nextDomain{};
};

} // namespace Carawaymill
