#pragma once

#include "forwarding/PublicationFormat.h"
#include "forwarding/RangeWatch.h"
#include "support/Codec.h"

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
    /// Time between two queries to the other hosts.
    Duration peerQueryInterval = 300ms;
};

/// Requests another host's configuration version and the age of its last confirmation.
struct ConfigurationRequest
{
    /// Chosen by the requesting host and repeated in the confirmation.
    std::uint64_t number = 0;
    ConfigurationVersion version;
};

/// Response to `ConfigurationRequest`.
struct ConfigurationConfirmation
{
    std::uint64_t number = 0;
    ConfigurationVersion version;
    /// Upper bound of the time since the service confirmed the version to the responding host.
    Duration age{};
    /// The configuration record of the service, if it is newer than the requesting host's.
    std::optional<std::string> value;
};

using ConfigurationMessage = std::variant<ConfigurationRequest, ConfigurationConfirmation>;

void to_json(nlohmann::json &json, const ConfigurationMessage &message);
void from_json(const nlohmann::json &json, ConfigurationMessage &message);

struct ConfigurationMessageReceived
{
    HostId from;
    ConfigurationMessage message;
};

using ConfigurationReplicaEvent = std::variant<Tick, KeyValueReply, StoreEraChanged, ConfigurationMessageReceived>;

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

/// Action: send the message to the host `to`, or to every other host if `to` is empty.
struct SendConfigurationMessage
{
    std::optional<HostId> to;
    ConfigurationMessage message;
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
    void respond(const HostId &to, const ConfigurationRequest &request, TimePoint now, Actions &actions) const;
    void applyConfirmation(const HostId &from, const ConfigurationConfirmation &confirmation, Actions &actions);
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
    std::uint64_t m_requestNumber = 0;
    /// When the request with the number `m_requestNumber` was sent.
    TimePoint m_requestedAt{};
    /// Until then the other hosts are queried although the service confirms the configuration.
    TimePoint m_queryPeersUntil{};
};

/// Log lines of the actions.
[[nodiscard]] std::string describe(const ConfigurationChanged &changed);
[[nodiscard]] std::string describe(const ConfigurationIgnored &ignored);
[[nodiscard]] std::string describe(const ConfigurationFreshnessChanged &changed);

} // namespace Carawaymill
