#include "membership/authenticated_datagram.h"

namespace ivypier::membership {

std::string authenticateDatagram(const secret_key &fleetKey, std::string_view context, std::string_view body)
{
    return fleetKey.authenticate(std::string(context).append(body)).append(body);
}

outcome<std::string_view> verifyDatagram(const secret_key &fleetKey, std::string_view context,
                                         std::string_view datagram)
{
    if (datagram.size() < authenticator_bytes)
        return error{error_code::unauthenticated, "too short"};
    const std::string_view body = datagram.substr(authenticator_bytes);
    if (!fleetKey.verify(std::string(context).append(body), datagram.substr(0, authenticator_bytes)))
        return error{error_code::unauthenticated, "not of this fleet"};
    return body;
}

} // namespace ivypier::membership
