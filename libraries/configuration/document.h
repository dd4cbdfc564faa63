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

/// Type of the back ends that serve a service: model engines or plain HTTP servers.
enum class service_kind { model, plain };

/// Whether a service's upstreams check the fencing token and reject orders with an outdated one.
enum class fencing_check { checked, ignored };

std::string_view name(service_kind kind);

/// A class of requests. When there is not enough capacity for all, classes with a greater `worth` come first.
struct request_class
{
    std::string name;
    double worth = 1.0; ///< value of one request served within its target, in the deployment's currency
    int priority = 0; ///< passed to engines; a greater value is scheduled first

    auto operator<=>(const request_class &) const = default;
};

/// A service that callers use by name.
struct service
{
    std::string name;
    service_kind kind = service_kind::model;
    std::string model; ///< name of the model that its engines serve; model services only
    std::string modelVersion; ///< model services only
    duration firstTokenTarget{}; ///< 95th percentile; for a plain service, of the whole response
    duration betweenTokensTarget{}; ///< model services only
    double budgetPerHour = 0.0; ///< upper limit of its VMs' cost, in the deployment's currency
    fencing_check fencing = fencing_check::checked;
    std::vector<request_class> classes; ///< the first is the default for accounts without one

    auto operator<=>(const service &) const = default;
};

/// A client account with its API key and limits.
struct client_account
{
    std::string name;
    std::string keySha256; ///< SHA-256 digest of the account's key, 64 hexadecimal digits
    std::string requestClass;
    double requestsPerSecond = 0.0; ///< rate limit across the whole fleet
    std::uint32_t concurrentRequests = 0; ///< concurrency limit across the whole fleet
    std::vector<std::string> services; ///< names of the services that it may use

    auto operator<=>(const client_account &) const = default;
};

/// A back end of one service that the operator configured, rather than one that the planner started.
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

/// An operator who may use the console and the command line.
struct operator_account
{
    std::string name;
    std::string keySha256;

    auto operator<=>(const operator_account &) const = default;
};

/// The configuration of one deployment. Immutable once parsed.
struct document
{
    std::string deployment;
    std::vector<service> services;
    std::vector<client_account> clientAccounts;
    std::vector<upstream> upstreams;
    std::vector<operator_account> operators;

    auto operator<=>(const document &) const = default;

    /// Returns the service with this name, or null.
    const service *findService(std::string_view serviceName) const;

    /// Returns the class of an account's requests to a service: the account's class if the service has it,
    /// otherwise the service's first class.
    request_class classOf(const client_account &account, const service &requested) const;
};

/// Maximum size of a document's text, in bytes.
inline constexpr std::size_t max_document_bytes = std::size_t{1024} * 1024;

/// A parsed document, or all faults found in its text.
using parsed_document = std::variant<document, std::vector<settings_error>>;

/// Parses and validates a TOML document. Any text results in a document or in at least one fault.
parsed_document parseDocument(std::string_view text);

} // namespace ivypier::configuration
