#include "forwarding/HostRegistry.h"

#include "support/Codec.h"
#include "support/Hash.h"

#include <algorithm>

namespace Carawaymill {

static constexpr const char *registryPrefix = "hosts/";

static std::string recordOf(const ListedHost &host)
{
    return nlohmann::json{{"peerAddress", host.peerAddress},
                          {"failureDomain", host.failureDomain},
                          {"region", host.region},
                          {"relayAddress", host.relayAddress}}
        .dump();
}

static std::optional<ListedHost> readRecord(const KeyValueRecord &record)
{
    const auto parsed = parseJson(record.value);
    const auto *json = std::get_if<nlohmann::json>(&parsed);
    if (json == nullptr || !json->is_object()) {
        return std::nullopt;
    }
    try {
        return ListedHost{.host = HostId(record.key.substr(std::string_view(registryPrefix).size())),
                          .state = HostListState::Live,
                          .peerAddress = json->value("peerAddress", ""),
                          .failureDomain = FailureDomainId(json->value("failureDomain", "")),
                          .region = RegionId(json->value("region", "")),
                          .relayAddress = json->value("relayAddress", "")};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

HostRegistry::HostRegistry(HostRegistryOptions options)
    : m_options(std::move(options))
    , m_watch({.prefix = registryPrefix,
               .seed = stableHash("watch", m_options.seed),
               .wait = m_options.watchWait,
               .minimumInterval = m_options.minimumWatchInterval,
               .callTimeout = m_options.callTimeout})
    , m_random(m_options.seed)
    , m_backoff({.initial = 150ms, .maximum = m_options.renewInterval})
{
}

std::vector<HostRegistryAction> HostRegistry::handle(const HostRegistryEvent &event, TimePoint now)
{
    Actions actions;
    // Hosts change only by a reply or when the grace period of missing ones ends; most ticks copy nothing.
    std::optional<std::map<HostId, ListedHost>> before;
    if (std::holds_alternative<KeyValueReply>(event) || !m_missing.empty()) {
        before = m_hosts;
    }
    if (const auto *change = std::get_if<StoreEraChanged>(&event); change != nullptr && change->restored) {
        restart(now);
    }
    if (const auto *reply = std::get_if<KeyValueReply>(&event)) {
        if (reply->id.value() % 2 == 1) {
            handleReply(*reply, now);
        } else if (const auto update = m_watch.handle(
                       {.id = CallId(reply->id.value() / 2), .result = reply->result, .age = reply->age}, now)) {
            applyUpdate(*update, now);
        }
    }
    if (auto call = m_watch.nextCall(now)) {
        call->id = CallId(call->id.value() * 2);
        actions.emplace_back(std::move(*call));
    }
    maintainRegistration(now, actions);
    removeMissing(now);
    if (before && m_hosts != *before) {
        RegisteredHostsChanged registered;
        for (const auto &[id, host] : m_hosts) {
            registered.hosts.push_back(host);
        }
        actions.emplace_back(std::move(registered));
    }
    return actions;
}

void HostRegistry::call(KeyValueRequest request, TimePoint now, Actions &actions)
{
    m_lastCall += 2;
    const CallId id(m_lastCall - 1);
    m_inFlight = InFlight{.id = id, .deadline = now + 2 * m_options.callTimeout};
    actions.emplace_back(KeyValueCall{.id = id, .request = std::move(request), .timeout = m_options.callTimeout});
}

void HostRegistry::maintainRegistration(TimePoint now, Actions &actions)
{
    if (m_inFlight && now >= m_inFlight->deadline) {
        m_inFlight.reset();
    }
    if (m_inFlight || now < m_nextAt) {
        return;
    }
    if (m_deregistering) {
        if (m_lease) {
            call(RevokeLease{*m_lease}, now, actions);
            m_lease.reset();
        }
        return;
    }
    if (!m_lease) {
        call(GrantLease{m_options.timeToLive}, now, actions);
        return;
    }
    if (m_recorded) {
        call(RenewLease{*m_lease}, now, actions);
        return;
    }
    const std::string key = registryPrefix + m_options.self.host.value();
    // A record of an earlier process of this host makes the first commit fail with its revision; the next commit
    // overwrites it, or succeeds because the record has expired.
    call(Commit{.operations = {WriteOperation{
                    .key = key, .value = recordOf(m_options.self), .expected = m_recordRevision, .lease = m_lease}}},
         now,
         actions);
}

void HostRegistry::handleReply(const KeyValueReply &reply, TimePoint now)
{
    if (!m_inFlight || reply.id != m_inFlight->id) {
        return;
    }
    m_inFlight.reset();
    m_nextAt = now + m_options.renewInterval;
    std::visit(Overloaded{[&](const LeaseGranted &granted) {
                              m_lease = granted.lease;
                              m_recorded = false;
                              m_nextAt = now;
                          },
                          [&](const Committed &) { m_recorded = true; },
                          [&](const LeaseRenewed &) { m_backoff.reset(); },
                          [&](const LeaseNotFound &) {
                              m_lease.reset();
                              m_recorded = false;
                              m_nextAt = now;
                          },
                          [&](const CommitConflict &conflict) {
                              m_recordRevision = conflict.currentRecords.empty()
                                                     ? Revision()
                                                     : conflict.currentRecords.front().revision;
                              m_nextAt = now;
                          },
                          [&](const auto &) { m_nextAt = now + m_backoff.next(m_random); }},
               reply.result);
}

void HostRegistry::restart(TimePoint now)
{
    m_watch.restart(now);
    m_inFlight.reset();
    m_lease.reset();
    m_recordRevision = Revision();
    m_recorded = false;
    m_nextAt = now;
    m_graceUntil = now + m_options.restoreGracePeriod;
}

void HostRegistry::applyUpdate(const RangeUpdate &update, TimePoint now)
{
    const TimePoint removeAt = std::max(now, m_graceUntil);
    if (update.complete) {
        for (const auto &[id, host] : m_hosts) {
            m_missing.try_emplace(id, removeAt);
        }
    }
    for (const std::string &key : update.deletedKeys) {
        m_missing.try_emplace(HostId(key.substr(std::string_view(registryPrefix).size())), removeAt);
    }
    for (const KeyValueRecord &record : update.written) {
        if (auto host = readRecord(record)) {
            m_missing.erase(host->host);
            m_hosts.insert_or_assign(host->host, *host);
        }
    }
}

void HostRegistry::removeMissing(TimePoint now)
{
    std::erase_if(m_missing, [&](const auto &entry) {
        const bool isDue = now >= entry.second;
        if (isDue) {
            m_hosts.erase(entry.first);
        }
        return isDue;
    });
}

} // namespace Carawaymill
