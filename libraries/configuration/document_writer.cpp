#include "configuration/document_writer.h"

#include "base/quoted_text.h"

#include <array>
#include <charconv>

namespace ivypier::configuration {

namespace {

/// Writes headers and fields of TOML tables, one per line.
class table_writer
{
public:
    explicit table_writer(std::string &out)
        : m_out(out)
    {
    }

    void header(std::string_view text)
    {
        if (!m_out.empty())
            m_out += '\n';
        m_out += text;
        m_out += '\n';
    }

    void text(std::string_view key, std::string_view value)
    {
        line(key, quotedToml(value));
    }

    void integer(std::string_view key, std::int64_t value)
    {
        line(key, std::to_string(value));
    }

    /// Writes the shortest text that parses to the same number.
    void number(std::string_view key, double value)
    {
        std::array<char, 32> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
        std::string written(digits.data(), end);
        if (written.find_first_of(".e") == std::string::npos)
            written += ".0";
        line(key, written);
    }

    void texts(std::string_view key, const std::vector<std::string> &values)
    {
        std::string written;
        for (const std::string &each : values)
            written += (written.empty() ? "" : ", ") + quotedToml(each);
        line(key, '[' + written + ']');
    }

private:
    void line(std::string_view key, std::string_view value)
    {
        m_out += key;
        m_out += " = ";
        m_out += value;
        m_out += '\n';
    }

    std::string &m_out;
};

void write(table_writer &out, const service &each)
{
    out.header("[[services]]");
    out.text("name", each.name);
    out.text("kind", name(each.kind));
    if (each.kind == service_kind::model) {
        out.text("model", each.model);
        out.text("model_version", each.modelVersion);
        out.integer("first_token_ms", milliseconds(each.firstTokenTarget));
        out.integer("between_tokens_ms", milliseconds(each.betweenTokensTarget));
    } else {
        out.integer("answer_ms", milliseconds(each.firstTokenTarget));
    }
    out.number("budget_per_hour", each.budgetPerHour);
    out.text("fencing", each.fencing == fencing_check::checked ? "checked" : "ignored");
    for (const request_class &one : each.classes) {
        out.header("[[services.classes]]");
        out.text("name", one.name);
        out.number("worth", one.worth);
        out.integer("priority", one.priority);
    }
}

void write(table_writer &out, const client_account &each)
{
    out.header("[[client_accounts]]");
    out.text("name", each.name);
    out.text("key_sha256", each.keySha256);
    if (!each.requestClass.empty())
        out.text("class", each.requestClass);
    out.number("requests_per_second", each.requestsPerSecond);
    out.integer("concurrent_requests", each.concurrentRequests);
    out.texts("services", each.services);
}

void write(table_writer &out, const upstream &each)
{
    out.header("[[upstreams]]");
    out.text("name", each.name);
    out.text("service", each.service);
    out.text("address", each.address.text());
    out.text("failure_domain", each.failureDomain);
    if (!each.machineClass.empty())
        out.text("machine_class", each.machineClass);
    out.number("price_per_hour", each.pricePerHour);
}

void write(table_writer &out, const operator_account &each)
{
    out.header("[[operators]]");
    out.text("name", each.name);
    out.text("key_sha256", each.keySha256);
}

} // namespace

std::string quotedToml(std::string_view text)
{
    return quotedText(text, control_escape::unicode);
}

std::string writeDocument(const document &content)
{
    std::string text;
    table_writer out(text);
    out.header("[deployment]");
    out.text("name", content.deployment);
    for (const service &each : content.services)
        write(out, each);
    for (const client_account &each : content.clientAccounts)
        write(out, each);
    for (const upstream &each : content.upstreams)
        write(out, each);
    for (const operator_account &each : content.operators)
        write(out, each);
    return text;
}

} // namespace ivypier::configuration
