#include "standins/KeyValueServerCodec.h"

#include "keyvalue/KeyValueJson.h"
#include "support/Base64.h"

#include <map>

namespace Carawaymill {

static std::string prefixOf(const nlohmann::json &json)
{
    const std::string key = bytesAt(json, "key");
    std::string prefix = key == std::string(1, '\0') ? std::string() : key;
    if (bytesAt(json, "range_end") != endOfPrefix(prefix)) {
        throw KeyValueJsonError{.field = "range_end"};
    }
    return prefix;
}

static KeyValueRequest decodeTransaction(const nlohmann::json &json)
{
    std::map<std::string, Revision> expected;
    for (const nlohmann::json &comparison : arrayAt(json, "compare")) {
        if (comparison.value("target", "") != "MOD" || comparison.value("result", "EQUAL") != "EQUAL") {
            throw KeyValueJsonError{.field = "compare"};
        }
        expected[bytesAt(comparison, "key")] = Revision(integerAt(comparison, "mod_revision"));
    }
    const auto takeExpected = [&](const std::string &key) {
        const auto node = expected.extract(key);
        if (node.empty()) {
            throw KeyValueJsonError{.field = "success"};
        }
        return node.mapped();
    };
    Commit commit;
    for (const nlohmann::json &effect : arrayAt(json, "success")) {
        if (effect.contains("request_put")) {
            const nlohmann::json &put = effect.at("request_put");
            WriteOperation write{.key = bytesAt(put, "key"), .value = bytesAt(put, "value")};
            write.expected = takeExpected(write.key);
            if (const std::uint64_t lease = integerAt(put, "lease"); lease != 0) {
                write.lease = LeaseId(std::to_string(lease));
            }
            commit.operations.emplace_back(std::move(write));
        } else {
            const std::string key = bytesAt(effect.at("request_delete_range"), "key");
            commit.operations.emplace_back(DeleteOperation{.key = key, .expected = takeExpected(key)});
        }
    }
    for (const auto &[key, revision] : expected) {
        commit.operations.emplace_back(CheckOperation{.key = key, .expected = revision});
    }
    return commit;
}

static KeyValueRequest decodeWatch(const HttpRequest &request, const nlohmann::json &json)
{
    const nlohmann::json &create = json.at("create_request");
    const std::uint64_t start = integerAt(create, "start_revision");
    const nlohmann::json headers{{"wait", headerValue(request.headers, watchWaitHeader)}};
    return WatchRange{.prefix = prefixOf(create),
                      .after = Revision(start == 0 ? 0 : start - 1),
                      .wait = std::chrono::milliseconds(integerAt(headers, "wait"))};
}

static LeaseId leaseOf(const nlohmann::json &json)
{
    return LeaseId(std::to_string(integerAt(json, "ID")));
}

static KeyValueRequest decodeBody(const HttpRequest &request, const nlohmann::json &json)
{
    if (request.target == "/v3/kv/range") {
        return ReadRange{.prefix = prefixOf(json)};
    }
    if (request.target == "/v3/kv/txn") {
        return decodeTransaction(json);
    }
    if (request.target == "/v3/watch") {
        return decodeWatch(request, json);
    }
    if (request.target == "/v3/lease/grant") {
        return GrantLease{.timeToLive = std::chrono::seconds(integerAt(json, "TTL"))};
    }
    if (request.target == "/v3/lease/keepalive") {
        return RenewLease{.lease = leaseOf(json)};
    }
    if (request.target == "/v3/lease/revoke") {
        return RevokeLease{.lease = leaseOf(json)};
    }
    throw KeyValueJsonError{.field = request.target};
}

Result<KeyValueRequest, DecodeFailure> decodeKeyValueRequest(const HttpRequest &request)
{
    try {
        return decodeBody(request, nlohmann::json::parse(request.body));
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    } catch (const KeyValueJsonError &error) {
        return DecodeFailure{.field = error.field};
    }
}

static HttpResponse respond(unsigned status, const nlohmann::json &body)
{
    return HttpResponse{
        .status = status, .headers = {{"content-type", "application/json"}}, .body = body.dump() + "\n"};
}

static HttpResponse error(unsigned status, unsigned code, const std::string &message)
{
    return respond(status, {{"code", code}, {"message", message}, {"error", message}});
}

static nlohmann::json recordsToJson(const std::vector<KeyValueRecord> &records)
{
    nlohmann::json json = nlohmann::json::array();
    for (const KeyValueRecord &record : records) {
        json.push_back(recordToJson(record));
    }
    return json;
}

static HttpResponse encodeChanges(const RangeChanged &changed)
{
    nlohmann::json events = nlohmann::json::array();
    for (const KeyValueRecord &record : changed.written) {
        events.push_back({{"kv", recordToJson(record)}});
    }
    for (const std::string &key : changed.deletedKeys) {
        events.push_back({{"type", "DELETE"}, {"kv", {{"key", encodeBase64(key)}}}});
    }
    return respond(200, {{"result", {{"header", headerToJson(changed.storeRevision)}, {"events", events}}}});
}

static HttpResponse encodeConflict(const CommitConflict &conflict)
{
    nlohmann::json responses = nlohmann::json::array();
    for (const KeyValueRecord &record : conflict.currentRecords) {
        responses.push_back({{"response_range", {{"kvs", nlohmann::json::array({recordToJson(record)})}}}});
    }
    return respond(200, {{"header", headerToJson(conflict.storeRevision)}, {"responses", responses}});
}

static std::string wholeSeconds(Duration duration)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

std::optional<HttpResponse> encodeKeyValueResult(const KeyValueRequest &request, const KeyValueResult &result)
{
    using Response = std::optional<HttpResponse>;
    return std::visit(
        Overloaded{
            [](const RangeRead &read) -> Response {
                return respond(200,
                               {{"header", headerToJson(read.storeRevision)},
                                {"kvs", recordsToJson(read.records)},
                                {"count", std::to_string(read.records.size())}});
            },
            [](const RangeChanged &changed) -> Response { return encodeChanges(changed); },
            [](const WatchCompacted &compacted) -> Response {
                return respond(200,
                               {{"result",
                                 {{"header", headerToJson(compacted.storeRevision)},
                                  {"canceled", true},
                                  {"compact_revision", std::to_string(compacted.storeRevision.value())}}}});
            },
            [](const Committed &committed) -> Response {
                return respond(200, {{"header", headerToJson(committed.revision)}, {"succeeded", true}});
            },
            [](const LeaseGranted &granted) -> Response {
                return respond(200, {{"ID", granted.lease.value()}, {"TTL", wholeSeconds(granted.timeToLive)}});
            },
            [&](const LeaseRenewed &renewed) -> Response {
                return respond(200,
                               {{"result",
                                 {{"ID", std::get<RenewLease>(request).lease.value()},
                                  {"TTL", wholeSeconds(renewed.timeToLive)}}}});
            },
            [](const LeaseRevoked &) -> Response {
                return respond(200, {{"header", headerToJson(Revision(0))}});
            },
            [](const CommitConflict &conflict) -> Response { return encodeConflict(conflict); },
            [&](const LeaseNotFound &) -> Response {
                if (const auto *renewal = std::get_if<RenewLease>(&request)) {
                    return respond(200, {{"result", {{"ID", renewal->lease.value()}, {"TTL", "0"}}}});
                }
                return error(404, 5, "etcdserver: requested lease not found");
            },
            [](const ServiceUnavailable &) -> Response { return error(503, 14, "etcdserver: no leader"); },
            [](const OutcomeUnknown &) -> Response { return std::nullopt; },
            [](const ValueTooLarge &) -> Response { return error(400, 3, "etcdserver: request is too large"); },
        },
        result);
}

} // namespace Carawaymill
