#include "requests/idempotency_claims.h"

#include "base/json.h"
#include "base/secret.h"

namespace ivypier::requests {

namespace {

/// The row of a key; the digest keeps foreign characters and other accounts' keys out of it.
std::string rowOf(const idempotency_claim &what)
{
    return "claim/" + what.account + '/' + sha256Hex(what.account + '\n' + what.key);
}

outcome<std::string> ownerOf(const idempotency_claim &what, const std::string &value)
{
    const outcome<Json::Value> json = parseJson(value);
    const std::string ticket = json ? stringMember(json.value(), "ticket") : std::string();
    if (ticket.empty())
        return error{error_code::internal, "an unreadable claim"};
    if (stringMember(json.value(), "digest") != what.digest)
        return error{error_code::conflict, "this Idempotency-Key was used for another request"};
    return ticket;
}

} // namespace

idempotency_claims::idempotency_claims(cloud::table_service &table)
    : m_table(table)
{
}

void idempotency_claims::claim(const idempotency_claim &what, std::function<void(outcome<std::string>)> done)
{
    Json::Value json(Json::objectValue);
    json["ticket"] = what.ticket;
    json["digest"] = what.digest;
    m_table.write(rowOf(what), 0, writeJson(json),
                  [this, what, done = std::move(done)](const outcome<cloud::table_row> &written) {
                      if (written) {
                          done(what.ticket);
                          return;
                      }
                      // A lost answer or a row that is there already: the row itself tells whose the key is.
                      readOwner(what, done);
                  });
}

void idempotency_claims::readOwner(const idempotency_claim &what,
                                   std::function<void(outcome<std::string>)> done)
{
    m_table.read(
        rowOf(what), [what, done = std::move(done)](const outcome<std::optional<cloud::table_row>> &read) {
            if (!read)
                done(read.error());
            else if (!read.value())
                done(error{error_code::unavailable, "the platform's table did not take the idempotency key"});
            else
                done(ownerOf(what, read.value()->value));
        });
}

} // namespace ivypier::requests
