#include "program/file_reader.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace ivypier::program {

namespace {

constexpr std::size_t read_chunk_bytes = 4096;

outcome<std::string> readStream(std::istream &stream, const std::string &path, std::size_t maxBytes)
{
    // Reads in chunks instead of into a buffer of max_file_bytes: a daemon rereads its settings file, and the
    // memory of such a buffer would stay with the process.
    std::string text;
    std::array<char, read_chunk_bytes> chunk{};
    while (stream && text.size() <= maxBytes) {
        stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        text.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
    }
    if (stream.bad())
        return error{error_code::unavailable, "can't read \"" + path + '"'};
    if (text.size() > maxBytes)
        return error{error_code::too_large,
                     '"' + path + "\" has more than " + std::to_string(maxBytes) + " bytes"};
    return text;
}

} // namespace

outcome<std::string> readFile(const std::string &path, std::size_t maxBytes)
{
    if (path == "-")
        return readStream(std::cin, path, maxBytes);
    std::error_code failure;
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path, failure))
        return error{error_code::not_found, "can't read \"" + path + '"'};
    return readStream(file, path, maxBytes);
}

outcome<std::string> readKeyFile(const std::string &path)
{
    outcome<std::string> text = readFile(path);
    if (!text)
        return text;
    std::string key = text.value().substr(0, text.value().find_first_of("\r\n"));
    if (key.empty())
        return error{error_code::invalid_argument, '"' + path + "\" holds no key in its first line"};
    return key;
}

} // namespace ivypier::program
