#include "program/file_reader.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace ivypier;
using namespace ivypier::program;

namespace {

/// A folder that is removed with its files.
class temporary_folder
{
public:
    temporary_folder()
        : m_path(std::filesystem::temp_directory_path() / "ivypier-program-XXXXXX")
    {
        REQUIRE(mkdtemp(m_path.data()));
    }

    ~temporary_folder()
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

TEST_CASE("a file is read whole up to its limit", "[program]")
{
    const temporary_folder folder;
    CHECK(readFile(folder.write("a", "text\n")).value() == "text\n");
    CHECK(readFile(folder.write("b", std::string(file_limit, 'x'))).value().size() == file_limit);
    CHECK(readFile(folder.write("c", std::string(file_limit + 1, 'x'))).error().code
          == error_code::too_large);
    CHECK(readFile(folder.path() + "/none").error().code == error_code::not_found);
    CHECK(readFile(folder.path()).error().code == error_code::not_found);
}

TEST_CASE("a key is the first line of its file", "[program]")
{
    const temporary_folder folder;
    CHECK(readKeyFile(folder.write("a", "secret\r\nmore")).value() == "secret");
    CHECK(readKeyFile(folder.write("b", "\nmore")).error().code == error_code::invalid_argument);
}
