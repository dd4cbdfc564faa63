#include "http/message_parser.h"

#include "base/status_codes.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>

namespace ivypier::http {

namespace beast = boost::beast::http;

template <bool IsRequest>
message_parser<IsRequest>::message_parser(limits maxSizes)
{
    base::eager(true);
    base::header_limit(maxSizes.headerBytes);
    base::body_limit(maxSizes.bodyBytes);
}

template <bool IsRequest>
outcome<std::size_t> message_parser<IsRequest>::feed(std::string_view bytes)
{
    failure_code failure;
    const bool hadHead = hasHead();
    const std::size_t bodyBytesBefore = m_bodyBytes;
    const std::size_t consumed = base::put(boost::asio::const_buffer(bytes.data(), bytes.size()), failure);
    if (!failure || failure == beast::error::need_more) {
        if (hadHead && isFramingTooLarge(bytes.size(), consumed, m_bodyBytes - bodyBytesBefore))
            return error{error_code::too_large, "the chunk headers or trailers are too long"};
        return consumed;
    }
    m_bodyTooLarge = failure == beast::error::body_limit;
    const bool tooLarge = failure == beast::error::header_limit || m_bodyTooLarge;
    return error{tooLarge ? error_code::too_large : error_code::invalid_argument, failure.message()};
}

template <bool IsRequest>
bool message_parser<IsRequest>::isFramingTooLarge(std::size_t offered, std::size_t consumed,
                                                  std::size_t bodyBytes)
{
    m_framingBytes += consumed - std::min(bodyBytes, consumed);
    return (consumed == 0 && offered > max_chunk_header_bytes)
        || m_framingBytes > max_framing_bytes + framing_bytes_per_body_byte * m_bodyBytes;
}

template <bool IsRequest>
bool message_parser<IsRequest>::end()
{
    if (isDone())
        return true;
    if (!hasHead())
        return false;
    failure_code failure;
    base::put_eof(failure);
    return !failure;
}

template <bool IsRequest>
void message_parser<IsRequest>::on_request_impl([[maybe_unused]] beast::verb verb,
                                                [[maybe_unused]] text method, [[maybe_unused]] text target,
                                                int version, failure_code &failure)
{
    if constexpr (IsRequest) {
        m_head.method.assign(method.data(), method.size());
        m_head.target.assign(target.data(), target.size());
        m_version = version;
        if (version != 11 && version != 10)
            failure = beast::error::bad_version;
    }
}

template <bool IsRequest>
void message_parser<IsRequest>::on_response_impl([[maybe_unused]] int status, text, int,
                                                 [[maybe_unused]] failure_code &failure)
{
    if constexpr (!IsRequest) {
        m_head.status = status;
        if (!isResponseStatus(status))
            failure = beast::error::bad_status;
    }
}

template <bool IsRequest>
void message_parser<IsRequest>::on_field_impl(beast::field name, text nameText, text value,
                                              failure_code &failure)
{
    const std::string_view content(value.data(), value.size());
    if (name == beast::field::transfer_encoding && !equalNames(content, "chunked"))
        failure = beast::error::bad_transfer_encoding;
    if (IsRequest && name == beast::field::host && m_head.fields.count("Host") > 0)
        failure = beast::error::bad_field;
    m_head.fields.add({nameText.data(), nameText.size()}, content);
}

template <bool IsRequest>
void message_parser<IsRequest>::on_header_impl(failure_code &)
{
}

template <bool IsRequest>
void message_parser<IsRequest>::on_body_init_impl(const boost::optional<std::uint64_t> &, failure_code &)
{
}

template <bool IsRequest>
std::size_t message_parser<IsRequest>::on_body_impl(text data, failure_code &)
{
    m_body.append(data.data(), data.size());
    m_bodyBytes += data.size();
    return data.size();
}

template <bool IsRequest>
void message_parser<IsRequest>::on_chunk_header_impl(std::uint64_t, text, failure_code &)
{
}

template <bool IsRequest>
std::size_t message_parser<IsRequest>::on_chunk_body_impl(std::uint64_t, text data, failure_code &)
{
    m_body.append(data.data(), data.size());
    m_bodyBytes += data.size();
    return data.size();
}

template <bool IsRequest>
void message_parser<IsRequest>::on_finish_impl(failure_code &)
{
}

template class message_parser<true>;
template class message_parser<false>;

} // namespace ivypier::http
