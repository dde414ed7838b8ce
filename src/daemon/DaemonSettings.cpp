#include "daemon/DaemonSettings.h"

#include "support/HostPort.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Carawaymill {

static constexpr std::uint64_t largestPort = 65535;
static constexpr std::size_t shortestKey = 16;
/// A configuration is taken for too old so long before a withdrawn key must have stopped working: requests that were
/// admitted just before still have to reach their targets, and the service may be a second late to tell of a change.
static constexpr Duration revocationMargin = 1500ms;
/// No operators' listener is there to be used where operators publish on the platform: no token is known to have this
/// hash.
static constexpr const char *hashOfNoToken = "0000000000000000000000000000000000000000000000000000000000000000";
/// A shutdown ends so long before the process is killed.
static constexpr Duration stopMargin = 500ms;
/// A draining host accepts requests for at most this fraction of its time, so that they end before it stops.
static constexpr double drainAcceptShare = 0.4;
/// One day.
static constexpr std::uint64_t longestMilliseconds = 86'400'000;

namespace {

/// Reads the fields of one object and collects what is wrong with them.
class SettingsReader
{
public:
    SettingsReader(const nlohmann::json &object, std::string place)
        : m_object(object)
        , m_place(std::move(place))
    {
        if (!m_object.is_object()) {
            note("", "An object is needed.");
        }
    }

    [[nodiscard]] std::string text(const std::string &name)
    {
        m_known.insert(name);
        if (!has(name) || !m_object[name].is_string() || m_object[name].get_ref<const std::string &>().empty()) {
            note(name, "A text is needed.");
            return {};
        }
        return m_object[name].get<std::string>();
    }

    [[nodiscard]] std::uint64_t number(const std::string &name, std::uint64_t otherwise, std::uint64_t maximum)
    {
        m_known.insert(name);
        if (!has(name) || m_object[name].is_null()) {
            return otherwise;
        }
        if (!m_object[name].is_number_unsigned() || m_object[name] > maximum) {
            note(name, "A whole number up to " + std::to_string(maximum) + " is needed.");
            return otherwise;
        }
        return m_object[name].get<std::uint64_t>();
    }

    /// A duration in milliseconds.
    [[nodiscard]] Duration milliseconds(const std::string &name, Duration otherwise)
    {
        const auto usual = std::chrono::duration_cast<std::chrono::milliseconds>(otherwise).count();
        return std::chrono::milliseconds(number(name, static_cast<std::uint64_t>(usual), longestMilliseconds));
    }

    [[nodiscard]] double fraction(const std::string &name, double otherwise)
    {
        m_known.insert(name);
        if (!has(name)) {
            return otherwise;
        }
        if (!m_object[name].is_number() || m_object[name] < 0) {
            note(name, "A number that is not negative is needed.");
            return otherwise;
        }
        return m_object[name].get<double>();
    }

    /// False when it is left out.
    [[nodiscard]] bool flag(const std::string &name)
    {
        m_known.insert(name);
        if (!has(name)) {
            return false;
        }
        if (!m_object[name].is_boolean()) {
            note(name, "True or false is needed.");
            return false;
        }
        return m_object[name].get<bool>();
    }

    [[nodiscard]] const nlohmann::json &child(const std::string &name)
    {
        m_known.insert(name);
        static const nlohmann::json none;
        return has(name) ? m_object[name] : none;
    }

    /// Whether the object has the field.
    [[nodiscard]] bool has(const std::string &name) const { return m_object.is_object() && m_object.contains(name); }

    void take(std::vector<SettingFault> faults)
    {
        m_faults.insert(m_faults.end(), std::make_move_iterator(faults.begin()), std::make_move_iterator(faults.end()));
    }

    void note(const std::string &name, const std::string &reason)
    {
        m_faults.push_back({.field = m_place + "/" + name, .reason = reason});
    }

    /// Everything that is wrong; also names fields that nobody asked for.
    [[nodiscard]] std::vector<SettingFault> finish()
    {
        if (m_object.is_object()) {
            for (const auto &[name, value] : m_object.items()) {
                if (!m_known.contains(name)) {
                    note(name, "There is no such setting.");
                }
            }
        }
        return std::move(m_faults);
    }

private:
    const nlohmann::json &m_object;
    std::string m_place;
    std::set<std::string> m_known;
    std::vector<SettingFault> m_faults;
};

} // namespace

/// Reads `IP:port`; nothing when it is something else.
static std::optional<ListenSettings> readAddress(const std::string &text)
{
    const auto split = splitHostPort(text);
    if (!split || split->host.empty()) {
        return std::nullopt;
    }
    return ListenSettings{.address = split->host, .port = split->port};
}

/// Either `"IP:port"`, or an object of `address` and `port`.
static ListenSettings readListener(SettingsReader &parent, const std::string &name)
{
    const nlohmann::json &value = parent.child(name);
    if (value.is_string()) {
        const auto listen = readAddress(value.get<std::string>());
        if (!listen) {
            parent.note(name, "An address like 10.0.0.1:8080 is needed.");
        }
        return listen.value_or(ListenSettings());
    }
    SettingsReader reader(value, "/" + name);
    ListenSettings settings{.address = reader.text("address"),
                            .port = static_cast<std::uint16_t>(reader.number("port", 0, largestPort))};
    parent.take(reader.finish());
    return settings;
}

/// Hosts to begin with, named by their addresses; all of them are reached by peers at the same port.
static std::vector<ListedHost> readSeeds(SettingsReader &parent, const HostId &self, std::uint64_t peerPort)
{
    std::vector<ListedHost> seeds;
    const nlohmann::json &list = parent.child("seedHosts");
    if (!list.is_array()) {
        parent.note("seedHosts", "A list is needed.");
        return seeds;
    }
    for (const nlohmann::json &entry : list) {
        const auto seed = entry.is_string() ? readAddress(entry.get<std::string>()) : std::nullopt;
        if (!seed) {
            parent.note("seedHosts", "Addresses like 10.0.0.1:8080 are needed.");
        } else if (seed->address != self.value()) {
            seeds.push_back({.host = HostId(seed->address),
                             .state = HostListState::Live,
                             .peerAddress = "tcp://" + seed->address + ":" + std::to_string(peerPort),
                             .failureDomain = {},
                             .region = {}});
        }
    }
    return seeds;
}

static std::vector<ListedHost> readPeers(SettingsReader &parent)
{
    std::vector<ListedHost> peers;
    const nlohmann::json &list = parent.child("peers");
    if (!list.is_null() && !list.is_array()) {
        parent.note("peers", "A list is needed.");
        return peers;
    }
    for (std::size_t index = 0; index < list.size(); ++index) {
        SettingsReader reader(list[index], "/peers/" + std::to_string(index));
        peers.push_back({.host = HostId(reader.text("host")),
                         .state = HostListState::Live,
                         .peerAddress = reader.text("peerAddress"),
                         .failureDomain = FailureDomainId(reader.text("failureDomain")),
                         .region = RegionId(reader.text("region"))});
        parent.take(reader.finish());
    }
    return peers;
}

static ForwardingSettings readForwarding(SettingsReader &parent, DaemonSettings &settings)
{
    SettingsReader reader(parent.child("forwarding"), "/forwarding");
    ForwardingSettings forwarding;
    forwarding.readiness = readListener(reader, "readiness");
    forwarding.metrics = {.address = settings.host.value(),
                          .port = static_cast<std::uint16_t>(reader.number("metricsPort", 0, largestPort))};
    forwarding.relay = {.address = settings.host.value(),
                        .port = static_cast<std::uint16_t>(reader.number("relayPort", 0, largestPort))};
    const std::uint64_t peerPort = reader.number("peerPort", 0, largestPort);
    settings.peerAddress = "tcp://" + settings.host.value() + ":" + std::to_string(peerPort);
    settings.peers = readSeeds(reader, settings.host, peerPort);
    forwarding.retries.ratio = reader.fraction("retryRatio", forwarding.retries.ratio);
    forwarding.retries.burst = reader.fraction("retryBurst", forwarding.retries.burst);
    forwarding.retries.window =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(reader.fraction("retryWindowSeconds", 10)));
    forwarding.configurationMaximumAge =
        reader.milliseconds("revocationMilliseconds", revocationMargin + forwarding.configurationMaximumAge)
        - revocationMargin;
    if (forwarding.configurationMaximumAge <= Duration::zero()) {
        reader.note("revocationMilliseconds", "More than 1500 are needed.");
    }
    forwarding.propagation.drainPeriod = reader.milliseconds("drainMilliseconds", forwarding.propagation.drainPeriod);
    forwarding.propagation.configurationApplyPeriod =
        reader.milliseconds("configurationApplyMilliseconds", forwarding.propagation.configurationApplyPeriod);
    settings.drainTimeout =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(reader.fraction("graceSeconds", 8)))
        - stopMargin;
    forwarding.drainAcceptPeriod = std::min(
        forwarding.drainAcceptPeriod, std::chrono::duration_cast<Duration>(settings.drainTimeout * drainAcceptShare));
    settings.drainAtLeast = reader.milliseconds("drainAtLeastMilliseconds", 2600ms);
    settings.leaseTimeToLive = reader.milliseconds("leaseMilliseconds", 4s);
    parent.take(reader.finish());
    return forwarding;
}

Result<DaemonSettings, InvalidSettings> readDaemonSettings(const std::string &text)
{
    const auto parsed = parseJson(text);
    const auto *json = std::get_if<nlohmann::json>(&parsed);
    if (json == nullptr) {
        return InvalidSettings{{{.field = "", .reason = "The settings are not JSON."}}};
    }
    SettingsReader reader(*json, "");
    DaemonSettings settings;
    settings.host = HostId(reader.text("host"));
    settings.failureDomain = FailureDomainId(reader.text("failureDomain"));
    settings.region = RegionId(reader.text("region"));
    settings.callers = readListener(reader, "callers");
    settings.peerKey = reader.text("peerKey");
    if (settings.peerKey.size() < shortestKey) {
        reader.note("peerKey", "At least 16 characters are needed.");
    }
    settings.keyValueService = reader.text("keyValueService");
    if (reader.has("forwarding")) {
        settings.forwarding = readForwarding(reader, settings);
        settings.operatorTokenHash = hashOfNoToken;
    } else {
        settings.operators = readListener(reader, "operators");
        settings.peerAddress = reader.text("peerAddress");
        settings.operatorTokenHash = reader.text("operatorTokenHash");
        settings.hostListService = reader.text("hostListService");
        settings.peers = readPeers(reader);
        settings.drainTimeout = std::chrono::seconds(reader.number("drainTimeoutSeconds", 300, 86400));
    }
    settings.firstStartOfDeployment = reader.flag("firstStartOfDeployment");
    settings.bodyLimit = ByteCount(reader.number("bodyLimitBytes", settings.bodyLimit.value(), 64U << 20U));
    settings.memory = ByteCount(reader.number("memoryMegabytes", settings.memory.value() >> 20U, 1U << 20U) << 20U);
    if (settings.memory.value() == 0) {
        reader.note("memoryMegabytes", "A number above 0 is needed.");
    }
    settings.requestMemory = ByteCount(reader.number("requestMemoryMegabytes", 0, 1U << 20U) << 20U);
    settings.connectionLimit =
        static_cast<std::uint32_t>(reader.number("connectionLimit", settings.connectionLimit, 1U << 20U));
    if (std::vector<SettingFault> faults = reader.finish(); !faults.empty()) {
        return InvalidSettings{std::move(faults)};
    }
    return settings;
}

} // namespace Carawaymill
