#include "http/HttpSession.h"

#include "support/BootClock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>

namespace Carawaymill {

namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr std::size_t firstReadSize = 4096;
static constexpr std::size_t readSize = 16384;
/// Framing of a chunked body for each of its bytes, beside the size of a head: one byte in a chunk of its own takes
/// five, or more with leading zeros.
static constexpr std::size_t framingPerBodyByte = 16;
/// Copies of a request in progress: one to send it to further targets, and one that is being sent.
static constexpr std::size_t requestCopies = 2;
/// Bytes of further requests that are read while a request is in progress. A caller that has sent more is only found to
/// have left when its response is written.
static constexpr std::size_t readAheadLimit = 64U << 10U;

/// Passes the handler's response to the session. May outlive the connection.
class SessionResponder final : public HttpResponder
{
public:
    explicit SessionResponder(std::shared_ptr<HttpSession> session)
        : m_session(std::move(session))
    {
    }

    SessionResponder(const SessionResponder &) = delete;
    SessionResponder &operator=(const SessionResponder &) = delete;

    ~SessionResponder() override
    {
        if (m_session) {
            m_session->abandon();
        }
    }

    void send(const HttpResponse &response) override
    {
        if (const auto session = std::exchange(m_session, nullptr)) {
            session->sendResponse(response);
        }
    }

    void startStream(const HttpResponse &head) override
    {
        if (m_session) {
            m_session->startStream(head);
        }
    }

    void writeChunk(const std::string &chunk) override
    {
        if (m_session) {
            m_session->writeChunk(chunk);
        }
    }

    void finishStream() override
    {
        if (const auto session = std::exchange(m_session, nullptr)) {
            session->finishStream();
        }
    }

    void onCallerDisconnected(std::function<void()> callback) override
    {
        if (m_session) {
            m_session->onCallerDisconnected(std::move(callback));
        }
    }

private:
    std::shared_ptr<HttpSession> m_session;
};

void HttpSession::start(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> server)
{
    std::make_shared<HttpSession>(std::move(socket), std::move(server))->readRequest();
}

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> server)
    : m_stream(std::move(socket))
    , m_server(std::move(server))
{
    m_server->sessions.insert(this);
    m_number = m_server->connections->table.add(m_server->listener, readBootClock());
    m_server->connections->sessions.emplace(m_number, this);
}

HttpSession::~HttpSession()
{
    if (!m_givenUp) {
        m_server->unsentBytes -= unsentBytes();
    }
    m_server->sessions.erase(this);
    m_server->connections->sessions.erase(m_number);
    m_server->connections->table.remove(m_number);
}

void HttpSession::closeIfIdle()
{
    if (m_awaitingRequest && m_hasResponded && !hasUnreadBytes()) {
        // The read ends with an error, which closes the connection, or with bytes that have arrived meanwhile.
        m_stream.cancel();
    }
}

void HttpSession::closeUnlessBusy()
{
    if (m_awaitingRequest) {
        m_stream.cancel();
    }
}

bool HttpSession::hasUnreadBytes() const
{
    error_code ignored;
    return m_buffer.size() > 0 || m_stream.socket().available(ignored) > 0;
}

void HttpSession::readRequest()
{
    if (m_buffer.size() == 0) {
        awaitRequest();
    } else {
        readMessage();
    }
}

void HttpSession::awaitRequest()
{
    m_awaitingRequest = true;
    m_buffer.shrink_to_fit();
    if (m_hasResponded) {
        recordPhase(ConnectionPhase::Idle);
    }
    m_stream.expires_after(m_server->options.limits.idleTimeout);
    m_stream.async_read_some(m_buffer.prepare(firstReadSize),
                             [self = shared_from_this()](error_code error, std::size_t received) {
                                 self->m_awaitingRequest = false;
                                 self->m_buffer.commit(received);
                                 if (error || self->m_closed) {
                                     self->close();
                                 } else {
                                     self->readMessage();
                                 }
                             });
}

void HttpSession::readMessage()
{
    const CallerLimits &limits = m_server->options.limits;
    m_parsedBytes = 0;
    m_headBytes = 0;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes.value()));
    m_parser->body_limit(limits.bodyBytes.value());
    m_stream.expires_after(limits.readTimeout);
    parse();
}

void HttpSession::readMore()
{
    m_stream.async_read_some(m_buffer.prepare(readSize),
                             [self = shared_from_this()](error_code error, std::size_t received) {
                                 self->m_buffer.commit(received);
                                 if (self->m_evicted || self->m_closed) {
                                     return;
                                 }
                                 if (error) {
                                     self->close();
                                 } else {
                                     self->parse();
                                 }
                             });
}

void HttpSession::parse()
{
    error_code error;
    while (!error && m_buffer.size() > 0 && !m_parser->is_done()) {
        const std::size_t parsed = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(parsed);
        m_parsedBytes += parsed;
        if (m_parser->is_header_done() && m_headBytes == 0) {
            m_headBytes = m_parsedBytes - m_parser->get().body().size();
        }
    }
    if (error != http::error::need_more && rejectFaulty(error)) {
        return;
    }
    if (!isFramingBounded()) {
        ++m_server->connections->counts.overlongFraming;
        rejectRequest(
            400, "malformed-request", "The chunk lines or trailers of the request are larger than the limit.");
        return;
    }
    if (m_parser->is_done()) {
        dispatchRequest();
        return;
    }
    recordPhase(ConnectionPhase::Reading);
    limitRequestBytes();
    if (!m_evicted) {
        readMore();
    }
}

bool HttpSession::rejectFaulty(error_code error)
{
    if (error == http::error::body_limit) {
        rejectRequest(413, "body-too-large", "The request body is larger than the limit.");
    } else if (error == http::error::header_limit) {
        rejectRequest(431, "header-too-large", "The request header is larger than the limit.");
    } else if (error) {
        rejectRequest(400, "malformed-request", error.message());
    }
    return error.failed();
}

bool HttpSession::isFramingBounded() const
{
    if (!m_parser->is_header_done()) {
        return true;
    }
    const std::size_t limit = m_server->options.limits.headerBytes.value();
    const std::size_t bodyBytes = m_parser->get().body().size();
    const std::size_t framing = m_parsedBytes - m_headBytes - std::min(bodyBytes, m_parsedBytes - m_headBytes);
    // Bytes that are not parsed yet belong to a line, or to trailers, whose end has not arrived.
    const bool isLineBounded = m_parser->is_done() || m_buffer.size() <= limit;
    return isLineBounded && framing <= limit + framingPerBodyByte * bodyBytes;
}

void HttpSession::recordPhase(ConnectionPhase phase)
{
    std::size_t bytes = m_buffer.capacity();
    if (phase == ConnectionPhase::Reading) {
        const std::string &body = m_parser->get().body();
        // A body that grows has a capacity of up to twice its size; one whose length was announced is not in use yet.
        bytes += m_headBytes + std::min(body.capacity(), 2 * body.size());
    } else if (phase == ConnectionPhase::InProgress) {
        bytes += requestCopies * m_requestBytes;
    }
    m_server->connections->table.update(m_number, phase, bytes, readBootClock());
}

void HttpSession::limitRequestBytes()
{
    CallerConnections &connections = *m_server->connections;
    while (const auto largest = connections.table.excess(readBootClock())) {
        ++connections.counts.evicted;
        connections.sessions.at(*largest)->evict();
    }
}

void HttpSession::evict()
{
    m_evicted = true;
    // The read in progress still uses the buffer, which is small; the body is freed at once.
    m_parser.reset();
    m_requestBytes = 0;
    recordPhase(ConnectionPhase::InProgress);
    rejectRequest(
        503, "request-memory-used-up", "The host holds too many unfinished requests. The request has not run.");
}

void HttpSession::rejectRequest(unsigned status, const std::string &type, const std::string &detail)
{
    const nlohmann::json problem = {
        {"type", "urn:carawaymill:problem:" + type}, {"status", status}, {"detail", detail}, {"ran", "no"}};
    // Frees the body at once; the read in progress, if any, still uses the buffer, which is small.
    m_parser.reset();
    m_requestBytes = 0;
    recordPhase(ConnectionPhase::InProgress);
    m_keepAlive = false;
    m_requestInProgress = true;
    ++m_server->requestsInProgress;
    sendResponse({.status = status, .headers = {{"Content-Type", "application/problem+json"}}, .body = problem.dump()});
}

void HttpSession::dispatchRequest()
{
    m_requestBytes = m_headBytes + m_parser->get().body().size();
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
    }
    recordPhase(ConnectionPhase::InProgress);
    if (m_server->connections->table.isFilledByRequestsInProgress()) {
        ++m_server->connections->counts.refused;
        evict();
        return;
    }
    limitRequestBytes();
    m_stream.expires_never();
    m_requestInProgress = true;
    m_responseComplete = false;
    ++m_server->requestsInProgress;
    auto message = m_parser->release();
    m_keepAlive = message.keep_alive();
    HttpRequest request{.method = std::string(message.method_string()),
                        .target = std::string(message.target()),
                        .headers = {},
                        .body = std::move(message.body())};
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    watchForDisconnect();
    m_server->handler(std::move(request), std::make_unique<SessionResponder>(shared_from_this()));
}

void HttpSession::watchForDisconnect()
{
    const bool hasReadAhead = m_buffer.size() > 0;
    if (m_readingAhead || m_buffer.size() >= readAheadLimit
        || (hasReadAhead && !m_server->connections->table.mayReadAhead())) {
        return;
    }
    m_readingAhead = true;
    // The end of the connection comes behind any bytes that the caller has sent ahead, so that these must be read.
    m_stream.socket().async_read_some(m_buffer.prepare(firstReadSize),
                                      [self = shared_from_this()](error_code error, std::size_t received) {
                                          self->m_readingAhead = false;
                                          self->m_buffer.commit(received);
                                          self->readAhead(error);
                                      });
}

void HttpSession::readAhead(error_code error)
{
    if (m_requestInProgress) {
        if (error) {
            fail();
        } else {
            recordPhase(ConnectionPhase::InProgress);
            watchForDisconnect();
        }
        return;
    }
    const bool hasFailed = m_closed || (error && error != boost::asio::error::operation_aborted);
    if (hasFailed) {
        close();
    } else {
        awaitNextRequest();
    }
}

void HttpSession::onCallerDisconnected(std::function<void()> callback)
{
    if (m_closed) {
        callback();
        return;
    }
    m_disconnectCallback = std::move(callback);
}

std::string HttpSession::serialiseHead(const HttpResponse &response, const std::string &framing) const
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &[name, value] : response.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append(framing).append("\r\n");
    if (!m_keepAlive) {
        text.append("Connection: close\r\n");
    }
    return text.append("\r\n");
}

void HttpSession::beginResponse()
{
    m_hasResponded = true;
    m_keepAlive = m_keepAlive && !m_server->announcesClose && !m_server->isNearConnectionLimit();
}

void HttpSession::sendResponse(const HttpResponse &response)
{
    m_responseComplete = true;
    beginResponse();
    enqueue(serialiseHead(response, "Content-Length: " + std::to_string(response.body.size())) + response.body);
}

void HttpSession::startStream(const HttpResponse &response)
{
    beginResponse();
    enqueue(serialiseHead(response, "Transfer-Encoding: chunked"));
}

void HttpSession::writeChunk(const std::string &chunk)
{
    if (chunk.empty()) {
        return;
    }
    std::array<char, 2 * sizeof(std::size_t)> size{};
    const auto [end, failure] = std::to_chars(size.data(), size.data() + size.size(), chunk.size(), 16);
    assert(failure == std::errc());
    std::string framed(size.data(), end);
    enqueue(framed.append("\r\n").append(chunk).append("\r\n"));
}

void HttpSession::finishStream()
{
    m_responseComplete = true;
    enqueue("0\r\n\r\n");
}

void HttpSession::abandon()
{
    // The caller has not disconnected: the responder was destroyed, perhaps while its owner is being destroyed too. So
    // the disconnect callback, which may refer to the owner, must not run.
    m_disconnectCallback = nullptr;
    fail();
}

void HttpSession::enqueue(const std::string &bytes)
{
    if (m_closed || m_givenUp) {
        return;
    }
    m_queuedBytes += bytes;
    m_server->unsentBytes += bytes.size();
    if (!m_writing) {
        writeNext();
    }
    limitUnsentBytes();
}

void HttpSession::limitUnsentBytes()
{
    while (m_server->unsentBytes > m_server->options.unsentLimit.value()) {
        HttpSession *slowest = nullptr;
        for (HttpSession *session : m_server->sessions) {
            if (!session->m_givenUp && (slowest == nullptr || session->unsentBytes() > slowest->unsentBytes())) {
                slowest = session;
            }
        }
        if (slowest == nullptr || slowest->unsentBytes() == 0) {
            return;
        }
        slowest->giveUpWriting();
    }
}

void HttpSession::giveUpWriting()
{
    m_givenUp = true;
    m_server->unsentBytes -= unsentBytes();
    std::string().swap(m_queuedBytes);
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->fail(); });
}

void HttpSession::writeNext()
{
    m_writing = true;
    m_writeBuffer = std::exchange(m_queuedBytes, {});
    // A caller that does not receive must not keep its connection for good.
    m_stream.expires_after(m_server->options.limits.idleTimeout);
    boost::asio::async_write(
        m_stream, boost::asio::buffer(m_writeBuffer), [self = shared_from_this()](error_code error, std::size_t) {
            self->m_writing = false;
            self->m_stream.expires_never();
            if (!self->m_givenUp) {
                self->m_server->unsentBytes -= self->m_writeBuffer.size();
            }
            std::string().swap(self->m_writeBuffer);
            if (error || self->m_closed) {
                self->fail();
            } else if (!self->m_queuedBytes.empty()) {
                self->writeNext();
            } else if (self->m_responseComplete) {
                self->finishRequest();
            }
        });
}

void HttpSession::finishRequest()
{
    assert(m_requestInProgress);
    m_requestInProgress = false;
    m_requestBytes = 0;
    m_disconnectCallback = nullptr;
    --m_server->requestsInProgress;
    if (!m_keepAlive) {
        close();
    } else if (m_readingAhead) {
        // readAhead() goes on with the next request.
        error_code ignored;
        m_stream.socket().cancel(ignored);
    } else {
        awaitNextRequest();
    }
}

void HttpSession::awaitNextRequest()
{
    if (m_server->closesIdle && !hasUnreadBytes()) {
        close();
    } else {
        readRequest();
    }
}

void HttpSession::fail()
{
    close();
    if (std::exchange(m_requestInProgress, false)) {
        --m_server->requestsInProgress;
    }
    if (const auto callback = std::exchange(m_disconnectCallback, nullptr)) {
        callback();
    }
}

void HttpSession::close()
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    m_server->connections->table.remove(m_number);
    error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
}

} // namespace Carawaymill
