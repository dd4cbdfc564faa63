#include "configuration/document_writer.h"

#include "configuration/document_difference.h"
#include "document_generator.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::configuration;

TEST_CASE("a written document parses to an equal document", "[configuration]")
{
    CHECK(rc::check([] {
        const document original = tests::anyDocument();
        const std::string text = writeDocument(original);
        const parsed_document read = parseDocument(text);
        RC_ASSERT(std::holds_alternative<document>(read));
        RC_ASSERT(std::get<document>(read) == original);
        RC_ASSERT(writeDocument(std::get<document>(read)) == text);
    }));
}

TEST_CASE("any quoted text parses to the original text", "[configuration]")
{
    for (const std::string &text : {std::string("a\"b\\c\n\t\x01\x7f"), std::string("é ₸"), std::string()}) {
        settings_reader root = settings_reader::parse("key = " + quotedToml(text));
        CHECK(root.optionalString("key", "otherwise") == text);
    }
}

TEST_CASE("the difference of a document to itself is empty", "[configuration]")
{
    CHECK(rc::check([] {
        const document original = tests::anyDocument();
        RC_ASSERT(difference(original, original).empty());
    }));
}
