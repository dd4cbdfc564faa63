#pragma once

#include "base/outcome.h"
#include "http/byte_stream.h"
#include "http/server.h"

#include <string>

namespace ivypier::http {

/// Returns a factory of server streams that use this certificate and TLS 1.2 or later. Fails with
/// `unavailable` if the files can't be loaded.
outcome<stream_factory> makeTlsServerStreams(const tls_files &files);

/// Returns a factory of client streams that trust the certificates of a PEM file. If the file can't be read,
/// no server is trusted, so every handshake fails.
stream_factory makeTlsClientStreams(const std::string &certificateAuthority);

} // namespace ivypier::http
