#pragma once

#include "base/task_poster.h"
#include "upstream/plain_service.h"

#include <memory>

namespace ivypier::upstream {

/// HTTP client for plain services.
class http_plain_service final : public plain_service
{
public:
    http_plain_service(scheduler &tasks, std::shared_ptr<http::client> transport);

    void call(const endpoint &service, const plain_call &request,
              std::function<void(outcome<http::response>)> done) override;

private:
    task_poster m_poster;
    std::shared_ptr<http::client> m_transport;
};

} // namespace ivypier::upstream
