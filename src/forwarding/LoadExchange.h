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
    Duration minimumDomainInterval = 1s;
    /// Mean rate that the digests within the own domain, and the sums to other domains, may each use of this host's
    /// link; in a large fleet the interval grows accordingly.
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

/// The loads of all other hosts.
struct OtherHostsLoad
{
    LoadDigest sums;
    /// Number of hosts whose load is estimated because no digest of theirs is valid.
    std::size_t estimatedHosts = 0;
};

/// Sends the load of this host's streams to the other hosts, and sums up the loads received from them.
///
/// Hosts of one failure domain exchange their loads directly, so that each of them knows the sum of the domain. Each
/// sends this sum to a few partners in the other domains: no host has to reach all hosts of another domain, whose
/// number would make its sums late.
class LoadExchange
{
public:
    explicit LoadExchange(LoadExchangeOptions options)
        : m_options(std::move(options))
    {
    }

    /// The digests to send now. `own`: load of this host's streams; `peers`: all other hosts that are not known to be
    /// dead.
    [[nodiscard]] std::vector<SendLoadDigest>
    digestsDue(const LoadDigest &own, const std::vector<LoadExchangePeer> &peers, TimePoint now);

    /// Records the load of `peer`, or the sum of its domain if `peer` is in another domain.
    void recordDigest(const LoadExchangePeer &peer, LoadDigest digest, TimePoint now);

    /// The sums over all other hosts. A peer without a valid digest is expected to have the mean number of open layers
    /// of the hosts that are known, this one included; nothing is assumed of its KV cache, since requests would wait
    /// for room that is only estimated to be taken. A target of the previous sums that is missing now is listed once
    /// with zero load.
    [[nodiscard]] OtherHostsLoad
    otherHostsLoad(const LoadDigest &own, const std::vector<LoadExchangePeer> &peers, TimePoint now);

private:
    struct ReceivedDigest
    {
        LoadDigest digest;
        /// Time of receipt.
        TimePoint at;
    };

    void dropExpired(TimePoint now);
    /// The hosts of other domains that this host sends the next sum to.
    [[nodiscard]] std::vector<HostId> partners(const std::vector<LoadExchangePeer> &peers) const;
    /// Fraction of the other hosts of the own domain of which a valid digest is known.
    [[nodiscard]] double knownShare(const std::vector<LoadExchangePeer> &peers) const;
    /// The load of this host and of all known hosts of its domain.
    [[nodiscard]] LoadDigest domainSum(const LoadDigest &own) const;
    /// Time until the next digest may be sent: at least `minimum`, and long enough to stay within `bytesPerSecond`.
    [[nodiscard]] Duration sendInterval(const SendLoadDigest &digest, Duration minimum) const;

    LoadExchangeOptions m_options;
    /// Last digests of the hosts of the own failure domain.
    std::map<HostId, ReceivedDigest> m_hosts;
    /// Last sums of other domains.
    std::map<FailureDomainId, ReceivedDigest> m_domains;
    /// Targets that the previous sums listed with a load.
    std::set<TargetId> m_summed;
    /// When the next digest to the own domain and the next sum to other domains are due.
    TimePoint m_nextOwn{};
    TimePoint m_nextDomain{};
    /// Number of sums that were sent to other domains.
    std::size_t m_domainRound = 0;
};

} // namespace Carawaymill
