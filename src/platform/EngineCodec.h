#pragma once

#include "forwarding/ForwardMessages.h"
#include "http/HttpMessages.h"
#include "node/NodeMessages.h"
#include "placement/EngineOrders.h"

#include <optional>
#include <string>

namespace Carawaymill {

[[nodiscard]] HttpRequest reportRequest();

/// Returns std::nullopt if there is no response, its status is not 200, or its body is malformed.
[[nodiscard]] std::optional<EngineReport> readReport(const TargetId &target, const HttpResult &result);

/// How much slower than usual the target says in its report that it runs; 1 if the report does not say. Returns
/// std::nullopt if it cannot be read.
[[nodiscard]] std::optional<double> readPace(const HttpResult &result);

/// Reads from the report of the first target on a request's path which target blocks the request. `answered` stays
/// false if the report cannot be read.
[[nodiscard]] ProgressReported readProgress(const QueryProgress &query, const HttpResult &result);

/// Encodes an order. A worker that has executed the order holds exactly the layers that the order loads.
[[nodiscard]] HttpRequest orderRequest(const EngineOrder &order);

/// Returns std::nullopt if it is unknown whether the worker accepted the order.
[[nodiscard]] std::optional<EngineOrderReply> readOrderReply(const EngineOrder &order, const HttpResult &result);

} // namespace Carawaymill
