#include "configuration/section_tree.h"

#include "base/secret.h"
#include "sample_document.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstdlib>

using namespace ivypier;
using namespace ivypier::configuration;

namespace {

/// Fixes the seed so that runs are reproducible; RC_PARAMS in the environment overrides it.
[[maybe_unused]] const int fixed_seed = setenv("RC_PARAMS", "seed=20261", 0);

/// Returns the total size of the objects in `after` that `before` lacks, in bytes.
std::size_t newBytes(const document_objects &before, const document_objects &after)
{
    std::size_t bytes = 0;
    for (const auto &[digest, content] : after.objects)
        bytes += before.objects.contains(digest) ? 0 : content.size();
    return bytes;
}

} // namespace

TEST_CASE("a split document is assembled byte for byte")
{
    const std::size_t upstreams = GENERATE(0, 1, 40, 4800);
    const std::string text = sampleDocument(5, upstreams);
    const document_objects split = splitDocument(text);
    for (const auto &[digest, content] : split.objects)
        CHECK(sha256Hex(content) == digest);
    const outcome<std::string> whole = assembleDocument(split.root, split.objects);
    REQUIRE(whole);
    CHECK(whole.value() == text);
}

TEST_CASE("any text is assembled byte for byte, even when it is not a document")
{
    rc::prop("split and assembled", [](const std::vector<std::uint8_t> &choices) {
        static const std::vector<std::string> pieces{"[[upstreams]]\n",
                                                     "[deployment]\n",
                                                     "a = 1\n",
                                                     "\n",
                                                     "[[services.classes]]\n",
                                                     "text = \"\"\"\n[x]\n\"\"\"",
                                                     "[[",
                                                     "]]",
                                                     " [y] # z\n"};
        std::string text;
        for (const std::uint8_t each : choices)
            text += pieces[each % pieces.size()];
        const document_objects split = splitDocument(text);
        const outcome<std::string> whole = assembleDocument(split.root, split.objects);
        RC_ASSERT(whole);
        RC_ASSERT(whole.value() == text);
    });
}

TEST_CASE("a change to one of 4,800 upstreams replaces only its group and the indexes above it")
{
    const std::string text = sampleDocument(5, 4800);
    const document_objects before = splitDocument(text);
    std::string changed = text;
    const std::size_t position = changed.find("\"rates-2400\"");
    changed.replace(changed.find("osu-hall", position), 8, "tema-hall");
    CHECK(newBytes(before, splitDocument(changed)) < 20'000);

    std::string inserted = text;
    const std::size_t entry = inserted.find("[[upstreams]]", position);
    inserted.insert(entry,
                    "[[upstreams]]\nname = \"new\"\nservice = \"rates\"\n"
                    "address = \"10.99.0.1:9200\"\nfailure_domain = \"osu-hall\"\n\n");
    CHECK(newBytes(before, splitDocument(inserted)) < 20'000);
}

TEST_CASE("missing objects are listed level by level")
{
    const document_objects split = splitDocument(sampleDocument(5, 4800));
    object_map available;
    CHECK(missingObjects(split.root, available) == std::vector<std::string>{split.root});
    available[split.root] = split.objects.at(split.root);
    const std::vector<std::string> second = missingObjects(split.root, available);
    CHECK(second.size() > 1);
    CHECK(!assembleDocument(split.root, available));
    CHECK(missingObjects(split.root, split.objects).empty());
    CHECK(documentDigests(split.root, split.objects).size() == split.objects.size());
}

TEST_CASE("malformed indexes return an error without a crash")
{
    rc::prop("index text", [](const std::string &rest) {
        const std::string content = "ivypier-index 1\n" + rest;
        object_map available{{"root", content}};
        RC_ASSERT(rest.empty() || !assembleDocument("root", available));
    });
}
