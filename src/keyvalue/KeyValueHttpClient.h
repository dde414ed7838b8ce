#pragma once

#include "http/HttpClient.h"
#include "keyvalue/KeyValueMessages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Encoder and decoder for the HTTP interface of one kind of key-value service.
struct KeyValueProtocol
{
    /// `after` is the last key of the previous page if a further page of a range is read; empty otherwise.
    std::function<HttpRequest(const KeyValueRequest &request, const std::string &after)> encode;
    std::function<KeyValueResult(const KeyValueRequest &request, const HttpResult &response)> decode;
    /// The era that a response states, if any. Empty if the service has no eras.
    std::function<std::optional<StoreEra>(const HttpResponse &response)> era;
};

struct KeyValueHttpClientOptions
{
    KeyValueProtocol protocol;
    /// Addresses (`IP:port`) of the key-value service, at least one. After a call without a response, further calls are
    /// sent to the next address.
    std::vector<std::string> addresses;
};

using KeyValueReplyCallback = std::function<void(KeyValueReply reply)>;

/// Executes the slices' calls to the key-value service over HTTP. A call is sent once and never retried; a range of
/// several pages is read page by page.
class KeyValueHttpClient
{
public:
    /// `client` must outlive this object. Calls in progress may outlive this object; their callbacks still run.
    KeyValueHttpClient(HttpClient &client, KeyValueHttpClientOptions options);

    /// Runs `callback` exactly once, never inside this call.
    void execute(const KeyValueCall &call, KeyValueReplyCallback callback);

private:
    struct State;

    /// The pages of a range that were read so far.
    struct Pages
    {
        RangeRead read;
        std::optional<StoreEra> era;
    };

    /// Sends a call or, if `earlierPages` has records, reads the range's next page.
    static void
    send(std::shared_ptr<State> state, const KeyValueCall &call, Pages earlierPages, KeyValueReplyCallback callback);

    /// Shared with the calls in progress, which may outlive this object.
    std::shared_ptr<State> m_state;
};

} // namespace Carawaymill
