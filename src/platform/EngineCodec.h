#pragma once

#include "forwarding/ForwardMessages.h"
#include "http/HttpMessages.h"
#include "node/NodeMessages.h"
#include "placement/EngineOrders.h"

#include <optional>
#include <string>

namespace Carawaymill {

[[nodiscard]] HttpRequest reportRequest();

/// Nothing when the answer can't be read.
[[nodiscard]] std::optional<EngineReport> readReport(const TargetId &target, const HttpResult &result);

/// Where the caller's attempt waits, by the report of the first target on its path.
[[nodiscard]] ProgressReported readProgress(const AskProgress &question, const HttpResult &result);

/// Has the worker hold exactly the layers that the order loads.
[[nodiscard]] HttpRequest orderRequest(const EngineOrder &order);

/// Nothing when the order may or may not have been accepted.
[[nodiscard]] std::optional<EngineOrderReply> readOrderReply(const EngineOrder &order, const HttpResult &result);

} // namespace Carawaymill
