#pragma once

#include "forwarding/Forwarder.h"

#include <string>
#include <vector>

namespace Carawaymill {

/// One host's forwarder with two services: the plain service `desk` has three targets, and the engine service `scribe`
/// has a model of 8 layers that is held by a1 and a2 in failure domain a and by b1 and b2 in failure domain b.
class ForwarderFixture
{
public:
    /// `loaded`: whether the configuration and the directory are loaded from the start.
    explicit ForwarderFixture(ForwarderOptions options = {}, bool loaded = true);

    /// Loads the configuration and the directory into the forwarder.
    /// `cacheTokens`: KV cache of a target that holds four of the eight layers, in tokens.
    void loadState(std::uint64_t cacheTokens = 500);

    /// Handles an event at the current time.
    std::vector<ForwarderAction> handle(const ForwarderEvent &event);
    /// Advances the time in ticks of 20 ms and returns all actions.
    std::vector<ForwarderAction> advance(Duration time);

    /// Answers the probes among the actions, for all targets but those that the forwarder has found silent, and returns
    /// these actions and those that follow until a tick brings no more probes.
    std::vector<ForwarderAction> answerLivenessProbes(std::vector<ForwarderAction> actions);

    /// Targets of the services `scribe` and `desk`, as loadState() lists them.
    [[nodiscard]] static DirectoryTarget engine(const std::string &id, LayerRange layers);
    [[nodiscard]] static DirectoryTarget plainTarget(const std::string &id);

    /// A request to `path` whose caller waits for 20 s.
    [[nodiscard]] static ForwardRequested request(std::uint64_t id, const std::string &path);

    /// Responses of a target.
    [[nodiscard]] static TargetResponseStarted started(const ForwardToTarget &dispatch, unsigned status = 200);
    [[nodiscard]] static TargetResponseStarted rejected(const ForwardToTarget &dispatch,
                                                        const std::string &atFault = "");
    [[nodiscard]] static TargetResponseData event(const ForwardToTarget &dispatch, std::uint64_t position);
    [[nodiscard]] static TargetResponseCompleted ended(const ForwardToTarget &dispatch);
    [[nodiscard]] static TargetResponseFailed failed(const ForwardToTarget &dispatch, bool sent = true);

    ChainRouter router;
    Forwarder forwarder;
    TimePoint now{1h};
    bool fresh = true;
};

/// The first action of a type; throws if there is none.
template<typename Action>
const Action &only(const std::vector<ForwarderAction> &actions);

/// Whether some action is of that type.
template<typename Action>
bool has(const std::vector<ForwarderAction> &actions)
{
    for (const ForwarderAction &action : actions) {
        if (std::holds_alternative<Action>(action)) {
            return true;
        }
    }
    return false;
}

template<typename Action>
const Action &only(const std::vector<ForwarderAction> &actions)
{
    for (const ForwarderAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return *found;
        }
    }
    throw std::runtime_error("no such action");
}

} // namespace Carawaymill
