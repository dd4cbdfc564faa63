#include "http/byte_stream.h"

#include <array>

namespace ivypier::http {

std::string_view readAvailable(byte_stream &from, byte_stream::failure_code &failure)
{
    // Sharing is safe: each thread runs at most one loop, and the data is consumed before the next read.
    constexpr std::size_t size = std::size_t{16} * 1024;
    thread_local std::array<char, size> buffer;
    return {buffer.data(), from.readSome(buffer.data(), buffer.size(), failure)};
}

} // namespace ivypier::http
