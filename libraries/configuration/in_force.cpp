#include "configuration/in_force.h"

#include "base/secret.h"
#include "configuration/document.h"

namespace ivypier::configuration {

namespace {

constexpr std::size_t writer_token_random_bytes = 8;

outcome<in_force> parseBody(const document_head &head, const std::string &body)
{
    parsed_document parsed = parseDocument(body);
    if (document *content = std::get_if<document>(&parsed))
        return in_force{head, std::move(*content)};
    return error{error_code::internal, "the document in force can't be read by this version of the program"};
}

} // namespace

void readInForce(document_store &store, const in_force &known, std::function<void(outcome<in_force>)> done)
{
    store.readHead([&store, known, done = std::move(done)](const outcome<document_head> &head) {
        if (!head) {
            done(head.error());
            return;
        }
        if (head.value().version == 0 || head.value() == known.head) {
            done(head.value().version == 0 ? in_force{} : known);
            return;
        }
        store.readBody(head.value().digest, [head = head.value(), done](const outcome<std::string> &body) {
            done(body ? parseBody(head, body.value()) : outcome<in_force>(body.error()));
        });
    });
}

std::string writerName(const document_head &head)
{
    return head.writerToken.substr(0, head.writerToken.find('.'));
}

std::string makeWriterToken(const std::string &name)
{
    return name + '.' + randomHex(writer_token_random_bytes);
}

} // namespace ivypier::configuration
