#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace ivypier::http {

/// Sends small messages at once, and finds a peer that vanished within some three seconds: unacknowledged
/// data by TCP_USER_TIMEOUT, an idle connection by keep-alive probes.
void configureSocket(boost::asio::ip::tcp::socket &socket);

} // namespace ivypier::http
