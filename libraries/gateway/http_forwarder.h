#pragma once

#include "base/task_poster.h"
#include "gateway/forwarder.h"
#include "http/client.h"

#include <memory>
#include <vector>

namespace ivypier::gateway {

/// Forwards requests over HTTP.
class http_forwarder final : public forwarder
{
public:
    http_forwarder(scheduler &tasks, std::shared_ptr<http::client> transport);

    void forward(const endpoint &node, const http::request &incoming, std::shared_ptr<http::responder> caller,
                 duration idleTimeout, no_response_handler onNoResponse) override;
    void redirectAll() override;
    std::size_t activeCount() const override;

private:
    class forwarded_response;

    void removeFinished();

    task_poster m_poster;
    std::shared_ptr<http::client> m_transport;
    std::vector<std::weak_ptr<forwarded_response>> m_responses;
};

} // namespace ivypier::gateway
