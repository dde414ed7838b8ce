#pragma once

#include "forwarding/RoutingConfiguration.h"
#include "http/HttpServer.h"
#include "support/Identifiers.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Carawaymill {

/// Number of events in each stream of a stand-in.
using EventCount = std::uint64_t;

/// What an engine has besides a plain service.
struct EngineStandInProfile
{
    std::string acceleratorKind;
    /// Layers that the engine holds at its start.
    LayerRange layers;
};

struct TargetStandInOptions
{
    TargetId id;
    ServiceId service;
    FailureDomainId failureDomain;
    std::uint32_t concurrency = 64;
    /// Streams instead of complete responses.
    bool streams = false;
    EventCount eventsPerStream = 20;
    /// Time from a request to its response, and between two events of a stream.
    Duration pace = 50ms;
    std::optional<EngineStandInProfile> engine = std::nullopt;
    /// Requests to this path crash the target as soon as it would answer them; empty if none does.
    std::string crashingPath = {};
};

/// A request that a target stand-in received, whether it ran it or not.
struct TargetArrival
{
    /// The caller's attempt id.
    std::string attempt;
    TimePoint at;
    bool ran = false;
    /// Time that the request leaves for its response, if it states one.
    std::optional<Duration> timeLeft = std::nullopt;
};

/// Stand-in for a target of the platform, on a free port of 127.0.0.1: a plain service, or an engine that serves
/// requests as the first target of their path without handing anything on.
class TargetStandIn
{
public:
    TargetStandIn(boost::asio::io_context &context, TargetStandInOptions options);

    /// IP address and port.
    [[nodiscard]] std::string address() const;

    [[nodiscard]] const TargetStandInOptions &options() const { return m_options; }

    /// Requests of callers, in the order in which they arrived.
    [[nodiscard]] const std::vector<TargetArrival> &arrivals() const { return m_arrivals; }

    /// The target's record in the directory.
    [[nodiscard]] nlohmann::json record() const;

    /// Whether an order has changed the record since the last call.
    [[nodiscard]] bool takeRecordChange() { return std::exchange(m_recordChanged, false); }

    /// Answers what is due.
    void tick(TimePoint now);

    /// Whether the target has crashed: its connections are closed and it accepts no more.
    [[nodiscard]] bool hasCrashed() const { return m_server == nullptr; }

    /// Sends nothing on any connection until `time`; connections stay open and requests wait.
    void beSilentUntil(TimePoint time) { m_silentUntil = time; }

    /// States in all answers from now on that it leaves; its record stays as it is.
    void leave() { m_leaving = true; }

    /// Rejects requests until `time` and states the time left in `Retry-After`.
    void restUntil(TimePoint time) { m_restUntil = time; }

    /// States in all answers from now on how many requests a second it takes from all hosts together; std::nullopt
    /// ends that.
    void limitRequests(std::optional<double> perSecond) { m_requestsPerSecond = perSecond; }

private:
    struct PendingRequest
    {
        HttpRequest request;
        std::unique_ptr<HttpResponder> responder;
    };

    struct Run
    {
        std::unique_ptr<HttpResponder> responder;
        std::string attempt;
        TimePoint nextAt;
        bool crashes = false;
        /// Id of the next event.
        EventCount next = 0;
    };

    void take(HttpRequest request, std::unique_ptr<HttpResponder> responder);
    void handle(PendingRequest &pending, TimePoint now);
    void handleCall(PendingRequest &pending, TimePoint now);
    void handleOrder(PendingRequest &pending);
    /// Writes what is due of a run; true once the run has ended.
    [[nodiscard]] bool advance(Run &run, TimePoint now) const;
    void crash();
    [[nodiscard]] HttpResponse responseHead(unsigned status, const std::string &attempt) const;
    [[nodiscard]] HttpResponse notRun(unsigned status, const std::string &attempt) const;
    [[nodiscard]] nlohmann::json report() const;
    [[nodiscard]] nlohmann::json heldLayers() const;
    /// Whether the first part of a path, such as `127.0.0.1:80=0-4,...`, is this target with layers that it holds.
    [[nodiscard]] bool servesPath(const std::string &path) const;

    TargetStandInOptions m_options;
    std::uint64_t m_born;
    LayerRange m_held;
    std::uint64_t m_ordersAccepted = 0;
    std::uint64_t m_highestFencingNumber = 0;
    bool m_recordChanged = false;
    bool m_leaving = false;
    TimePoint m_silentUntil{};
    TimePoint m_restUntil{};
    std::optional<double> m_requestsPerSecond;
    std::vector<TargetArrival> m_arrivals;
    std::vector<PendingRequest> m_pending;
    std::vector<Run> m_runs;
    /// Null once the target has crashed.
    std::unique_ptr<HttpServer> m_server;
    std::string m_address;
};

} // namespace Carawaymill
