#include "node/ForwardingCoordinator.h"

#include "node/Fleet.h"
#include "node/KeyValueCalls.h"
#include "node/NodeOutput.h"
#include "node/TargetTable.h"
#include "support/Hash.h"
#include "support/Seconds.h"

#include <algorithm>

namespace Carawaymill {

/// Interval at which load digests that are due are sent and the loads that other hosts reported are summed. Shorter
/// than the minimum interval between two digests, and long enough that the summing costs little.
static constexpr Duration loadExchangeInterval = 100ms;

/// Longest waits of this host's own watches. A connection to the service that stopped responding goes unnoticed for
/// about as long.
static constexpr Duration longestConfigurationWait = 800ms;
static constexpr Duration longestDirectoryWait = 1200ms;

/// Wait of this host's own watch after another host has failed to answer it.
static constexpr Duration waitAfterFailure = 100ms;

static RelayedRangeAges agesOf(const NodeOptions &options)
{
    return relayedRangeAges(options.forwarding->propagation);
}

static KeyValueCaller callerOf(RelayedRange range)
{
    switch (range) {
    case RelayedRange::Configuration:
        return KeyValueCaller::Configuration;
    case RelayedRange::Directory:
        return KeyValueCaller::Directory;
    case RelayedRange::Hosts:
        break;
    }
    return KeyValueCaller::HostRegistry;
}

/// Logs that a message of a peer could not be decoded. Such a message is ignored: the peer may run another release.
static void logUnreadable(const HostId &from, const DecodeFailure &failure, NodeContext &context)
{
    context.output.log("Peer: event=unreadable host=" + from.value() + " reason=\"" + failure.field + "\"");
}

ForwardingCoordinator::ForwardingCoordinator(const NodeOptions &options)
    : m_options(options)
    , m_configuration({.format = options.forwarding->publications,
                       .seed = stableHash("configuration", options.seed),
                       .watchWait = relayedWatchWait(agesOf(options).configuration, longestConfigurationWait),
                       .maximumAge = options.forwarding->configurationMaximumAge})
    , m_directory({.format = options.forwarding->publications,
                   .seed = stableHash("directory", options.seed),
                   .watchWait = relayedWatchWait(agesOf(options).directory, longestDirectoryWait)})
    , m_registry({.self = {.host = options.host,
                           .state = HostListState::Live,
                           .peerAddress = options.peerAddress,
                           .failureDomain = options.failureDomain,
                           .region = options.region,
                           .relayAddress = options.forwarding->relayAddress},
                  .seed = stableHash("registry", options.seed)})
    , m_condemnedTraits({.seed = stableHash("condemned", options.seed)})
    , m_watchClient({.maximumAges = agesOf(options)})
    , m_watchServer({.maximumAges = agesOf(options)})
    , m_sources({.self = options.host, .failureDomain = options.failureDomain})
    , m_serviceBackoff({.seed = stableHash("service", options.seed)})
    , m_loads({.self = options.host, .failureDomain = options.failureDomain})
    , m_forwarder({.targets = {.ownFailureDomain = options.failureDomain,
                               .ownRegion = options.region,
                               .seed = stableHash("forwarding", options.seed)},
                   .retries = options.forwarding->retries,
                   .attribution = {.self = options.host, .incarnation = options.incarnation},
                   .limits = {.self = options.host,
                              .incarnation = options.incarnation,
                              .firstStartOfDeployment = options.firstStartOfDeployment},
                   .pace = {.self = options.host},
                   .buffers = options.forwarding->buffers})
{
}

void ForwardingCoordinator::tick(NodeContext &context)
{
    dispatchConfiguration(Tick{}, context);
    dispatchDirectory(Tick{}, context);
    dispatchRegistry(Tick{}, context);
    dispatchCondemnedTraits(Tick{}, context);
    send(m_watchServer.tick(context.now), context);
    std::vector<RelayedWatchFailed> overdue = m_watchClient.takeTimedOut(context.now);
    for (const RelayedWatchFailed &timedOut : overdue) {
        m_sources.skip(timedOut.host, context.now);
    }
    for (RelayedWatchFailed &timedOut : overdue) {
        relayFailed(std::move(timedOut), context);
    }
    if (context.now >= m_nextLoadExchangeAt) {
        m_nextLoadExchangeAt = context.now + loadExchangeInterval;
        setWatchSources(context);
        exchangeLoads(context);
    }
    forward(Tick{}, context);
}

void ForwardingCoordinator::setWatchSources(NodeContext &context)
{
    std::vector<HostId> ownDomain;
    for (const Member &member : context.fleet.members()) {
        if (member.state == MemberState::Alive && member.profile.failureDomain == m_options.failureDomain) {
            ownDomain.push_back(member.host);
        }
    }
    if (m_sources.setHosts(ownDomain)) {
        context.output.log("Relay: event=collector host=" + m_sources.collector().value()
                           + " hosts=" + std::to_string(ownDomain.size()));
    }
}

void ForwardingCoordinator::exchangeLoads(NodeContext &context)
{
    std::vector<LoadExchangePeer> peers;
    for (const Member &member : context.fleet.members()) {
        if (member.state != MemberState::Dead && member.host != m_options.host) {
            peers.push_back({.host = member.host, .failureDomain = member.profile.failureDomain});
        }
    }
    const LoadDigest own = context.targets.router().ownLoads();
    for (const SendLoadDigest &send : m_loads.digestsDue(own, peers, context.now)) {
        const nlohmann::json body = toJson(send.digest);
        for (const HostId &host : send.to) {
            context.fleet.send(host, PeerChannel::Load, body, context.output);
        }
    }
    const OtherHostsLoad others = m_loads.otherHostsLoad(own, peers, context.now);
    m_estimatedHosts = others.estimatedHosts;
    m_unreadPromptTokens = 0;
    for (const auto &[target, load] : own) {
        m_unreadPromptTokens += load.unreadLayerTokens;
    }
    for (const auto &[target, load] : others.sums) {
        context.targets.router().setOtherHostsLoad(target, load);
    }
}

void ForwardingCoordinator::loadReceived(const HostId &from, const nlohmann::json &body, NodeContext &context)
{
    auto digest = readLoadDigest(body);
    if (const auto *failure = std::get_if<DecodeFailure>(&digest)) {
        logUnreadable(from, *failure, context);
        return;
    }
    for (const Member &member : context.fleet.members()) {
        if (member.host == from) {
            m_loads.recordDigest({.host = from, .failureDomain = member.profile.failureDomain},
                                 std::get<LoadDigest>(std::move(digest)),
                                 context.now);
            return;
        }
    }
}

void ForwardingCoordinator::attributionReceived(const HostId &from, const nlohmann::json &body, NodeContext &context)
{
    auto message = decode<AttributionMessage>(body);
    if (const auto *failure = std::get_if<DecodeFailure>(&message)) {
        logUnreadable(from, *failure, context);
        return;
    }
    forward(AttributionMessageReceived{std::get<AttributionMessage>(std::move(message))}, context);
}

void ForwardingCoordinator::retryLoanReceived(const HostId &from, const nlohmann::json &body, NodeContext &context)
{
    auto message = decode<RetryLoanMessage>(body);
    if (const auto *failure = std::get_if<DecodeFailure>(&message)) {
        logUnreadable(from, *failure, context);
        return;
    }
    forward(RetryLoanMessageReceived{.from = from, .message = std::get<RetryLoanMessage>(std::move(message))}, context);
}

void ForwardingCoordinator::targetObservationReceived(const HostId &from,
                                                      const nlohmann::json &body,
                                                      NodeContext &context)
{
    auto observation = decode<TargetObservation>(body);
    if (const auto *failure = std::get_if<DecodeFailure>(&observation)) {
        logUnreadable(from, *failure, context);
        return;
    }
    forward(TargetObservationReceived{.from = from, .observation = std::get<TargetObservation>(std::move(observation))},
            context);
}

void ForwardingCoordinator::limitsReceived(const HostId &from, const nlohmann::json &body, NodeContext &context)
{
    auto message = decode<ShareMessage>(body);
    if (const auto *failure = std::get_if<DecodeFailure>(&message)) {
        logUnreadable(from, *failure, context);
        return;
    }
    forward(ShareMessageReceived{.from = from, .message = std::get<ShareMessage>(std::move(message))}, context);
}

void ForwardingCoordinator::membersChanged(NodeContext &context)
{
    forward(FleetChanged{.knownHosts = context.fleet.members().size(),
                         .aliveHosts = context.fleet.membership().aliveHosts()},
            context);
    std::vector<HostId> lenders = context.fleet.membership().aliveHosts();
    std::erase(lenders, m_options.host);
    m_forwarder.setLenders(std::move(lenders));
    OtherHostsChanged others;
    for (const Member &member : context.fleet.members()) {
        if (member.host != m_options.host) {
            others.hosts.push_back(member.host);
        }
    }
    dispatchConfiguration(others, context);
}

void ForwardingCoordinator::startDraining(TimePoint now)
{
    m_registry.deregister();
    m_forwarder.rejectNewRequestsFrom(now + m_options.forwarding->drainAcceptPeriod);
}

bool ForwardingCoordinator::ready(TimePoint now) const
{
    return m_configuration.fresh(now) && m_directory.isLoaded();
}

void ForwardingCoordinator::issue(RelayedRange range, KeyValueCall call, const RelayTerms &terms, NodeContext &context)
{
    const std::size_t failures = terms.failures;
    if (failures == 0) {
        m_watchClient.dropPending(range);
    }
    if (!std::holds_alternative<WatchRange>(call.request)) {
        issueToKeyValueService(range, std::move(call), context);
        return;
    }
    WatchSource source = m_sources.choose(range, failures, context.now, terms.excluded);
    if (source.host) {
        const RelayTerms withSuccessor{
            .failures = failures, .hasSuccessor = failures == 0, .firstSentAt = terms.firstSentAt};
        if (relay(range, call, *source.host, withSuccessor, context)) {
            recordSource(range, source, context);
            return;
        }
        if (failures == 0 && m_watchClient.isConfirmed(range, context.now)) {
            // The host answers, but has not confirmed the range for so long that it may be cut off from the service. It
            // is asked again by the next watch, since it may also have been late by little.
            issue(
                range, std::move(call), {.failures = 1, .firstSentAt = context.now, .excluded = source.host}, context);
            return;
        }
        source = {.host = std::nullopt, .reason = WatchSourceReason::Age};
    }
    recordSource(range, source, context);
    if (failures > 0) {
        // Other hosts of the domain may wait for this call after the failure of the host that was asked, some of them
        // with views that are nearly too old.
        auto &watch = std::get<WatchRange>(call.request);
        watch.wait =
            m_watchClient.isConfirmed(range, context.now) ? Duration::zero() : std::min(watch.wait, waitAfterFailure);
    }
    issueToKeyValueService(range, std::move(call), context);
}

bool ForwardingCoordinator::relay(
    RelayedRange range, const KeyValueCall &call, const HostId &host, const RelayTerms &terms, NodeContext &context)
{
    const auto request = m_watchClient.relay(range, call, host, context.now, terms);
    if (!request) {
        return false;
    }
    m_metrics.count("relayed_watches");
    m_watchServer.setCallInProgress(range, host);
    send({*request}, context);
    return true;
}

void ForwardingCoordinator::relayFailed(RelayedWatchFailed failed, NodeContext &context)
{
    context.output.log(describe(failed));
    if (!failed.isObsolete(context.now)) {
        issue(failed.range,
              std::move(failed.call),
              {.failures = failed.failures, .firstSentAt = failed.firstSentAt},
              context);
    }
}

void ForwardingCoordinator::recordSource(RelayedRange range, const WatchSource &source, NodeContext &context)
{
    if (auto line = m_sources.recordSource(range, source, context.now)) {
        context.output.log(std::move(*line));
    }
}

void ForwardingCoordinator::issueToKeyValueService(RelayedRange range, KeyValueCall call, NodeContext &context)
{
    const auto *watch = std::get_if<WatchRange>(&call.request);
    if (watch != nullptr || std::holds_alternative<ReadRange>(call.request)) {
        // A view that still counts is kept confirmed: after a single failure the service may well respond.
        if (!m_serviceBackoff.mayCall(context.now) && !m_watchClient.isConfirmed(range, context.now)) {
            const KeyValueReply reply{.id = call.id, .result = ServiceUnavailable{}};
            send(m_watchServer.recordServiceReply({.range = range}, reply.result, context.now), context);
            watchAnswered(range, reply, context);
            return;
        }
        m_serviceBackoff.recordCall(context.now);
        m_latestCalls[range] = {.range = range,
                                .id = call.id,
                                .after = watch != nullptr ? std::optional(watch->after) : std::nullopt,
                                .sentAt = context.now};
        m_watchServer.setCallInProgress(range, std::nullopt);
    }
    m_metrics.serviceCall(rangeName(range), call.request);
    context.keyValue.issue(callerOf(range), 0, std::move(call), context.output);
}

void ForwardingCoordinator::updateBackoff(const KeyValueReply &reply, bool isRangeCall, NodeContext &context)
{
    if (std::holds_alternative<ServiceUnavailable>(reply.result)
        || std::holds_alternative<OutcomeUnknown>(reply.result)) {
        // A registration that fails is repeated at its own rate and says little about the ranges.
        if (isRangeCall && m_serviceBackoff.recordFailure(context.now)) {
            context.output.log("Relay: event=service-failing");
        }
    } else if (const auto failing = m_serviceBackoff.recordSuccess(context.now)) {
        context.output.log("Relay: event=service-available failing_ms=" + std::to_string(wholeMilliseconds(*failing)));
        m_configuration.endDelay(context.now);
        m_directory.endDelay(context.now);
        m_registry.endDelay(context.now);
    }
}

void ForwardingCoordinator::recordReply(RelayedRange range, const KeyValueReply &reply, NodeContext &context)
{
    const auto sent = m_latestCalls.find(range);
    const bool isLatestCall = sent != m_latestCalls.end() && sent->second.id == reply.id;
    updateBackoff(reply, isLatestCall, context);
    if (isLatestCall) {
        if (std::holds_alternative<RangeRead>(reply.result) || std::holds_alternative<RangeChanged>(reply.result)) {
            m_watchClient.recordConfirmed(range, sent->second.sentAt);
        }
        send(m_watchServer.recordServiceReply(sent->second, reply.result, context.now), context);
    }
}

void ForwardingCoordinator::send(const std::vector<SendRangeWatchMessage> &messages, NodeContext &context)
{
    for (const SendRangeWatchMessage &message : messages) {
        context.fleet.send(message.to, PeerChannel::Range, message.message, context.output);
    }
}

void ForwardingCoordinator::rangeReceived(const HostId &from, const nlohmann::json &body, NodeContext &context)
{
    auto read = decode<RangeWatchMessage>(body);
    if (const auto *failure = std::get_if<DecodeFailure>(&read)) {
        logUnreadable(from, *failure, context);
        return;
    }
    std::visit(Overloaded{[&](const RangeWatchRequest &request) {
                              send(m_watchServer.handleRequest(from, request, context.now), context);
                          },
                          [&](RangeWatchResponse &response) {
                              if (const auto answered = m_watchClient.handleResponse(from, std::move(response))) {
                                  if (const auto *changed = std::get_if<RangeChanged>(&answered->reply.result)) {
                                      send(m_watchServer.recordRelayedReply(answered->answered, *changed, context.now),
                                           context);
                                  }
                                  watchAnswered(answered->range, answered->reply, context);
                              }
                          },
                          [&](const RangeWatchUnavailable &unavailable) {
                              if (auto failed = m_watchClient.handleUnavailable(from, unavailable)) {
                                  m_sources.skip(failed->host, failed->range, context.now);
                                  relayFailed(std::move(*failed), context);
                              }
                          }},
               std::get<RangeWatchMessage>(read));
}

void ForwardingCoordinator::watchAnswered(RelayedRange range, const KeyValueReply &reply, NodeContext &context)
{
    switch (range) {
    case RelayedRange::Configuration:
        dispatchConfiguration(reply, context);
        dispatchConfiguration(Tick{}, context);
        break;
    case RelayedRange::Directory:
        dispatchDirectory(reply, context);
        break;
    case RelayedRange::Hosts:
        dispatchRegistry(reply, context);
        break;
    }
}

void ForwardingCoordinator::configurationReply(const KeyValueReply &reply, NodeContext &context)
{
    recordReply(RelayedRange::Configuration, reply, context);
    dispatchConfiguration(reply, context);
    // Sends the next watch immediately, so that configuration changes are received without waiting for the next tick.
    dispatchConfiguration(Tick{}, context);
}

void ForwardingCoordinator::directoryReply(const KeyValueReply &reply, NodeContext &context)
{
    recordReply(RelayedRange::Directory, reply, context);
    dispatchDirectory(reply, context);
}

void ForwardingCoordinator::registryReply(const KeyValueReply &reply, NodeContext &context)
{
    recordReply(RelayedRange::Hosts, reply, context);
    dispatchRegistry(reply, context);
}

void ForwardingCoordinator::condemnedTraitsReply(const KeyValueReply &reply, NodeContext &context)
{
    dispatchCondemnedTraits(reply, context);
}

void ForwardingCoordinator::dispatchCondemnedTraits(const CondemnedTraitRegisterEvent &event, NodeContext &context)
{
    for (CondemnedTraitRegisterAction &action : m_condemnedTraits.handle(event, context.now)) {
        std::visit(Overloaded{[&](KeyValueCall &call) {
                                  m_metrics.serviceCall("condemned-traits", call.request);
                                  context.keyValue.issue(
                                      KeyValueCaller::CondemnedTraits, 0, std::move(call), context.output);
                              },
                              [&](const CondemnedTraitsRestored &restored) { forward(restored, context); }},
                   action);
    }
}

void ForwardingCoordinator::storeEraChanged(const StoreEraChanged &change, NodeContext &context)
{
    m_storeEra = change.era;
    if (change.restored) {
        m_latestCalls.clear();
    }
    m_watchClient.storeEraChanged(change);
    send(m_watchServer.storeEraChanged(change, context.now), context);
    dispatchConfiguration(change, context);
    dispatchDirectory(change, context);
    dispatchRegistry(change, context);
    dispatchCondemnedTraits(change, context);
}

void ForwardingCoordinator::configurationReceived(const HostId &from, const nlohmann::json &body, NodeContext &context)
{
    auto read = decode<ConfigurationMessage>(body);
    if (const auto *failure = std::get_if<DecodeFailure>(&read)) {
        logUnreadable(from, *failure, context);
        return;
    }
    dispatchConfiguration(
        ConfigurationMessageReceived{.from = from, .message = std::get<ConfigurationMessage>(std::move(read))},
        context);
}

void ForwardingCoordinator::dispatchConfiguration(const ConfigurationReplicaEvent &event, NodeContext &context)
{
    for (ConfigurationReplicaAction &action : m_configuration.handle(event, context.now)) {
        std::visit(
            Overloaded{[&](KeyValueCall &call) { issue(RelayedRange::Configuration, std::move(call), {}, context); },
                       [&](const ConfigurationChanged &changed) { configurationChanged(changed, context); },
                       [&](const ConfigurationIgnored &ignored) { context.output.log(describe(ignored)); },
                       [&](const ConfigurationFreshnessChanged &changed) { context.output.log(describe(changed)); },
                       [&](const SendConfigurationMessage &send) {
                           context.fleet.send(send.to, PeerChannel::Configuration, send.message, context.output);
                       }},
            action);
    }
    if (const auto age = m_configuration.age(context.now)) {
        dispatchDirectory(ServiceResponded{context.now - *age}, context);
    }
}

void ForwardingCoordinator::configurationChanged(const ConfigurationChanged &changed, NodeContext &context)
{
    context.output.log(describe(changed));
    m_forwarder.configurationChanged(changed.configuration, context.targets.router());
    context.output.add(LimitCallers{changed.configuration->limits});
    m_placementChanged = true;
}

void ForwardingCoordinator::dispatchDirectory(const DirectoryReplicaEvent &event, NodeContext &context)
{
    for (DirectoryReplicaAction &action : m_directory.handle(event, context.now)) {
        std::visit(Overloaded{[&](KeyValueCall &call) { issue(RelayedRange::Directory, std::move(call), {}, context); },
                              [&](const TargetListed &listed) {
                                  context.output.log(describe(listed));
                                  m_forwarder.targetListed(listed.target, context.targets.router());
                              },
                              [&](const TargetUnlisted &unlisted) {
                                  context.output.log(describe(unlisted));
                                  m_forwarder.targetUnlisted(unlisted.target, context.targets.router());
                              },
                              [&](const auto &logged) { context.output.log(describe(logged)); }},
                   action);
    }
    if (m_directory.isLoaded()) {
        m_forwarder.setDirectoryLoaded();
    }
}

void ForwardingCoordinator::dispatchRegistry(const HostRegistryEvent &event, NodeContext &context)
{
    for (HostRegistryAction &action : m_registry.handle(event, context.now)) {
        std::visit(Overloaded{[&](KeyValueCall &call) { issue(RelayedRange::Hosts, std::move(call), {}, context); },
                              [&](RegisteredHostsChanged &registered) {
                                  m_forwarder.setHosts(registered.hosts.size(), context.now);
                                  m_forwarder.setRelayHosts(relayHosts(registered.hosts));
                                  m_hostList = HostListRead{.hosts = std::move(registered.hosts), .targets = {}};
                              }},
                   action);
    }
}

std::vector<RelayHost> ForwardingCoordinator::relayHosts(const std::vector<ListedHost> &hosts) const
{
    std::vector<RelayHost> relays;
    for (const ListedHost &host : hosts) {
        if (host.host != m_options.host && !host.relayAddress.empty()) {
            relays.push_back({.host = host.host, .failureDomain = host.failureDomain, .address = host.relayAddress});
        }
    }
    return relays;
}

void ForwardingCoordinator::forward(const ForwarderEvent &event, NodeContext &context)
{
    const bool fresh = m_configuration.fresh(context.now);
    for (ForwarderAction &action : m_forwarder.handle(event, fresh, context.targets.router(), context.now)) {
        std::visit(Overloaded{[&](ForwardLogLine &logLine) { context.output.log(std::move(logLine.line)); },
                              [&](ForwardEnded &ended) { m_metrics.requestEnded(ended.outcome, ended.took); },
                              [&](BroadcastAttributionMessage &broadcast) {
                                  for (const HostId &host : context.fleet.membership().aliveHosts()) {
                                      context.fleet.send(
                                          host, PeerChannel::Quarantine, broadcast.message, context.output);
                                  }
                              },
                              [](CrashRecorded &) {},
                              [&](TraitCondemned &condemned) { dispatchCondemnedTraits(condemned, context); },
                              [&](TraitLifted &lifted) { dispatchCondemnedTraits(lifted, context); },
                              [&](SendShareMessage &send) {
                                  context.fleet.send(send.to, PeerChannel::Limits, send.message, context.output);
                              },
                              [&](SendRetryLoanMessage &send) {
                                  context.fleet.send(send.to, PeerChannel::RetryLoans, send.message, context.output);
                              },
                              [&](BroadcastTargetObservation &broadcast) {
                                  for (const HostId &host : context.fleet.membership().aliveHosts()) {
                                      context.fleet.send(
                                          host, PeerChannel::TargetObservations, broadcast.observation, context.output);
                                  }
                              },
                              [&](ForwardToTarget &dispatch) {
                                  m_metrics.count(dispatch.via ? "relayed_dispatches" : "dispatches");
                                  context.output.add(std::move(dispatch));
                              },
                              [&](PassOnRequest &request) {
                                  m_metrics.count("requests_passed_on");
                                  context.output.add(std::move(request));
                              },
                              [&](auto &other) { context.output.add(std::move(other)); }},
                   action);
    }
}

std::string ForwardingCoordinator::metrics(TimePoint now) const
{
    std::string text = m_metrics.text();
    const auto gauge = [&text](const std::string &name, std::uint64_t value) {
        text.append("carawaymill_").append(name).append(" ").append(std::to_string(value)).append("\n");
    };
    gauge("requests_in_progress", m_forwarder.inProgress());
    gauge("response_bytes_held", m_forwarder.buffers().held().value());
    gauge("unread_prompt_tokens", static_cast<std::uint64_t>(m_unreadPromptTokens));
    gauge("load_estimated_hosts", m_estimatedHosts);
    gauge("targets_listed", m_directory.targets().size());
    gauge("retry_budget_hosts", m_forwarder.retries().hosts());
    gauge("retries_granted_total", m_forwarder.retries().granted());
    gauge("retries_refused_total", m_forwarder.retries().refused());
    gauge("retries_borrowed_total", m_forwarder.loans().borrowed());
    gauge("retries_lent_total", m_forwarder.loans().lent());
    gauge("target_observations_told_total", m_forwarder.observations().counts().told);
    gauge("target_observations_heard_total", m_forwarder.observations().counts().heard);
    gauge("target_observations_contradicted_total", m_forwarder.observations().counts().contradicted);
    gauge("targets_avoided", m_forwarder.observations().avoided());
    gauge("long_prompts_waiting", m_forwarder.prompts().size());
    gauge("targets_slow", m_forwarder.pace().slowTargets());
    gauge("target_reports_read_total", m_forwarder.pace().reads());
    gauge("streams_moved_total", m_forwarder.moves().moved);
    gauge("streams_returned_total", m_forwarder.moves().returned);
    gauge("quarantine_crashes_total", m_forwarder.attribution().crashes());
    gauge("quarantine_condemned_traits", m_forwarder.attribution().condemnedTraits());
    gauge("quarantine_refused_requests_total", m_forwarder.attribution().refusedRequests());
    gauge("limited_targets", m_forwarder.limits().limitedTargets());
    gauge("queue_length", m_forwarder.queue().size());
    gauge("queue_starts_total", m_forwarder.queue().starts());
    for (const auto &[reason, count] : m_forwarder.queue().refusals()) {
        gauge(std::string("queue_refused_total{reason=\"") + queueRefusalName(reason) + "\"}", count);
    }
    gauge("target_limit_refusals_total", m_forwarder.limits().refusals());
    gauge("separated", m_forwarder.reach().isSeparated() ? 1 : 0);
    gauge("ready", ready(now) ? 1 : 0);
    if (m_storeEra) {
        gauge("store_era", m_storeEra->value());
    }
    if (const SharedConfiguration &configuration = m_configuration.configuration()) {
        gauge("configuration_version", configuration->version.value());
    }
    if (const auto age = m_configuration.age(now)) {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
        gauge("configuration_age_milliseconds", static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0)));
    }
    return text;
}

/// The lease scope for the placement of one service in a region.
static LeaseScopeId scopeOfService(const RegionId &region, const ServiceId &service)
{
    return LeaseScopeId(placementScope(region).value() + "/" + service.value());
}

static PlacementDemand placementDemand(const EngineProfile &engine)
{
    const TokenCount tokens = averageCachedTokens(engine.meanPromptTokens, engine.meanCompletionTokens);
    const std::uint64_t cacheBytes = engine.cacheBytesPerToken.value() * tokens.value();
    return {.model = {},
            .version = engine.version,
            .adapter = {},
            .layers = engine.layers,
            .bytesPerLayer = engine.bytesPerLayer,
            .activationBytes = engine.activationBytes,
            .cacheBytesPerLayer = ByteCount(engine.layers > 0 ? cacheBytes / engine.layers : 0),
            .concurrency = engine.concurrency};
}

PlacementScopes ForwardingCoordinator::placementScopes() const
{
    PlacementScopes scopes;
    if (!m_configuration.configuration()) {
        return scopes;
    }
    for (const auto &[id, service] : m_configuration.configuration()->services) {
        if (service.engine) {
            scopes[scopeOfService(m_options.region, id)] = {placementDemand(*service.engine)};
        }
    }
    return scopes;
}

std::vector<PlacementTarget> ForwardingCoordinator::placementTargets(const LeaseScopeId &scope) const
{
    std::vector<PlacementTarget> usable;
    for (const auto &[id, target] : m_directory.targets()) {
        const EngineProfile *engine = engineProfile(m_configuration.configuration(), target.service);
        if (engine == nullptr || m_forwarder.targets().isLeaving(id) || m_forwarder.isLost(id)
            || scopeOfService(m_options.region, target.service) != scope) {
            continue;
        }
        const auto kind = engine->kinds.find(target.acceleratorKind);
        if (kind == engine->kinds.end()) {
            continue;
        }
        const auto memory = static_cast<double>(kind->second.memory.value());
        usable.push_back(
            {.id = id,
             .layerMemory = ByteCount(static_cast<std::uint64_t>(memory * (1 - m_options.forwarding->cacheShare))),
             .memory = kind->second.memory,
             .layerTokensPerSecond = layerTokensPerSecond(*engine, kind->second),
             .linkBytesPerSecond = engine->linkBytesPerSecond,
             .failureDomain = target.failureDomain,
             // Not all of these targets check it. They count their orders instead, see `EngineOrder::ordersAccepted`.
             .checksFencingNumber = false});
    }
    return usable;
}

std::string ForwardingCoordinator::address(const TargetId &target) const
{
    const auto found = m_directory.targets().find(target);
    return found == m_directory.targets().end() ? std::string() : found->second.address;
}

EngineState ForwardingCoordinator::withFreeMemory(EngineState state) const
{
    const auto found = m_directory.targets().find(state.target);
    if (found == m_directory.targets().end()) {
        return state;
    }
    const EngineProfile *engine = engineProfile(m_configuration.configuration(), found->second.service);
    if (engine == nullptr) {
        return state;
    }
    const auto kind = engine->kinds.find(found->second.acceleratorKind);
    const ByteCount used = heldBytes(*engine, state.held);
    if (kind != engine->kinds.end() && kind->second.memory > used) {
        state.freeMemory = kind->second.memory - used;
    }
    return state;
}

} // namespace Carawaymill
