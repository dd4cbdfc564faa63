#pragma once

#include "simulated_fleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivypier::simulation {

/// What a caller asks for.
struct request_spec
{
    std::string part; ///< the caller's own part of the id
    bool plain = false;
    bool streamed = false;
    bool repeatable = true;
    std::string conversation;
    bool sendsDuplicates = false; ///< asks every node at once after a while

    auto operator<=>(const request_spec &) const = default;
};

/// One thing that a caller was told about a request.
struct reported_outcome
{
    std::string ticket; ///< the ticket's key that the answer named
    std::string outcome;
    std::string cause;
    time_point at{};
};

/// One caller's request: sends it, follows it, asks again when it hears nothing, and checks every answer.
class simulated_caller : public std::enable_shared_from_this<simulated_caller>
{
public:
    simulated_caller(simulated_fleet &fleet, request_spec wanted);

    void start();

    const request_spec &wanted() const;
    const std::vector<reported_outcome> &told() const;

    /// What was wrong with an answer; empty: nothing.
    const std::string &violation() const;

    bool isDone() const;

    /// A response of one connection, whole.
    void take(int status, const http::header_map &headers, const std::string &body);

private:
    void post(std::size_t node);
    void fetchAnswer(const endpoint &address);
    void send(const endpoint &address, http::request message);
    void watch(unsigned round);
    std::size_t pickAvailableNode();
    void parseEvents(const std::string &body);
    void handleFullResponse(int status, const http::header_map &headers, const std::string &body);
    void checkAnswer(const std::string &answer, bool whole);
    void note(const std::string &outcome, const std::string &cause);
    http::request message() const;
    std::string expected() const;

    simulated_fleet &m_fleet;
    request_spec m_spec;
    std::string m_id;
    std::map<std::uint64_t, std::string> m_pieces;
    std::vector<reported_outcome> m_reported;
    std::string m_violation;
    bool m_done = false;
    bool m_requestUnknown = false;
};

} // namespace ivypier::simulation
