#include "console/draft.h"

#include "../../configuration/tests/document_generator.h"
#include "configuration/document_writer.h"
#include "console/draft_merge.h"
#include "console/form_page.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::console;

namespace {

configuration::document parse(const draft &entered)
{
    const configuration::parsed_document parsed = configuration::parseDocument(entered.text());
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

TEST_CASE("a draft made from a document parses back to that document", "[console]")
{
    CHECK(rc::check([] {
        const configuration::document original = configuration::tests::anyDocument();
        RC_ASSERT(parse(draft::fromDocument(original)) == original);
    }));
}

TEST_CASE("any entered text results in a valid document or in faults with the entry's path", "[console]")
{
    CHECK(rc::check([] {
        draft entered = draft::fromDocument(twoServices());
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

TEST_CASE("empty class rows are removed and the others are renumbered", "[console]")
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

TEST_CASE("a new key is stored only as its digest", "[console]")
{
    const std::string key = "a key of sixteen or more";
    const draft_entry entry
        = entryFromForm(section::operators, {{"name", "kofi"}, {"key_sha256", "old"}, {"new_key", key}});
    CHECK(entry.text("key_sha256").size() == 64);
    for (const auto &[path, value] : entry.fields)
        CHECK(value.find(key) == std::string::npos);
}

TEST_CASE("merging keeps the changes of two operators to different entries", "[console]")
{
    const draft base = draft::fromDocument(twoServices());
    draft ours = base;
    draft theirs = base;
    ours.entries[section::services][0].fields["answer_ms"] = "200";
    theirs.entries[section::services][1].fields["answer_ms"] = "250";
    const merged_draft merged = mergeDraft(base, ours, theirs);
    CHECK(merged.conflictingEntries.empty());
    CHECK(merged.result.entriesIn(section::services)[0].text("answer_ms") == "200");
    CHECK(merged.result.entriesIn(section::services)[1].text("answer_ms") == "250");
}

TEST_CASE("an entry changed by both sides keeps the draft's version and is reported as a conflict",
          "[console]")
{
    const draft base = draft::fromDocument(twoServices());
    draft ours = base;
    draft theirs = base;
    ours.entries[section::services][0].fields["answer_ms"] = "200";
    theirs.entries[section::services].erase(theirs.entries[section::services].begin());
    const merged_draft merged = mergeDraft(base, ours, theirs);
    CHECK(merged.conflictingEntries == std::vector<std::string>{"services tariff"});
    CHECK(merged.result.entriesIn(section::services).size() == 2);
}

TEST_CASE("merging removes an entry that the draft removed", "[console]")
{
    const draft base = draft::fromDocument(twoServices());
    draft ours = base;
    ours.entries[section::services].erase(ours.entries[section::services].begin());
    CHECK(mergeDraft(base, ours, base).result == ours);
}
