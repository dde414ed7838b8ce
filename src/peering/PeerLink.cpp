#include "peering/PeerLink.h"

#include "peering/PeerFrame.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <chrono>
#include <map>
#include <optional>

namespace Carawaymill {

/// `send` reconnects a peer that has sent no message for this time and was not connected within it.
static constexpr std::chrono::seconds unresponsiveTimeout(2);
/// Messages per peer that are buffered until they can be sent, for example until the connection is established.
static constexpr int sendBufferMessages = 32;
static constexpr int reconnectMinimumMilliseconds = 100;
static constexpr int reconnectMaximumMilliseconds = 1000;

namespace {

/// Owns one nng socket.
class Socket
{
public:
    Socket() = default;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    ~Socket() { nng_close(m_socket); }

    [[nodiscard]] nng_socket &handle() { return m_socket; }

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

} // namespace

/// Owns the sockets of one host. Receives in nng's threads and dispatches messages to the thread of the `io_context`.
class PeerLink::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(boost::asio::io_context &context, PeerLinkOptions options, PeerMessageCallback callback)
        : m_context(context)
        , m_options(std::move(options))
        , m_callback(std::move(callback))
    {
    }

    [[nodiscard]] std::optional<PeerLinkFailure> listen()
    {
        if (const int error = nng_pull0_open(&m_listener.handle()); error != 0) {
            return PeerLinkFailure{.reason = nng_strerror(error)};
        }
        if (const int error = nng_listen(m_listener.handle(), m_options.listenAddress.c_str(), nullptr, 0);
            error != 0) {
            return PeerLinkFailure{.reason = nng_strerror(error)};
        }
        if (const int error = nng_aio_alloc(&m_receive, &Implementation::received, this); error != 0) {
            return PeerLinkFailure{.reason = nng_strerror(error)};
        }
        nng_recv_aio(m_listener.handle(), m_receive);
        return std::nullopt;
    }

    /// Stops receiving; after this, nng's threads no longer access this object.
    void close()
    {
        if (m_receive != nullptr) {
            nng_aio_stop(m_receive);
            nng_aio_free(m_receive);
            m_receive = nullptr;
        }
        m_peers.clear();
    }

    void send(const HostId &to, const std::string &address, const nlohmann::json &message)
    {
        Peer &peer = m_peers[to];
        const auto now = std::chrono::steady_clock::now();
        const bool isUnresponsive =
            now - peer.lastReceivedAt > unresponsiveTimeout && now - peer.connectedAt > unresponsiveTimeout;
        if (!peer.socket || peer.address != address || isUnresponsive) {
            connect(peer, address);
        }
        std::string frame = packFrame({.from = m_options.host, .message = message}, m_options.key);
        if (nng_send(peer.socket->handle(), frame.data(), frame.size(), NNG_FLAG_NONBLOCK) != 0) {
            ++m_counters.messagesDropped;
            return;
        }
        ++m_counters.messagesSent;
        m_counters.bytesSent += ByteCount(frame.size());
    }

    [[nodiscard]] const PeerLinkCounters &counters() const { return m_counters; }

private:
    struct Peer
    {
        std::string address;
        std::unique_ptr<Socket> socket;
        std::chrono::steady_clock::time_point connectedAt;
        std::chrono::steady_clock::time_point lastReceivedAt;
    };

    static void connect(Peer &peer, const std::string &address)
    {
        peer.socket = std::make_unique<Socket>();
        peer.address = address;
        peer.connectedAt = std::chrono::steady_clock::now();
        nng_push0_open(&peer.socket->handle());
        nng_socket_set_int(peer.socket->handle(), NNG_OPT_SENDBUF, sendBufferMessages);
        nng_socket_set_ms(peer.socket->handle(), NNG_OPT_RECONNMINT, reconnectMinimumMilliseconds);
        nng_socket_set_ms(peer.socket->handle(), NNG_OPT_RECONNMAXT, reconnectMaximumMilliseconds);
        nng_dial(peer.socket->handle(), address.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }

    static void received(void *argument)
    {
        auto *self = static_cast<Implementation *>(argument);
        if (nng_aio_result(self->m_receive) != 0) {
            return;
        }
        nng_msg *message = nng_aio_get_msg(self->m_receive);
        std::string bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
        nng_msg_free(message);
        boost::asio::post(self->m_context, [weak = self->weak_from_this(), bytes = std::move(bytes)] {
            if (const auto alive = weak.lock()) {
                alive->deliver(bytes);
            }
        });
        nng_recv_aio(self->m_listener.handle(), self->m_receive);
    }

    void deliver(const std::string &bytes)
    {
        auto unpacked = unpackFrame(bytes, m_options.key);
        auto *frame = std::get_if<PeerFrame>(&unpacked);
        if (frame == nullptr) {
            ++m_counters.messagesDropped;
            return;
        }
        ++m_counters.messagesReceived;
        m_counters.bytesReceived += ByteCount(bytes.size());
        m_peers[frame->from].lastReceivedAt = std::chrono::steady_clock::now();
        m_callback(frame->from, std::move(frame->message));
    }

    boost::asio::io_context &m_context;
    PeerLinkOptions m_options;
    PeerMessageCallback m_callback;
    Socket m_listener;
    nng_aio *m_receive = nullptr;
    std::map<HostId, Peer> m_peers;
    PeerLinkCounters m_counters;
};

PeerLink::PeerLink(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

PeerLink::~PeerLink()
{
    m_implementation->close();
}

Result<std::unique_ptr<PeerLink>, PeerLinkFailure>
PeerLink::create(boost::asio::io_context &context, PeerLinkOptions options, PeerMessageCallback callback)
{
    auto implementation = std::make_shared<Implementation>(context, std::move(options), std::move(callback));
    if (auto failure = implementation->listen()) {
        return std::move(*failure);
    }
    return std::unique_ptr<PeerLink>(new PeerLink(std::move(implementation)));
}

void PeerLink::send(const HostId &to, const std::string &address, const nlohmann::json &message)
{
    m_implementation->send(to, address, message);
}

const PeerLinkCounters &PeerLink::counters() const
{
    return m_implementation->counters();
}

} // namespace Carawaymill
