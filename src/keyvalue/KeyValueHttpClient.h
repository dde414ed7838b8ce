#pragma once

#include "http/HttpClient.h"
#include "keyvalue/KeyValueMessages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Carawaymill {

/// How one kind of key-value service speaks HTTP.
struct KeyValueProtocol
{
    /// `after`: for a further page of a range, the last key of the page before; empty otherwise.
    std::function<HttpRequest(const KeyValueRequest &request, const std::string &after)> encode;
    std::function<KeyValueResult(const KeyValueRequest &request, const HttpResult &response)> decode;
};

struct KeyValueHttpClientOptions
{
    KeyValueProtocol protocol;
    /// IP numbers and ports of the service, at least one. The next one is used after a failure.
    std::vector<std::string> addresses;
};

using KeyValueReplyCallback = std::function<void(KeyValueReply reply)>;

/// Carries out the slices' calls to the key-value service over HTTP. Every call is sent once and never repeated; a
/// range of several pages is read page by page.
class KeyValueHttpClient
{
public:
    /// `client` must outlive this object. Calls in progress may outlive it and are still called back.
    KeyValueHttpClient(HttpClient &client, KeyValueHttpClientOptions options);

    /// Calls back exactly once, later.
    void carryOut(const KeyValueCall &call, KeyValueReplyCallback callback);

private:
    struct State;

    static void
    send(std::shared_ptr<State> state, const KeyValueCall &call, RangeRead before, KeyValueReplyCallback callback);

    /// Shared with the calls in progress, which may outlive this object.
    std::shared_ptr<State> m_state;
};

} // namespace Carawaymill
