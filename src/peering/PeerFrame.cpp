#include "peering/PeerFrame.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace Carawaymill {

static constexpr std::size_t codeBytes = 16;

static std::string codeOf(const std::string &body, const std::string &key)
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
    return {reinterpret_cast<const char *>(digest.data()), codeBytes};
}

std::string packFrame(const PeerFrame &frame, const std::string &key)
{
    const std::string body = packCbor(nlohmann::json::array({frame.from, frame.message}));
    return codeOf(body, key) + body;
}

Result<PeerFrame, PeerFrameForged, DecodeFailure> unpackFrame(const std::string &bytes, const std::string &key)
{
    if (bytes.size() <= codeBytes) {
        return PeerFrameForged{};
    }
    const std::string body = bytes.substr(codeBytes);
    if (CRYPTO_memcmp(codeOf(body, key).data(), bytes.data(), codeBytes) != 0) {
        return PeerFrameForged{};
    }
    auto unpacked = unpackCbor(body);
    auto *json = std::get_if<nlohmann::json>(&unpacked);
    if (json == nullptr || !json->is_array() || json->size() != 2 || !json->at(0).is_string()) {
        return DecodeFailure{.field = "/"};
    }
    return PeerFrame{.from = json->at(0).get<HostId>(), .message = std::move(json->at(1))};
}

} // namespace Carawaymill
