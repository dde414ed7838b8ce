#pragma once

#include "http/HttpMessages.h"

#include <boost/beast/http/basic_parser.hpp>

#include <string>
#include <vector>

namespace Carawaymill {

/// Parses the bytes of a connection into the head and the body parts of one response.
class HttpResponseParser final : public boost::beast::http::basic_parser<false>
{
public:
    HttpResponseParser();

    /// Valid when `is_header_done` returns true.
    [[nodiscard]] HttpResponseHead &head() { return m_head; }

    /// Returns the body bytes parsed since the last call.
    [[nodiscard]] std::string takeBody() { return std::exchange(m_body, {}); }

    [[nodiscard]] bool hasBody() const { return !m_body.empty(); }

private:
    using ErrorCode = boost::beast::error_code;
    using StringView = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method,
                         StringView methodName,
                         StringView target,
                         int version,
                         ErrorCode &error) override;
    void on_response_impl(int status, StringView reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field field, StringView name, StringView value, ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &error) override;
    std::size_t on_body_impl(StringView bytes, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t size, StringView extensions, ErrorCode &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, StringView bytes, ErrorCode &error) override;
    void on_finish_impl(ErrorCode &error) override;

    HttpResponseHead m_head;
    std::string m_body;
};

} // namespace Carawaymill
