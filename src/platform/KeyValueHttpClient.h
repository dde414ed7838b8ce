#pragma once

#include "http/HttpClient.h"
#include "platform/KeyValueMessages.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Carawaymill {

struct KeyValueHttpClientOptions
{
    /// IP numbers and ports of the service, at least one. The next one is used after a failure.
    std::vector<std::string> addresses;
};

using KeyValueReplyCallback = std::function<void(KeyValueReply reply)>;

/// Carries out the slices' calls to the key-value service over HTTP. Every call is sent once and never repeated.
class KeyValueHttpClient
{
public:
    /// `client` must outlive this object and the calls in progress.
    KeyValueHttpClient(HttpClient &client, KeyValueHttpClientOptions options);

    /// Calls back exactly once, later.
    void carryOut(const KeyValueCall &call, KeyValueReplyCallback callback);

private:
    void noteFailure(std::size_t addressIndex);

    HttpClient &m_client;
    KeyValueHttpClientOptions m_options;
    std::size_t m_addressIndex = 0;
};

} // namespace Carawaymill
