#pragma once

#include "http/client.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace ivypier::scenarios {

/// The state of a call: what has been received of its response so far.
struct call_progress
{
    bool headReceived = false;
    bool completed = false;
    std::optional<error> failure;
    int status = 0;
    http::header_map headers;
    std::string body;
};

/// Runs HTTP calls in the background of a scenario script.
class http_caller
{
public:
    /// Starts a call and returns its number. Uses TLS if `trust` is the path of a PEM file of trusted
    /// certificates.
    int start(const endpoint &to, http::request message, duration timeout, const std::string &trust);

    /// Returns the current state of a call.
    call_progress progress(int call) const;

    /// Waits up to `seconds` until the call has completed, and returns its state then.
    call_progress wait(int call, double seconds) const;

    /// Cancels a call by closing its connection.
    void cancel(int call);

private:
    class observer;
    struct running_call
    {
        std::shared_ptr<observer> responseObserver;
        std::shared_ptr<http::exchange> exchange;
    };

    http::client m_client;
    std::map<int, running_call> m_calls;
    int m_nextCall = 1;
};

} // namespace ivypier::scenarios
