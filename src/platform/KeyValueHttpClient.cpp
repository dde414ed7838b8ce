#include "platform/KeyValueHttpClient.h"

#include "platform/KeyValueCodec.h"

#include <boost/asio/io_context.hpp>

#include <cassert>

namespace Carawaymill {

KeyValueHttpClient::KeyValueHttpClient(HttpClient &client, KeyValueHttpClientOptions options)
    : m_client(client)
    , m_options(std::move(options))
    , m_addressIndex(std::make_shared<std::size_t>(0))
{
    assert(!m_options.addresses.empty());
}

void KeyValueHttpClient::carryOut(const KeyValueCall &call, KeyValueReplyCallback callback)
{
    Duration timeout = call.timeout;
    if (const auto *watch = std::get_if<WatchRange>(&call.request)) {
        timeout += watch->wait;
    }
    const std::size_t used = *m_addressIndex;
    const std::size_t following = (used + 1) % m_options.addresses.size();
    m_client.send(
        m_options.addresses[used],
        encodeKeyValueRequest(call.request),
        HttpSendOptions{.timeout = timeout},
        [index = m_addressIndex, used, following, call, callback = std::move(callback)](const HttpResult &response) {
            // Several calls that fail at the same address move on once only.
            if (!std::holds_alternative<HttpResponse>(response) && *index == used) {
                *index = following;
            }
            callback(KeyValueReply{.id = call.id, .result = decodeKeyValueResponse(call.request, response)});
        });
}

} // namespace Carawaymill
