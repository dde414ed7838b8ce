#include "platform/KeyValueHttpClient.h"

#include "platform/KeyValueCodec.h"

#include <boost/asio/io_context.hpp>

#include <cassert>

namespace Carawaymill {

KeyValueHttpClient::KeyValueHttpClient(HttpClient &client, KeyValueHttpClientOptions options)
    : m_client(client)
    , m_options(std::move(options))
{
    assert(!m_options.addresses.empty());
}

void KeyValueHttpClient::carryOut(const KeyValueCall &call, KeyValueReplyCallback callback)
{
    Duration timeout = call.timeout;
    if (const auto *watch = std::get_if<WatchRange>(&call.request)) {
        timeout += watch->wait;
    }
    const std::size_t index = m_addressIndex;
    m_client.send(m_options.addresses[index],
                  encodeKeyValueRequest(call.request),
                  HttpSendOptions{.timeout = timeout},
                  [this, call, index, callback = std::move(callback)](const HttpResult &response) {
                      if (!std::holds_alternative<HttpResponse>(response)) {
                          noteFailure(index);
                      }
                      callback(KeyValueReply{.id = call.id, .result = decodeKeyValueResponse(call.request, response)});
                  });
}

void KeyValueHttpClient::noteFailure(std::size_t addressIndex)
{
    // Several calls that fail at the same address move on once only.
    if (addressIndex == m_addressIndex) {
        m_addressIndex = (m_addressIndex + 1) % m_options.addresses.size();
    }
}

} // namespace Carawaymill
