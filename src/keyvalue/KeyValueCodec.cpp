#include "keyvalue/KeyValueCodec.h"

#include "keyvalue/KeyValueJson.h"
#include "support/Base64.h"

#include <algorithm>

namespace Carawaymill {

/// Error codes (gRPC status codes) that the gateway returns and that are handled here.
static constexpr std::uint64_t codeInvalidArgument = 3;
static constexpr std::uint64_t codeNotFound = 5;
static constexpr std::uint64_t codeResourceExhausted = 8;

/// Messages of errors that are returned before an operation can have taken effect. After errors that are not listed
/// here, the outcome of a write is unknown.
static constexpr const char *messageNoLeader = "etcdserver: no leader";
static constexpr const char *messageTooLarge = "etcdserver: request is too large";

static constexpr unsigned statusOk = 200;

static HttpRequest postRequest(const std::string &target, const nlohmann::json &body)
{
    return HttpRequest{
        .method = "POST", .target = target, .headers = {{"content-type", "application/json"}}, .body = body.dump()};
}

static nlohmann::json encodeRange(const std::string &prefix)
{
    // The key-value service rejects an empty key. The lowest possible key, a single zero byte, selects from the first
    // key on.
    const std::string first = prefix.empty() ? std::string(1, '\0') : prefix;
    return {{"key", encodeBase64(first)}, {"range_end", encodeBase64(endOfPrefix(prefix))}};
}

static nlohmann::json encodeComparison(const std::string &key, Revision expected)
{
    return {{"result", "EQUAL"},
            {"target", "MOD"},
            {"key", encodeBase64(key)},
            {"mod_revision", std::to_string(expected.value())}};
}

static nlohmann::json encodeWrite(const WriteOperation &write)
{
    nlohmann::json put{{"key", encodeBase64(write.key)}, {"value", encodeBase64(write.value)}};
    if (write.lease) {
        put["lease"] = write.lease->value();
    }
    return {{"request_put", put}};
}

static HttpRequest encodeCommit(const Commit &commit)
{
    nlohmann::json compare = nlohmann::json::array();
    nlohmann::json success = nlohmann::json::array();
    nlohmann::json failure = nlohmann::json::array();
    for (const CommitOperation &operation : commit.operations) {
        std::visit(
            [&](const auto &anyOperation) {
                compare.push_back(encodeComparison(anyOperation.key, anyOperation.expected));
                failure.push_back({{"request_range", {{"key", encodeBase64(anyOperation.key)}}}});
            },
            operation);
        if (const auto *write = std::get_if<WriteOperation>(&operation)) {
            success.push_back(encodeWrite(*write));
        } else if (const auto *deletion = std::get_if<DeleteOperation>(&operation)) {
            success.push_back({{"request_delete_range", {{"key", encodeBase64(deletion->key)}}}});
        }
    }
    return postRequest("/v3/kv/txn", {{"compare", compare}, {"success", success}, {"failure", failure}});
}

static HttpRequest encodeWatch(const WatchRange &watch)
{
    nlohmann::json create = encodeRange(watch.prefix);
    create["start_revision"] = std::to_string(watch.after.next().value());
    HttpRequest request = postRequest("/v3/watch", {{"create_request", create}});
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(watch.wait);
    request.headers.emplace_back(watchWaitHeader, std::to_string(wait.count()));
    return request;
}

HttpRequest encodeKeyValueRequest(const KeyValueRequest &request)
{
    return std::visit(Overloaded{
                          [](const ReadRange &read) { return postRequest("/v3/kv/range", encodeRange(read.prefix)); },
                          [](const WatchRange &watch) { return encodeWatch(watch); },
                          [](const Commit &commit) { return encodeCommit(commit); },
                          [](const GrantLease &grant) {
                              // The key-value service uses full seconds. Rounding up lets a lease last longer than
                              // requested, but never shorter.
                              const auto seconds = std::chrono::ceil<std::chrono::seconds>(grant.timeToLive);
                              return postRequest("/v3/lease/grant", {{"TTL", std::to_string(seconds.count())}});
                          },
                          [](const RenewLease &renewal) {
                              return postRequest("/v3/lease/keepalive", {{"ID", renewal.lease.value()}});
                          },
                          [](const RevokeLease &revocation) {
                              return postRequest("/v3/lease/revoke", {{"ID", revocation.lease.value()}});
                          },
                      },
                      request);
}

bool isKeyValueWrite(const KeyValueRequest &request)
{
    return !std::holds_alternative<ReadRange>(request) && !std::holds_alternative<WatchRange>(request);
}

KeyValueResult resultWithoutResponse(const KeyValueRequest &request)
{
    if (isKeyValueWrite(request)) {
        return OutcomeUnknown{};
    }
    return ServiceUnavailable{};
}

static RangeRead decodeRange(const nlohmann::json &json)
{
    RangeRead read{.records = {}, .storeRevision = revisionOfHeader(json)};
    for (const nlohmann::json &record : arrayAt(json, "kvs")) {
        read.records.push_back(recordFromJson(record));
    }
    return read;
}

static KeyValueResult decodeTransaction(const nlohmann::json &json)
{
    const Revision revision = revisionOfHeader(json);
    if (json.value("succeeded", false)) {
        return Committed{.revision = revision};
    }
    CommitConflict conflict{.currentRecords = {}, .storeRevision = revision};
    for (const nlohmann::json &response : arrayAt(json, "responses")) {
        for (const nlohmann::json &record : arrayAt(response.at("response_range"), "kvs")) {
            conflict.currentRecords.push_back(recordFromJson(record));
        }
    }
    return conflict;
}

void mergeChange(RangeChanged &changes, KeyValueRecord record, bool deleted)
{
    std::erase_if(changes.written, [&](const KeyValueRecord &older) { return older.key == record.key; });
    std::erase(changes.deletedKeys, record.key);
    if (deleted) {
        changes.deletedKeys.push_back(std::move(record.key));
    } else {
        changes.written.push_back(std::move(record));
    }
}

/// The response to a watch is a stream of JSON documents, one per line, each with a `result`.
static KeyValueResult decodeWatch(const WatchRange &watch, const std::string &body)
{
    RangeChanged changed{.written = {}, .deletedKeys = {}, .storeRevision = watch.after};
    std::size_t start = 0;
    while (start < body.size()) {
        const std::size_t end = std::min(body.find('\n', start), body.size());
        const std::string line = body.substr(start, end - start);
        start = end + 1;
        if (line.empty()) {
            continue;
        }
        const nlohmann::json result = nlohmann::json::parse(line).at("result");
        if (integerAt(result, "compact_revision") != 0) {
            return WatchCompacted{.storeRevision = revisionOfHeader(result)};
        }
        if (result.value("canceled", false)) {
            return ServiceUnavailable{};
        }
        if (result.value("created", false)) {
            continue;
        }
        for (const nlohmann::json &event : arrayAt(result, "events")) {
            mergeChange(changed, recordFromJson(event.at("kv")), event.value("type", "PUT") == "DELETE");
        }
        changed.storeRevision = std::max(changed.storeRevision, revisionOfHeader(result));
    }
    return changed;
}

static KeyValueResult decodeRenewal(const nlohmann::json &json)
{
    // For the renewal of an expired lease, the key-value service returns a time to live of zero.
    const std::uint64_t seconds = integerAt(json.at("result"), "TTL");
    if (seconds == 0) {
        return LeaseNotFound{};
    }
    return LeaseRenewed{.timeToLive = std::chrono::seconds(seconds)};
}

static KeyValueResult decodeGrant(const nlohmann::json &json)
{
    const std::uint64_t id = integerAt(json, "ID");
    const std::uint64_t seconds = integerAt(json, "TTL");
    if (id == 0 || seconds == 0) {
        throw KeyValueJsonError{.field = "ID"};
    }
    return LeaseGranted{.lease = LeaseId(std::to_string(id)), .timeToLive = std::chrono::seconds(seconds)};
}

static KeyValueResult decodeSuccess(const KeyValueRequest &request, const std::string &body)
{
    return std::visit(Overloaded{
                          [&](const ReadRange &) -> KeyValueResult { return decodeRange(nlohmann::json::parse(body)); },
                          [&](const WatchRange &watch) { return decodeWatch(watch, body); },
                          [&](const Commit &) { return decodeTransaction(nlohmann::json::parse(body)); },
                          [&](const GrantLease &) { return decodeGrant(nlohmann::json::parse(body)); },
                          [&](const RenewLease &) { return decodeRenewal(nlohmann::json::parse(body)); },
                          [&](const RevokeLease &) -> KeyValueResult {
                              static_cast<void>(revisionOfHeader(nlohmann::json::parse(body)));
                              return LeaseRevoked{};
                          },
                      },
                      request);
}

static KeyValueResult decodeError(const KeyValueRequest &request, const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body);
    const std::uint64_t code = integerAt(json, "code");
    const std::string message = json.value("message", "");
    if (code == codeNotFound) {
        return LeaseNotFound{};
    }
    if (code == codeInvalidArgument && message == messageTooLarge) {
        return ValueTooLarge{};
    }
    if (code == codeResourceExhausted || message == messageNoLeader) {
        return ServiceUnavailable{};
    }
    return resultWithoutResponse(request);
}

KeyValueResult decodeKeyValueResponse(const KeyValueRequest &request, const HttpResult &response)
{
    if (std::holds_alternative<HttpNotSent>(response)) {
        return ServiceUnavailable{};
    }
    const auto *httpResponse = std::get_if<HttpResponse>(&response);
    if (httpResponse == nullptr) {
        return resultWithoutResponse(request);
    }
    try {
        return httpResponse->status == statusOk ? decodeSuccess(request, httpResponse->body)
                                                : decodeError(request, httpResponse->body);
    } catch (const nlohmann::json::exception &) {
        return resultWithoutResponse(request);
    } catch (const KeyValueJsonError &) {
        return resultWithoutResponse(request);
    }
}

KeyValueProtocol etcdGatewayProtocol()
{
    return {
        .encode = [](const KeyValueRequest &request, const std::string &) { return encodeKeyValueRequest(request); },
        .decode = decodeKeyValueResponse,
        .era = {}};
}

} // namespace Carawaymill
