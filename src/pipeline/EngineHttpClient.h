#pragma once

#include "pipeline/EngineMessages.h"
#include "placement/EngineOrders.h"
#include "routing/RoutingMessages.h"

#include <functional>
#include <optional>
#include <string>

namespace Carawaymill {

class HttpClient;

/// What an engine says of itself, or why it said nothing.
struct EngineSelfReport
{
    EngineState state;
    LoadReport load;
};

using EngineSelfReportResult = Result<EngineSelfReport, EngineNotSent, EngineNoAnswer>;

/// Speaks the engines' wire format, JSON over HTTP, which nothing else in the system knows.
///
/// Each call is sent at most once and calls back exactly once.
class EngineHttpClient
{
public:
    explicit EngineHttpClient(HttpClient &client)
        : m_client(client)
    {
    }

    void runStep(const std::string &address,
                 const StepRequest &step,
                 Duration timeout,
                 std::function<void(StepResult)> callback);
    void askStream(const std::string &address,
                   const StreamId &stream,
                   Duration timeout,
                   std::function<void(StreamStatusResult)> callback);
    void dropStream(const std::string &address, const StreamId &stream);
    void report(const std::string &address, Duration timeout, std::function<void(EngineSelfReportResult)> callback);
    /// Nothing when the order may or may not have arrived.
    void order(const std::string &address,
               const EngineOrder &order,
               std::function<void(std::optional<EngineOrderReply>)> callback);

private:
    HttpClient &m_client;
};

void to_json(nlohmann::json &json, const EngineSelfReport &report);
void from_json(const nlohmann::json &json, EngineSelfReport &report);

} // namespace Carawaymill
