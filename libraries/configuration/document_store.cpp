#include "configuration/document_store.h"

#include "base/json.h"
#include "configuration/document_difference.h"

#include <algorithm>

namespace ivypier::configuration {

namespace {

constexpr const char *head_key = "configuration-head";
constexpr std::size_t tokens_kept = 8;
constexpr std::size_t transfers_at_once = 16;
constexpr int head_writes = 3; ///< tries to move the head when answers are lost
constexpr std::size_t changes_told = 20;

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

std::string tell(const document_head &inForce, const std::vector<document_change> &changes)
{
    std::string text = "version " + std::to_string(inForce.version)
        + " is in force by now; from it, the submitted document changes " + std::to_string(changes.size())
        + " fields";
    for (std::size_t index = 0; index < std::min(changes.size(), changes_told); ++index)
        text += "; " + describe(changes[index]);
    if (changes.size() > changes_told)
        text += "; and more";
    return text;
}

} // namespace

/// A submission that is under way.
struct document_store::submission
{
    std::string body;
    document_objects split;
    std::uint64_t base = 0;
    document_head next; ///< what the head shall be
    int writes = 0;
    head_completion done;
};

/// Objects that are read or written some at a time.
struct document_store::transfer
{
    std::vector<std::string> left;
    object_map objects;
    std::size_t running = 0;
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
    auto held = std::make_shared<object_map>();
    fetchDocument(digest, held, *this, false,
                  [digest, held, done = std::move(done)](const outcome<void> &all) {
                      if (!all)
                          done(all.error());
                      else
                          done(assembleDocument(digest, *held));
                  });
}

void document_store::fetch(const std::vector<std::string> &digests, completion done)
{
    auto gets = std::make_shared<transfer>();
    gets->left = digests;
    gets->done = [done = std::move(done)](const transfer &ended) {
        if (ended.failure)
            done(*ended.failure);
        else
            done(ended.objects);
    };
    getNext(gets);
}

void document_store::getNext(const std::shared_ptr<transfer> &gets)
{
    while (!gets->left.empty() && !gets->failure && gets->running < transfers_at_once) {
        const std::string digest = gets->left.back();
        gets->left.pop_back();
        ++gets->running;
        m_objects.get(digest, [this, gets, digest](const outcome<std::string> &content) {
            --gets->running;
            if (content)
                gets->objects[digest] = content.value();
            else if (content.error().code != error_code::not_found)
                gets->failure = content.error();
            getNext(gets);
        });
    }
    const bool ended = gets->running == 0 && (gets->left.empty() || gets->failure);
    if (ended && gets->done)
        std::exchange(gets->done, nullptr)(*gets);
}

void document_store::submit(const std::string &body, std::uint64_t base, const std::string &writerToken,
                            head_completion done)
{
    auto pending = std::make_shared<submission>();
    pending->body = body;
    pending->split = splitDocument(body);
    pending->base = base;
    pending->next.digest = pending->split.root;
    pending->next.writerToken = writerToken;
    pending->done = std::move(done);
    readHead([this, pending](const outcome<document_head> &head) {
        if (!head) {
            pending->done(head.error());
            return;
        }
        if (head.value().version != pending->base) {
            refuse(pending, head.value());
            return;
        }
        if (pending->base > 0) {
            pending->next.earlierTokens = head.value().earlierTokens;
            pending->next.earlierTokens.insert(pending->next.earlierTokens.begin(), head.value().writerToken);
            if (pending->next.earlierTokens.size() > tokens_kept)
                pending->next.earlierTokens.resize(tokens_kept);
        }
        auto held = std::make_shared<object_map>();
        fetchDocument(head.value().digest, held, *this, true,
                      [this, pending, held, root = head.value().digest](const outcome<void> &) {
                          // Without the indexes in force, everything is stored: that is only slower.
                          for (const std::string &each : documentDigests(root, *held))
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
        puts->left.push_back(digest);
    puts->done = [this, pending](const transfer &ended) {
        if (ended.failure)
            pending->done(*ended.failure);
        else
            moveHead(pending);
    };
    putNext(puts);
}

void document_store::putNext(const std::shared_ptr<transfer> &puts)
{
    while (!puts->left.empty() && !puts->failure && puts->running < transfers_at_once) {
        const std::string digest = puts->left.back();
        puts->left.pop_back();
        ++puts->running;
        m_objects.put(digest, puts->objects.at(digest), [this, puts](const outcome<void> &stored) {
            --puts->running;
            if (!stored)
                puts->failure = stored.error();
            putNext(puts);
        });
    }
    const bool ended = puts->running == 0 && (puts->left.empty() || puts->failure);
    if (ended && puts->done)
        std::exchange(puts->done, nullptr)(*puts);
}

void document_store::moveHead(const submission_pointer &pending)
{
    ++pending->writes;
    m_table.write(head_key, pending->base, encode(pending->next),
                  [this, pending](const outcome<cloud::table_row> &written) {
                      if (written)
                          pending->done(decode(written.value()));
                      else
                          settle(pending, written.error());
                  });
}

void document_store::settle(const submission_pointer &pending, const error &failure)
{
    readHead([this, pending, failure](const outcome<document_head> &head) {
        if (!head) {
            pending->done(error{error_code::timed_out,
                                "not known whether the document was accepted: " + failure.message});
            return;
        }
        const document_head &now = head.value();
        const std::string &token = pending->next.writerToken;
        if (now.writerToken == token) {
            pending->done(now);
            return;
        }
        const bool acceptedBefore
            = std::find(now.earlierTokens.begin(), now.earlierTokens.end(), token) != now.earlierTokens.end();
        if (acceptedBefore) {
            pending->next.version = pending->base + 1;
            pending->done(pending->next);
            return;
        }
        if (now.version != pending->base) {
            refuse(pending, now);
            return;
        }
        // Nothing moved. The write names the version that it replaces, so that of two one at most takes
        // effect.
        const bool mayRetry
            = failure.code == error_code::timed_out || failure.code == error_code::interrupted;
        if (mayRetry && pending->writes < head_writes)
            moveHead(pending);
        else if (mayRetry)
            pending->done(error{error_code::timed_out,
                                "not known whether the document will be accepted: " + failure.message});
        else
            pending->done(failure);
    });
}

void document_store::refuse(const submission_pointer &pending, const document_head &inForce)
{
    readBody(inForce.digest, [pending, inForce](const outcome<std::string> &body) {
        parsed_document theirs = parseDocument(body ? body.value() : "");
        parsed_document ours = parseDocument(pending->body);
        const document *before = std::get_if<document>(&theirs);
        const document *after = std::get_if<document>(&ours);
        const std::string text = before && after
            ? tell(inForce, difference(*before, *after))
            : "version " + std::to_string(inForce.version) + " is in force by now";
        pending->done(error{error_code::conflict, text});
    });
}

} // namespace ivypier::configuration
