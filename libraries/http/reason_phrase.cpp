#include "http/reason_phrase.h"

#include <ostream> // Boost.Beast uses std::ostream without including it

#include <boost/beast/http/status.hpp>

namespace ivypier::http {

std::string_view reasonPhrase(int status)
{
    const auto known = boost::beast::http::int_to_status(static_cast<unsigned>(status));
    if (known == boost::beast::http::status::unknown)
        return "Status";
    const auto text = boost::beast::http::obsolete_reason(known);
    return {text.data(), text.size()};
}

} // namespace ivypier::http
