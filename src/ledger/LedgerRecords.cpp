#include "ledger/LedgerRecords.h"

#include "support/ArrayCodec.h"
#include "support/Hash.h"

namespace Carawaymill {

/// 128 bits: with 10^9 remembered keys two of them collide with a probability below 10^-20.
static constexpr std::size_t claimKeyDigits = 32;

static std::string lengthPrefixed(std::string_view text)
{
    return std::to_string(text.size()) + ":" + std::string(text);
}

ClaimAnswered recordableAnswer(unsigned status, std::string body)
{
    if (body.size() > recordedBodyLimit.value()) {
        return {.status = status, .body = std::nullopt};
    }
    try {
        (void)nlohmann::json(body).dump();
    } catch (const nlohmann::json::type_error &) {
        return {.status = status, .body = std::nullopt};
    }
    return {.status = status, .body = std::move(body)};
}

void addUsage(UsageTotal &total, const UsageTotal &added)
{
    total.jobs += added.jobs;
    total.tokens += added.tokens;
    total.price += added.price;
}

ClaimKey claimKey(const OrganisationId &organisation, const IdempotencyKey &key)
{
    const std::string whole = lengthPrefixed(organisation.value()) + lengthPrefixed(key.value());
    return ClaimKey(sha256Hex(whole).substr(0, claimKeyDigits));
}

RequestHash requestHash(std::string_view method, std::string_view path, std::string_view body)
{
    const std::string whole = lengthPrefixed(method) + lengthPrefixed(path) + lengthPrefixed(body);
    return RequestHash(sha256Hex(whole).substr(0, claimKeyDigits));
}

ShardNumber shardOf(const HostLife &stream, std::uint32_t shards)
{
    return ShardNumber(static_cast<std::uint32_t>(stableHash(stream.host.value(), stream.incarnation.value())
                                                  % static_cast<std::uint64_t>(shards)));
}

ShardNumber shardOf(const ClaimKey &key, std::uint32_t shards)
{
    return ShardNumber(static_cast<std::uint32_t>(stableHash(key.value()) % static_cast<std::uint64_t>(shards)));
}

std::string shardPrefix(ShardNumber shard)
{
    return "ledger/" + std::to_string(shard.value()) + "/";
}

std::string shardHeadKey(ShardNumber shard)
{
    return shardPrefix(shard) + "head";
}

std::string shardBillsKey(ShardNumber shard)
{
    return shardPrefix(shard) + "bills";
}

std::string shardSegmentPrefix(ShardNumber shard)
{
    return shardPrefix(shard) + "segment/";
}

std::string shardSegmentKey(ShardNumber shard, std::uint64_t segment)
{
    return shardSegmentPrefix(shard) + std::to_string(segment);
}

std::string usageKey(const OrganisationId &organisation, const BillingPeriod &period, ShardNumber shard)
{
    return "usage/" + organisation.value() + "/" + period.value() + "/" + std::to_string(shard.value());
}

void to_json(nlohmann::json &json, const HostLife &life)
{
    json = nlohmann::json::array({life.host, life.incarnation});
}

void from_json(const nlohmann::json &json, HostLife &life)
{
    readArray(json, 0, life.host, life.incarnation);
}

void to_json(nlohmann::json &json, const ClaimAttempt &attempt)
{
    json = nlohmann::json::array({attempt.claimant.host, attempt.claimant.incarnation, attempt.number});
}

void from_json(const nlohmann::json &json, ClaimAttempt &attempt)
{
    readArray(json, 0, attempt.claimant.host, attempt.claimant.incarnation, attempt.number);
}

void to_json(nlohmann::json &json, const ClaimOutcome &outcome)
{
    json = std::visit(Overloaded{
                          [](const ClaimReleased &) { return nlohmann::json::array({"released"}); },
                          [](const ClaimAnswered &answer) {
                              nlohmann::json array = nlohmann::json::array({"answered", answer.status});
                              if (answer.body) {
                                  array.push_back(*answer.body);
                              }
                              return array;
                          },
                          [](const ClaimOutcomeUnknown &) { return nlohmann::json::array({"unknown"}); },
                      },
                      outcome);
}

void from_json(const nlohmann::json &json, ClaimOutcome &outcome)
{
    const std::string kind = json.at(0).get<std::string>();
    if (kind == "released") {
        outcome = ClaimReleased{};
    } else if (kind == "answered") {
        ClaimAnswered answer;
        readArray(json, 1, answer.status);
        if (json.size() > 2) {
            answer.body = json.at(2).get<std::string>();
        }
        outcome = std::move(answer);
    } else if (kind == "unknown") {
        outcome = ClaimOutcomeUnknown{};
    } else {
        throw nlohmann::json::other_error::create(501, "/0: unknown outcome " + kind, &json);
    }
}

void to_json(nlohmann::json &json, const LedgerEntry &entry)
{
    json = std::visit(Overloaded{
                          [](const ClaimMade &made) {
                              return nlohmann::json::array({"made", made.key, made.request, made.attempt});
                          },
                          [](const ClaimEnded &ended) {
                              return nlohmann::json::array({"ended", ended.key, ended.attempt, ended.outcome});
                          },
                      },
                      entry);
}

void from_json(const nlohmann::json &json, LedgerEntry &entry)
{
    const std::string kind = json.at(0).get<std::string>();
    if (kind == "made") {
        ClaimMade made;
        readArray(json, 1, made.key, made.request, made.attempt);
        entry = std::move(made);
    } else if (kind == "ended") {
        ClaimEnded ended;
        readArray(json, 1, ended.key, ended.attempt, ended.outcome);
        entry = std::move(ended);
    } else {
        throw nlohmann::json::other_error::create(501, "/0: unknown entry " + kind, &json);
    }
}

void to_json(nlohmann::json &json, const Bill &bill)
{
    json = nlohmann::json::array({bill.job, bill.organisation, bill.period, bill.tokens, bill.price});
}

void from_json(const nlohmann::json &json, Bill &bill)
{
    readArray(json, 0, bill.job, bill.organisation, bill.period, bill.tokens, bill.price);
}

void to_json(nlohmann::json &json, const UsageTotal &total)
{
    json = nlohmann::json::array({total.jobs, total.tokens, total.price});
}

void from_json(const nlohmann::json &json, UsageTotal &total)
{
    readArray(json, 0, total.jobs, total.tokens, total.price);
}

void to_json(nlohmann::json &json, const ShardHead &head)
{
    json = nlohmann::json::array({head.fencingNumber, head.period});
}

void from_json(const nlohmann::json &json, ShardHead &head)
{
    readArray(json, 0, head.fencingNumber, head.period);
}

} // namespace Carawaymill
