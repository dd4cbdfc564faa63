#include "requests/idempotency_claims.h"

#include "base/json.h"
#include "base/secret.h"

namespace ivypier::requests {

namespace {

/// Returns the row key of an idempotency key. The hash keeps arbitrary characters out of the row key and
/// separates the keys of different accounts.
std::string rowKeyOf(const idempotency_claim &proposed)
{
    return "claim/" + proposed.account + '/' + sha256Hex(proposed.account + '\n' + proposed.key);
}

outcome<std::string> parseOwner(const idempotency_claim &proposed, const std::string &value)
{
    const outcome<Json::Value> json = parseJson(value);
    const std::string ticket = json ? stringMember(json.value(), "ticket") : std::string();
    if (ticket.empty())
        return error{error_code::internal, "an unreadable claim"};
    if (stringMember(json.value(), "digest") != proposed.digest)
        return error{error_code::conflict, "this Idempotency-Key was used for another request"};
    return ticket;
}

} // namespace

idempotency_claims::idempotency_claims(cloud::table_service &table)
    : m_table(table)
{
}

void idempotency_claims::claim(const idempotency_claim &proposed,
                               std::function<void(outcome<std::string>)> done)
{
    Json::Value json(Json::objectValue);
    json["ticket"] = proposed.ticket;
    json["digest"] = proposed.digest;
    m_table.write(rowKeyOf(proposed), 0, writeJson(json),
                  [this, proposed, done = std::move(done)](const outcome<cloud::table_row> &written) {
                      if (written) {
                          done(proposed.ticket);
                          return;
                      }
                      // The response was lost or the row already exists: read the row to find the owner of
                      // the key.
                      readOwner(proposed, done);
                  });
}

void idempotency_claims::readOwner(const idempotency_claim &proposed,
                                   std::function<void(outcome<std::string>)> done)
{
    m_table.read(
        rowKeyOf(proposed),
        [proposed, done = std::move(done)](const outcome<std::optional<cloud::table_row>> &read) {
            if (!read)
                done(read.error());
            else if (!read.value())
                done(error{error_code::unavailable, "the platform's table did not take the idempotency key"});
            else
                done(parseOwner(proposed, read.value()->value));
        });
}

} // namespace ivypier::requests
