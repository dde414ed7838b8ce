#pragma once

#include "enginestandin/EngineCore.h"
#include "http/HttpMessages.h"
#include "http/HttpResponder.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Carawaymill {

/// Troubles that a test or an operator of the demonstration can switch on, by `POST /faults`.
struct EngineServerFaults
{
    /// The next so many answers to steps are never given, although the steps run.
    std::uint32_t loseAnswers = 0;
    /// Every answer to a step is given so much later.
    Duration answerDelay{};
    /// Takes requests and never answers any.
    bool frozen = false;
};

/// The engine stand-in's wire format over HTTP, apart from sockets and timers.
class EngineServer
{
public:
    EngineServer(EngineCoreOptions options, std::function<void(Duration, std::function<void()>)> after);

    void handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, TimePoint now);
    /// Runs what is due; to be called at `nextWake`.
    void advance(TimePoint now);

    [[nodiscard]] std::optional<TimePoint> nextWake() const { return m_core.nextWake(); }

    [[nodiscard]] bool crashed() const { return m_core.crashed(); }

private:
    void handleStep(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, TimePoint now);
    void handleStream(const HttpRequest &request, HttpResponder &responder);
    void handleOrder(const HttpRequest &request, HttpResponder &responder, TimePoint now);
    void handleFaults(const HttpRequest &request, HttpResponder &responder);
    void answer(std::unique_ptr<HttpResponder> responder, const StepDone &done);

    EngineCore m_core;
    /// Calls back after a time; given by the driver.
    std::function<void(Duration, std::function<void()>)> m_after;
    EngineServerFaults m_faults;
    std::map<std::uint64_t, std::unique_ptr<HttpResponder>> m_waiting;
    /// Requests that a fault leaves unanswered; kept so that their connections stay open.
    std::vector<std::unique_ptr<HttpResponder>> m_unanswered;
};

} // namespace Carawaymill
