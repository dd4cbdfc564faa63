#include "http/request_encoding.h"

#include "http/field_list.h"

namespace ivypier::http {

std::string encodeRequest(const endpoint &to, const request &message)
{
    std::string text = message.method + ' ' + message.path;
    if (!message.query.empty())
        text.append("?").append(message.query);
    text.append(" HTTP/1.1\r\n");
    appendField(text, "Host", to.text());
    for (const auto &[name, value] : message.headers) {
        const bool isGenerated = equalNames(name, "Host") || equalNames(name, "Content-Length")
            || equalNames(name, "Transfer-Encoding") || equalNames(name, "Connection");
        if (!isGenerated)
            appendField(text, name, value);
    }
    if (!message.body.empty() || message.method == "POST" || message.method == "PUT") {
        if (message.header("Content-Type").empty())
            appendField(text, "Content-Type", "application/json");
        appendField(text, "Content-Length", std::to_string(message.body.size()));
    }
    return text.append("\r\n").append(message.body);
}

} // namespace ivypier::http
