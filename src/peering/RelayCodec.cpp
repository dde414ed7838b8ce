#include "peering/RelayCodec.h"

#include "peering/MessageAuthentication.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <array>

namespace Carawaymill {

static constexpr const char *targetHeader = "Carawaymill-Relay-Target";
static constexpr const char *freshConnectionHeader = "Carawaymill-Relay-Fresh-Connection";
static constexpr const char *authenticationHeader = "Carawaymill-Relay-Authentication";

static std::string hexadecimal(const std::string &bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    static constexpr unsigned bitsPerDigit = 4;
    static constexpr unsigned lowestDigit = 15;
    std::string text;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> bitsPerDigit];
        text += digits[value & lowestDigit];
    }
    return text;
}

static std::string authentication(const RelayedRequest &relayed, const std::string &key)
{
    // No header contains a line feed, so that the parts cannot run into each other.
    std::string text = relayed.target.value();
    text.append("\n").append(relayed.freshConnection ? "1" : "0");
    text.append("\n").append(relayed.request.method).append("\n").append(relayed.request.target);
    // The order of headers may change on the way.
    HttpHeaders headers = relayed.request.headers;
    std::ranges::sort(headers);
    for (const auto &[name, value] : headers) {
        text.append("\n").append(name).append(":").append(value);
    }
    return hexadecimal(truncatedHmac(text.append("\n\n").append(relayed.request.body), key));
}

/// Headers that `HttpClient` adds to a request or that concern the connection between the two hosts.
static bool isOwnHeader(const std::string &name)
{
    static constexpr std::array names{targetHeader, freshConnectionHeader, authenticationHeader, "Content-Length"};
    return std::ranges::any_of(names, [&](const char *own) { return sameHeaderName(own, name); });
}

HttpRequest encodeRelayedRequest(const RelayedRequest &relayed, const std::string &key)
{
    RelayedRequest complete = relayed;
    // A caller may have sent headers of these names.
    std::erase_if(complete.request.headers, [](const auto &header) { return isOwnHeader(header.first); });
    if (headerValue(complete.request.headers, "Host").empty()) {
        // Otherwise the HTTP client would add one that the HMAC does not cover.
        complete.request.headers.emplace_back("Host", relayed.target.value());
    }
    HttpRequest request = complete.request;
    request.headers.emplace_back(targetHeader, relayed.target.value());
    if (relayed.freshConnection) {
        request.headers.emplace_back(freshConnectionHeader, "1");
    }
    request.headers.emplace_back(authenticationHeader, authentication(complete, key));
    return request;
}

Result<RelayedRequest, RelayAuthenticationFailure> decodeRelayedRequest(HttpRequest request, const std::string &key)
{
    RelayedRequest relayed{.target = TargetId(headerValue(request.headers, targetHeader)),
                           .freshConnection = !headerValue(request.headers, freshConnectionHeader).empty(),
                           .request = {}};
    const std::string claimed = headerValue(request.headers, authenticationHeader);
    std::erase_if(request.headers, [](const auto &header) { return isOwnHeader(header.first); });
    relayed.request = std::move(request);
    const std::string expected = authentication(relayed, key);
    if (claimed.size() != expected.size() || CRYPTO_memcmp(claimed.data(), expected.data(), expected.size()) != 0) {
        return RelayAuthenticationFailure{};
    }
    return relayed;
}

} // namespace Carawaymill
