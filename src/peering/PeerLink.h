#pragma once

#include "support/Codec.h"
#include "support/Identifiers.h"
#include "support/Units.h"
#include "support/Variant.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Carawaymill {

struct PeerLinkOptions
{
    HostId host;
    /// For example `tcp://127.0.0.1:7400`; port 0 takes a free one.
    std::string listenAddress;
    /// Shared by all our hosts; a message whose code was not made with it is dropped.
    std::string key;
};

/// The address cannot be listened on, or nng failed.
struct PeerLinkFailure
{
    std::string reason;
};

/// What went over the link, for the metrics.
struct PeerLinkCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesDropped = 0;
    ByteCount bytesSent;
    ByteCount bytesReceived;
};

using PeerMessageCallback = std::function<void(HostId from, nlohmann::json message)>;

/// Messages between our own hosts over nng: one listening socket for all, one connecting socket for each peer.
///
/// Messages are CBOR with a keyed hash. Nothing is sent again and nothing waits: what cannot go out is dropped. A peer
/// that is sent to but not heard of for a while is connected to anew, since the old connection may have gone silent.
class PeerLink
{
public:
    [[nodiscard]] static Result<std::unique_ptr<PeerLink>, PeerLinkFailure>
    create(boost::asio::io_context &context, PeerLinkOptions options, PeerMessageCallback callback);

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;
    ~PeerLink();

    void send(const HostId &to, const std::string &address, const nlohmann::json &message);

    [[nodiscard]] const PeerLinkCounters &counters() const;

private:
    class Implementation;
    explicit PeerLink(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Carawaymill
