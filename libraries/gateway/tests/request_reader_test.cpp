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

outcome<parsed_request> parse(const http::request &incoming)
{
    return parseRequest(document, document.clientAccounts.front(), incoming);
}

/// Checks that the request is either parsed, with its account and a timeout in range, or rejected with a
/// message.
void checkParsedOrRejected(const http::request &incoming)
{
    const outcome<parsed_request> result = parse(incoming);
    if (!result) {
        RC_ASSERT(!result.error().message.empty());
        return;
    }
    RC_ASSERT(result.value().request.account == "kumasi");
    RC_ASSERT(result.value().request.timeout > duration::zero());
    RC_ASSERT(result.value().request.timeout <= std::chrono::minutes(10));
}

const std::string validCompletion
    = R"({"model":"tariff","stream":true,"max_tokens":9,)"
      R"("messages":[{"role":"user","content":"What does 2 kg to Tamale cost?"}]})";

} // namespace

TEST_CASE("an account is found only by its own key", "[gateway]")
{
    http::request incoming;
    CHECK_FALSE(findAccount(document, incoming));
    incoming.headers["Authorization"] = "Bearer key of tamale";
    REQUIRE(findAccount(document, incoming));
    CHECK(findAccount(document, incoming)->name == "tamale");
    for (const char *invalidHeader : {"Bearer ", "Bearer key of tamal", "Bearer key of tamale ",
                                      "bearer key of tamale", "Basic key of tamale"}) {
        incoming.headers["Authorization"] = invalidHeader;
        CHECK_FALSE(findAccount(document, incoming));
    }
}

TEST_CASE("a valid completion is parsed", "[gateway]")
{
    const outcome<parsed_request> result = parse(completion(validCompletion));
    REQUIRE(result);
    CHECK(result.value().format == answer_format::event_stream);
    CHECK(result.value().request.outputTokens == 9);
    CHECK(result.value().request.repeatable);
}

TEST_CASE("a body that is not UTF-8 is rejected", "[gateway]")
{
    CHECK(parse(completion(R"({"model":"tariff","messages":[{"role":"user","content":")"
                           "\xff"
                           R"("}]})"))
              .has_error());
}

TEST_CASE("any body is parsed or rejected", "[gateway]")
{
    CHECK(rc::check([](const std::string &body) { checkParsedOrRejected(completion(body)); }));
}

TEST_CASE("a corrupted completion is parsed or rejected", "[gateway]")
{
    CHECK(rc::check([] {
        std::string body = validCompletion;
        const auto edits = *rc::gen::inRange(1, 5);
        for (int each = 0; each < edits; ++each) {
            const auto at = *rc::gen::inRange<std::size_t>(0, body.size() + 1);
            const auto length = *rc::gen::inRange<std::size_t>(0, 12);
            const auto piece = *rc::gen::elementOf(
                std::vector<std::string>{"", "\"", "{", "}", "[", "]", ",", "null", "-1", "1e999", "\\u0000",
                                         "\xff", "99999999999999999999", "true", "\"model\":1,"});
            body.replace(at, length, piece);
        }
        checkParsedOrRejected(completion(body));
    }));
}

TEST_CASE("any headers and path of a plain call are parsed or rejected", "[gateway]")
{
    CHECK(rc::check([](const std::string &value, const std::string &rest) {
        for (const char *name : {"Ivypier-Deadline-Ms", "Ivypier-Repeatable", "Ivypier-Conversation"}) {
            http::request incoming{.method = "POST", .path = "/v1/services/rates/quote"};
            incoming.headers[name] = value;
            checkParsedOrRejected(incoming);
        }
        checkParsedOrRejected({.method = "GET", .path = "/v1/services/" + rest});
        checkParsedOrRejected({.method = "GET", .path = "/v1/" + rest});
    }));
}
