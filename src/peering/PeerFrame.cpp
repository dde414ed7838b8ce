#include "peering/PeerFrame.h"

#include "peering/MessageAuthentication.h"

#include <openssl/crypto.h>

namespace Carawaymill {

std::string packFrame(const PeerFrame &frame, const std::string &key)
{
    const std::string body = packCbor(nlohmann::json::array({frame.from, frame.message}));
    return truncatedHmac(body, key) + body;
}

Result<PeerFrame, PeerFrameAuthenticationFailure, DecodeFailure> unpackFrame(const std::string &bytes,
                                                                             const std::string &key)
{
    if (bytes.size() <= hmacBytes) {
        return PeerFrameAuthenticationFailure{};
    }
    const std::string body = bytes.substr(hmacBytes);
    if (CRYPTO_memcmp(truncatedHmac(body, key).data(), bytes.data(), hmacBytes) != 0) {
        return PeerFrameAuthenticationFailure{};
    }
    auto unpacked = unpackCbor(body);
    auto *json = std::get_if<nlohmann::json>(&unpacked);
    if (json == nullptr || !json->is_array() || json->size() != 2 || !json->at(0).is_string()) {
        return DecodeFailure{.field = "/"};
    }
    return PeerFrame{.from = json->at(0).get<HostId>(), .message = std::move(json->at(1))};
}

} // namespace Carawaymill
