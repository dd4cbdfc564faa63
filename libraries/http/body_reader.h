#pragma once

#include <cpprest/http_msg.h>

#include <memory>
#include <optional>
#include <string>

namespace ivypier::http {

/// Reads the body of one incoming request piece by piece, up to a limit. Only for the server.
class body_reader : public std::enable_shared_from_this<body_reader>
{
public:
    /// The body, or nothing when it has more than `limit` bytes. The task fails when the body is cut.
    static pplx::task<std::optional<std::string>> read(const web::http::http_request &incoming,
                                                       std::size_t limit);

    /// Makes the library stop reading the body of a refused request. It answers only after the body ended
    /// and would keep all of it in memory.
    static void abandon(const web::http::http_request &incoming);

private:
    body_reader(const web::http::http_request &incoming, std::size_t limit);

    void readMore();
    void takeAvailable();

    concurrency::streams::streambuf<std::uint8_t> m_source;
    std::size_t m_limit;
    std::string m_text;
    pplx::task_completion_event<std::optional<std::string>> m_done;
};

} // namespace ivypier::http
