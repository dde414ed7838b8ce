#include "platform/CallerCodec.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Carawaymill {

static constexpr const char *attemptHeader = "X-Attempt-Id";
/// Time left for the request, in milliseconds.
static constexpr const char *deadlineHeader = "X-Deadline-Ms";
static constexpr const char *organisationHeader = "X-Tenant";
static constexpr const char *expectedTargetHeader = "X-Expect-Instance";
static constexpr const char *expectedVersionHeader = "X-Expect-Version";
/// The targets on the path with their layers. The header's name wrongly suggests a number of hops.
static constexpr const char *pathHeader = "X-Hop-Count";
static constexpr const char *urgencyHeader = "X-Request-Urgency";
/// Position in a stream after which the response continues.
static constexpr const char *resumeHeader = "Last-Event-Id";
/// Number of prompt tokens and maximum number of completion tokens, separated by a comma.
static constexpr const char *tokenCountsHeader = "X-Token-Counts";
/// The parts of the prompt in order, as comma-separated `id:tokens`. The last one belongs to the request or its
/// session.
static constexpr const char *promptPartsHeader = "X-Prefix-Hash";
/// The caller's estimate of the number of completion tokens.
static constexpr const char *lengthHintHeader = "X-Length-Hint";
/// Set by a target that did not run the request.
static constexpr const char *notRunHeader = "X-Not-Executed";
/// The target's signature of the response body.
static constexpr const char *signatureHeader = "X-Server-Seal";
/// Address of the target on the path that caused the failure.
static constexpr const char *failedTargetHeader = "At-Server";

/// Set in every response of a target that is about to leave.
static constexpr const char *leavingHeader = "Server-Leaving";
/// Set by a target that rejects a request: the seconds, possibly with a fraction, for which it wants no requests.
static constexpr const char *restHeader = "Retry-After";
/// Set in every response of a target that limits its requests: how many a second it takes from all hosts together, a
/// decimal number.
static constexpr const char *requestLimitHeader = "Server-Limit";

static constexpr unsigned statusMisdirected = 421;
static constexpr unsigned statusUnavailable = 503;
/// Longer rests are not believed.
static constexpr double longestRestSeconds = 3600;
/// Requests per second; no target takes more, so that a higher limit is none.
static constexpr double highestRequestLimit = 1e6;

static std::optional<std::uint64_t> readNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

/// Reads a number from 0 to `highest` that may have a fraction.
static std::optional<double> readDecimal(const std::string &text, double highest)
{
    double number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isRead = failure == std::errc() && end == text.data() + text.size();
    return isRead && number >= 0 && number <= highest ? std::optional(number) : std::nullopt;
}

/// Reads a number of seconds that may have a fraction.
static std::optional<Duration> readSeconds(const std::string &text)
{
    const auto seconds = readDecimal(text, longestRestSeconds);
    return seconds ? std::optional(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*seconds)))
                   : std::nullopt;
}

/// Whether the header applies to a single connection and must not be forwarded. `connection` is the value of the
/// `Connection` header.
static bool isConnectionHeader(std::string_view name, const std::string &connection)
{
    static constexpr std::array<std::string_view, 10> names = {"Connection",
                                                               "Content-Length",
                                                               "Expect",
                                                               "Keep-Alive",
                                                               "Proxy-Authorization",
                                                               "Proxy-Connection",
                                                               "TE",
                                                               "Trailer",
                                                               "Transfer-Encoding",
                                                               "Upgrade"};
    if (std::ranges::any_of(names, [&](std::string_view known) { return sameHeaderName(known, name); })) {
        return true;
    }
    // The `Connection` header lists further headers that apply to this connection only.
    std::string_view rest = connection;
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        std::string_view listed = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        listed.remove_prefix(std::min(listed.find_first_not_of(' '), listed.size()));
        listed = listed.substr(0, listed.find_last_not_of(' ') + 1);
        if (sameHeaderName(listed, name)) {
            return true;
        }
    }
    return false;
}

/// Whether a caller's header is not forwarded, because the router sets its own value or does not pass it to targets.
static bool isReplacedHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 8> names = {"Authorization",
                                                              deadlineHeader,
                                                              organisationHeader,
                                                              expectedTargetHeader,
                                                              expectedVersionHeader,
                                                              pathHeader,
                                                              urgencyHeader,
                                                              resumeHeader};
    return std::ranges::any_of(names, [&](std::string_view known) { return sameHeaderName(known, name); });
}

static void removeConnectionHeaders(HttpHeaders &headers)
{
    const std::string connection = headerValue(headers, "Connection");
    std::erase_if(headers, [&](const auto &header) { return isConnectionHeader(header.first, connection); });
}

/// The ids of all parts but the last.
static std::vector<std::string> readSharedParts(std::string_view value)
{
    std::vector<std::string> parts;
    for (std::size_t comma = value.find(','); comma != std::string_view::npos; comma = value.find(',')) {
        std::string_view id = value.substr(0, std::min(comma, value.find(':')));
        id.remove_prefix(std::min(id.find_first_not_of(' '), id.size()));
        parts.emplace_back(id);
        value.remove_prefix(comma + 1);
    }
    return parts;
}

static std::optional<std::string> bearerKey(const HttpHeaders &headers)
{
    static constexpr std::string_view scheme = "Bearer ";
    const std::string value = headerValue(headers, "Authorization");
    if (value.size() <= scheme.size() || !sameHeaderName(value.substr(0, scheme.size()), scheme)) {
        return std::nullopt;
    }
    return value.substr(scheme.size());
}

ForwardRequest readForwardRequest(HttpRequest request)
{
    const HttpHeaders &headers = request.headers;
    ForwardRequest read{.attempt = headerValue(headers, attemptHeader),
                        .host = headerValue(headers, "Host"),
                        .path = request.target.substr(0, request.target.find('?')),
                        .key = bearerKey(headers)};
    read.host = read.host.substr(0, read.host.find(':'));
    if (const auto left = readNumber(headerValue(headers, deadlineHeader))) {
        read.timeLeft = std::chrono::milliseconds(*left);
    }
    if (const auto position = readNumber(headerValue(headers, resumeHeader))) {
        read.resumeAfter = StreamPosition(*position);
    }
    const std::string tokens = headerValue(headers, tokenCountsHeader);
    if (const auto comma = tokens.find(','); comma != std::string::npos) {
        read.promptTokens = TokenCount(readNumber(std::string_view(tokens).substr(0, comma)).value_or(0));
        read.expectedTokens = TokenCount(readNumber(std::string_view(tokens).substr(comma + 1)).value_or(0));
    }
    if (const auto length = readNumber(headerValue(headers, lengthHintHeader))) {
        read.expectedTokens = TokenCount(*length);
    }
    read.sharedParts = readSharedParts(headerValue(headers, promptPartsHeader));
    removeConnectionHeaders(request.headers);
    std::erase_if(request.headers, [](const auto &header) { return isReplacedHeader(header.first); });
    read.http = std::move(request);
    return read;
}

static unsigned statusOf(const RefuseCaller &refusal)
{
    switch (refusal.reason) {
    case ForwardFailure::NoRoute:
        return 404;
    case ForwardFailure::KeyUnknown:
        return 401;
    case ForwardFailure::TimeoutReached:
        return refusal.mayHaveRun ? 504 : 503;
    default:
        return refusal.mayHaveRun ? 502 : 503;
    }
}

HttpResponse refusalResponse(const RefuseCaller &refusal)
{
    HttpResponse response{.status = statusOf(refusal), .headers = {}, .body = {}};
    if (refusal.retryAfter) {
        // Callers of this platform accept fractions of a second in Retry-After.
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(*refusal.retryAfter).count();
        std::string fraction = std::to_string(milliseconds % 1000);
        fraction.insert(0, 3 - fraction.size(), '0');
        response.headers.emplace_back("Retry-After", std::to_string(milliseconds / 1000) + '.' + fraction);
    }
    return response;
}

/// Encodes a path as `address=first-end,...`; `end` is one past the last layer.
static std::string pathValue(const std::vector<PathStage> &path)
{
    std::string value;
    for (const PathStage &stage : path) {
        if (!value.empty()) {
            value += ',';
        }
        value += stage.address + '=' + std::to_string(stage.layers.first.value()) + '-'
                 + std::to_string(stage.layers.end.value());
    }
    return value;
}

HttpRequest targetRequest(const ForwardToTarget &dispatch)
{
    HttpRequest request = dispatch.request->http;
    request.headers.emplace_back(expectedTargetHeader, dispatch.target.value());
    if (dispatch.timeLeft) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*dispatch.timeLeft).count();
        request.headers.emplace_back(deadlineHeader, std::to_string(std::max<std::int64_t>(left, 1)));
    }
    if (dispatch.organisation) {
        request.headers.emplace_back(organisationHeader, dispatch.organisation->value());
    }
    if (dispatch.resumeAfter) {
        request.headers.emplace_back(resumeHeader, std::to_string(dispatch.resumeAfter->value()));
    }
    if (dispatch.urgency) {
        request.headers.emplace_back(urgencyHeader, std::to_string(*dispatch.urgency));
    }
    if (!dispatch.path.empty()) {
        request.headers.emplace_back(pathHeader, pathValue(dispatch.path));
    }
    return request;
}

HttpEcho targetEcho(const ForwardRequest &request)
{
    return {.name = attemptHeader, .value = request.attempt};
}

TargetResponseStarted readResponseHead(RequestId id, AttemptNumber attempt, HttpResponseHead head)
{
    TargetResponseStarted started{.id = id, .attempt = attempt, .head = std::move(head)};
    HttpHeaders &headers = started.head.headers;
    started.misdirected = started.head.status == statusMisdirected;
    started.notRun = started.misdirected || !headerValue(headers, notRunHeader).empty();
    // A body with a content encoding is not the body that the target signed.
    started.sealed = !headerValue(headers, signatureHeader).empty() && headerValue(headers, "Content-Encoding").empty();
    started.leaving = !headerValue(headers, leavingHeader).empty();
    if (started.head.status == statusUnavailable) {
        started.restFor = readSeconds(headerValue(headers, restHeader));
    }
    started.requestsPerSecond = readDecimal(headerValue(headers, requestLimitHeader), highestRequestLimit);
    if (std::string address = headerValue(headers, failedTargetHeader); !address.empty()) {
        started.addressAtFault = std::move(address);
    }
    removeConnectionHeaders(headers);
    return started;
}

} // namespace Carawaymill
