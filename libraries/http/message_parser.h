#pragma once

#include "base/outcome.h"
#include "http/incoming_head.h"

#include <ostream> // the library's headers use std::ostream without including it
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

namespace ivypier::http {

/// Parses one message from bytes as they come. The framing is strict: a length beside a transfer coding, two
/// lengths, and any coding but `chunked` are errors.
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

    /// Takes bytes; how many belong to this message, or why they are none.
    outcome<std::size_t> feed(std::string_view bytes);

    /// The peer closed. False when the message needed more.
    bool end();

    bool hasHead() const
    {
        return base::is_header_done();
    }
    bool isDone() const
    {
        return base::is_done();
    }

    /// True when feed() failed because the body is over its bound, rather than the header.
    bool isBodyTooLarge() const
    {
        return m_bodyTooLarge;
    }

    /// True when the body has no length and ends with the connection.
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

    /// A response to HEAD has no body.
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

    /// The part of the body that came since the last call.
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
    std::size_t on_body_impl(text piece, failure_code &) override;
    void on_chunk_header_impl(std::uint64_t, text, failure_code &) override;
    std::size_t on_chunk_body_impl(std::uint64_t, text piece, failure_code &) override;
    void on_finish_impl(failure_code &) override;

    head_type m_head;
    std::string m_body;
    bool m_bodyTooLarge = false;
};

extern template class message_parser<true>;
extern template class message_parser<false>;

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

} // namespace ivypier::http
