#pragma once

#include "base/endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace ivypier::http {

/// A TCP connection, plain or encrypted, on the event loop's thread. Handlers run as later tasks; after
/// close() they may still run once, with an error.
class byte_stream
{
public:
    using failure_code = boost::system::error_code;
    using completion_handler = std::function<void(const failure_code &)>;
    using write_handler = std::function<void(const failure_code &, std::size_t)>;

    virtual ~byte_stream() = default;

    /// Connects to a peer.
    virtual void connect(const endpoint &to, completion_handler done) = 0;

    /// Takes over a connection that was accepted.
    virtual void accept(boost::asio::ip::tcp::socket socket, completion_handler done) = 0;

    /// Waits until readSome() has something to give.
    virtual void waitReadable(completion_handler done) = 0;

    /// Reads what is there; `would_block` when that is nothing.
    virtual std::size_t readSome(char *to, std::size_t maxBytes, failure_code &failure) = 0;

    /// Writes everything; `bytes` must stay until `done`.
    virtual void write(std::string_view bytes, write_handler done) = 0;

    virtual void close() = 0;
};

/// Reads what is there, up to 16 KiB, into a buffer that all streams share: the bytes stay until the next
/// call.
std::string_view readAvailable(byte_stream &from, byte_stream::failure_code &failure);

/// Makes the streams of one listener or pool.
using stream_factory = std::function<std::unique_ptr<byte_stream>(boost::asio::io_context &)>;

/// Streams without encryption.
std::unique_ptr<byte_stream> makePlainStream(boost::asio::io_context &context);

} // namespace ivypier::http
