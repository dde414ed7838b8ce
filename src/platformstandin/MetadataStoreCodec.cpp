#include "platformstandin/MetadataStoreCodec.h"

#include "support/Base64.h"
#include "support/Variant.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

namespace Carawaymill {

namespace {

using Query = std::map<std::string, std::string>;

/// A malformed call; `decodeMetadataStoreCall` returns it as a `DecodeFailure`.
struct MalformedCall
{
    std::string field;
};

} // namespace

static std::string percentDecoded(std::string_view text)
{
    static constexpr int hexadecimal = 16;
    std::string decoded;
    while (!text.empty()) {
        unsigned char byte = 0;
        if (text.size() > 2 && text.front() == '%'
            && std::from_chars(text.data() + 1, text.data() + 3, byte, hexadecimal).ptr == text.data() + 3) {
            decoded += static_cast<char>(byte);
            text.remove_prefix(3);
        } else {
            decoded += text.front();
            text.remove_prefix(1);
        }
    }
    return decoded;
}

static Query readQuery(std::string_view text)
{
    Query query;
    while (!text.empty()) {
        const std::string_view field = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(field.size() + 1, text.size()));
        const std::size_t equals = std::min(field.find('='), field.size());
        query[std::string(field.substr(0, equals))] = percentDecoded(field.substr(std::min(equals + 1, field.size())));
    }
    return query;
}

static std::uint64_t numberAt(const Query &query, const std::string &name)
{
    const auto found = query.find(name);
    std::uint64_t number = 0;
    if (found == query.end()
        || std::from_chars(found->second.data(), found->second.data() + found->second.size(), number).ec
               != std::errc()) {
        throw MalformedCall{.field = name};
    }
    return number;
}

static std::string textAt(const Query &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

static MetadataStoreCall decodeTransaction(const nlohmann::json &json, const CurrentRevision &currentRevision)
{
    MetadataStoreCall call;
    std::map<std::string, Revision> expected;
    for (const nlohmann::json &row : json.value("Precondition", nlohmann::json::array())) {
        const auto key = row.at("Key").get<std::string>();
        expected[key] = Revision(row.at("Revision").get<std::uint64_t>());
        call.preconditions.push_back(key);
    }
    const auto takeExpected = [&](const std::string &key) {
        const auto node = expected.extract(key);
        return node.empty() ? currentRevision(key) : node.mapped();
    };
    Commit commit;
    for (const nlohmann::json &item : json.value("Write", nlohmann::json::array())) {
        const auto key = item.at("Key").get<std::string>();
        auto value = decodeBase64(item.at("Value").get<std::string>());
        if (std::holds_alternative<DecodeFailure>(value)) {
            throw MalformedCall{.field = "Value"};
        }
        WriteOperation write{
            .key = key, .value = std::get<std::string>(std::move(value)), .expected = takeExpected(key)};
        if (const auto lease = item.value("LeaseId", std::uint64_t(0)); lease != 0) {
            write.lease = LeaseId(std::to_string(lease));
        }
        commit.operations.emplace_back(std::move(write));
    }
    for (const nlohmann::json &item : json.value("Remove", nlohmann::json::array())) {
        const auto key = item.get<std::string>();
        commit.operations.emplace_back(DeleteOperation{.key = key, .expected = takeExpected(key)});
    }
    for (const auto &[key, revision] : expected) {
        commit.operations.emplace_back(CheckOperation{.key = key, .expected = revision});
    }
    call.request = std::move(commit);
    return call;
}

static MetadataStoreCall decodeCall(const HttpRequest &request, const CurrentRevision &currentRevision)
{
    static const std::string renewalPath = "/v1/kv-keep/";
    static const std::string revocationPath = "/v1/kv-lease-end/";
    const std::size_t queryAt = std::min(request.target.find('?'), request.target.size());
    const std::string path = request.target.substr(0, queryAt);
    const Query query =
        readQuery(std::string_view(request.target).substr(std::min(queryAt + 1, request.target.size())));
    if (path == "/v1/kv-key") {
        return {.request = ReadRange{.prefix = textAt(query, "Key")}, .singleKey = true};
    }
    if (path == "/v1/kv-range") {
        return {.request = ReadRange{.prefix = textAt(query, "Prefix")}, .after = textAt(query, "After")};
    }
    if (path == "/v1/kv-watch") {
        return {.request = WatchRange{.prefix = textAt(query, "Prefix"),
                                      .after = Revision(numberAt(query, "After")),
                                      .wait = std::chrono::milliseconds(numberAt(query, "WaitMs"))}};
    }
    if (path == "/v1/kv-txn") {
        return decodeTransaction(nlohmann::json::parse(request.body), currentRevision);
    }
    if (path == "/v1/kv-lease") {
        const auto json = nlohmann::json::parse(request.body);
        return {.request = GrantLease{.timeToLive = std::chrono::milliseconds(json.at("TtlMs").get<std::int64_t>())}};
    }
    if (path.starts_with(renewalPath)) {
        return {.request = RenewLease{.lease = LeaseId(path.substr(renewalPath.size()))}};
    }
    if (path.starts_with(revocationPath)) {
        return {.request = RevokeLease{.lease = LeaseId(path.substr(revocationPath.size()))}};
    }
    throw MalformedCall{.field = path};
}

Result<MetadataStoreCall, DecodeFailure> decodeMetadataStoreCall(const HttpRequest &request,
                                                                 const CurrentRevision &currentRevision)
{
    try {
        return decodeCall(request, currentRevision);
    } catch (const nlohmann::json::exception &exception) {
        return DecodeFailure{.field = exception.what()};
    } catch (const MalformedCall &malformed) {
        return DecodeFailure{.field = malformed.field};
    }
}

bool writesForeignKeys(const MetadataStoreCall &call)
{
    const auto *commit = std::get_if<Commit>(&call.request);
    if (commit == nullptr) {
        return false;
    }
    return std::ranges::any_of(commit->operations, [](const CommitOperation &operation) {
        const std::string &key =
            std::visit([](const auto &anyOperation) -> const std::string & { return anyOperation.key; }, operation);
        return !std::holds_alternative<CheckOperation>(operation)
               && (key.starts_with("op/") || key.starts_with("servers/"));
    });
}

static HttpResponse respond(unsigned status, const nlohmann::json &body)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

static nlohmann::json encodeRecord(const KeyValueRecord &record)
{
    return {{"Key", record.key},
            {"Value", encodeBase64(record.value)},
            {"Revision", record.revision.value()},
            {"LeaseId", record.lease ? std::stoull(record.lease->value()) : 0}};
}

static std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

static HttpResponse encodeRange(const MetadataStoreCall &call, const RangeRead &read, std::size_t pageSize)
{
    if (call.singleKey) {
        const std::string &key = std::get<ReadRange>(call.request).prefix;
        const auto found = std::ranges::find(read.records, key, &KeyValueRecord::key);
        if (found == read.records.end()) {
            return respond(404, nlohmann::json::object());
        }
        nlohmann::json item = encodeRecord(*found);
        item["At"] = read.storeRevision.value();
        return respond(200, item);
    }
    nlohmann::json entries = nlohmann::json::array();
    bool truncated = false;
    for (const KeyValueRecord &record : read.records) {
        if (record.key <= call.after) {
            continue;
        }
        if (entries.size() == pageSize) {
            truncated = true;
            break;
        }
        entries.push_back(encodeRecord(record));
    }
    return respond(200, {{"Entries", entries}, {"Truncated", truncated}, {"At", read.storeRevision.value()}});
}

static HttpResponse encodeChanges(const RangeChanged &changed)
{
    nlohmann::json events = nlohmann::json::array();
    for (const KeyValueRecord &record : changed.written) {
        events.push_back(encodeRecord(record));
    }
    for (const std::string &key : changed.deletedKeys) {
        events.push_back({{"Key", key}, {"Revision", changed.storeRevision.value()}, {"Deleted", true}});
    }
    return respond(200, {{"events", events}, {"At", changed.storeRevision.value()}});
}

static HttpResponse encodeConflict(const MetadataStoreCall &call, const CommitConflict &conflict)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const std::string &key : call.preconditions) {
        const auto found = std::ranges::find(conflict.currentRecords, key, &KeyValueRecord::key);
        entries.push_back(found == conflict.currentRecords.end() ? nlohmann::json{{"Key", key}, {"Revision", 0}}
                                                                 : encodeRecord(*found));
    }
    return respond(412, {{"Entries", entries}, {"At", conflict.storeRevision.value()}});
}

HttpResponse
encodeMetadataStoreResult(const MetadataStoreCall &call, const KeyValueResult &result, std::size_t pageSize)
{
    const auto empty = [](unsigned status) { return respond(status, nlohmann::json::object()); };
    return std::visit(Overloaded{
                          [&](const RangeRead &read) { return encodeRange(call, read, pageSize); },
                          [](const RangeChanged &changed) { return encodeChanges(changed); },
                          [&](const WatchCompacted &) { return empty(410); },
                          [](const Committed &committed) {
                              return respond(200, {{"Revision", committed.revision.value()}});
                          },
                          [](const LeaseGranted &granted) {
                              return respond(200,
                                             {{"LeaseId", std::stoull(granted.lease.value())},
                                              {"TtlMs", milliseconds(granted.timeToLive)}});
                          },
                          [](const LeaseRenewed &renewed) {
                              return respond(200, {{"TtlMs", milliseconds(renewed.timeToLive)}});
                          },
                          [&](const LeaseRevoked &) { return empty(200); },
                          [&](const CommitConflict &conflict) { return encodeConflict(call, conflict); },
                          [&](const LeaseNotFound &) { return empty(404); },
                          [&](const ServiceUnavailable &) { return empty(503); },
                          [&](const OutcomeUnknown &) { return empty(504); },
                          [&](const ValueTooLarge &) { return empty(413); },
                      },
                      result);
}

} // namespace Carawaymill
