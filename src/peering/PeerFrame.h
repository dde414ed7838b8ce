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

/// The frame's keyed hash is wrong: it was not made by one of our hosts.
struct PeerFrameForged
{
};

/// CBOR of `[from, body]`, preceded by the 16 first bytes of its HMAC-SHA-256 under `key`.
[[nodiscard]] std::string packFrame(const PeerFrame &frame, const std::string &key);

[[nodiscard]] Result<PeerFrame, PeerFrameForged, DecodeFailure> unpackFrame(const std::string &bytes,
                                                                            const std::string &key);

} // namespace Carawaymill
