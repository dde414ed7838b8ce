#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"

#include <string>

namespace Carawaymill {

/// One message on the wire between two hosts.
struct PeerFrame
{
    HostId from;
    nlohmann::json message;
};

/// Error: the frame's HMAC is missing or was not made with the receiver's key.
struct PeerFrameAuthenticationFailure
{
};

/// Encodes `[from, message]` as CBOR, preceded by the first 16 bytes of its HMAC-SHA-256 with `key`.
[[nodiscard]] std::string packFrame(const PeerFrame &frame, const std::string &key);

[[nodiscard]] Result<PeerFrame, PeerFrameAuthenticationFailure, DecodeFailure> unpackFrame(const std::string &bytes,
                                                                                           const std::string &key);

} // namespace Carawaymill
