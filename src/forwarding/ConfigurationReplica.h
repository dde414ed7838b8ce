#pragma once

#include "forwarding/ConfigurationQueries.h"
#include "forwarding/PublicationFormat.h"
#include "forwarding/RangeWatch.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

struct ConfigurationReplicaOptions
{
    PublicationFormat format;
    std::uint64_t seed = 0;
    /// The service answers a watch after this time even without a change, which confirms the configuration. Twice this
    /// time plus the wait of a watch that is relayed by another host must stay below `queryPeersAfter`.
    Duration watchWait = 800ms;
    /// A configuration whose last confirmation is older than this admits no caller by its key.
    Duration maximumAge = 3500ms;
    /// The other hosts are queried once the last confirmation by the service is older than this.
    Duration queryPeersAfter = 1900ms;
    /// After the service returned from an older copy, the other hosts are queried for this time although the service
    /// confirms the configuration: they may have received a newer one that the operators have not written again yet.
    Duration queryPeersAfterRestore = 2s;
    /// The same after the first confirmation, since a starting host does not know when the service was restored.
    Duration queryPeersAfterStart = 1s;
};

struct ConfigurationMessageReceived
{
    HostId from;
    ConfigurationMessage message;
};

/// Event: the other hosts that can be queried.
struct OtherHostsChanged
{
    std::vector<HostId> hosts;
};

using ConfigurationReplicaEvent =
    std::variant<Tick, KeyValueReply, StoreEraChanged, ConfigurationMessageReceived, OtherHostsChanged>;

/// Action: a newer version is in force on this host.
struct ConfigurationChanged
{
    SharedConfiguration configuration;
    /// The host that sent it; std::nullopt if it came from the service.
    std::optional<HostId> source;
};

/// Action, for the log: a record was ignored because it is malformed or older than the configuration in force.
struct ConfigurationIgnored
{
    std::string reason;
};

/// Action: the last confirmation has become, or is no longer, recent enough to admit callers by their keys.
struct ConfigurationFreshnessChanged
{
    bool fresh = false;
    /// Time since the last confirmation; std::nullopt before the first one.
    std::optional<Duration> age;
};

using ConfigurationReplicaAction = std::variant<KeyValueCall,
                                                ConfigurationChanged,
                                                ConfigurationIgnored,
                                                ConfigurationFreshnessChanged,
                                                SendConfigurationMessage>;

/// Holds the newest configuration and the time of its last confirmation.
///
/// The version never decreases while a process runs. If the key-value service cannot be reached, other hosts that reach
/// it confirm the version or send a newer one.
class ConfigurationReplica
{
public:
    explicit ConfigurationReplica(ConfigurationReplicaOptions options);

    [[nodiscard]] std::vector<ConfigurationReplicaAction> handle(const ConfigurationReplicaEvent &event, TimePoint now);

    /// Makes a call that a failure has delayed due at the next tick: the service has answered another call.
    void endDelay(TimePoint now) { m_watch.endDelay(now); }

    /// Null before the first successful read.
    [[nodiscard]] const SharedConfiguration &configuration() const { return m_configuration; }

    /// Whether the last confirmation is recent enough to admit callers by their keys.
    [[nodiscard]] bool fresh(TimePoint now) const;

    /// Time since the last confirmation; std::nullopt before the first one.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

private:
    using Actions = std::vector<ConfigurationReplicaAction>;

    void on(const Tick &event, TimePoint now, Actions &actions);
    void on(const KeyValueReply &event, TimePoint now, Actions &actions);
    void on(const StoreEraChanged &event, TimePoint now, Actions &actions);
    void on(const ConfigurationMessageReceived &event, TimePoint now, Actions &actions);
    void on(const OtherHostsChanged &event, TimePoint now, Actions &actions);
    void respond(const HostId &to, const ConfigurationRequest &request, TimePoint now, Actions &actions) const;
    void applyConfirmation(const HostId &from,
                           const ConfigurationConfirmation &confirmation,
                           TimePoint now,
                           Actions &actions);
    /// The version in force; the lowest one before the first successful read.
    [[nodiscard]] ConfigurationVersion version() const;
    /// Returns false if the value is malformed or older than the configuration in force.
    bool adopt(const std::string &value, std::optional<HostId> source, Actions &actions);
    void updateFreshness(TimePoint now, Actions &actions);

    ConfigurationReplicaOptions m_options;
    RangeWatch m_watch;
    SharedConfiguration m_configuration;
    /// The record that `m_configuration` was decoded from.
    std::string m_value;
    std::optional<TimePoint> m_confirmedAt;
    bool m_wasFresh = false;
    ConfigurationQueries m_queries;
    /// Until then the other hosts are queried although the service confirms the configuration.
    TimePoint m_queryPeersUntil{};
};

/// Log lines of the actions.
[[nodiscard]] std::string describe(const ConfigurationChanged &changed);
[[nodiscard]] std::string describe(const ConfigurationIgnored &ignored);
[[nodiscard]] std::string describe(const ConfigurationFreshnessChanged &changed);

} // namespace Carawaymill
