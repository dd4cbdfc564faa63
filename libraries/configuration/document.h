#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/settings_reader.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ivypier::configuration {

/// What answers a service's requests.
enum class service_kind { model, plain };

/// Whether a service's upstreams refuse an order with an old fencing number.
enum class fencing_check { checked, ignored };

std::string_view name(service_kind kind);

/// A class of requests; `worth` orders classes when there is not room for all.
struct request_class
{
    std::string name;
    double worth = 1.0; ///< of one request answered in target, in the deployment's currency
    int priority = 0; ///< passed to engines; greater goes first

    auto operator<=>(const request_class &) const = default;
};

/// A service that callers use by name.
struct service
{
    std::string name;
    service_kind kind = service_kind::model;
    std::string model; ///< the model its engines serve; model services only
    std::string modelVersion;
    duration firstTokenTarget{}; ///< for 95 of 100 requests; of a plain service: the whole answer
    duration betweenTokensTarget{};
    double budgetPerHour = 0.0; ///< most that its VMs may cost, in the deployment's currency
    fencing_check fencing = fencing_check::checked;
    std::vector<request_class> classes;

    auto operator<=>(const service &) const = default;
};

/// A customer's account.
struct client_account
{
    std::string name;
    std::string keySha256; ///< digest of the account's key, 64 hexadecimal digits
    std::string requestClass;
    double requestsPerSecond = 0.0; ///< limit over the whole fleet
    std::uint32_t concurrentRequests = 0; ///< limit over the whole fleet
    std::vector<std::string> services; ///< those it may use

    auto operator<=>(const client_account &) const = default;
};

/// A back end of one service, given by the operator rather than started by the planner.
struct upstream
{
    std::string name;
    std::string service;
    endpoint address;
    std::string failureDomain;
    std::string machineClass;
    double pricePerHour = 0.0;

    auto operator<=>(const upstream &) const = default;
};

/// What an operator is, to the console and the command line.
struct operator_account
{
    std::string name;
    std::string keySha256;

    auto operator<=>(const operator_account &) const = default;
};

/// One deployment's configuration. Immutable once parsed.
struct document
{
    std::string deployment;
    std::vector<service> services;
    std::vector<client_account> clientAccounts;
    std::vector<upstream> upstreams;
    std::vector<operator_account> operators;

    auto operator<=>(const document &) const = default;

    /// The service of this name, or null.
    const service *findService(std::string_view wanted) const;

    /// The class an account's requests have at a service: the account's, else the service's first.
    request_class classOf(const client_account &account, const service &of) const;
};

/// Longest text of a document, in bytes.
inline constexpr std::size_t max_document_bytes = std::size_t{1024} * 1024;

/// A document, or every fault of it.
using parsed_document = std::variant<document, std::vector<settings_error>>;

/// Reads and checks a TOML document. Total: any text gives a document or at least one fault.
parsed_document parseDocument(std::string_view text);

} // namespace ivypier::configuration
