#include "node/tests/StoreAndHosts.h"

#include "keyvalue/KeyValueCodec.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace Carawaymill {

static constexpr Duration step = 20ms;

static NodeOptions optionsOf(const HostId &host, const std::vector<HostId> &hosts, const StoreAndHostsOptions &fleet)
{
    PublicationFormat format{
        .configurationKey = "op/config",
        .directoryPrefix = "servers/",
        .readConfiguration = [](const std::string &value) -> Result<RoutingConfiguration, DecodeFailure> {
            RoutingConfiguration configuration;
            configuration.version = ConfigurationVersion(std::stoull(value));
            return configuration;
        },
        .readTarget = [](const TargetId &id, const std::string &value) -> Result<DirectoryTarget, DecodeFailure> {
            return DirectoryTarget{.id = id, .address = value};
        }};
    const auto domainOf = [&](const HostId &id) {
        return FailureDomainId(fleet.sameDomain ? "domain" : "domain-of-" + id.value());
    };
    NodeOptions options{.host = host,
                        .failureDomain = domainOf(host),
                        .region = RegionId("kyushu"),
                        .peerAddress = host.value(),
                        .configuredMembers = {},
                        .incarnation = IncarnationNumber(1)};
    for (const HostId &other : hosts) {
        if (other != host) {
            options.configuredMembers.push_back(
                {.host = other, .profile = {.peerAddress = other.value(), .failureDomain = domainOf(other)}});
        }
    }
    options.operatorTokenHash = std::string(64, '0');
    options.forwarding =
        ForwardingOptions{.publications = std::move(format), .retries = {}, .propagation = fleet.bounds};
    return options;
}

StoreAndHosts::StoreAndHosts(StoreAndHostsOptions options)
    : store({.keptChanges = options.keptChanges})
{
    std::vector<HostId> ids;
    for (std::size_t number = 1; number <= options.hosts; ++number) {
        ids.emplace_back("h" + std::to_string(number));
    }
    for (const HostId &id : ids) {
        auto created = Node::create(optionsOf(id, ids, options), now);
        REQUIRE(std::holds_alternative<std::unique_ptr<Node>>(created));
        m_hosts.push_back({.id = id, .node = std::get<std::unique_ptr<Node>>(std::move(created))});
    }
}

void StoreAndHosts::write(const std::string &key, const std::string &value)
{
    const auto record = store.record(key);
    const Revision expected = record ? record->revision : Revision();
    (void)store.apply(Commit{{WriteOperation{.key = key, .value = value, .expected = expected}}}, now);
}

void StoreAndHosts::remove(const std::string &key)
{
    const auto record = store.record(key);
    REQUIRE(record);
    (void)store.apply(Commit{{DeleteOperation{.key = key, .expected = record->revision}}}, now);
}

void StoreAndHosts::advance(Duration duration)
{
    for (const TimePoint end = now + duration; now < end;) {
        now += step;
        store.endDueLeases(now);
        for (Host &host : m_hosts) {
            if (!host.frozen) {
                answerCalls(host);
                perform(host, host.node->handle(Tick{}, now));
            }
        }
    }
}

bool StoreAndHosts::shows(std::size_t host, const std::string &line) const
{
    return m_hosts.at(host).node->metrics(now).find("carawaymill_" + line + "\n") != std::string::npos;
}

void StoreAndHosts::perform(Host &host, const std::vector<NodeAction> &actions)
{
    for (const NodeAction &action : actions) {
        if (const auto *call = std::get_if<KeyValueCall>(&action)) {
            host.watches += std::holds_alternative<WatchRange>(call->request) ? 1 : 0;
            host.calls.push_back({.call = *call, .sentAt = now});
        } else if (const auto *message = std::get_if<SendToPeer>(&action)) {
            const auto to = std::ranges::find_if(m_hosts, [&](const Host &other) { return other.id == message->to; });
            if (!to->frozen) {
                perform(*to, to->node->handle(PeerMessage{.from = host.id, .message = message->message}, now));
            }
        }
    }
}

void StoreAndHosts::answerCalls(Host &host)
{
    std::vector<KeyValueReply> replies;
    std::erase_if(host.calls, [&](Call &call) {
        auto result = answer(host, call);
        if (result) {
            replies.push_back({.id = call.call.id, .result = std::move(*result), .era = StoreEra(1)});
        }
        return result.has_value();
    });
    for (const KeyValueReply &reply : replies) {
        perform(host, host.node->handle(reply, now));
    }
}

std::optional<KeyValueResult> StoreAndHosts::answer(const Host &host, Call &call)
{
    const auto *watch = std::get_if<WatchRange>(&call.call.request);
    const TimePoint waitEnd = call.sentAt + (watch != nullptr ? watch->wait : Duration::zero());
    call.lost = call.lost || host.cut;
    if (call.lost) {
        return now >= waitEnd + call.call.timeout ? std::optional(resultWithoutResponse(call.call.request))
                                                  : std::nullopt;
    }
    auto result = store.apply(call.call.request, now);
    const auto *changed = std::get_if<RangeChanged>(&result);
    const bool waits = changed != nullptr && changed->written.empty() && changed->deletedKeys.empty();
    return waits && now < waitEnd ? std::nullopt : std::optional(std::move(result));
}

} // namespace Carawaymill
