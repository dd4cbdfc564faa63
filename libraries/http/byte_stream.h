#pragma once

#include "base/endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace ivypier::http {

/// A plain or TLS connection over TCP, used only on the event loop's thread. Handlers are never called from
/// within the function that they are passed to. After close(), a pending handler may still be called once,
/// with an error.
class byte_stream
{
public:
    using failure_code = boost::system::error_code;
    using completion_handler = std::function<void(const failure_code &)>;
    using write_handler = std::function<void(const failure_code &, std::size_t)>;

    virtual ~byte_stream() = default;

    /// Connects to `to`, including the TLS handshake if the stream is encrypted.
    virtual void connect(const endpoint &to, completion_handler done) = 0;

    /// Takes ownership of an accepted socket and, if the stream is encrypted, performs the TLS handshake.
    virtual void accept(boost::asio::ip::tcp::socket socket, completion_handler done) = 0;

    /// Waits until readSome() has data or the connection fails.
    virtual void waitReadable(completion_handler done) = 0;

    /// Reads up to `maxBytes` available bytes without blocking. Fails with `would_block` if there are none.
    virtual std::size_t readSome(char *to, std::size_t maxBytes, failure_code &failure) = 0;

    /// Returns whether the peer is known to have ended its side of the connection in order, once readSome()
    /// has failed with `eof`. If not, the connection is closed, and was reset unless the end came before the
    /// reset: a pending write fails with `broken_pipe` in that case, else with the error of the connection.
    virtual bool isEndInOrder() = 0;

    /// Writes all of `bytes`, which must stay valid until `done` is called.
    virtual void write(std::string_view bytes, write_handler done) = 0;

    /// Has the end of the connection show that what was written is incomplete, however it comes about, until
    /// closeInOrder() is called.
    virtual void markIncomplete() = 0;

    /// Closes the connection so that the peer can tell that it has received all.
    virtual void closeInOrder() = 0;

    virtual void close() = 0;
};

/// Reads up to 16 KiB of available data into a buffer shared by all streams of the thread. The returned view
/// is valid until the next call.
std::string_view readAvailable(byte_stream &from, byte_stream::failure_code &failure);

/// Creates the streams of one listener or connection pool.
using stream_factory = std::function<std::unique_ptr<byte_stream>(boost::asio::io_context &)>;

/// Creates an unencrypted stream.
std::unique_ptr<byte_stream> makePlainStream(boost::asio::io_context &context);

} // namespace ivypier::http
