#pragma once

#include "http/client.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace ivypier::scenarios {

/// What is known of a call so far.
struct call_progress
{
    bool headReceived = false;
    bool completed = false;
    std::optional<error> failure;
    int status = 0;
    http::header_map headers;
    std::string body;
};

/// Calls that run beside a scenario's script.
class http_caller
{
public:
    /// Starts a call and gives its number. It speaks TLS when `trust` names a PEM file of certificates.
    int start(const endpoint &to, http::request message, duration timeout, const std::string &trust);

    /// What is known of a call now.
    call_progress progress(int call) const;

    /// What is known of a call when it completed or after `seconds`, whichever comes first.
    call_progress wait(int call, double seconds) const;

    /// Breaks a call's connection.
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
