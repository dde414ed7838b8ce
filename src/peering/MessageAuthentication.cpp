#include "peering/MessageAuthentication.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace Carawaymill {

std::string truncatedHmac(const std::string &body, const std::string &key)
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

} // namespace Carawaymill
