#include "peering/PeerFrame.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace Carawaymill {

static constexpr std::size_t hmacBytes = 16;

static std::string truncatedHmac(const std::string &body, const std::string &key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(body.data()),
         body.size(),
         digest.data(),
         &length);
    return {reinterpret_cast<const char *>(digest.data()), hmacBytes};
}

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
