#pragma once

#include "base/random_source.h"
#include "cloud/change_feed.h"
#include "cloud/table_follower.h"
#include "http/fetcher.h"
#include "http/reply.h"
#include "membership/membership_view.h"

#include <map>

namespace ivypier::edge {

/// Tables as other nodes know them: asks a random one for its rows, and answers such questions.
class peer_rows final : public cloud::change_feed
{
public:
    static constexpr std::string_view path = "/internal/rows";

    peer_rows(random_source &randomness, const membership::membership_view &members, http::fetcher &calls,
              std::uint16_t controlPort);

    /// A table that this node can tell others about.
    void serve(const std::string &table, const cloud::table_follower &from);

    /// Answers another node's question.
    void answer(const http::incoming_request &question, http::reply &to) const;

    void list(const std::string &table, completion done) override;

    /// Not answered by nodes: always `refused`.
    void changes(const std::string &table, std::uint64_t after, duration wait, completion done) override;

    static std::string encode(const cloud::feed_rows &rows);
    static outcome<cloud::feed_rows> decode(std::string_view text);

private:
    random_source &m_random;
    const membership::membership_view &m_members;
    http::fetcher &m_calls;
    std::uint16_t m_controlPort;
    std::map<std::string, const cloud::table_follower *> m_tables;
};

} // namespace ivypier::edge
