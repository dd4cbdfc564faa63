#pragma once

#include "base/outcome.h"
#include "http/byte_stream.h"
#include "http/server.h"

#include <string>

namespace ivypier::http {

/// Streams of a server that speaks TLS 1.2 and later with this certificate.
outcome<stream_factory> makeTlsServerStreams(const tls_files &files);

/// Streams of a client that trusts the certificates of a PEM file. A file that can't be read trusts none.
stream_factory makeTlsClientStreams(const std::string &certificateAuthority);

} // namespace ivypier::http
