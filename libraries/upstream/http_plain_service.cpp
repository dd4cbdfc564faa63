#include "upstream/http_plain_service.h"

namespace ivypier::upstream {

http_plain_service::http_plain_service(scheduler &tasks, std::shared_ptr<http::client> transport)
    : m_tasks(tasks)
    , m_transport(std::move(transport))
{
}

void http_plain_service::call(const endpoint &service, const plain_call &what,
                              std::function<void(outcome<http::response>)> done)
{
    http::request message{.method = what.method, .path = what.path, .query = what.query};
    message.headers["Ivypier-Attempt"] = what.attempt;
    message.headers["Ivypier-Request"] = what.requestId;
    if (!what.contentType.empty())
        message.headers["Content-Type"] = what.contentType;
    message.body = what.body;
    m_transport->send(service, std::move(message), {what.timeout, what.repeat},
                      [this, done = std::move(done)](outcome<http::response> httpResult) {
                          m_tasks.post([done, httpResult = std::move(httpResult)] { done(httpResult); });
                      });
}

} // namespace ivypier::upstream
