#include "http/body_reader.h"

#include <algorithm>

namespace ivypier::http {

namespace {

/// Most bytes taken at once.
constexpr std::size_t piece_limit = std::size_t{64} * 1024;

} // namespace

pplx::task<std::optional<std::string>> body_reader::read(const web::http::http_request &incoming,
                                                         std::size_t limit)
{
    const std::shared_ptr<body_reader> reader(new body_reader(incoming, limit));
    reader->readMore();
    return pplx::task<std::optional<std::string>>(reader->m_done);
}

void body_reader::abandon(const web::http::http_request &incoming)
{
    incoming._get_impl()->_complete(0, std::make_exception_ptr(std::runtime_error("the body is refused")));
}

body_reader::body_reader(const web::http::http_request &incoming, std::size_t limit)
    : m_source(incoming.body().streambuf())
    , m_limit(limit)
{
}

void body_reader::readMore()
{
    m_source.getc().then([self = shared_from_this()](const pplx::task<int> &read) {
        try {
            if (read.get() == std::char_traits<char>::eof())
                self->m_done.set(std::move(self->m_text));
            else
                self->takeAvailable();
        } catch (...) { // the body was cut
            self->m_done.set_exception(std::current_exception());
        }
    });
}

void body_reader::takeAvailable()
{
    const std::size_t count = std::min(m_source.in_avail(), piece_limit);
    auto piece = std::make_shared<std::string>(count, '\0');
    m_source.getn(reinterpret_cast<std::uint8_t *>(piece->data()), count)
        .then([self = shared_from_this(), piece](const pplx::task<std::size_t> &read) {
            try {
                self->m_text.append(*piece, 0, read.get());
                if (self->m_text.size() > self->m_limit)
                    self->m_done.set(std::nullopt);
                else
                    self->readMore();
            } catch (...) { // the body was cut
                self->m_done.set_exception(std::current_exception());
            }
        });
}

} // namespace ivypier::http
