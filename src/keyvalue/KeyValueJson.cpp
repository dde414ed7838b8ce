#include "keyvalue/KeyValueJson.h"

#include "support/Base64.h"

#include <charconv>

namespace Carawaymill {

std::string endOfPrefix(const std::string &prefix)
{
    std::string end = prefix;
    while (!end.empty()) {
        const auto last = static_cast<unsigned char>(end.back());
        if (last < 0xFFU) {
            end.back() = static_cast<char>(last + 1U);
            return end;
        }
        end.pop_back();
    }
    // A single zero byte selects all keys up to the last one.
    return std::string(1, '\0');
}

static bool hasField(const nlohmann::json &json, const std::string &field)
{
    if (!json.is_object()) {
        throw KeyValueJsonError{.field = field};
    }
    return json.contains(field);
}

std::uint64_t integerAt(const nlohmann::json &json, const std::string &field)
{
    if (!hasField(json, field)) {
        return 0;
    }
    const nlohmann::json &value = json.at(field);
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>();
    }
    if (value.is_string()) {
        const std::string &text = value.get_ref<const std::string &>();
        std::uint64_t number = 0;
        const char *end = text.data() + text.size();
        if (const auto [parsedEnd, error] = std::from_chars(text.data(), end, number);
            error == std::errc() && parsedEnd == end) {
            return number;
        }
    }
    throw KeyValueJsonError{.field = field};
}

std::string bytesAt(const nlohmann::json &json, const std::string &field)
{
    if (!hasField(json, field)) {
        return {};
    }
    if (json.at(field).is_string()) {
        auto decoded = decodeBase64(json.at(field).get<std::string>());
        if (auto *bytes = std::get_if<std::string>(&decoded)) {
            return std::move(*bytes);
        }
    }
    throw KeyValueJsonError{.field = field};
}

nlohmann::json arrayAt(const nlohmann::json &json, const std::string &field)
{
    if (!hasField(json, field)) {
        return nlohmann::json::array();
    }
    if (!json.at(field).is_array()) {
        throw KeyValueJsonError{.field = field};
    }
    return json.at(field);
}

nlohmann::json recordToJson(const KeyValueRecord &record)
{
    nlohmann::json json{{"key", encodeBase64(record.key)},
                        {"value", encodeBase64(record.value)},
                        {"mod_revision", std::to_string(record.revision.value())}};
    if (record.lease) {
        json["lease"] = record.lease->value();
    }
    return json;
}

KeyValueRecord recordFromJson(const nlohmann::json &json)
{
    KeyValueRecord record{.key = bytesAt(json, "key"),
                          .value = bytesAt(json, "value"),
                          .revision = Revision(integerAt(json, "mod_revision")),
                          .lease = std::nullopt};
    if (const std::uint64_t lease = integerAt(json, "lease"); lease != 0) {
        record.lease = LeaseId(std::to_string(lease));
    }
    return record;
}

nlohmann::json headerToJson(Revision revision)
{
    return {{"revision", std::to_string(revision.value())}};
}

Revision revisionOfHeader(const nlohmann::json &response)
{
    if (!hasField(response, "header")) {
        throw KeyValueJsonError{.field = "header"};
    }
    return Revision(integerAt(response.at("header"), "revision"));
}

} // namespace Carawaymill
