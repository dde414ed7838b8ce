#include "http/HttpResponseParser.h"

#include <boost/beast/http/error.hpp>

namespace Carawaymill {

namespace http = boost::beast::http;

HttpResponseParser::HttpResponseParser()
{
    eager(true);
}

void HttpResponseParser::on_request_impl(http::verb, StringView, StringView, int, ErrorCode &error)
{
    error = http::error::bad_status;
}

void HttpResponseParser::on_response_impl(int status, StringView, int, ErrorCode &error)
{
    error = {};
    m_head.status = static_cast<unsigned>(status);
}

void HttpResponseParser::on_field_impl(http::field, StringView name, StringView value, ErrorCode &error)
{
    error = {};
    m_head.headers.emplace_back(std::string(name), std::string(value));
}

void HttpResponseParser::on_header_impl(ErrorCode &error)
{
    error = {};
}

void HttpResponseParser::on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &error)
{
    error = {};
}

std::size_t HttpResponseParser::on_body_impl(StringView bytes, ErrorCode &error)
{
    error = {};
    m_body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void HttpResponseParser::on_chunk_header_impl(std::uint64_t, StringView, ErrorCode &error)
{
    error = {};
}

std::size_t HttpResponseParser::on_chunk_body_impl(std::uint64_t, StringView bytes, ErrorCode &error)
{
    error = {};
    m_body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void HttpResponseParser::on_finish_impl(ErrorCode &error)
{
    error = {};
}

} // namespace Carawaymill
