#pragma once

#include "http/HttpClient.h"
#include "platform/KeyValueMessages.h"

#include <cstddef>
#include <functional>
#include <memory>
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
    /// `client` must outlive this object. Calls in progress may outlive it and are still called back.
    KeyValueHttpClient(HttpClient &client, KeyValueHttpClientOptions options);

    /// Calls back exactly once, later.
    void carryOut(const KeyValueCall &call, KeyValueReplyCallback callback);

private:
    HttpClient &m_client;
    KeyValueHttpClientOptions m_options;
    /// The address in use. Shared with the calls in progress, which may outlive this object.
    std::shared_ptr<std::size_t> m_addressIndex;
};

} // namespace Carawaymill
