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
    /// A watch is answered after so long, which confirms the configuration: twice this, and the wait of a host that
    /// has the answer from another one, stay below `askPeersAfter`.
    Duration watchWait = 800ms;
    /// A configuration that was not confirmed for so long no longer vouches for any key.
    Duration maximumAge = 3500ms;
    /// The other hosts are asked once the service has not confirmed the configuration for so long.
    Duration askPeersAfter = 1900ms;
    /// Time between two such questions.
    Duration askPeersInterval = 300ms;
};

/// Asks another host for its configuration, and how old its knowledge is.
struct ConfigurationRequest
{
    /// Chosen by the asking host, repeated in the answer.
    std::uint64_t number = 0;
    ConfigurationVersion version;
};

/// Answer to `ConfigurationRequest`.
struct ConfigurationConfirmation
{
    std::uint64_t number = 0;
    ConfigurationVersion version;
    /// How long ago, at most, the service confirmed the version to the answering host.
    Duration age{};
    /// The configuration as the service holds it, if it is newer than the asking host's.
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

using ConfigurationReplicaEvent = std::variant<Tick, KeyValueReply, ConfigurationMessageReceived>;

/// Action: a newer version is in force on this host.
struct ConfigurationChanged
{
    SharedConfiguration configuration;
    /// The host that told of it; nothing when the service did.
    std::optional<HostId> source;
};

/// Action, for the log: a record that cannot be read, or an older version, changes nothing.
struct ConfigurationIgnored
{
    std::string reason;
};

/// Action: the configuration is, or is no longer, known to be recent enough.
struct ConfigurationFreshnessChanged
{
    bool fresh = false;
    /// Since the last confirmation; nothing before the first one.
    std::optional<Duration> age;
};

/// Action: send to one host, or to every other host.
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

/// Keeps the newest configuration and knows how old that knowledge is.
///
/// Versions only ever grow within the life of a process. Where the service cannot be reached, other hosts that reach it
/// vouch for the version or hand over a newer one.
class ConfigurationReplica
{
public:
    explicit ConfigurationReplica(ConfigurationReplicaOptions options);

    [[nodiscard]] std::vector<ConfigurationReplicaAction> handle(const ConfigurationReplicaEvent &event, TimePoint now);

    /// Null before the first reading.
    [[nodiscard]] const SharedConfiguration &configuration() const { return m_configuration; }

    /// Whether the configuration was confirmed recently enough to admit a caller by its key.
    [[nodiscard]] bool fresh(TimePoint now) const;

    /// Time since the last confirmation; nothing before the first one.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

private:
    using Actions = std::vector<ConfigurationReplicaAction>;

    void on(const Tick &event, TimePoint now, Actions &actions);
    void on(const KeyValueReply &event, TimePoint now, Actions &actions);
    void on(const ConfigurationMessageReceived &event, TimePoint now, Actions &actions);
    void answer(const HostId &to, const ConfigurationRequest &asked, TimePoint now, Actions &actions) const;
    void takeVouched(const HostId &from, const ConfigurationConfirmation &vouched, Actions &actions);
    /// False when the value can't be read or is older than what is known.
    bool adopt(const std::string &value, std::optional<HostId> source, Actions &actions);
    void noteFreshness(TimePoint now, Actions &actions);

    ConfigurationReplicaOptions m_options;
    RangeWatch m_watch;
    SharedConfiguration m_configuration;
    std::string m_value;
    std::optional<TimePoint> m_confirmedAt;
    bool m_wasFresh = false;
    std::uint64_t m_question = 0;
    /// When the question with the number `m_question` was asked.
    TimePoint m_askedAt{};
};

[[nodiscard]] std::string describe(const ConfigurationChanged &changed);
[[nodiscard]] std::string describe(const ConfigurationIgnored &ignored);
[[nodiscard]] std::string describe(const ConfigurationFreshnessChanged &changed);

} // namespace Carawaymill
