#include "configuration/document_store.h"

#include "base/json.h"
#include "configuration/document_difference.h"

#include <algorithm>

namespace ivypier::configuration {

namespace {

constexpr const char *head_key = "configuration-head";
constexpr std::size_t max_earlier_tokens = 8;
constexpr std::size_t max_concurrent_transfers = 16;
constexpr int max_head_writes = 3; ///< attempts to write the head when responses are lost
constexpr std::size_t max_reported_changes = 20;

std::string encode(const document_head &head)
{
    Json::Value json(Json::objectValue);
    json["digest"] = head.digest;
    json["writer"] = head.writerToken;
    json["earlier"] = Json::Value(Json::arrayValue);
    for (const std::string &each : head.earlierTokens)
        json["earlier"].append(each);
    return writeJson(json);
}

outcome<document_head> decode(const cloud::table_row &row)
{
    const outcome<Json::Value> json = parseJson(row.value);
    if (!json)
        return json.error();
    document_head head{
        row.version, stringMember(json.value(), "digest"), stringMember(json.value(), "writer"), {}};
    for (const Json::Value &each : json.value()["earlier"]) {
        if (each.isString())
            head.earlierTokens.push_back(each.asString());
    }
    return head;
}

std::string conflictMessage(const document_head &inForce, const std::vector<document_change> &changes)
{
    std::string text = "version " + std::to_string(inForce.version)
        + " is in force by now; from it, the submitted document changes " + std::to_string(changes.size())
        + " fields";
    for (std::size_t index = 0; index < std::min(changes.size(), max_reported_changes); ++index)
        text += "; " + describe(changes[index]);
    if (changes.size() > max_reported_changes)
        text += "; and more";
    return text;
}

} // namespace

/// Holds the state of a submission in progress.
struct document_store::submission
{
    std::string body;
    document_objects split;
    std::uint64_t baseVersion = 0;
    document_head newHead; ///< the head to write
    int headWrites = 0;
    head_completion done;
};

/// Holds the state of a batch of reads or writes of objects with limited concurrency.
struct document_store::transfer
{
    std::vector<std::string> remaining;
    object_map objects;
    std::size_t inFlight = 0;
    std::optional<error> failure;
    std::function<void(const transfer &)> done;
};

document_store::document_store(cloud::table_service &table, cloud::object_store &objects)
    : m_table(table)
    , m_objects(objects)
{
}

void document_store::readHead(head_completion done)
{
    m_table.read(head_key, [done = std::move(done)](const outcome<std::optional<cloud::table_row>> &read) {
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
    auto available = std::make_shared<object_map>();
    fetchDocument(digest, available, *this, false,
                  [digest, available, done = std::move(done)](const outcome<void> &all) {
                      if (!all)
                          done(all.error());
                      else
                          done(assembleDocument(digest, *available));
                  });
}

void document_store::fetch(const std::vector<std::string> &digests, completion done)
{
    auto gets = std::make_shared<transfer>();
    gets->remaining = digests;
    gets->done = [done = std::move(done)](const transfer &finished) {
        if (finished.failure)
            done(*finished.failure);
        else
            done(finished.objects);
    };
    continueGets(gets);
}

void document_store::continueGets(const std::shared_ptr<transfer> &gets)
{
    while (!gets->remaining.empty() && !gets->failure && gets->inFlight < max_concurrent_transfers) {
        const std::string digest = gets->remaining.back();
        gets->remaining.pop_back();
        ++gets->inFlight;
        m_objects.get(digest, [this, gets, digest](const outcome<std::string> &content) {
            --gets->inFlight;
            if (content)
                gets->objects[digest] = content.value();
            else if (content.error().code != error_code::not_found)
                gets->failure = content.error();
            continueGets(gets);
        });
    }
    const bool finished = gets->inFlight == 0 && (gets->remaining.empty() || gets->failure);
    if (finished && gets->done)
        std::exchange(gets->done, nullptr)(*gets);
}

void document_store::submit(const std::string &body, std::uint64_t baseVersion,
                            const std::string &writerToken, head_completion done)
{
    auto pending = std::make_shared<submission>();
    pending->body = body;
    pending->split = splitDocument(body);
    pending->baseVersion = baseVersion;
    pending->newHead.digest = pending->split.root;
    pending->newHead.writerToken = writerToken;
    pending->done = std::move(done);
    readHead([this, pending](const outcome<document_head> &head) {
        if (!head) {
            pending->done(head.error());
            return;
        }
        if (head.value().version != pending->baseVersion) {
            rejectWithConflict(pending, head.value());
            return;
        }
        if (pending->baseVersion > 0) {
            pending->newHead.earlierTokens = head.value().earlierTokens;
            pending->newHead.earlierTokens.insert(pending->newHead.earlierTokens.begin(),
                                                  head.value().writerToken);
            if (pending->newHead.earlierTokens.size() > max_earlier_tokens)
                pending->newHead.earlierTokens.resize(max_earlier_tokens);
        }
        auto available = std::make_shared<object_map>();
        fetchDocument(head.value().digest, available, *this, true,
                      [this, pending, available, root = head.value().digest](const outcome<void> &) {
                          // When the current indexes can't be read, all objects are stored again: slower, but
                          // correct.
                          for (const std::string &each : documentDigests(root, *available))
                              pending->split.objects.erase(each);
                          storeObjects(pending);
                      });
    });
}

void document_store::storeObjects(const submission_pointer &pending)
{
    auto puts = std::make_shared<transfer>();
    puts->objects = std::move(pending->split.objects);
    for (const auto &[digest, content] : puts->objects)
        puts->remaining.push_back(digest);
    puts->done = [this, pending](const transfer &finished) {
        if (finished.failure)
            pending->done(*finished.failure);
        else
            writeHead(pending);
    };
    continuePuts(puts);
}

void document_store::continuePuts(const std::shared_ptr<transfer> &puts)
{
    while (!puts->remaining.empty() && !puts->failure && puts->inFlight < max_concurrent_transfers) {
        const std::string digest = puts->remaining.back();
        puts->remaining.pop_back();
        ++puts->inFlight;
        m_objects.put(digest, puts->objects.at(digest), [this, puts](const outcome<void> &stored) {
            --puts->inFlight;
            if (!stored)
                puts->failure = stored.error();
            continuePuts(puts);
        });
    }
    const bool finished = puts->inFlight == 0 && (puts->remaining.empty() || puts->failure);
    if (finished && puts->done)
        std::exchange(puts->done, nullptr)(*puts);
}

void document_store::writeHead(const submission_pointer &pending)
{
    ++pending->headWrites;
    m_table.write(head_key, pending->baseVersion, encode(pending->newHead),
                  [this, pending](const outcome<cloud::table_row> &written) {
                      if (written)
                          pending->done(decode(written.value()));
                      else
                          resolveFailedWrite(pending, written.error());
                  });
}

void document_store::resolveFailedWrite(const submission_pointer &pending, const error &failure)
{
    readHead([this, pending, failure](const outcome<document_head> &head) {
        if (!head) {
            pending->done(error{error_code::timed_out,
                                "not known whether the document was accepted: " + failure.message});
            return;
        }
        const document_head &now = head.value();
        const std::string &token = pending->newHead.writerToken;
        if (now.writerToken == token) {
            pending->done(now);
            return;
        }
        const bool acceptedBefore
            = std::find(now.earlierTokens.begin(), now.earlierTokens.end(), token) != now.earlierTokens.end();
        if (acceptedBefore) {
            pending->newHead.version = pending->baseVersion + 1;
            pending->done(pending->newHead);
            return;
        }
        if (now.version != pending->baseVersion) {
            rejectWithConflict(pending, now);
            return;
        }
        // The head is unchanged. Retrying is safe even if the lost write still arrives: each write is
        // conditional on the version that it replaces, so at most one of them takes effect.
        const bool mayRetry
            = failure.code == error_code::timed_out || failure.code == error_code::interrupted;
        if (mayRetry && pending->headWrites < max_head_writes)
            writeHead(pending);
        else if (mayRetry)
            pending->done(error{error_code::timed_out,
                                "not known whether the document will be accepted: " + failure.message});
        else
            pending->done(failure);
    });
}

void document_store::rejectWithConflict(const submission_pointer &pending, const document_head &inForce)
{
    readBody(inForce.digest, [pending, inForce](const outcome<std::string> &body) {
        parsed_document theirs = parseDocument(body ? body.value() : "");
        parsed_document ours = parseDocument(pending->body);
        const document *before = std::get_if<document>(&theirs);
        const document *after = std::get_if<document>(&ours);
        const std::string text = before && after
            ? conflictMessage(inForce, difference(*before, *after))
            : "version " + std::to_string(inForce.version) + " is in force by now";
        pending->done(error{error_code::conflict, text});
    });
}

} // namespace ivypier::configuration
