#pragma once

#include "forwarding/RouteExplanation.h"
#include "http/HttpMessages.h"

#include <functional>

/// The query `GET /administration/v1/explain-route`, as HTTP.
namespace Carawaymill {

/// Whether the request is such a query.
[[nodiscard]] bool isRouteQuestion(const HttpRequest &request);

/// The response of `host` to the query with this target (path and query parameters). `explain` is called if it can be
/// read.
[[nodiscard]] HttpResponse
respondToRouteQuestion(const std::string &target,
                       const HostId &host,
                       const std::function<RouteExplanationResult(const RouteQuestion &)> &explain);

} // namespace Carawaymill
