#include "platform/MetadataStoreProtocol.h"

#include "http/JsonRequest.h"
#include "http/PercentEncoding.h"
#include "keyvalue/KeyValueCodec.h"
#include "support/Base64.h"
#include "support/Codec.h"

#include <algorithm>
#include <charconv>

namespace Carawaymill {

static constexpr unsigned statusOk = 200;
static constexpr unsigned statusNotFound = 404;
static constexpr unsigned statusGone = 410;
static constexpr unsigned statusPreconditionFailed = 412;
static constexpr unsigned statusTooLarge = 413;
static constexpr unsigned statusTooManyRequests = 429;
static constexpr unsigned statusUnavailable = 503;

static std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

static HttpRequest getRequest(const std::string &target)
{
    return {.method = "GET", .target = target, .headers = {}, .body = {}};
}

/// The store identifies leases by number; 0 means no lease.
static std::uint64_t leaseNumber(const std::optional<LeaseId> &lease)
{
    std::uint64_t number = 0;
    if (lease) {
        const std::string &text = lease->value();
        (void)std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

static HttpRequest encodeCommit(const Commit &commit)
{
    nlohmann::json preconditions = nlohmann::json::array();
    nlohmann::json writes = nlohmann::json::array();
    nlohmann::json removals = nlohmann::json::array();
    for (const CommitOperation &operation : commit.operations) {
        std::visit(
            [&](const auto &anyOperation) {
                preconditions.push_back({{"Key", anyOperation.key}, {"Revision", anyOperation.expected.value()}});
            },
            operation);
        if (const auto *write = std::get_if<WriteOperation>(&operation)) {
            writes.push_back(
                {{"Key", write->key}, {"Value", encodeBase64(write->value)}, {"LeaseId", leaseNumber(write->lease)}});
        } else if (const auto *deletion = std::get_if<DeleteOperation>(&operation)) {
            removals.push_back(deletion->key);
        }
    }
    return jsonRequest(
        "POST", "/v1/kv-txn", {{"Precondition", preconditions}, {"Write", writes}, {"Remove", removals}});
}

/// `after` is the last key of the previous page; empty for the first page.
static HttpRequest encodeCall(const KeyValueRequest &request, const std::string &after)
{
    return std::visit(
        Overloaded{[&](const ReadRange &read) {
                       std::string target = "/v1/kv-range?Prefix=" + percentEncoded(read.prefix);
                       if (!after.empty()) {
                           target += "&After=" + percentEncoded(after);
                       }
                       return getRequest(target);
                   },
                   [](const WatchRange &watch) {
                       return getRequest("/v1/kv-watch?Prefix=" + percentEncoded(watch.prefix)
                                         + "&After=" + std::to_string(watch.after.value())
                                         + "&WaitMs=" + std::to_string(milliseconds(watch.wait)));
                   },
                   [](const Commit &commit) { return encodeCommit(commit); },
                   [](const GrantLease &grant) {
                       return jsonRequest("POST", "/v1/kv-lease", {{"TtlMs", milliseconds(grant.timeToLive)}});
                   },
                   [](const RenewLease &renewal) {
                       return HttpRequest{.method = "POST",
                                          .target = "/v1/kv-keep/" + renewal.lease.value(),
                                          .headers = {},
                                          .body = {}};
                   },
                   [](const RevokeLease &revocation) {
                       return HttpRequest{.method = "DELETE",
                                          .target = "/v1/kv-lease-end/" + revocation.lease.value(),
                                          .headers = {},
                                          .body = {}};
                   }},
        request);
}

static KeyValueRecord readRecord(const nlohmann::json &item)
{
    KeyValueRecord record{.key = item.at("Key").get<std::string>(),
                          .value = {},
                          .revision = Revision(item.at("Revision").get<std::uint64_t>()),
                          .lease = {}};
    auto value = decodeBase64(item.value("Value", ""));
    if (auto *bytes = std::get_if<std::string>(&value)) {
        record.value = std::move(*bytes);
    }
    if (const auto lease = item.value("LeaseId", std::uint64_t(0)); lease != 0) {
        record.lease = LeaseId(std::to_string(lease));
    }
    return record;
}

static std::vector<KeyValueRecord> readRecords(const nlohmann::json &items)
{
    std::vector<KeyValueRecord> records;
    for (const nlohmann::json &item : items) {
        // A key that does not exist is listed with revision 0 if its precondition failed.
        if (item.value("Revision", std::uint64_t(0)) != 0) {
            records.push_back(readRecord(item));
        }
    }
    return records;
}

static RangeChanged readChanges(const nlohmann::json &json)
{
    RangeChanged changed{
        .written = {}, .deletedKeys = {}, .storeRevision = Revision(json.at("At").get<std::uint64_t>())};
    for (const nlohmann::json &event : json.at("events")) {
        const bool deleted = event.value("Deleted", false);
        mergeChange(changed, readRecord(event), deleted);
    }
    return changed;
}

static KeyValueResult readSuccess(const KeyValueRequest &request, const std::string &body)
{
    if (std::holds_alternative<RevokeLease>(request)) {
        return LeaseRevoked{};
    }
    const nlohmann::json json = nlohmann::json::parse(body);
    const auto timeToLive = [&json] { return std::chrono::milliseconds(json.at("TtlMs").get<std::int64_t>()); };
    return std::visit(
        Overloaded{[&](const ReadRange &) -> KeyValueResult {
                       return RangeRead{.records = readRecords(json.at("Entries")),
                                        .storeRevision = Revision(json.at("At").get<std::uint64_t>()),
                                        .truncated = json.value("Truncated", false)};
                   },
                   [&](const WatchRange &) -> KeyValueResult { return readChanges(json); },
                   [&](const Commit &) -> KeyValueResult {
                       return Committed{.revision = Revision(json.at("Revision").get<std::uint64_t>())};
                   },
                   [&](const GrantLease &) -> KeyValueResult {
                       return LeaseGranted{.lease = LeaseId(std::to_string(json.at("LeaseId").get<std::uint64_t>())),
                                           .timeToLive = timeToLive()};
                   },
                   [&](const RenewLease &) -> KeyValueResult { return LeaseRenewed{.timeToLive = timeToLive()}; },
                   [&](const RevokeLease &) -> KeyValueResult { return LeaseRevoked{}; }},
        request);
}

static KeyValueResult readFailure(const KeyValueRequest &request, const HttpResponse &response)
{
    switch (response.status) {
    case statusNotFound:
        return LeaseNotFound{};
    case statusGone:
        return WatchCompacted{};
    case statusPreconditionFailed: {
        const nlohmann::json json = nlohmann::json::parse(response.body);
        return CommitConflict{.currentRecords = readRecords(json.at("Entries")),
                              .storeRevision = Revision(json.value("At", std::uint64_t(0)))};
    }
    case statusTooLarge:
        return ValueTooLarge{};
    case statusTooManyRequests:
    case statusUnavailable:
        return ServiceUnavailable{};
    default:
        return resultWithoutResponse(request);
    }
}

static KeyValueResult decodeResult(const KeyValueRequest &request, const HttpResult &result)
{
    if (std::holds_alternative<HttpNotSent>(result)) {
        return ServiceUnavailable{};
    }
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
        return resultWithoutResponse(request);
    }
    try {
        return response->status == statusOk ? readSuccess(request, response->body) : readFailure(request, *response);
    } catch (const nlohmann::json::exception &) {
        return resultWithoutResponse(request);
    }
}

static std::optional<StoreEra> readEra(const HttpResponse &response)
{
    const std::string text = headerValue(response.headers, "Store-Era");
    const char *end = text.data() + text.size();
    std::uint64_t number = 0;
    if (const auto [parsed, error] = std::from_chars(text.data(), end, number); error != std::errc() || parsed != end) {
        return std::nullopt;
    }
    return StoreEra(number);
}

KeyValueProtocol metadataStoreProtocol()
{
    return {.encode = encodeCall, .decode = decodeResult, .era = readEra};
}

} // namespace Carawaymill
