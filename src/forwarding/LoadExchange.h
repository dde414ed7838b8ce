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
    /// Minimum time between two digests to the hosts of the own failure domain. Requests take some seconds, so loads
    /// change little in this time.
    Duration minimumInterval = 200ms;
    /// Minimum time between two sums to other failure domains; links between domains are shared and charged for.
    Duration minimumDomainInterval = 500ms;
    /// Mean rate that the digests of one host may use of its link; in a large fleet the interval grows accordingly.
    double bytesPerSecond = 40000;
};

/// A host that takes part in the exchange.
struct LoadExchangePeer
{
    HostId host;
    FailureDomainId failureDomain;
};

/// Action: send the digest to each of the hosts.
struct SendLoadDigest
{
    std::vector<HostId> to;
    LoadDigest digest;
};

/// Sends the load of this host's streams to the other hosts, and sums up the loads received from them.
///
/// Hosts of one failure domain exchange their loads directly. One of them, the collector, sends the sum of its domain
/// to the hosts of other domains, so that traffic between domains grows with the number of hosts and not of host pairs.
class LoadExchange
{
public:
    explicit LoadExchange(LoadExchangeOptions options)
        : m_options(std::move(options))
    {
    }

    /// The digests to send now. `own`: load of this host's streams; `peers`: all other hosts that are not known to be
    /// dead; `collector`: the collector of the own failure domain.
    [[nodiscard]] std::vector<SendLoadDigest> digestsDue(const LoadDigest &own,
                                                         const std::vector<LoadExchangePeer> &peers,
                                                         const HostId &collector,
                                                         TimePoint now);

    /// Records the load of `peer`, or of its whole domain if `peer` is the collector of another domain.
    void recordDigest(const LoadExchangePeer &peer, LoadDigest digest, TimePoint now);

    /// The sums over all other hosts whose last digest has not expired. A target of the previous sums that is missing
    /// now is listed once with zero load.
    [[nodiscard]] LoadDigest sums(TimePoint now);

private:
    struct ReceivedDigest
    {
        LoadDigest digest;
        /// Time of receipt.
        TimePoint at;
    };

    void dropExpired(TimePoint now);
    /// Time until the next digest may be sent: at least `minimum`, and long enough to stay within `bytesPerSecond`.
    [[nodiscard]] Duration sendInterval(const SendLoadDigest &digest, Duration minimum) const;

    LoadExchangeOptions m_options;
    /// Last digests of the hosts of the own failure domain.
    std::map<HostId, ReceivedDigest> m_hosts;
    /// Last digests of the collectors of other domains.
    std::map<FailureDomainId, ReceivedDigest> m_domains;
    /// Targets that the previous sums() listed with a load.
    std::set<TargetId> m_summed;
    /// When the next digest to the own domain and the next sum to other domains are due.
    TimePoint m_nextOwn{};
    TimePoint m_nextDomain{};
};

} // namespace Carawaymill
