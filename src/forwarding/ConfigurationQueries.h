#pragma once

#include "forwarding/ConfigurationMessages.h"
#include "support/Backoff.h"
#include "support/Random.h"

#include <deque>
#include <optional>
#include <vector>

namespace Carawaymill {

/// Action: send the message to one host.
struct SendConfigurationMessage
{
    HostId to;
    ConfigurationMessage message;
};

struct ConfigurationQueriesOptions
{
    std::uint64_t seed = 0;
    /// Time between two rounds.
    Duration roundInterval = 300ms;
    /// Hosts that are queried in a round. Confirmations spread from host to host, so the number of rounds until all
    /// hosts have one grows with the logarithm of the fleet.
    std::size_t hostsPerRound = 6;
    /// A configuration that has not arrived after this time is requested from another host. The time doubles with each
    /// failure, so that a congested link is not given more to carry.
    BackoffOptions transferTimeout = {.initial = 1s, .maximum = 8s};
    /// Responses that arrive later confirm nothing.
    Duration responseRetention = 3500ms;
};

/// Chooses the hosts that are asked for the configuration: a few in each round, which respond with a version and the
/// age of its confirmation, and one at a time that sends the configuration itself.
class ConfigurationQueries
{
public:
    explicit ConfigurationQueries(ConfigurationQueriesOptions options);

    /// Replaces the hosts to choose from; this host is not among them.
    void setHosts(std::vector<HostId> hosts);

    /// The queries of the next round; empty if it is not due or no other host is known.
    [[nodiscard]] std::vector<SendConfigurationMessage> nextRound(ConfigurationVersion held, TimePoint now);

    /// The request for the configuration of a host that holds a newer one; std::nullopt while one is in transfer.
    [[nodiscard]] std::optional<SendConfigurationMessage>
    requestTransfer(const HostId &from, ConfigurationVersion held, TimePoint now);

    /// A newer configuration has arrived.
    void transferEnded();

    /// When the query or request with this number was sent; std::nullopt if that is unknown or too long ago.
    [[nodiscard]] std::optional<TimePoint> sentAt(std::uint64_t number, TimePoint now) const;

private:
    struct Sent
    {
        std::uint64_t number = 0;
        TimePoint at;
    };

    [[nodiscard]] std::uint64_t recordSent(TimePoint now);

    ConfigurationQueriesOptions m_options;
    Random m_random;
    /// In random order; a round continues where the previous one ended, so that all hosts are asked in turn.
    std::vector<HostId> m_hosts;
    std::size_t m_nextHost = 0;
    std::deque<Sent> m_sent;
    /// Starts at a random number, so that a response to an earlier process of this host is not taken for one to this.
    std::uint64_t m_lastNumber;
    std::optional<TimePoint> m_lastRoundAt;
    Backoff m_transferTimeout;
    /// Until then the configuration that was requested may arrive; std::nullopt if none was.
    std::optional<TimePoint> m_transferDeadline;
};

} // namespace Carawaymill
