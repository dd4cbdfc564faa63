#include "program/file_reader.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace ivypier;
using namespace ivypier::program;

namespace {

/// Creates a temporary directory and removes it with its files on destruction.
class temporary_directory
{
public:
    temporary_directory()
        : m_path(std::filesystem::temp_directory_path() / "ivypier-program-XXXXXX")
    {
        REQUIRE(mkdtemp(m_path.data()));
    }

    ~temporary_directory()
    {
        std::filesystem::remove_all(m_path);
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        const std::string path = m_path + '/' + name;
        std::ofstream(path) << text;
        return path;
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace

TEST_CASE("a file up to the size limit is read completely", "[program]")
{
    const temporary_directory directory;
    CHECK(readFile(directory.write("a", "text\n")).value() == "text\n");
    CHECK(readFile(directory.write("b", std::string(max_file_bytes, 'x'))).value().size() == max_file_bytes);
    CHECK(readFile(directory.write("c", std::string(max_file_bytes + 1, 'x'))).error().code
          == error_code::too_large);
    CHECK(readFile(directory.path() + "/none").error().code == error_code::not_found);
    CHECK(readFile(directory.path()).error().code == error_code::not_found);
}

TEST_CASE("a key is the first line of its file", "[program]")
{
    const temporary_directory directory;
    CHECK(readKeyFile(directory.write("a", "secret\r\nmore")).value() == "secret");
    CHECK(readKeyFile(directory.write("b", "\nmore")).error().code == error_code::invalid_argument);
}
