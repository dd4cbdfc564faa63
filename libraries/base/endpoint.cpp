#include "base/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace ivypier {

outcome<endpoint> endpoint::parse(std::string_view text)
{
    const error invalidAddress{error_code::invalid_argument,
                               "\"" + std::string(text) + "\" is not an address of the form 10.0.0.1:8080"};
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return invalidAddress;
    const std::string host(text.substr(0, colon));
    boost::system::error_code failure;
    boost::asio::ip::make_address_v4(host, failure);
    if (failure)
        return invalidAddress;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, conversionError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (conversionError != std::errc{} || end != digits.data() + digits.size() || port == 0)
        return invalidAddress;
    return endpoint{host, port};
}

std::string endpoint::text() const
{
    return host + ':' + std::to_string(port);
}

} // namespace ivypier
