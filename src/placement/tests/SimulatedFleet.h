#pragma once

#include "placement/PlacementController.h"

#include <map>
#include <vector>

namespace Carawaymill {

/// A placement controller, simulated engines that carry out its orders, and a weight store that loads one range of
/// layers per time step.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(std::size_t count, PlacementControllerOptions options = {.scope = scope()})
        : controller(std::move(options))
    {
        for (std::size_t i = 0; i < count; ++i) {
            addTarget();
        }
    }

    static PlacementScope scope() { return placementScope(RegionId("kyushu")); }

    static PlacementDemand demand()
    {
        return {.model = ModelId("glider"), .version = "1", .layers = 12, .bytesPerLayer = ByteCount(100)};
    }

    void addTarget()
    {
        const std::size_t i = targets.size();
        const TargetId id("t" + std::to_string(100 + i));
        targets.push_back({.id = id,
                           .layerMemory = ByteCount(400),
                           .layerTokensPerSecond = 1000,
                           .linkBytesPerSecond = 1e9,
                           .failureDomain = FailureDomainId("d" + std::to_string(i % 3)),
                           .checksFencingNumber = true});
        engines[id] = {.target = id, .freeMemory = ByteCount(400)};
    }

    /// Gives the controller the lease, the targets and the demand.
    void acquireLease(std::uint64_t fencingNumber = 1, Duration leaseFor = std::chrono::hours(10))
    {
        dispatch(PlacementTargetsChanged{targets});
        dispatch(PlacementDemandsChanged{{demand()}});
        dispatch(LeaseAcquired{
            .scope = scope(), .fencingNumber = FencingNumber(fencingNumber), .validUntil = now + leaseFor});
    }

    void loseLease() { dispatch(LeaseLost{.scope = scope()}); }

    void dispatch(const PlacementEvent &event) { perform(controller.handle(event, now)); }

    /// Delivers an order to its engine, whoever sent it.
    EngineOrderReply deliverOrder(const EngineOrder &order)
    {
        EngineOrderReply reply{.number = order.number, .highestFencingNumber = fencingNumberSeenByEngines};
        EngineState &engine = engines.at(order.target);
        if (fencingNumberSeenByEngines > order.fencingNumber) {
            reply.outcome = EngineOrderOutcome::OldFencingNumber;
            return reply;
        }
        if (engine.ordersAccepted && order.ordersAccepted && *engine.ordersAccepted != *order.ordersAccepted) {
            reply.outcome = EngineOrderOutcome::StateDiffers;
            return reply;
        }
        if (engine.ordersAccepted) {
            *engine.ordersAccepted += 1;
        }
        for (const ModelLayers &unload : order.unloads) {
            std::erase(engine.held, unload);
        }
        engine.loading.insert(engine.loading.end(), order.loads.begin(), order.loads.end());
        return reply;
    }

    /// Makes the engines count their orders and ignore fencing numbers.
    void countOrders()
    {
        for (PlacementTarget &target : targets) {
            target.checksFencingNumber = false;
            engines.at(target.id).ordersAccepted = 0;
        }
    }

    void run(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end; now += step) {
            dispatch(Tick());
            loadNext();
        }
    }

    /// Removes a failure domain from the list.
    void removeDomain(const FailureDomainId &domain)
    {
        std::erase_if(targets, [&](const PlacementTarget &target) { return target.failureDomain == domain; });
        dispatch(PlacementTargetsChanged{targets});
    }

    /// Number of listed targets that hold each layer.
    [[nodiscard]] std::vector<int> holders() const
    {
        std::vector<int> counts(demand().layers);
        for (const PlacementTarget &target : targets) {
            for (const ModelLayers &held : engines.at(target.id).held) {
                for (auto layer = held.layers.first.value(); layer < held.layers.end.value(); ++layer) {
                    ++counts[layer];
                }
            }
        }
        return counts;
    }

    PlacementController controller;
    std::vector<PlacementTarget> targets;
    std::map<TargetId, EngineState> engines;
    std::vector<SendEngineOrder> orders;
    std::vector<PlanChanged> plans;
    std::size_t superseded = 0;
    std::size_t reads = 0;
    TimePoint now{};
    bool respondToOrders = true;
    bool weightStoreUp = true;
    /// Highest fencing number that the engines have seen; 0 if they do not check it.
    FencingNumber fencingNumberSeenByEngines;

private:
    static constexpr Duration step = std::chrono::milliseconds(100);

    void perform(const std::vector<PlacementAction> &actions)
    {
        for (const PlacementAction &action : actions) {
            std::visit(Overloaded{[&](const ReadEngineState &read) {
                                      ++reads;
                                      m_responses.push_back(EngineStateRead{engines.at(read.target)});
                                  },
                                  [&](const SendEngineOrder &send) { performOrder(send); },
                                  [&](const PlanChanged &changed) { plans.push_back(changed); },
                                  [&](const HolderSuperseded &) { ++superseded; }},
                       action);
        }
        std::vector<PlacementEvent> events;
        events.swap(m_responses);
        for (const PlacementEvent &event : events) {
            dispatch(event);
        }
    }

    void performOrder(const SendEngineOrder &send)
    {
        orders.push_back(send);
        if (respondToOrders) {
            m_responses.push_back(EngineOrderAnswered{.target = send.order.target, .reply = deliverOrder(send.order)});
        }
    }

    void loadNext()
    {
        for (auto &[id, engine] : engines) {
            if (weightStoreUp && !engine.loading.empty()) {
                engine.held.push_back(engine.loading.front());
                engine.loading.erase(engine.loading.begin());
                return;
            }
        }
    }

    std::vector<PlacementEvent> m_responses;
};

} // namespace Carawaymill
