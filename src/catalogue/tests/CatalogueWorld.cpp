#include "CatalogueWorld.h"

#include <doctest/doctest.h>

namespace Carawaymill {

static HostId hostId(std::size_t index)
{
    return HostId(std::to_string(index));
}

CatalogueWorld::CatalogueWorld(std::size_t hosts, std::uint64_t seed, std::size_t failureDomains)
    : m_random(seed)
    , m_store({.seed = seed})
{
    const auto failureDomainOf = [&](std::size_t index) {
        return FailureDomainId(std::to_string(index % failureDomains));
    };
    for (std::size_t index = 0; index < hosts; ++index) {
        auto replica = CatalogueReplica::create(
            {.host = hostId(index), .failureDomain = failureDomainOf(index), .seed = seed * 1000 + index});
        m_hosts.push_back(std::make_unique<Host>(Host{.replica = std::move(std::get<CatalogueReplica>(replica))}));
        CataloguePeersChanged changed;
        for (std::size_t other = 0; other < hosts; ++other) {
            if (other != index) {
                changed.peers.push_back({.host = hostId(other), .failureDomain = failureDomainOf(other)});
            }
        }
        deliver({.host = index, .event = CatalogueReplicaEvent(changed)});
    }
}

void CatalogueWorld::run(Duration duration)
{
    for (const TimePoint end = m_now + duration; m_now < end;) {
        step();
    }
}

Duration CatalogueWorld::runUntil(const std::function<bool(const Host &)> &isDone, Duration limit)
{
    const TimePoint start = m_now;
    const auto isDoneOrCutOff = [&](const std::unique_ptr<Host> &host) {
        const bool isConnected = !host->isFrozen && (host->reachesService || host->reachesPeers);
        return !isConnected || isDone(*host);
    };
    while (!std::ranges::all_of(m_hosts, isDoneOrCutOff) && m_now - start < limit) {
        step();
    }
    return m_now - start;
}

Duration CatalogueWorld::runUntilInForce(Revision revision, Duration limit)
{
    return runUntil([&](const Host &host) { return host.replica.revision() >= revision; }, limit);
}

Duration CatalogueWorld::runUntilKnown(const std::map<std::string, Revision> &keys, Duration limit)
{
    return runUntil(
        [&](const Host &host) {
            return std::ranges::all_of(keys, [&](const auto &known) {
                const CatalogueTable::Item *item = host.replica.table().item(known.first);
                return item != nullptr && item->revision >= known.second;
            });
        },
        limit);
}

void CatalogueWorld::ask(std::size_t host, const EditAsked &asked)
{
    deliver({.host = host, .event = CatalogueEditorEvent(asked)});
}

EditOutcome CatalogueWorld::edit(std::size_t host, const EditAsked &asked)
{
    const std::size_t before = m_finished.size();
    ask(host, asked);
    for (int steps = 0; steps < 1000 && m_finished.size() == before; ++steps) {
        step();
    }
    REQUIRE(m_finished.size() > before);
    return m_finished.back().outcome;
}

void CatalogueWorld::step()
{
    m_now += 10ms;
    answerWatches();
    std::vector<std::pair<TimePoint, Delivery>> kept;
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now) {
        const auto node = m_deliveries.extract(m_deliveries.begin());
        if (host(node.mapped().host).isFrozen) {
            kept.emplace_back(node.key(), node.mapped());
        } else {
            deliver(node.mapped());
        }
    }
    m_deliveries.insert(kept.begin(), kept.end());
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (!host(index).isFrozen) {
            deliver({.host = index, .event = CatalogueReplicaEvent(Tick{})});
            deliver({.host = index, .event = CatalogueEditorEvent(Tick{})});
            checkNothingWentBack(host(index));
        }
    }
}

void CatalogueWorld::deliver(const Delivery &delivery)
{
    Host &host = *m_hosts.at(delivery.host);
    std::visit(Overloaded{[&](const CatalogueReplicaEvent &event) {
                              for (const auto &action : host.replica.handle(event, m_now)) {
                                  execute(delivery.host, action);
                              }
                          },
                          [&](const CatalogueEditorEvent &event) {
                              for (const auto &action : host.editor.handle(event, host.replica, m_now)) {
                                  execute(delivery.host, action);
                              }
                          }},
               delivery.event);
}

void CatalogueWorld::execute(std::size_t host, const CatalogueReplicaAction &action)
{
    std::visit(Overloaded{[&](const KeyValueCall &made) { call(host, made, false); },
                          [&](const SendCatalogueMessage &message) { send(host, message); },
                          [](const auto &) {}},
               action);
}

void CatalogueWorld::execute(std::size_t host, const CatalogueEditorAction &action)
{
    std::visit(Overloaded{[&](const KeyValueCall &made) { call(host, made, true); },
                          [&](const CatalogueVersionsAccepted &accepted) {
                              deliver({.host = host, .event = CatalogueReplicaEvent(accepted)});
                          },
                          [&](const EditFinished &edit) { m_finished.push_back(edit); }},
               action);
}

void CatalogueWorld::call(std::size_t host, const KeyValueCall &call, bool isEditor)
{
    ++calls;
    if (const auto *watch = std::get_if<WatchRange>(&call.request);
        watch != nullptr && watch->wait > Duration::zero()) {
        m_watches.push_back({.host = host, .call = call, .until = m_now + watch->wait});
        return;
    }
    const bool reaches = this->host(host).reachesService;
    const KeyValueReply reply{.id = call.id, .result = reaches ? m_store.apply(call.request, m_now) : OutcomeUnknown{}};
    const bool isLost = std::holds_alternative<OutcomeUnknown>(reply.result);
    m_deliveries.emplace(
        m_now + (isLost ? call.timeout : delay()),
        Delivery{.host = host,
                 .event = isEditor ? Event(CatalogueEditorEvent(reply)) : Event(CatalogueReplicaEvent(reply))});
}

void CatalogueWorld::answerWatches()
{
    std::erase_if(m_watches, [&](const Watch &watch) {
        const auto reply = [&](KeyValueResult result) {
            m_deliveries.emplace(m_now + delay(),
                                 Delivery{.host = watch.host,
                                          .event = CatalogueReplicaEvent(
                                              KeyValueReply{.id = watch.call.id, .result = std::move(result)})});
            return true;
        };
        if (!host(watch.host).reachesService) {
            return m_now >= watch.until + watch.call.timeout && reply(OutcomeUnknown{});
        }
        KeyValueResult result = m_store.apply(watch.call.request, m_now);
        const auto *changed = std::get_if<RangeChanged>(&result);
        const auto &range = std::get<WatchRange>(watch.call.request);
        const bool isQuiet = changed != nullptr && changed->written.empty() && changed->deletedKeys.empty()
                             && changed->storeRevision <= range.after;
        return (!isQuiet || m_now >= watch.until) && reply(std::move(result));
    });
}

void CatalogueWorld::send(std::size_t from, const SendCatalogueMessage &message)
{
    const std::size_t to = std::stoul(message.to.value());
    const std::string packed = packCbor(nlohmann::json(message.message));
    peerBytes += packed.size();
    if (!host(from).reachesPeers || !host(to).reachesPeers || m_random.fraction() < peerLoss) {
        return;
    }
    const auto json = std::get<nlohmann::json>(unpackCbor(packed));
    const CatalogueMessageReceived received{.from = hostId(from),
                                            .message = std::get<CatalogueMessage>(decode<CatalogueMessage>(json))};
    for (std::size_t copies = m_random.fraction() < 0.05 ? 2 : 1; copies > 0; --copies) {
        m_deliveries.emplace(m_now + delay(), Delivery{.host = to, .event = CatalogueReplicaEvent(received)});
    }
}

void CatalogueWorld::checkNothingWentBack(Host &host)
{
    for (const auto &[key, item] : host.replica.table().items()) {
        Revision &seen = host.seen[key];
        REQUIRE(item.revision >= seen);
        seen = item.revision;
    }
    for (const auto &[key, revision] : host.seen) {
        REQUIRE(host.replica.table().item(key) != nullptr);
    }
}

EditAsked modelEdit(const std::string &edit, const std::string &id, std::uint32_t layers, std::uint64_t expected)
{
    EditAsked asked{.edit = EditId(edit), .key = "catalogue/model/" + id, .expected = Revision(expected)};
    if (layers > 0) {
        asked.record = ModelRecord{.id = ModelId(id), .layers = layers};
    }
    return asked;
}

} // namespace Carawaymill
