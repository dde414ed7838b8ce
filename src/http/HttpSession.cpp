#include "http/HttpSession.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cassert>
#include <charconv>

namespace Carawaymill {

namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr std::size_t firstReadSize = 4096;

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
            session->sendWhole(response);
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

void HttpSession::start(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> shared)
{
    std::make_shared<HttpSession>(std::move(socket), std::move(shared))->readRequest();
}

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> shared)
    : m_stream(std::move(socket))
    , m_shared(std::move(shared))
{
    m_shared->sessions.insert(this);
}

HttpSession::~HttpSession()
{
    m_shared->sessions.erase(this);
}

void HttpSession::closeIfIdle()
{
    // If bytes of a request have already arrived, it is served. Otherwise the read ends with an error, which closes the
    // connection.
    if (m_awaiting) {
        m_stream.cancel();
    }
}

/// Whether the caller sent malformed HTTP, as opposed to a connection that was closed or timed out.
static bool isMalformed(error_code error)
{
    const bool isHttpError = error.category() == http::make_error_code(http::error::bad_method).category();
    return error && isHttpError && error != http::error::end_of_stream && error != http::error::partial_message;
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
    m_awaiting = true;
    m_stream.expires_after(m_shared->options.limits.idleTimeout);
    m_stream.async_read_some(m_buffer.prepare(firstReadSize),
                             [self = shared_from_this()](error_code error, std::size_t received) {
                                 self->m_awaiting = false;
                                 self->m_buffer.commit(received);
                                 if (error) {
                                     self->close();
                                 } else {
                                     self->readMessage();
                                 }
                             });
}

void HttpSession::readMessage()
{
    const CallerLimits &limits = m_shared->options.limits;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes.value()));
    m_parser->body_limit(limits.bodyBytes.value());
    m_stream.expires_after(limits.readTimeout);
    http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
        if (error == http::error::body_limit) {
            self->refuse(413, "body-too-large", "The request body is larger than the limit.");
        } else if (error == http::error::header_limit) {
            self->refuse(431, "header-too-large", "The request header is larger than the limit.");
        } else if (isMalformed(error)) {
            self->refuse(400, "malformed-request", error.message());
        } else if (error) {
            self->close();
        } else {
            self->handOver();
        }
    });
}

void HttpSession::refuse(unsigned status, const std::string &type, const std::string &detail)
{
    const nlohmann::json problem = {
        {"type", "urn:carawaymill:problem:" + type}, {"status", status}, {"detail", detail}, {"ran", "no"}};
    m_keepAlive = false;
    m_inProgress = true;
    ++m_shared->requestsInProgress;
    sendWhole({.status = status, .headers = {{"Content-Type", "application/problem+json"}}, .body = problem.dump()});
}

void HttpSession::handOver()
{
    m_stream.expires_never();
    m_inProgress = true;
    m_answerComplete = false;
    ++m_shared->requestsInProgress;
    auto message = m_parser->release();
    m_keepAlive = message.keep_alive();
    HttpRequest request{.method = std::string(message.method_string()),
                        .target = std::string(message.target()),
                        .headers = {},
                        .body = std::move(message.body())};
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    watchCaller();
    m_shared->handler(std::move(request), std::make_unique<SessionResponder>(shared_from_this()));
}

void HttpSession::watchCaller()
{
    if (m_watching || m_buffer.size() > 0) {
        return;
    }
    m_watching = true;
    m_stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            self->m_watching = false;
            if (error || !self->m_inProgress) {
                return;
            }
            // A readable socket without available bytes means that the caller has closed the connection.
            if (char byte = 0; self->m_stream.socket().available(error) == 0 || error) {
                const auto received = self->m_stream.socket().receive(
                    boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, error);
                if (received == 0 || error) {
                    self->fail();
                }
            }
        });
}

void HttpSession::onCallerDisconnected(std::function<void()> callback)
{
    if (m_closed) {
        callback();
        return;
    }
    m_callerGone = std::move(callback);
}

std::string HttpSession::head(const HttpResponse &response, const std::string &framing) const
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &[name, value] : response.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append(framing).append("\r\n");
    if (!m_keepAlive || m_shared->draining) {
        text.append("Connection: close\r\n");
    }
    return text.append("\r\n");
}

void HttpSession::sendWhole(const HttpResponse &response)
{
    m_answerComplete = true;
    enqueue(head(response, "Content-Length: " + std::to_string(response.body.size())) + response.body);
}

void HttpSession::startStream(const HttpResponse &response)
{
    enqueue(head(response, "Transfer-Encoding: chunked"));
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
    m_answerComplete = true;
    enqueue("0\r\n\r\n");
}

void HttpSession::abandon()
{
    // The owner of the responder caused this, and may itself be in its destructor: the disconnect callback must not
    // run.
    m_callerGone = nullptr;
    fail();
}

void HttpSession::enqueue(const std::string &bytes)
{
    if (m_closed) {
        return;
    }
    m_outgoing += bytes;
    if (!m_writing) {
        writeNext();
    }
}

void HttpSession::writeNext()
{
    m_writing = true;
    m_inWriting = std::exchange(m_outgoing, {});
    boost::asio::async_write(
        m_stream, boost::asio::buffer(m_inWriting), [self = shared_from_this()](error_code error, std::size_t) {
            self->m_writing = false;
            if (error || self->m_closed) {
                self->fail();
            } else if (!self->m_outgoing.empty()) {
                self->writeNext();
            } else if (self->m_answerComplete) {
                self->finishRequest();
            }
        });
}

void HttpSession::finishRequest()
{
    assert(m_inProgress);
    m_inProgress = false;
    m_callerGone = nullptr;
    --m_shared->requestsInProgress;
    if (!m_keepAlive || m_shared->draining) {
        close();
        return;
    }
    readRequest();
}

void HttpSession::fail()
{
    close();
    if (std::exchange(m_inProgress, false)) {
        --m_shared->requestsInProgress;
    }
    if (const auto callback = std::exchange(m_callerGone, nullptr)) {
        callback();
    }
}

void HttpSession::close()
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
}

} // namespace Carawaymill
