#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "http/client.h"

#include <functional>
#include <string>

namespace ivypier::upstream {

/// A call to a plain service.
struct plain_call
{
    std::string attempt; ///< id of this attempt, sent as `Ivypier-Attempt`
    std::string requestId; ///< id of the request, sent as `Ivypier-Request`
    std::string method;
    std::string path;
    std::string query;
    std::string contentType;
    std::string body;
    http::repeatability callRepeatability = http::repeatability::not_repeatable;
    duration timeout = std::chrono::seconds(30);

    bool operator==(const plain_call &) const = default;
};

/// Client for plain services, by address. A call completes once, as a task of the caller's scheduler.
class plain_service
{
public:
    virtual ~plain_service() = default;

    /// Calls the service. The error `unavailable` means that no byte of the call was sent.
    virtual void call(const endpoint &service, const plain_call &request,
                      std::function<void(outcome<http::response>)> done)
        = 0;
};

} // namespace ivypier::upstream
