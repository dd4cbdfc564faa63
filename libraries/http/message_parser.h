#pragma once

#include "base/outcome.h"
#include "http/incoming_head.h"

#include <ostream> // Boost.Beast uses std::ostream without including it
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

namespace ivypier::http {

/// Longest chunk header or block of trailers in bytes.
inline constexpr std::size_t max_chunk_header_bytes = std::size_t{8} * 1024;

/// Bytes of chunk headers and trailers that a body may have, besides `framing_bytes_per_body_byte` for each
/// of its bytes. The framing of a chunk with one byte takes five bytes.
inline constexpr std::size_t max_framing_bytes = std::size_t{64} * 1024;
inline constexpr std::size_t framing_bytes_per_body_byte = 16;

/// Incremental parser of one HTTP message. Rejects ambiguous framing: a Content-Length together with a
/// Transfer-Encoding, two different lengths, and any transfer coding other than `chunked`; and responses with
/// a status outside the classes of HTTP.
template <bool IsRequest>
class message_parser final : private boost::beast::http::basic_parser<IsRequest>
{
public:
    using head_type = std::conditional_t<IsRequest, request_head, response_head>;
    using base = boost::beast::http::basic_parser<IsRequest>;

    struct limits
    {
        std::uint32_t headerBytes = 16 * 1024;
        std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    };

    explicit message_parser(limits maxSizes);

    /// Parses bytes and returns how many were consumed; the caller passes the rest again, together with the
    /// bytes that follow. Fails with `too_large` if the header, the body or its chunk headers exceed their
    /// limits, else `invalid_argument`.
    outcome<std::size_t> feed(std::string_view bytes);

    /// Signals that the peer closed the connection. Returns false if the message is incomplete.
    bool end();

    bool hasHead() const
    {
        return base::is_header_done();
    }
    bool isDone() const
    {
        return base::is_done();
    }

    /// Returns true if feed() failed because of the body's size rather than the header's.
    bool isBodyTooLarge() const
    {
        return m_bodyTooLarge;
    }

    /// Returns true if the body has no length and is terminated by the end of the connection.
    bool endsAtEof() const
    {
        return base::need_eof();
    }
    bool keepsAlive() const
    {
        return base::keep_alive();
    }
    bool isChunked() const
    {
        return base::chunked();
    }

    /// Returns whether the peer speaks HTTP/1.0, which has no chunked transfer coding.
    bool isHttp10() const
    {
        constexpr int http10 = 10;
        return m_version == http10;
    }

    /// Tells the parser that the message has no body, as in a response to HEAD.
    void expectNoBody()
    {
        base::skip(true);
    }

    const head_type &head() const
    {
        return m_head;
    }
    head_type takeHead()
    {
        return std::move(m_head);
    }

    /// Returns the part of the body that was parsed since the last call.
    std::string takeBody()
    {
        return std::exchange(m_body, {});
    }
    std::size_t bodySize() const
    {
        return m_body.size();
    }

private:
    using text = boost::beast::string_view;
    using failure_code = boost::beast::error_code;

    void on_request_impl(boost::beast::http::verb, text method, text target, int version,
                         failure_code &) override;
    void on_response_impl(int status, text, int version, failure_code &) override;
    void on_field_impl(boost::beast::http::field name, text nameText, text value, failure_code &) override;
    void on_header_impl(failure_code &) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &, failure_code &) override;
    std::size_t on_body_impl(text data, failure_code &) override;
    void on_chunk_header_impl(std::uint64_t, text, failure_code &) override;
    std::size_t on_chunk_body_impl(std::uint64_t, text data, failure_code &) override;
    void on_finish_impl(failure_code &) override;

    bool isFramingTooLarge(std::size_t offered, std::size_t consumed, std::size_t bodyBytes);

    head_type m_head;
    std::string m_body;
    std::size_t m_bodyBytes = 0; ///< total number of bytes of the body
    std::size_t m_framingBytes = 0; ///< total number of bytes of chunk headers and trailers
    bool m_bodyTooLarge = false;
    int m_version = 0; ///< ten times the version of HTTP
};

extern template class message_parser<true>;
extern template class message_parser<false>;

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

} // namespace ivypier::http
