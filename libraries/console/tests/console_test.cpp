#include "console/console.h"

#include "base/secret.h"
#include "base/virtual_scheduler.h"
#include "configuration/document_writer.h"
#include "fake_platform.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::console;

namespace {

/// Records the response, of which there must be only one.
class recording_responder final : public http::responder
{
public:
    void respond(http::response response) override
    {
        REQUIRE_FALSE(received);
        received = std::move(response);
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

    std::optional<http::response> received;
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

/// A console with an in-memory platform that has a document in force.
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
        REQUIRE(caller->received);
        return *caller->received;
    }
};

/// Simulates the browser of an operator who is logged in.
struct browser
{
    fixture &server;
    std::string cookie;
    std::string token;

    browser(fixture &console, const std::string &key)
        : server(console)
    {
        const http::response response
            = server.fetch({.method = "POST", .path = "/login", .body = "key=" + key});
        REQUIRE(response.status == 303);
        cookie = response.header("Set-Cookie").substr(0, response.header("Set-Cookie").find(';'));
        const std::string page = get("/").body;
        const std::string marker = "name=\"form_token\" value=\"";
        token = page.substr(page.find(marker) + marker.size(), 64);
    }

    http::response get(const std::string &path) const
    {
        return server.fetch({.path = path, .headers = {{"Cookie", cookie}}});
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
        return server.fetch(makeFormPost(path, fields));
    }

    /// Renames the deployment in the draft.
    void rename(const std::string &name) const
    {
        REQUIRE(post("/edit", "section=deployment&entry=0&action=save&name=" + name).status == 303);
    }
};

bool bodyContains(const http::response &response, const std::string &text)
{
    return response.body.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("an accepted submission becomes the base of the next draft", "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    kofi.rename("second");
    CHECK(bodyContains(kofi.get("/review"), "deployment.name"));
    CHECK(kofi.post("/submit", "base=1").status == 303);
    CHECK(bodyContains(kofi.get("/"), "Version 2 by kofi is in force"));
    CHECK(bodyContains(kofi.get("/review"), "the same as what is in force"));
}

TEST_CASE("edits made while a submission is pending are kept", "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    kofi.rename("second");
    console.platform.holdWrites = true;
    const auto pendingResponse = console.send(kofi.makeFormPost("/submit", "base=1"));
    CHECK_FALSE(pendingResponse->received);
    kofi.rename("third");
    console.platform.release();
    REQUIRE(pendingResponse->received);
    CHECK(pendingResponse->received->status == 303);
    const http::response review = kofi.get("/review");
    CHECK(bodyContains(review, "<td class=\"before\">second</td><td class=\"after\">third</td>"));
}

TEST_CASE("the later of two submissions based on one version is refused and shows the changes of the first",
          "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    const browser ama(console, ama_key);
    kofi.rename("by-kofi");
    ama.rename("by-ama");
    console.platform.holdWrites = true; // both submissions pass the version check before either is written
    const auto first = console.send(kofi.makeFormPost("/submit", "base=1"));
    const auto second = console.send(ama.makeFormPost("/submit", "base=1"));
    console.platform.release();
    REQUIRE(first->received);
    REQUIRE(second->received);
    CHECK(second->received->header("Location") == "/review");
    const http::response conflict = ama.get("/review");
    CHECK(conflict.status == 409);
    CHECK(bodyContains(conflict, "Another operator was first:"));
    CHECK(bodyContains(conflict, "<td class=\"before\">d</td><td class=\"after\">by-kofi</td>"));
    console.platform.holdWrites = false;
    CHECK(ama.post("/rebase", "").status == 303);
    CHECK(ama.post("/submit", "base=2").status == 303);
    CHECK(bodyContains(kofi.get("/"), "Version 3 by ama is in force"));
}

TEST_CASE("a submission whose response is lost is reported as having an unknown outcome", "[console]")
{
    fixture console;
    const browser kofi(console, kofi_key);
    kofi.rename("second");
    console.platform.loseNextWriteResponse = true;
    const http::response response = kofi.post("/submit", "base=1");
    CHECK(response.status == 502);
    CHECK(bodyContains(response, "It is not known whether the document was accepted"));
    console.platform.down = false;
    CHECK(bodyContains(kofi.get("/review"), "kofi"));
}

TEST_CASE("while the platform is down the console shows the last known document and refuses submissions",
          "[console]")
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

TEST_CASE("an operator removed from the document is logged out", "[console]")
{
    fixture console;
    const browser ama(console, ama_key);
    CHECK(ama.get("/").status == 200);
    configuration::document withoutAma = makeDocument();
    withoutAma.operators.pop_back();
    console.put(withoutAma, 1);
    CHECK(ama.get("/").header("Location") == "/login");
    CHECK(ama.post("/submit", "base=2").header("Location") == "/login");
}

TEST_CASE("a form without the session's form token is refused", "[console]")
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

TEST_CASE("a login or an API request without an operator's key is refused", "[console]")
{
    fixture console;
    for (const char *key : {"", "wrong", "%00"})
        CHECK(console.fetch({.method = "POST", .path = "/login", .body = std::string("key=") + key}).status
              == 401);
    CHECK(console.fetch({.method = "PUT", .path = "/api/document", .body = "x"}).status == 401);
}
