#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace ivypier::http {

/// Sets TCP options so that small messages are sent without delay and an unreachable peer is detected within
/// about three seconds: by TCP_USER_TIMEOUT if data is unacknowledged, by keep-alive probes if the connection
/// is idle.
void configureSocket(boost::asio::ip::tcp::socket &socket);

/// Returns whether the connection is closed in both directions, by a reset at the latest. After the end of
/// the peer's side alone it is still open.
bool isConnectionClosed(boost::asio::ip::tcp::socket &socket);

} // namespace ivypier::http
