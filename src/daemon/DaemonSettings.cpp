#include "daemon/DaemonSettings.h"

#include <array>
#include <set>

namespace Carawaymill {

static constexpr std::uint64_t largestPort = 65535;
static constexpr std::size_t shortestKey = 16;

namespace {

/// Reads the fields of one object and remembers the first thing that is wrong.
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
        if (m_invalid || !m_object.contains(name) || !m_object[name].is_string()
            || m_object[name].get_ref<const std::string &>().empty()) {
            note(name, "A text is needed.");
            return {};
        }
        return m_object[name].get<std::string>();
    }

    [[nodiscard]] std::uint64_t number(const std::string &name, std::uint64_t otherwise, std::uint64_t maximum)
    {
        m_known.insert(name);
        if (m_invalid || !m_object.contains(name)) {
            return otherwise;
        }
        if (!m_object[name].is_number_unsigned() || m_object[name] > maximum) {
            note(name, "A whole number up to " + std::to_string(maximum) + " is needed.");
            return otherwise;
        }
        return m_object[name].get<std::uint64_t>();
    }

    /// False when it is left out.
    [[nodiscard]] bool flag(const std::string &name)
    {
        m_known.insert(name);
        if (m_invalid || !m_object.contains(name)) {
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
        return !m_invalid && m_object.contains(name) ? m_object[name] : none;
    }

    void take(std::optional<InvalidSettings> invalid)
    {
        if (!m_invalid) {
            m_invalid = std::move(invalid);
        }
    }

    void note(const std::string &name, const std::string &reason)
    {
        take(InvalidSettings{.field = m_place + "/" + name, .reason = reason});
    }

    /// What is wrong, if anything; also names fields that nobody asked for.
    [[nodiscard]] std::optional<InvalidSettings> finish()
    {
        if (!m_invalid) {
            for (const auto &[name, value] : m_object.items()) {
                if (!m_known.contains(name)) {
                    note(name, "There is no such setting.");
                }
            }
        }
        return m_invalid;
    }

private:
    const nlohmann::json &m_object;
    std::string m_place;
    std::set<std::string> m_known;
    std::optional<InvalidSettings> m_invalid;
};

} // namespace

static ListenSettings readListener(SettingsReader &parent, const std::string &name)
{
    SettingsReader reader(parent.child(name), "/" + name);
    ListenSettings settings{.address = reader.text("address"),
                            .port = static_cast<std::uint16_t>(reader.number("port", 0, largestPort))};
    parent.take(reader.finish());
    return settings;
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

Result<DaemonSettings, InvalidSettings> readDaemonSettings(const std::string &text)
{
    const auto parsed = parseJson(text);
    const auto *json = std::get_if<nlohmann::json>(&parsed);
    if (json == nullptr) {
        return InvalidSettings{.field = "", .reason = "The settings are not JSON."};
    }
    SettingsReader reader(*json, "");
    DaemonSettings settings;
    settings.host = HostId(reader.text("host"));
    settings.failureDomain = FailureDomainId(reader.text("failureDomain"));
    settings.region = RegionId(reader.text("region"));
    settings.callers = readListener(reader, "callers");
    settings.operators = readListener(reader, "operators");
    settings.peerAddress = reader.text("peerAddress");
    settings.peerKey = reader.text("peerKey");
    if (settings.peerKey.size() < shortestKey) {
        reader.note("peerKey", "At least 16 characters are needed.");
    }
    settings.operatorTokenHash = reader.text("operatorTokenHash");
    settings.keyValueService = reader.text("keyValueService");
    settings.hostListService = reader.text("hostListService");
    settings.peers = readPeers(reader);
    settings.firstStartOfDeployment = reader.flag("firstStartOfDeployment");
    settings.bodyLimit = ByteCount(reader.number("bodyLimitBytes", settings.bodyLimit.value(), 64U << 20U));
    settings.connectionLimit =
        static_cast<std::uint32_t>(reader.number("connectionLimit", settings.connectionLimit, 1U << 20U));
    settings.drainTimeout = std::chrono::seconds(reader.number("drainTimeoutSeconds", 300, 86400));
    if (auto invalid = reader.finish()) {
        return std::move(*invalid);
    }
    return settings;
}

} // namespace Carawaymill
