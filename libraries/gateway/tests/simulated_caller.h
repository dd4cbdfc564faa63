#pragma once

#include "simulated_fleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivypier::simulation {

/// The request that a caller sends.
struct request_spec
{
    std::string callerPart; ///< the part of the request id that the caller chooses
    bool plain = false;
    bool streamed = false;
    bool repeatable = true;
    std::string conversation;
    bool sendsDuplicates = false; ///< sends the request to every node up to three seconds later

    auto operator<=>(const request_spec &) const = default;
};

/// An outcome that the fleet reported to a caller.
struct reported_outcome
{
    std::string ticket; ///< key of the ticket named in the response
    std::string outcome;
    std::string cause;
    time_point at{};
};

/// Sends one request, follows redirects, retries while it has no outcome, and checks every answer.
class simulated_caller : public std::enable_shared_from_this<simulated_caller>
{
public:
    simulated_caller(simulated_fleet &fleet, request_spec spec);

    void start();

    const request_spec &spec() const;
    const std::vector<reported_outcome> &reported() const;

    /// Returns what was wrong with an answer, or an empty string.
    const std::string &violation() const;

    bool isDone() const;

    /// Handles the complete response of one connection.
    void handleResponse(int status, const http::header_map &headers, const std::string &body);

private:
    void sendTo(std::size_t node);
    void fetchAnswer(const endpoint &address);
    void send(const endpoint &address, http::request message);
    void scheduleRetry(unsigned round);
    std::size_t pickAvailableNode();
    void parseEvents(const std::string &body);
    void handleFullResponse(int status, const http::header_map &headers, const std::string &body);
    void checkAnswer(const std::string &answer, bool complete);
    void recordOutcome(const std::string &outcome, const std::string &cause);
    http::request makeRequest() const;
    std::string expectedAnswer() const;

    simulated_fleet &m_fleet;
    request_spec m_spec;
    std::string m_id;
    std::map<std::uint64_t, std::string> m_chunks;
    std::vector<reported_outcome> m_reported;
    std::string m_violation;
    bool m_done = false;
    bool m_requestUnknown = false;
};

} // namespace ivypier::simulation
