#include "node/Node.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Carawaymill;

static constexpr TimePoint start{1h};

static NodeOptions forwardingOptions()
{
    PublicationFormat format{
        .configurationKey = "op/config",
        .directoryPrefix = "servers/",
        .readConfiguration = [](const std::string &) -> Result<RoutingConfiguration, DecodeFailure> {
            return RoutingConfiguration{};
        },
        .readTarget = [](const TargetId &, const std::string &) -> Result<DirectoryTarget, DecodeFailure> {
            return DirectoryTarget{};
        }};
    NodeOptions options{.host = HostId("h1"),
                        .failureDomain = FailureDomainId("domain-1"),
                        .region = RegionId("kyushu"),
                        .peerAddress = "h1",
                        .configuredMembers = {},
                        .incarnation = IncarnationNumber(1)};
    options.operatorTokenHash = std::string(64, '0');
    options.forwarding = ForwardingOptions{.publications = std::move(format), .retries = {}};
    return options;
}

/// The call of the given kind among the actions.
template<typename Request>
static std::optional<KeyValueCall> findCall(const std::vector<NodeAction> &actions)
{
    for (const NodeAction &action : actions) {
        if (const auto *call = std::get_if<KeyValueCall>(&action);
            call != nullptr && std::holds_alternative<Request>(call->request)) {
            return *call;
        }
    }
    return std::nullopt;
}

static std::size_t restoresLogged(const std::vector<NodeAction> &actions)
{
    return static_cast<std::size_t>(std::ranges::count_if(actions, [](const NodeAction &action) {
        const auto *log = std::get_if<WriteLog>(&action);
        return log != nullptr && log->line.find("Store: event=restored era=2") != std::string::npos;
    }));
}

TEST_CASE("a host starts over once when the store's era rises and ignores replies of an older era")
{
    auto created = Node::create(forwardingOptions(), start);
    REQUIRE(std::holds_alternative<std::unique_ptr<Node>>(created));
    Node &node = *std::get<std::unique_ptr<Node>>(created);
    auto actions = node.handle(Tick{}, start);
    const auto grant = findCall<GrantLease>(actions);
    const auto read = findCall<ReadRange>(actions);
    REQUIRE(grant);
    REQUIRE(read);
    actions = node.handle(KeyValueReply{.id = grant->id,
                                        .result = LeaseGranted{.lease = LeaseId("5"), .timeToLive = 3s},
                                        .era = StoreEra(1)},
                          start);
    const auto registration = findCall<Commit>(actions);
    REQUIRE(registration);
    CHECK(restoresLogged(actions) == 0);
    CHECK(node.metrics(start).find("carawaymill_store_era 1\n") != std::string::npos);
    // Any reply tells of the rise, also a refusal.
    actions = node.handle(KeyValueReply{.id = read->id, .result = ServiceUnavailable{}, .era = StoreEra(2)}, start);
    CHECK(restoresLogged(actions) == 1);
    CHECK(node.metrics(start).find("carawaymill_store_era 2\n") != std::string::npos);
    const auto newGrant = findCall<GrantLease>(actions);
    REQUIRE(newGrant);
    actions = node.handle(
        KeyValueReply{.id = registration->id, .result = Committed{.revision = Revision(9)}, .era = StoreEra(1)}, start);
    CHECK(actions.empty());
    // A server of the store that has not been restored yet does not register the host.
    actions = node.handle(KeyValueReply{.id = newGrant->id,
                                        .result = LeaseGranted{.lease = LeaseId("6"), .timeToLive = 3s},
                                        .era = StoreEra(1)},
                          start);
    CHECK(!findCall<Commit>(actions));
    CHECK(restoresLogged(actions) == 0);
}
