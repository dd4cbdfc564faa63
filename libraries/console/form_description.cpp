#include "console/form_description.h"

namespace ivypier::console {

namespace {

const std::string name_hint = "At most 64 of a-z, 0-9 and -.";

std::vector<field_description> serviceFields()
{
    return {
        {"name", "Name", name_hint + " Callers use it.", field_kind::text, {}},
        {"kind",
         "Kind",
         "model: language-model engines; plain: any HTTP service.",
         field_kind::choice,
         {"model", "plain"}},
        {"model", "Model", "Model services only: the model that the engines serve.", field_kind::text, {}},
        {"model_version", "Model version", "Model services only; 1 when left empty.", field_kind::text, {}},
        {"first_token_ms",
         "Target for the first token (ms)",
         "Model services only: met for 95 of 100 requests.",
         field_kind::number,
         {}},
        {"between_tokens_ms", "Target between tokens (ms)", "Model services only.", field_kind::number, {}},
        {"answer_ms",
         "Target for the answer (ms)",
         "Plain services only: met for 95 of 100 requests.",
         field_kind::number,
         {}},
        {"budget_per_hour",
         "Budget an hour",
         "Most that the service's VMs may cost.",
         field_kind::number,
         {}},
        {"fencing",
         "Orders with an old fencing number",
         "checked: its upstreams refuse them; ignored: they don't.",
         field_kind::choice,
         {"checked", "ignored"}},
    };
}

std::vector<field_description> accountFields()
{
    return {
        {"name", "Name", name_hint, field_kind::text, {}},
        {"key_sha256",
         "Digest of the account's key",
         "SHA-256, 64 hexadecimal digits. Or enter the key itself below; only its digest is kept.",
         field_kind::key_digest,
         {}},
        {"class",
         "Class",
         "One of the services' classes; empty: each service's first.",
         field_kind::text,
         {}},
        {"requests_per_second", "Requests a second", "Limit over the whole fleet.", field_kind::number, {}},
        {"concurrent_requests", "Concurrent requests", "Limit over the whole fleet.", field_kind::number, {}},
        {"services", "Services it may use", "", field_kind::service_list, {}},
    };
}

std::vector<field_description> upstreamFields()
{
    return {
        {"name", "Name", name_hint, field_kind::text, {}},
        {"service", "Service", "", field_kind::service, {}},
        {"address", "Address", "Numeric, e.g. 10.0.0.1:8080.", field_kind::text, {}},
        {"failure_domain", "Failure domain", name_hint, field_kind::text, {}},
        {"machine_class", "Machine class", "May be left empty.", field_kind::text, {}},
        {"price_per_hour", "Price an hour", "0 when left empty.", field_kind::number, {}},
    };
}

std::vector<field_description> operatorFields()
{
    return {
        {"name", "Name", name_hint, field_kind::text, {}},
        {"key_sha256",
         "Digest of the operator's key",
         "SHA-256, 64 hexadecimal digits. Or enter the key itself below; only its digest is kept.",
         field_kind::key_digest,
         {}},
    };
}

} // namespace

const std::vector<section> &allSections()
{
    static const std::vector<section> sections{section::deployment, section::services,
                                               section::client_accounts, section::upstreams,
                                               section::operators};
    return sections;
}

std::string_view sectionKey(section formSection)
{
    switch (formSection) {
    case section::deployment:
        return "deployment";
    case section::services:
        return "services";
    case section::client_accounts:
        return "client_accounts";
    case section::upstreams:
        return "upstreams";
    case section::operators:
        return "operators";
    }
    return "";
}

std::string_view sectionTitle(section formSection)
{
    switch (formSection) {
    case section::deployment:
        return "Deployment";
    case section::services:
        return "Services, targets and budgets";
    case section::client_accounts:
        return "Client accounts";
    case section::upstreams:
        return "Upstreams";
    case section::operators:
        return "Operators";
    }
    return "";
}

std::string_view entryTypeName(section formSection)
{
    switch (formSection) {
    case section::deployment:
        return "deployment";
    case section::services:
        return "service";
    case section::client_accounts:
        return "client account";
    case section::upstreams:
        return "upstream";
    case section::operators:
        return "operator";
    }
    return "";
}

section sectionFromKey(std::string_view key)
{
    for (const section each : allSections()) {
        if (sectionKey(each) == key)
            return each;
    }
    return section::deployment;
}

const std::vector<field_description> &sectionFields(section formSection)
{
    static const std::vector<field_description> deployment{{"name", "Name", name_hint, field_kind::text, {}}};
    static const std::vector<field_description> services = serviceFields();
    static const std::vector<field_description> accounts = accountFields();
    static const std::vector<field_description> upstreams = upstreamFields();
    static const std::vector<field_description> operators = operatorFields();
    switch (formSection) {
    case section::services:
        return services;
    case section::client_accounts:
        return accounts;
    case section::upstreams:
        return upstreams;
    case section::operators:
        return operators;
    case section::deployment:
        break;
    }
    return deployment;
}

const std::vector<field_description> &classFields()
{
    static const std::vector<field_description> fields{
        {"name", "Class", "", field_kind::text, {}},
        {"worth", "Worth of an answer", "", field_kind::number, {}},
        {"priority", "Priority", "", field_kind::number, {}},
    };
    return fields;
}

std::string classPath(std::size_t index, std::string_view key)
{
    return "classes[" + std::to_string(index) + "]." + std::string(key);
}

} // namespace ivypier::console
