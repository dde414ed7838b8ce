#pragma once

#include "http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <set>

namespace Carawaymill {

class HttpSession;

/// State shared by all sessions of one server.
struct HttpServerState
{
    HttpServerOptions options;
    HttpHandler handler;
    std::set<HttpSession *> sessions;
    std::shared_ptr<CallerConnections> connections;
    ListenerNumber listener;
    std::size_t requestsInProgress = 0;
    /// Bytes of responses that are queued on all connections but those that are given up.
    std::size_t unsentBytes = 0;
    /// Responses announce that their connection is closed, which is done once they are complete.
    bool announcesClose = false;
    /// Connections are also closed after responses that have not announced it, unless a request has arrived.
    bool closesIdle = false;

    /// Whether nearly all connections are in use. Each response then closes its connection, so that callers that keep
    /// theirs busy leave room for others.
    [[nodiscard]] bool isNearConnectionLimit() const
    {
        return sessions.size() >= options.connectionLimit - options.connectionLimit / 8;
    }
};

/// One connection of a caller: reads a request, passes it to the handler, writes the response, and repeats.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    static void start(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> server);
    HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> server);
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;
    ~HttpSession();

    /// Closes the connection if a response was sent on it and no byte of a further request has arrived. The first
    /// request on a new connection is on its way.
    void closeIfIdle();
    /// Closes the connection unless a request is in progress.
    void closeUnlessBusy();
    void close();
    /// Refuses the request that is being read, which has not run, and closes the connection.
    void evict();

    // The responder of the request in progress calls these functions, see `HttpResponder`.
    void sendResponse(const HttpResponse &response);
    void startStream(const HttpResponse &head);
    void writeChunk(const std::string &chunk);
    void finishStream();
    /// Called when the responder is destroyed before the response is complete.
    void abandon();
    void onCallerDisconnected(std::function<void()> callback);

private:
    /// Reads the next request; its first bytes may already be in `m_buffer`.
    void readRequest();
    /// Waits for the first bytes of a request, for at most the idle timeout.
    void awaitRequest();
    /// Reads a request of which the first bytes have arrived, for at most the read timeout.
    void readMessage();
    /// Reads more bytes of the request.
    void readMore();
    /// Parses the bytes that have arrived, and goes on with the request once it is complete.
    void parse();
    /// Rejects the request if it is malformed or larger than its limits. Returns whether it did.
    [[nodiscard]] bool rejectFaulty(boost::system::error_code error);
    /// Whether the framing of the request, beside its body, is within its limits.
    [[nodiscard]] bool isFramingBounded() const;
    /// Refuses requests until the host holds no more bytes of requests than its limit allows.
    void limitRequestBytes();
    /// Records the phase of the connection and the bytes of requests that it holds.
    void recordPhase(ConnectionPhase phase);
    void dispatchRequest();
    void rejectRequest(unsigned status, const std::string &type, const std::string &detail);
    /// Reads ahead while a request is in progress, to notice when the caller closes its connection.
    void watchForDisconnect();
    /// Continues after a read of watchForDisconnect().
    void readAhead(boost::system::error_code error);
    void enqueue(const std::string &bytes);
    /// Closes the connections of the slowest callers until the bytes that are queued are within their limit.
    void limitUnsentBytes();
    /// Drops the bytes that are queued, and closes the connection once the handlers that run have returned.
    void giveUpWriting();

    [[nodiscard]] std::size_t unsentBytes() const { return m_queuedBytes.size() + m_writeBuffer.size(); }

    void writeNext();
    void finishRequest();
    /// Continues after a response whose connection stays open.
    void awaitNextRequest();
    /// Closes the connection, ends the request in progress and runs the disconnect callback.
    void fail();
    [[nodiscard]] bool hasUnreadBytes() const;
    void beginResponse();
    /// Serialises status and headers; `framing` is the header that states where the body ends.
    [[nodiscard]] std::string serialiseHead(const HttpResponse &response, const std::string &framing) const;

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<HttpServerState> m_server;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    ConnectionNumber m_number;
    /// Bytes of the request that have been parsed, and those of its head.
    std::size_t m_parsedBytes = 0;
    std::size_t m_headBytes = 0;
    /// Bytes of the request in progress.
    std::size_t m_requestBytes = 0;
    /// Bytes to write after the write in progress has ended.
    std::string m_queuedBytes;
    /// Bytes of the write in progress.
    std::string m_writeBuffer;
    std::function<void()> m_disconnectCallback;
    bool m_writing = false;
    /// Waiting for the first byte of a request.
    bool m_awaitingRequest = false;
    bool m_requestInProgress = false;
    bool m_responseComplete = false;
    /// The connection stays open after the response.
    bool m_keepAlive = true;
    /// A response was sent on the connection.
    bool m_hasResponded = false;
    bool m_readingAhead = false;
    bool m_closed = false;
    /// The caller receives too slowly; the connection is about to be closed.
    bool m_givenUp = false;
    /// The request that was being read has been refused.
    bool m_evicted = false;
};

} // namespace Carawaymill
