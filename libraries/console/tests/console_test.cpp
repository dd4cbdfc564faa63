#include "console/console.h"

#include "base/secret.h"
#include "base/virtual_scheduler.h"
#include "configuration/document_writer.h"
#include "fake_platform.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::console;

namespace {

/// Keeps the one response that it is given.
class recording_responder final : public http::responder
{
public:
    void respond(http::response answer) override
    {
        REQUIRE_FALSE(given);
        given = std::move(answer);
    }
    void begin(int, http::header_map) override
    {
    }
    void write(std::string) override
    {
    }
    void finish() override
    {
    }
    bool isOpen() const override
    {
        return true;
    }
    void onClosed(std::function<void()>) override
    {
    }

    std::optional<http::response> given;
};

const std::string kofi_key = "the key of kofi, operator";
const std::string ama_key = "the key of ama, operator";

configuration::document makeDocument()
{
    configuration::document content;
    content.deployment = "d";
    content.operators = {{"kofi", sha256Hex(kofi_key)}, {"ama", sha256Hex(ama_key)}};
    return content;
}

/// A console over a platform in memory that has a document in force.
struct fixture
{
    tests::fake_platform platform;
    virtual_scheduler time;
    configuration::document_store store{platform, platform};
    metrics_registry metrics;
    console::console testedConsole{{time, store, metrics, "", false}};

    fixture()
    {
        put(makeDocument(), 0);
    }

    void put(const configuration::document &content, std::uint64_t base)
    {
        bool accepted = false;
        store.submit(configuration::writeDocument(content), base, "someone.1",
                     [&](const outcome<configuration::document_head> &head) { accepted = head.has_value(); });
        REQUIRE(accepted);
    }

    std::shared_ptr<recording_responder> send(const http::request &incoming)
    {
        auto caller = std::make_shared<recording_responder>();
        testedConsole.handle(incoming, caller);
        return caller;
    }

    http::response fetch(const http::request &incoming)
    {
        const auto caller = send(incoming);
        REQUIRE(caller->given);
        return *caller->given;
    }
};

/// One operator's browser.
struct browser
{
    fixture &at;
    std::string cookie;
    std::string token;

    browser(fixture &console, const std::string &key)
        : at(console)
    {
        const http::response answer = at.fetch({.method = "POST", .path = "/login", .body = "key=" + key});
        REQUIRE(answer.status == 303);
        cookie = answer.header("Set-Cookie").substr(0, answer.header("Set-Cookie").find(';'));
        const std::string page = get("/").body;
        const std::string mark = "name=\"form_token\" value=\"";
        token = page.substr(page.find(mark) + mark.size(), 64);
    }

    http::response get(const std::string &path) const
    {
        return at.fetch({.path = path, .headers = {{"Cookie", cookie}}});
    }

    http::request makeFormPost(const std::string &path, const std::string &fields) const
    {
        return {.method = "POST",
                .path = path,
                .headers = {{"Cookie", cookie}},
                .body = "form_token=" + token + '&' + fields};
    }

    http::response post(const std::string &path, const std::string &fields) const
    {
        return at.fetch(makeFormPost(path, fields));
    }

    /// Names the deployment in the draft.
    void rename(const std::string &name) const
    {
        REQUIRE(post("/edit", "section=deployment&entry=0&action=save&name=" + name).status == 303);
    }
};

bool bodyContains(const http::response &answer, const std::string &text)
{
    return answer.body.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("a submission that was accepted becomes the base of the next draft", "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    kofi.rename("second");
    CHECK(bodyContains(kofi.get("/review"), "deployment.name"));
    CHECK(kofi.post("/submit", "base=1").status == 303);
    CHECK(bodyContains(kofi.get("/"), "Version 2 by kofi is in force"));
    CHECK(bodyContains(kofi.get("/review"), "the same as what is in force"));
}

TEST_CASE("what is edited while a submission is on its way is kept", "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    kofi.rename("second");
    console.platform.holdWrites = true;
    const auto pendingResponse = console.send(kofi.makeFormPost("/submit", "base=1"));
    CHECK_FALSE(pendingResponse->given);
    kofi.rename("third");
    console.platform.release();
    REQUIRE(pendingResponse->given);
    CHECK(pendingResponse->given->status == 303);
    const http::response review = kofi.get("/review");
    CHECK(bodyContains(review, "<td class=\"before\">second</td><td class=\"after\">third</td>"));
}

TEST_CASE("of two submissions on one version the later is refused with what the first changed", "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    const browser ama(console, ama_key);
    kofi.rename("by-kofi");
    ama.rename("by-ama");
    console.platform.holdWrites = true; // both are past the look at the head
    const auto first = console.send(kofi.makeFormPost("/submit", "base=1"));
    const auto second = console.send(ama.makeFormPost("/submit", "base=1"));
    console.platform.release();
    REQUIRE(first->given);
    REQUIRE(second->given);
    CHECK(second->given->header("Location") == "/review");
    const http::response conflict = ama.get("/review");
    CHECK(conflict.status == 409);
    CHECK(bodyContains(conflict, "Another operator was first:"));
    CHECK(bodyContains(conflict, "<td class=\"before\">d</td><td class=\"after\">by-kofi</td>"));
    console.platform.holdWrites = false;
    CHECK(ama.post("/rebase", "").status == 303);
    CHECK(ama.post("/submit", "base=2").status == 303);
    CHECK(bodyContains(kofi.get("/"), "Version 3 by ama is in force"));
}

TEST_CASE("a submission whose answer is lost is reported as not known", "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    kofi.rename("second");
    console.platform.loseNextWriteResponse = true;
    const http::response answer = kofi.post("/submit", "base=1");
    CHECK(answer.status == 502);
    CHECK(bodyContains(answer, "It is not known whether the document was accepted"));
    console.platform.down = false;
    CHECK(bodyContains(kofi.get("/review"), "kofi"));
}

TEST_CASE("while the platform is down the last known document is shown and nothing is sent", "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    kofi.rename("second");
    console.platform.down = true;
    CHECK(bodyContains(kofi.get("/"), "The platform can't be reached."));
    CHECK(kofi.post("/submit", "base=1").status == 502);
    console.platform.down = false;
    CHECK(bodyContains(kofi.get("/"), "Version 1 by someone is in force"));
    CHECK(kofi.post("/submit", "base=1").status == 303);
}

TEST_CASE("an operator that the document no longer has is logged out", "[console]")
{
    fixture console;
    const browser ama(console, ama_key);
    CHECK(ama.get("/").status == 200);
    configuration::document without = makeDocument();
    without.operators.pop_back();
    console.put(without, 1);
    CHECK(ama.get("/").header("Location") == "/login");
    CHECK(ama.post("/submit", "base=2").header("Location") == "/login");
}

TEST_CASE("a form from elsewhere is not accepted", "[console]")
{
    fixture console;
    browser kofi(console, kofi_key);
    const browser ama(console, ama_key);
    for (const std::string &token : {std::string(), std::string(64, '0'), ama.token}) {
        kofi.token = token;
        CHECK(kofi.post("/edit", "section=deployment&entry=0&action=save&name=stolen").status == 403);
        CHECK(kofi.post("/submit", "base=1").status == 403);
        CHECK(kofi.post("/discard", "").status == 403);
    }
    CHECK(bodyContains(kofi.get("/review"), "the same as what is in force"));
}

TEST_CASE("without any operator nobody logs in", "[console]")
{
    fixture console;
    for (const char *key : {"", "wrong", "%00"})
        CHECK(console.fetch({.method = "POST", .path = "/login", .body = std::string("key=") + key}).status
              == 401);
    CHECK(console.fetch({.method = "PUT", .path = "/api/document", .body = "x"}).status == 401);
}
