#pragma once

#include "base/hash.h"
#include "base/secret.h"
#include "configuration/document.h"

#include <rapidcheck.h>

#include <string>

namespace ivypier::configuration::tests {

/// Generates texts of `minLength` + 3 printable and multi-byte characters, including those that TOML escapes.
inline rc::Gen<std::string> anyText(std::size_t minLength)
{
    const auto character = rc::gen::elementOf(
        std::vector<std::string>{"a", "Z", "0", " ", "\"", "\\", "'", "#", "=", "[", "é", "₸", "."});
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(minLength + 3, character),
                        [](const std::vector<std::string> &parts) {
                            std::string text;
                            for (const std::string &each : parts)
                                text += each;
                            return text;
                        });
}

inline double anyAmount()
{
    return *rc::gen::elementOf(std::vector<double>{0.0, 0.1, 1.0, 1e-7, 40.0, 1e9, 123456.789, 1.0 / 3.0});
}

inline duration anyTarget()
{
    return std::chrono::milliseconds(*rc::gen::inRange(1, 600'001));
}

inline service anyService(std::size_t index)
{
    service result;
    result.name = "service-" + std::to_string(index);
    result.kind = *rc::gen::element(service_kind::model, service_kind::plain);
    result.firstTokenTarget = anyTarget();
    if (result.kind == service_kind::model) {
        result.model = *anyText(1);
        result.modelVersion = *anyText(0);
        result.betweenTokensTarget = anyTarget();
    }
    result.budgetPerHour = anyAmount();
    result.fencing = *rc::gen::element(fencing_check::checked, fencing_check::ignored);
    const auto classes = *rc::gen::inRange<std::size_t>(1, 4);
    for (std::size_t each = 0; each < classes; ++each)
        result.classes.push_back(
            {"class-" + std::to_string(each), anyAmount(), *rc::gen::inRange(-100, 101)});
    return result;
}

inline client_account anyAccount(std::size_t index, const document &content)
{
    client_account result;
    result.name = "account-" + std::to_string(index);
    result.keySha256 = sha256Hex(result.name);
    result.requestClass = content.services.empty() ? "" : content.services.front().classes.front().name;
    result.requestsPerSecond = std::min(anyAmount(), 1e6);
    result.concurrentRequests = *rc::gen::inRange(0, 1'000'001);
    for (const service &each : content.services) {
        if (*rc::gen::arbitrary<bool>())
            result.services.push_back(each.name);
    }
    return result;
}

/// Generates a valid document.
inline document anyDocument()
{
    document result;
    result.deployment = "deployment";
    const auto count = [] { return *rc::gen::inRange<std::size_t>(0, 4); };
    for (std::size_t each = 0, end = count(); each < end; ++each)
        result.services.push_back(anyService(each));
    for (std::size_t each = 0, end = count(); each < end; ++each)
        result.clientAccounts.push_back(anyAccount(each, result));
    for (std::size_t each = 0, end = result.services.empty() ? 0 : count(); each < end; ++each) {
        const endpoint address{"10.0.0." + std::to_string(each), 9100};
        result.upstreams.push_back({"upstream-" + std::to_string(each), result.services.front().name, address,
                                    "hall-a", *anyText(0), anyAmount()});
    }
    for (std::size_t each = 0, end = count(); each < end; ++each)
        result.operators.push_back(
            {"operator-" + std::to_string(each), sha256Hex("operator " + std::to_string(each))});
    return result;
}

} // namespace ivypier::configuration::tests
