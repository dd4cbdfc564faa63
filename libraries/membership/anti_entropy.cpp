#include "membership/anti_entropy.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace ivypier::membership {

namespace {

constexpr std::size_t max_datagrams_per_batch = 6; ///< the rest is sent after the next comparison

std::uint64_t bit(std::size_t index)
{
    return std::uint64_t{1} << index;
}

bool newer(const listed_member &left, const member_record &right)
{
    if (left.generation != right.generation)
        return left.generation > right.generation;
    return left.liveness > right.liveness || (left.leaving && !right.leaving);
}

bool older(const listed_member &left, const member_record &right)
{
    if (left.generation != right.generation)
        return left.generation < right.generation;
    return left.liveness < right.liveness || (!left.leaving && right.leaving);
}

} // namespace

/// Datagrams of one kind, filled one after another.
struct anti_entropy::batch
{
    message_kind kind;
    std::vector<gossip_message> messages;

    /// Returns the message with `size` bytes left; null when the batch is full.
    gossip_message *messageWithSpace(std::size_t size)
    {
        if (messages.empty() || remainingBytes(messages.back()) < size) {
            if (messages.size() >= max_datagrams_per_batch)
                return nullptr;
            messages.emplace_back().kind = kind;
        }
        return remainingBytes(messages.back()) < size ? nullptr : &messages.back();
    }

    void add(const member_update &update)
    {
        if (gossip_message *message = messageWithSpace(encodedSize(update)))
            message->members.push_back(update);
    }

    void add(const fact_update &update)
    {
        if (gossip_message *message = messageWithSpace(encodedSize(update)))
            message->facts.push_back(update);
    }
};

anti_entropy::anti_entropy(const clock &time, const member_table &members, const fact_store &facts,
                           gossip_sender &sender)
    : m_time(time)
    , m_members(members)
    , m_facts(facts)
    , m_sender(sender)
{
}

void anti_entropy::compare(const endpoint &with, bool includeMembers)
{
    gossip_message digest;
    digest.kind = message_kind::digest;
    if (includeMembers)
        digest.memberHashes = m_members.hashes();
    digest.factHashes = m_facts.hashes();
    m_sender.send(with, std::move(digest));
}

bool anti_entropy::onDigest(const gossip_message &message, const endpoint &from)
{
    batch responses{message_kind::listing, {}};
    if (message.memberHashes.size() == member_table::bucket_count)
        listMembers(message, responses);
    if (message.factHashes.size() == fact_store::bucket_count)
        listFacts(message, responses);
    const bool differs = !responses.messages.empty();
    sendAll(responses, from);
    return differs;
}

void anti_entropy::listMembers(const gossip_message &digest, batch &responses) const
{
    std::vector<std::vector<listed_member>> buckets(member_table::bucket_count);
    for (const auto &[id, record] : m_members.records())
        buckets[member_table::bucketOf(id)].push_back(
            {id, record.generation, record.liveness, record.leaving});
    for (std::size_t index = 0; index < buckets.size(); ++index) {
        if (digest.memberHashes[index] == m_members.hashes()[index])
            continue;
        gossip_message *response = responses.messageWithSpace(buckets[index].size() * listed_entry_bytes);
        if (response) {
            response->memberBuckets |= bit(index);
            response->listedMembers.insert(response->listedMembers.end(), buckets[index].begin(),
                                           buckets[index].end());
            continue;
        }
        // Too many members for one datagram: the bucket isn't marked as complete.
        for (const listed_member &each : buckets[index]) {
            if (gossip_message *part = responses.messageWithSpace(listed_entry_bytes))
                part->listedMembers.push_back(each);
        }
    }
}

void anti_entropy::listFacts(const gossip_message &digest, batch &responses) const
{
    for (std::size_t index = 0; index < fact_store::bucket_count; ++index) {
        if (digest.factHashes[index] == m_facts.hashes()[index])
            continue;
        const std::vector<listed_fact> bucket = m_facts.listBucket(index);
        gossip_message *response = responses.messageWithSpace(bucket.size() * listed_entry_bytes);
        if (response) {
            response->factBuckets |= bit(index);
            response->listedFacts.insert(response->listedFacts.end(), bucket.begin(), bucket.end());
            continue;
        }
        for (const listed_fact &each : bucket) {
            if (gossip_message *part = responses.messageWithSpace(listed_entry_bytes))
                part->listedFacts.push_back(each);
        }
    }
}

bool anti_entropy::onListing(const gossip_message &message, const endpoint &from)
{
    batch pulls{message_kind::pull, {}};
    batch updates{message_kind::update, {}};
    compareMembers(message, pulls, updates);
    compareFacts(message, pulls, updates);
    sendAll(pulls, from);
    sendAll(updates, from);
    return !pulls.messages.empty() || !updates.messages.empty();
}

void anti_entropy::compareMembers(const gossip_message &listing, batch &pulls, batch &updates) const
{
    std::set<incarnation> listed;
    for (const listed_member &each : listing.listedMembers) {
        listed.insert(each.id);
        const member_record *local = m_members.find(each.id);
        const bool wanted = local ? newer(each, *local) : each.liveness != liveness::dead;
        if (local && older(each, *local))
            updates.add(member_table::makeUpdate(*local));
        gossip_message *pull = wanted ? pulls.messageWithSpace(requested_entry_bytes) : nullptr;
        if (pull)
            pull->requestedMembers.push_back(each.id);
    }
    for (const auto &[id, record] : m_members.records()) {
        const bool whole = (listing.memberBuckets & bit(member_table::bucketOf(id))) != 0;
        if (whole && !record.dead() && !listed.contains(id))
            updates.add(member_table::makeUpdate(record));
    }
}

void anti_entropy::compareFacts(const gossip_message &listing, batch &pulls, batch &updates) const
{
    std::unordered_map<std::uint64_t, std::uint64_t> theirs;
    for (const listed_fact &each : listing.listedFacts)
        theirs[each.keyHash] = each.version;
    std::unordered_map<std::uint64_t, std::uint64_t> local;
    for (std::size_t index = 0; index < fact_store::bucket_count; ++index) {
        for (const listed_fact &each : m_facts.listBucket(index)) {
            local[each.keyHash] = each.version;
            const auto found = theirs.find(each.keyHash);
            const bool whole = (listing.factBuckets & bit(index)) != 0;
            const bool push = found == theirs.end() ? whole : found->second < each.version;
            if (!push)
                continue;
            if (const auto content = m_facts.makeUpdate(each.keyHash, m_time.now()))
                updates.add(*content);
        }
    }
    for (const auto &[hash, version] : theirs) {
        const auto found = local.find(hash);
        if (found != local.end() && found->second >= version)
            continue;
        if (gossip_message *pull = pulls.messageWithSpace(requested_entry_bytes))
            pull->requestedFacts.push_back(hash);
    }
}

void anti_entropy::onPull(const gossip_message &message, const endpoint &from)
{
    batch updates{message_kind::update, {}};
    for (const incarnation id : message.requestedMembers) {
        if (const member_record *record = m_members.find(id))
            updates.add(member_table::makeUpdate(*record));
    }
    for (const std::uint64_t hash : message.requestedFacts) {
        if (const auto content = m_facts.makeUpdate(hash, m_time.now()))
            updates.add(*content);
    }
    sendAll(updates, from);
}

void anti_entropy::sendAll(batch &messages, const endpoint &to)
{
    for (gossip_message &each : messages.messages) {
        if (!m_sender.withinBudget())
            return;
        m_sender.send(to, std::move(each));
    }
}

} // namespace ivypier::membership
