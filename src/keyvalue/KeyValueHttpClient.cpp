#include "keyvalue/KeyValueHttpClient.h"

#include <boost/asio/io_context.hpp>

#include <cassert>

namespace Carawaymill {

struct KeyValueHttpClient::State
{
    HttpClient &client;
    KeyValueHttpClientOptions options;
    /// Index in `options.addresses` of the address that the next call uses.
    std::size_t addressIndex = 0;
};

KeyValueHttpClient::KeyValueHttpClient(HttpClient &client, KeyValueHttpClientOptions options)
    : m_state(std::make_shared<State>(State{.client = client, .options = std::move(options)}))
{
    assert(!m_state->options.addresses.empty());
}

void KeyValueHttpClient::execute(const KeyValueCall &call, KeyValueReplyCallback callback)
{
    send(m_state, call, {}, std::move(callback));
}

/// Appends a page to the earlier pages.
static RangeRead joinPages(RangeRead earlierPages, RangeRead page)
{
    if (earlierPages.records.empty()) {
        return page;
    }
    // The revision of the first page is kept, so that a watch from it reports changes made while later pages were read.
    page.storeRevision = earlierPages.storeRevision;
    earlierPages.records.insert(earlierPages.records.end(), page.records.begin(), page.records.end());
    page.records = std::move(earlierPages.records);
    return page;
}

static std::optional<StoreEra> eraOf(const KeyValueProtocol &protocol, const HttpResult &result)
{
    const auto *response = std::get_if<HttpResponse>(&result);
    return response != nullptr && protocol.era ? protocol.era(*response) : std::nullopt;
}

void KeyValueHttpClient::send(std::shared_ptr<State> state,
                              const KeyValueCall &call,
                              Pages earlierPages,
                              KeyValueReplyCallback callback)
{
    Duration timeout = call.timeout;
    if (const auto *watch = std::get_if<WatchRange>(&call.request)) {
        timeout += watch->wait;
    }
    // `state` is moved into the callback.
    State &sharedState = *state;
    const std::size_t index = sharedState.addressIndex;
    const std::string after = earlierPages.read.records.empty() ? std::string() : earlierPages.read.records.back().key;
    sharedState.client.send(
        sharedState.options.addresses[index],
        sharedState.options.protocol.encode(call.request, after),
        HttpSendOptions{.timeout = timeout},
        [state = std::move(state), index, call, earlierPages = std::move(earlierPages), callback = std::move(callback)](
            const HttpResult &response) mutable {
            // Concurrent calls that fail at the same address switch to the next address only once.
            if (!std::holds_alternative<HttpResponse>(response) && state->addressIndex == index) {
                state->addressIndex = (index + 1) % state->options.addresses.size();
            }
            KeyValueResult result = state->options.protocol.decode(call.request, response);
            const auto era = eraOf(state->options.protocol, response);
            if (auto *page = std::get_if<RangeRead>(&result)) {
                if (!earlierPages.read.records.empty() && earlierPages.era < era) {
                    // The service returned from an older copy between two pages: the range is read from its start.
                    send(std::move(state), call, {}, std::move(callback));
                    return;
                }
                RangeRead joined = joinPages(std::move(earlierPages.read), std::move(*page));
                if (joined.truncated && !joined.records.empty()) {
                    send(std::move(state), call, {.read = std::move(joined), .era = era}, std::move(callback));
                    return;
                }
                result = std::move(joined);
            }
            callback(KeyValueReply{.id = call.id, .result = std::move(result), .era = era});
        });
}

} // namespace Carawaymill
