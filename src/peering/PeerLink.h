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
    /// For example `tcp://127.0.0.1:7400`; with port 0 the system chooses a free port.
    std::string listenAddress;
    /// Shared by all hosts of the system; a received message whose HMAC was not made with this key is dropped.
    std::string key;
};

/// Error: listening on the address failed, or another nng call failed.
struct PeerLinkFailure
{
    std::string reason;
};

/// Counters of messages and bytes, for the metrics.
struct PeerLinkCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesDropped = 0;
    ByteCount bytesSent;
    ByteCount bytesReceived;
};

using PeerMessageCallback = std::function<void(HostId from, nlohmann::json message)>;

/// Sends and receives messages between the hosts of the system over nng, with one listening socket and one connecting
/// socket per peer.
///
/// Messages are CBOR with an HMAC. Sending neither blocks nor retries: a message is dropped if the peer's send buffer
/// is full. A peer that has sent no message for 2 s is reconnected at the next send, since the connection may be
/// broken.
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
