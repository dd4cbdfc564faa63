#include "gateway/request_reader.h"

#include "base/secret.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier;
using namespace ivypier::gateway;

namespace {

configuration::document makeDocument()
{
    configuration::document content;
    content.deployment = "d";
    configuration::service model;
    model.name = "tariff";
    model.model = "tariff-model";
    model.classes = {{"standard", 1.0, 0}};
    configuration::service plain = model;
    plain.name = "rates";
    plain.kind = configuration::service_kind::plain;
    content.services = {model, plain};
    for (const char *name : {"kumasi", "tamale"}) {
        configuration::client_account account;
        account.name = name;
        account.keySha256 = sha256Hex(std::string("key of ") + name);
        account.services = {"tariff", "rates"};
        content.clientAccounts.push_back(account);
    }
    return content;
}

const configuration::document document = makeDocument();

http::request completion(const std::string &body)
{
    return {.method = "POST", .path = "/v1/chat/completions", .body = body};
}

outcome<parsed_request> read(const http::request &incoming)
{
    return parseRequest(document, document.clientAccounts.front(), incoming);
}

/// A request or an error that says something; no other way out.
void checkReadOrRefused(const http::request &incoming)
{
    const outcome<parsed_request> result = read(incoming);
    if (!result) {
        RC_ASSERT(!result.error().message.empty());
        return;
    }
    RC_ASSERT(result.value().request.account == "kumasi");
    RC_ASSERT(result.value().request.timeout > duration::zero());
    RC_ASSERT(result.value().request.timeout <= std::chrono::minutes(10));
}

const std::string good = R"({"model":"tariff","stream":true,"max_tokens":9,)"
                         R"("messages":[{"role":"user","content":"What does 2 kg to Tamale cost?"}]})";

} // namespace

TEST_CASE("an account is found by its own key only", "[gateway]")
{
    http::request incoming;
    CHECK_FALSE(findAccount(document, incoming));
    incoming.headers["Authorization"] = "Bearer key of tamale";
    REQUIRE(findAccount(document, incoming));
    CHECK(findAccount(document, incoming)->name == "tamale");
    for (const char *wrong : {"Bearer ", "Bearer key of tamal", "Bearer key of tamale ",
                              "bearer key of tamale", "Basic key of tamale"}) {
        incoming.headers["Authorization"] = wrong;
        CHECK_FALSE(findAccount(document, incoming));
    }
}

TEST_CASE("a good completion is read", "[gateway]")
{
    const outcome<parsed_request> result = read(completion(good));
    REQUIRE(result);
    CHECK(result.value().form == answer_format::event_stream);
    CHECK(result.value().request.outputTokens == 9);
    CHECK(result.value().request.repeatable);
}

TEST_CASE("a body that is not UTF-8 is refused", "[gateway]")
{
    CHECK(read(completion(R"({"model":"tariff","messages":[{"role":"user","content":")"
                          "\xff"
                          R"("}]})"))
              .has_error());
}

TEST_CASE("any body is read or refused", "[gateway]")
{
    CHECK(rc::check([](const std::string &body) { checkReadOrRefused(completion(body)); }));
}

TEST_CASE("a damaged completion is read or refused", "[gateway]")
{
    CHECK(rc::check([] {
        std::string body = good;
        const auto edits = *rc::gen::inRange(1, 5);
        for (int each = 0; each < edits; ++each) {
            const auto at = *rc::gen::inRange<std::size_t>(0, body.size() + 1);
            const auto length = *rc::gen::inRange<std::size_t>(0, 12);
            const auto piece = *rc::gen::elementOf(
                std::vector<std::string>{"", "\"", "{", "}", "[", "]", ",", "null", "-1", "1e999", "\\u0000",
                                         "\xff", "99999999999999999999", "true", "\"model\":1,"});
            body.replace(at, length, piece);
        }
        checkReadOrRefused(completion(body));
    }));
}

TEST_CASE("any headers and path of a plain call are read or refused", "[gateway]")
{
    CHECK(rc::check([](const std::string &value, const std::string &rest) {
        for (const char *name : {"Ivypier-Deadline-Ms", "Ivypier-Repeatable", "Ivypier-Conversation"}) {
            http::request incoming{.method = "POST", .path = "/v1/services/rates/quote"};
            incoming.headers[name] = value;
            checkReadOrRefused(incoming);
        }
        checkReadOrRefused({.method = "GET", .path = "/v1/services/" + rest});
        checkReadOrRefused({.method = "GET", .path = "/v1/" + rest});
    }));
}
