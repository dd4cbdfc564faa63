#include "configuration/document_store.h"

#include "base/json.h"
#include "base/secret.h"

namespace ivypier::configuration {

namespace {

constexpr const char *head_key = "configuration-head";

std::string encode(const std::string &digest, const std::string &writerToken)
{
    Json::Value json(Json::objectValue);
    json["digest"] = digest;
    json["writer"] = writerToken;
    return writeJson(json);
}

outcome<document_head> decode(const platform::table_row &row)
{
    const outcome<Json::Value> json = parseJson(row.value);
    if (!json)
        return json.error();
    return document_head{row.version, stringMember(json.value(), "digest"),
                         stringMember(json.value(), "writer")};
}

} // namespace

document_store::document_store(platform::table_service &table, platform::object_store &objects)
    : m_table(table)
    , m_objects(objects)
{
}

void document_store::readHead(head_completion done)
{
    m_table.read(head_key, [done = std::move(done)](const outcome<std::optional<platform::table_row>> &read) {
        if (!read)
            done(read.error());
        else if (!read.value())
            done(document_head{});
        else
            done(decode(*read.value()));
    });
}

void document_store::readBody(const std::string &digest, body_completion done)
{
    m_objects.get(digest, [digest, done = std::move(done)](const outcome<std::string> &body) {
        if (body && sha256Hex(body.value()) != digest)
            done(error{error_code::internal, "the object's content does not have its name's digest"});
        else
            done(body);
    });
}

void document_store::submit(const std::string &body, std::uint64_t base, const std::string &writerToken,
                            head_completion done)
{
    const std::string digest = sha256Hex(body);
    m_objects.put(digest, body,
                  [this, digest, base, writerToken, done = std::move(done)](const outcome<void> &stored) {
                      if (!stored) {
                          done(stored.error());
                          return;
                      }
                      m_table.write(head_key, base, encode(digest, writerToken),
                                    [this, writerToken, done](const outcome<platform::table_row> &written) {
                                        if (written)
                                            done(decode(written.value()));
                                        else
                                            settle(writerToken, written.error(), done);
                                    });
                  });
}

void document_store::settle(const std::string &writerToken, error failure, head_completion done)
{
    readHead([writerToken, failure = std::move(failure),
              done = std::move(done)](const outcome<document_head> &head) {
        if (head && head.value().writerToken == writerToken)
            done(head);
        else if (head && failure.code == error_code::conflict)
            done(failure);
        else if (head)
            done(error{error_code::conflict, "the head was not moved: " + failure.message});
        else
            done(error{error_code::timed_out,
                       "not known whether the document was accepted: " + failure.message});
    });
}

} // namespace ivypier::configuration
