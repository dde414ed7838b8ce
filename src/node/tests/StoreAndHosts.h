#pragma once

#include "node/Node.h"
#include "standins/KeyValueStore.h"

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

struct StoreAndHostsOptions
{
    std::size_t hosts = 2;
    /// Changes that the store keeps for watches.
    std::size_t keptChanges = 100'000;
    /// Whether all hosts are of one failure domain, so that one of them relays the watches of the others.
    bool sameDomain = false;
    PropagationBounds bounds = {};
};

/// Some hosts on one store, in virtual time. The store's configuration is its version, a target's record is its
/// address.
///
/// While a host is cut off, its calls to the store get no answer; those that were sent in the cut get none afterwards
/// either. A frozen host does nothing, and messages to it are lost.
class StoreAndHosts
{
public:
    explicit StoreAndHosts(StoreAndHostsOptions options);

    void write(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    void setCut(std::size_t host, bool cut) { m_hosts.at(host).cut = cut; }

    void setFrozen(std::size_t host, bool frozen) { m_hosts.at(host).frozen = frozen; }

    void advance(Duration duration);

    /// Whether a line of the host's metrics is `carawaymill_` and `line`.
    [[nodiscard]] bool shows(std::size_t host, const std::string &line) const;

    [[nodiscard]] bool lists(std::size_t host, std::size_t targets) const
    {
        return shows(host, "targets_listed " + std::to_string(targets));
    }

    /// Watches that the host has sent to the store.
    [[nodiscard]] std::size_t watches(std::size_t host) const { return m_hosts.at(host).watches; }

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
        bool frozen = false;
        std::list<Call> calls;
        std::size_t watches = 0;
    };

    void perform(Host &host, const std::vector<NodeAction> &actions);
    void answerCalls(Host &host);
    [[nodiscard]] std::optional<KeyValueResult> answer(const Host &host, Call &call);

    std::vector<Host> m_hosts;
};

} // namespace Carawaymill
