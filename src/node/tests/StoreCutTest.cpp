#include "keyvalue/KeyValueCodec.h"
#include "node/Node.h"
#include "standins/KeyValueStore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <list>

using namespace Carawaymill;

static constexpr Duration step = 20ms;
/// From this time after a cut on, the platform holds a host to what the store has acknowledged.
static constexpr Duration connectivityPeriod = 3s;

/// A target's record is its address.
static NodeOptions optionsOf(const HostId &host, const HostId &other)
{
    PublicationFormat format{
        .configurationKey = "op/config",
        .directoryPrefix = "servers/",
        .readConfiguration = [](const std::string &) -> Result<RoutingConfiguration, DecodeFailure> {
            return RoutingConfiguration{};
        },
        .readTarget = [](const TargetId &id, const std::string &value) -> Result<DirectoryTarget, DecodeFailure> {
            return DirectoryTarget{.id = id, .address = value};
        }};
    NodeOptions options{.host = host,
                        .failureDomain = FailureDomainId("domain-of-" + host.value()),
                        .region = RegionId("kyushu"),
                        .peerAddress = host.value(),
                        .configuredMembers = {{.host = other, .profile = {.peerAddress = other.value()}}},
                        .incarnation = IncarnationNumber(1)};
    options.operatorTokenHash = std::string(64, '0');
    options.forwarding = ForwardingOptions{.publications = std::move(format), .retries = {}};
    return options;
}

namespace {

/// Two hosts, each the only one of its failure domain, on one store. While a host is cut off, its calls to the store
/// get no answer; those that were sent in the cut get none afterwards either.
class StoreAndHosts
{
public:
    explicit StoreAndHosts(std::size_t keptChanges)
        : store({.keptChanges = keptChanges})
    {
        const std::array ids{HostId("h1"), HostId("h2")};
        for (std::size_t index = 0; index < ids.size(); ++index) {
            auto created = Node::create(optionsOf(ids.at(index), ids.at(1 - index)), now);
            REQUIRE(std::holds_alternative<std::unique_ptr<Node>>(created));
            m_hosts.push_back({.id = ids.at(index), .node = std::get<std::unique_ptr<Node>>(std::move(created))});
        }
    }

    void write(const std::string &key, const std::string &value)
    {
        (void)store.apply(Commit{{WriteOperation{.key = key, .value = value}}}, now);
    }

    void remove(const std::string &key)
    {
        const auto record = store.record(key);
        REQUIRE(record);
        (void)store.apply(Commit{{DeleteOperation{.key = key, .expected = record->revision}}}, now);
    }

    void setCut(std::size_t host, bool cut) { m_hosts.at(host).cut = cut; }

    void advance(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end;) {
            now += step;
            store.endDueLeases(now);
            for (Host &host : m_hosts) {
                answerCalls(host);
                perform(host, host.node->handle(Tick{}, now));
            }
        }
    }

    [[nodiscard]] bool lists(std::size_t host, std::size_t targets) const
    {
        return m_hosts.at(host).node->metrics(now).find("carawaymill_targets_listed " + std::to_string(targets) + "\n")
               != std::string::npos;
    }

    TimePoint now{1h};
    KeyValueStore store;

private:
    struct Call
    {
        KeyValueCall call;
        TimePoint sentAt;
        bool lost = false;
    };

    struct Host
    {
        HostId id;
        std::unique_ptr<Node> node;
        bool cut = false;
        std::list<Call> calls;
    };

    void perform(Host &host, const std::vector<NodeAction> &actions)
    {
        for (const NodeAction &action : actions) {
            if (const auto *call = std::get_if<KeyValueCall>(&action)) {
                host.calls.push_back({.call = *call, .sentAt = now});
            } else if (const auto *message = std::get_if<SendToPeer>(&action)) {
                const auto to =
                    std::ranges::find_if(m_hosts, [&](const Host &other) { return other.id == message->to; });
                perform(*to, to->node->handle(PeerMessage{.from = host.id, .message = message->message}, now));
            }
        }
    }

    void answerCalls(Host &host)
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

    std::optional<KeyValueResult> answer(const Host &host, Call &call)
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

    std::vector<Host> m_hosts;
};

} // namespace

TEST_CASE(
    "a target that left while only this host was cut off from the store is unlisted before the host is held to it")
{
    for (Duration cut = 6s; cut < 9s; cut += 100ms) {
        CAPTURE(cut.count());
        // Half of the times the store has dropped the history of the cut when the host returns.
        StoreAndHosts fleet(cut / 100ms % 2 == 0 ? 100'000 : 1);
        fleet.write("op/config", "1");
        fleet.write("servers/a", "a:1");
        fleet.write("servers/b", "b:1");
        fleet.advance(4s);
        REQUIRE(fleet.lists(0, 2));
        fleet.setCut(0, true);
        fleet.advance(3s);
        fleet.remove("servers/b");
        fleet.write("op/unread", "1");
        fleet.write("op/unread-too", "1");
        fleet.advance(cut - 3s);
        CHECK(fleet.lists(1, 1));
        fleet.setCut(0, false);
        fleet.advance(connectivityPeriod);
        CHECK(fleet.lists(0, 1));
    }
}

TEST_CASE("targets whose records expired while no host reached the store stay listed until they have registered again")
{
    for (Duration cut = 6s; cut < 9s; cut += 300ms) {
        CAPTURE(cut.count());
        StoreAndHosts fleet(100'000);
        fleet.write("op/config", "1");
        fleet.write("servers/a", "a:1");
        fleet.write("servers/b", "b:1");
        fleet.advance(4s);
        fleet.setCut(0, true);
        fleet.setCut(1, true);
        fleet.advance(cut);
        fleet.remove("servers/a");
        fleet.remove("servers/b");
        fleet.setCut(0, false);
        fleet.setCut(1, false);
        for (int check = 0; check < 17; ++check) {
            fleet.advance(100ms);
            CHECK(fleet.lists(0, 2));
            CHECK(fleet.lists(1, 2));
        }
        fleet.write("servers/a", "a:1");
        fleet.write("servers/b", "b:1");
        fleet.advance(3s);
        CHECK(fleet.lists(0, 2));
        CHECK(fleet.lists(1, 2));
    }
}
