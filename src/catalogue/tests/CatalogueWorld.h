#pragma once

#include "catalogue/CatalogueEditor.h"
#include "standins/KeyValueStore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Some hosts with replicas and editors, the key-value stand-in and the links between them, under virtual time.
///
/// Messages between hosts are delayed, reordered, doubled and lost; checks at every step that no host goes back.
class CatalogueWorld
{
public:
    struct Host
    {
        CatalogueReplica replica;
        CatalogueEditor editor{{}};
        bool reachesService = true;
        bool reachesPeers = true;
        bool isFrozen = false;
        std::map<std::string, Revision> seen;
    };

    explicit CatalogueWorld(std::size_t hosts, std::uint64_t seed = 1, std::size_t failureDomains = 3);

    /// Advances the time in steps of 10 ms.
    void run(Duration duration);

    /// Runs until every connected host has the revision in force; returns how long that took, at most `limit`.
    Duration runUntilInForce(Revision revision, Duration limit);

    /// Like `runUntilInForce`, for single keys, whatever else the hosts lack.
    Duration runUntilKnown(const std::map<std::string, Revision> &keys, Duration limit);

    void ask(std::size_t host, const EditAsked &asked);

    /// Asks and runs until the outcome is there.
    EditOutcome edit(std::size_t host, const EditAsked &asked);

    [[nodiscard]] Host &host(std::size_t index) { return *m_hosts.at(index); }

    [[nodiscard]] std::size_t hosts() const { return m_hosts.size(); }

    [[nodiscard]] KeyValueStore &store() { return m_store; }

    [[nodiscard]] TimePoint now() const { return m_now; }

    [[nodiscard]] const std::vector<EditFinished> &finished() const { return m_finished; }

    /// Calls made to the service, a waiting watch counted once, and bytes sent between hosts as CBOR.
    std::size_t calls = 0;
    std::size_t peerBytes = 0;
    double peerLoss = 0.05;

private:
    using Event = std::variant<CatalogueReplicaEvent, CatalogueEditorEvent>;

    struct Delivery
    {
        std::size_t host = 0;
        Event event;
    };

    struct Watch
    {
        std::size_t host = 0;
        KeyValueCall call;
        TimePoint until;
    };

    Duration runUntil(const std::function<bool(const Host &)> &isDone, Duration limit);
    void step();
    void deliver(const Delivery &delivery);
    void execute(std::size_t host, const CatalogueReplicaAction &action);
    void execute(std::size_t host, const CatalogueEditorAction &action);
    void call(std::size_t host, const KeyValueCall &call, bool isEditor);
    void send(std::size_t from, const SendCatalogueMessage &message);
    void answerWatches();
    void checkNothingWentBack(Host &host);

    [[nodiscard]] Duration delay() { return 1ms + Duration(m_random.below(20'000)); }

    Random m_random;
    KeyValueStore m_store;
    TimePoint m_now{100s};
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::multimap<TimePoint, Delivery> m_deliveries;
    std::vector<Watch> m_watches;
    std::vector<EditFinished> m_finished;
};

/// An edit of model `id`; 0 layers: its deletion.
[[nodiscard]] EditAsked
modelEdit(const std::string &edit, const std::string &id, std::uint32_t layers, std::uint64_t expected);

} // namespace Carawaymill
