#include "upstream/http_plain_service.h"

namespace ivypier::upstream {

http_plain_service::http_plain_service(scheduler &tasks, std::shared_ptr<http::client> transport)
    : m_poster(tasks)
    , m_transport(std::move(transport))
{
}

void http_plain_service::call(const endpoint &service, const plain_call &request,
                              std::function<void(outcome<http::response>)> done)
{
    http::request message{.method = request.method, .path = request.path, .query = request.query};
    message.headers["Ivypier-Attempt"] = request.attempt;
    message.headers["Ivypier-Request"] = request.requestId;
    if (!request.contentType.empty())
        message.headers["Content-Type"] = request.contentType;
    message.body = request.body;
    m_transport->send(
        service, std::move(message), {request.timeout, request.callRepeatability},
        [poster = m_poster.newHandle(), done = std::move(done)](outcome<http::response> httpResult) {
            poster.post([done, httpResult = std::move(httpResult)] { done(httpResult); });
        });
}

} // namespace ivypier::upstream
