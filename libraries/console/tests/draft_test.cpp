#include "console/draft.h"

#include "../../configuration/tests/document_generator.h"
#include "configuration/document_writer.h"
#include "console/draft_merge.h"
#include "console/form_page.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::console;

namespace {

configuration::document read(const draft &of)
{
    const configuration::parsed_document parsed = configuration::parseDocument(of.text());
    RC_ASSERT(std::holds_alternative<configuration::document>(parsed));
    return std::get<configuration::document>(parsed);
}

configuration::document twoServices()
{
    configuration::document content;
    content.deployment = "d";
    for (const char *name : {"tariff", "rates"}) {
        configuration::service each;
        each.name = name;
        each.kind = configuration::service_kind::plain;
        each.firstTokenTarget = std::chrono::milliseconds(300);
        each.classes = {{"standard", 1.0, 0}};
        content.services.push_back(each);
    }
    return content;
}

} // namespace

TEST_CASE("a draft of a document reads back as that document", "[console]")
{
    CHECK(rc::check([] {
        const configuration::document original = configuration::tests::anyDocument();
        RC_ASSERT(read(draft::of(original)) == original);
    }));
}

TEST_CASE("whatever is entered gives a document or faults with a path", "[console]")
{
    CHECK(rc::check([] {
        draft entered = draft::of(twoServices());
        const auto text = *rc::gen::elementOf(std::vector<std::string>{"1e999",    "99999999999999999999",
                                                                       "1.2.3",    "--1",
                                                                       "+",        "0x10",
                                                                       "\"",       "\\",
                                                                       "]\n[x]",   "nan",
                                                                       "01",       "1e5",
                                                                       "1.",       ".5",
                                                                       "a\nb = 1", "'''",
                                                                       "#",        "[[services]]",
                                                                       "\x01",     "\x7f"});
        const auto field = *rc::gen::elementOf(sectionFields(section::services));
        entered.entries[section::services][1].fields[field.key] = text;
        const configuration::parsed_document parsed = configuration::parseDocument(entered.text());
        const auto *faults = std::get_if<std::vector<settings_error>>(&parsed);
        if (!faults)
            return;
        RC_ASSERT(!faults->empty());
        for (const settings_error &each : *faults)
            RC_ASSERT(each.path.starts_with("services[1]."));
    }));
}

TEST_CASE("empty rows of classes are left out and the others move together", "[console]")
{
    const draft_entry entry = entryFromForm(section::services,
                                            {{"name", " rates "},
                                             {"classes[0].name", ""},
                                             {"classes[0].worth", " "},
                                             {"classes[2].name", "shop"},
                                             {"classes[2].worth", "2"},
                                             {"colour", "red"}});
    const std::map<std::string, std::string> expected{
        {"name", "rates"}, {"classes[0].name", "shop"}, {"classes[0].worth", "2"}};
    CHECK(entry.fields == expected);
}

TEST_CASE("a new key is kept as its digest only", "[console]")
{
    const std::string key = "a key of sixteen or more";
    const draft_entry entry
        = entryFromForm(section::operators, {{"name", "kofi"}, {"key_sha256", "old"}, {"new_key", key}});
    CHECK(entry.text("key_sha256").size() == 64);
    for (const auto &[path, value] : entry.fields)
        CHECK(value.find(key) == std::string::npos);
}

TEST_CASE("changes of two operators to different entries are both kept", "[console]")
{
    const draft base = draft::of(twoServices());
    draft own = base;
    draft theirs = base;
    own.entries[section::services][0].fields["answer_ms"] = "200";
    theirs.entries[section::services][1].fields["answer_ms"] = "250";
    const merged_draft merged = mergeDraft(base, own, theirs);
    CHECK(merged.conflictingEntries.empty());
    CHECK(merged.result.of(section::services)[0].text("answer_ms") == "200");
    CHECK(merged.result.of(section::services)[1].text("answer_ms") == "250");
}

TEST_CASE("an entry that both changed keeps the own version and is named", "[console]")
{
    const draft base = draft::of(twoServices());
    draft own = base;
    draft theirs = base;
    own.entries[section::services][0].fields["answer_ms"] = "200";
    theirs.entries[section::services].erase(theirs.entries[section::services].begin());
    const merged_draft merged = mergeDraft(base, own, theirs);
    CHECK(merged.conflictingEntries == std::vector<std::string>{"services tariff"});
    CHECK(merged.result.of(section::services).size() == 2);
}

TEST_CASE("an entry that the draft removed is removed from the other document too", "[console]")
{
    const draft base = draft::of(twoServices());
    draft own = base;
    own.entries[section::services].erase(own.entries[section::services].begin());
    CHECK(mergeDraft(base, own, base).result == own);
}
