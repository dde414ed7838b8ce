#include "forwarding/ConfigurationReplica.h"

#include <algorithm>

namespace Carawaymill {

ConfigurationReplica::ConfigurationReplica(ConfigurationReplicaOptions options)
    : m_options(std::move(options))
    , m_watch({.prefix = m_options.format.configurationKey, .seed = m_options.seed, .wait = m_options.watchWait})
    , m_queries({.seed = m_options.seed, .responseRetention = m_options.maximumAge})
{
}

std::vector<ConfigurationReplicaAction> ConfigurationReplica::handle(const ConfigurationReplicaEvent &event,
                                                                     TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &concrete) { on(concrete, now, actions); }, event);
    updateFreshness(now, actions);
    return actions;
}

std::optional<Duration> ConfigurationReplica::age(TimePoint now) const
{
    return m_confirmedAt ? std::optional(now - *m_confirmedAt) : std::nullopt;
}

bool ConfigurationReplica::fresh(TimePoint now) const
{
    return m_configuration && m_confirmedAt && now - *m_confirmedAt <= m_options.maximumAge;
}

void ConfigurationReplica::updateFreshness(TimePoint now, Actions &actions)
{
    if (const bool isFresh = fresh(now); isFresh != m_wasFresh) {
        m_wasFresh = isFresh;
        actions.emplace_back(ConfigurationFreshnessChanged{.fresh = isFresh, .age = age(now)});
    }
}

void ConfigurationReplica::on(const Tick &, TimePoint now, Actions &actions)
{
    if (auto call = m_watch.nextCall(now)) {
        actions.emplace_back(std::move(*call));
    }
    const bool overdue = !m_confirmedAt || now - *m_confirmedAt >= m_options.queryPeersAfter || now < m_queryPeersUntil;
    if (overdue) {
        std::ranges::move(m_queries.nextRound(version(), now), std::back_inserter(actions));
    }
}

void ConfigurationReplica::on(const KeyValueReply &event, TimePoint now, Actions &actions)
{
    const auto update = m_watch.handle(event, now);
    if (!update) {
        return;
    }
    for (const KeyValueRecord &record : update->written) {
        if (record.key == m_options.format.configurationKey) {
            (void)adopt(record.value, std::nullopt, actions);
        }
    }
    if (m_configuration) {
        if (!m_confirmedAt) {
            m_queryPeersUntil = now + m_options.queryPeersAfterStart;
        }
        m_confirmedAt = std::max(m_confirmedAt.value_or(TimePoint()), *m_watch.confirmedAt());
    }
}

void ConfigurationReplica::on(const StoreEraChanged &event, TimePoint now, Actions & /*actions*/)
{
    if (event.restored) {
        m_watch.restart(now);
        m_queryPeersUntil = now + m_options.queryPeersAfterRestore;
    }
}

void ConfigurationReplica::on(const ConfigurationMessageReceived &event, TimePoint now, Actions &actions)
{
    std::visit(Overloaded{[&](const ConfigurationRequest &request) { respond(event.from, request, now, actions); },
                          [&](const ConfigurationConfirmation &confirmation) {
                              applyConfirmation(event.from, confirmation, now, actions);
                          }},
               event.message);
}

void ConfigurationReplica::on(const OtherHostsChanged &event, TimePoint /*now*/, Actions & /*actions*/)
{
    m_queries.setHosts(event.hosts);
}

ConfigurationVersion ConfigurationReplica::version() const
{
    return m_configuration ? m_configuration->version : ConfigurationVersion();
}

void ConfigurationReplica::respond(const HostId &to,
                                   const ConfigurationRequest &request,
                                   TimePoint now,
                                   Actions &actions) const
{
    if (!fresh(now) || m_configuration->version < request.version) {
        return;
    }
    ConfigurationConfirmation confirmation{
        .number = request.number, .version = m_configuration->version, .age = *age(now), .value = {}};
    if (request.withValue && m_configuration->version > request.version) {
        confirmation.value = m_value;
    }
    actions.emplace_back(SendConfigurationMessage{.to = to, .message = std::move(confirmation)});
}

void ConfigurationReplica::applyConfirmation(const HostId &from,
                                             const ConfigurationConfirmation &confirmation,
                                             TimePoint now,
                                             Actions &actions)
{
    if (confirmation.value && confirmation.version > version()) {
        // Adopted however late it is: it is newer than the configuration in force.
        if (!adopt(*confirmation.value, from, actions)) {
            return;
        }
        m_queries.transferEnded();
    }
    if (confirmation.version > version()) {
        if (auto request = m_queries.requestTransfer(from, version(), now)) {
            actions.emplace_back(std::move(*request));
        }
        return;
    }
    const auto sentAt = m_queries.sentAt(confirmation.number, now);
    if (m_configuration && sentAt && confirmation.version == version()) {
        // The age is counted back from when the request was sent, so that network delay never makes the confirmation
        // look more recent than it is.
        m_confirmedAt = std::max(m_confirmedAt.value_or(TimePoint()), *sentAt - confirmation.age);
    }
}

bool ConfigurationReplica::adopt(const std::string &value, std::optional<HostId> source, Actions &actions)
{
    auto read = m_options.format.readConfiguration(value);
    if (const auto *failure = std::get_if<DecodeFailure>(&read)) {
        actions.emplace_back(ConfigurationIgnored{.reason = failure->field});
        return false;
    }
    auto &configuration = std::get<RoutingConfiguration>(read);
    if (m_configuration && configuration.version <= m_configuration->version) {
        if (configuration.version < m_configuration->version) {
            actions.emplace_back(ConfigurationIgnored{
                .reason = "version " + std::to_string(configuration.version.value()) + " is older than version "
                          + std::to_string(m_configuration->version.value())});
        }
        return configuration.version == m_configuration->version;
    }
    m_configuration = std::make_shared<const RoutingConfiguration>(std::move(configuration));
    m_value = value;
    actions.emplace_back(ConfigurationChanged{.configuration = m_configuration, .source = std::move(source)});
    return true;
}

std::string describe(const ConfigurationChanged &changed)
{
    const RoutingConfiguration &configuration = *changed.configuration;
    return "Configuration: event=in-force version=" + std::to_string(configuration.version.value())
           + " routes=" + std::to_string(configuration.routes.size())
           + " source=" + (changed.source ? changed.source->value() : "store");
}

std::string describe(const ConfigurationIgnored &ignored)
{
    return "Configuration: event=ignored reason=\"" + ignored.reason + "\"";
}

std::string describe(const ConfigurationFreshnessChanged &changed)
{
    const std::string age = changed.age ? std::to_string(changed.age->count() / 1000) : "unknown";
    return std::string("Configuration: event=") + (changed.fresh ? "confirmed" : "unconfirmed") + " age_ms=" + age;
}

} // namespace Carawaymill
