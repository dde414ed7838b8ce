#include "platform/WorkerFields.h"

#include "support/HostPort.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace Carawaymill {

/// More layers than any model has; a range up to a higher one would take long to walk through.
static constexpr std::uint64_t highestLayer = 100'000;
/// Largest whole number that every JSON implementation keeps exactly.
static constexpr std::uint64_t highestExactNumber = std::uint64_t(1) << 53U;

std::optional<std::uint64_t>
readCount(const nlohmann::json &object, const char *name, std::uint64_t highest, std::uint64_t defaultValue)
{
    const auto field = object.find(name);
    if (field == object.end()) {
        return defaultValue;
    }
    if (!field->is_number_unsigned() || field->get<std::uint64_t>() > highest) {
        return std::nullopt;
    }
    return field->get<std::uint64_t>();
}

/// Returns std::nullopt if the range is malformed. `Source` is the first layer, `Target` is one past the last layer.
static std::optional<ModelLayers> readLayers(const nlohmann::json &range)
{
    if (!range.is_object() || !range.contains("Source") || !range.contains("Target")) {
        return std::nullopt;
    }
    const auto first = readCount(range, "Source", highestLayer, 0);
    const auto end = readCount(range, "Target", highestLayer, 0);
    const auto version = readCount(range, "Version", highestExactNumber, 1);
    if (!first || !end || !version) {
        return std::nullopt;
    }
    return ModelLayers{
        .model = {},
        .version = std::to_string(*version),
        .adapter = {},
        .layers = {LayerIndex(static_cast<std::uint32_t>(*first)), LayerIndex(static_cast<std::uint32_t>(*end))}};
}

std::optional<std::vector<ModelLayers>> readHeldLayers(const nlohmann::json &worker)
{
    std::vector<ModelLayers> held;
    const auto ranges = worker.find("LayerCount");
    if (ranges == worker.end() || ranges->is_null()) {
        return held;
    }
    if (!ranges->is_array() && !ranges->is_object()) {
        return std::nullopt;
    }
    const nlohmann::json single = ranges->is_object() ? nlohmann::json::array({*ranges}) : nlohmann::json::array();
    for (const nlohmann::json &range : ranges->is_object() ? single : *ranges) {
        auto layers = readLayers(range);
        if (!layers) {
            return std::nullopt;
        }
        if (!layers->layers.empty()) {
            held.push_back(std::move(*layers));
        }
    }
    return held;
}

std::optional<IncarnationNumber> readIncarnation(const nlohmann::json &worker)
{
    const auto born = readCount(worker, "born", highestExactNumber, 0);
    return born ? std::optional(IncarnationNumber(*born)) : std::nullopt;
}

bool isWorkerAddress(const std::string &text)
{
    const auto split = splitHostPort(text);
    if (!split || split->port == 0) {
        return false;
    }
    boost::system::error_code error;
    (void)boost::asio::ip::make_address(split->host, error);
    return !error;
}

bool isWorkerId(const std::string &text)
{
    static constexpr char firstPrintable = '!';
    static constexpr char lastPrintable = '~';
    return !text.empty() && std::ranges::all_of(text, [](char character) {
        return character >= firstPrintable && character <= lastPrintable;
    });
}

} // namespace Carawaymill
