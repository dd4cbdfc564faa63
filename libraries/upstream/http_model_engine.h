#pragma once

#include "base/task_poster.h"
#include "http/client.h"
#include "upstream/model_engine.h"

#include <json/value.h>

namespace ivypier::upstream {

/// HTTP client for model engines. Streams arrive as server-sent events.
class http_model_engine final : public model_engine
{
public:
    http_model_engine(scheduler &tasks, std::shared_ptr<http::client> transport);

    std::shared_ptr<generation> start(const endpoint &engine, const generation_request &request,
                                      std::shared_ptr<generation_observer> observer) override;
    std::shared_ptr<generation> resume(const endpoint &engine, const std::string &stream,
                                       const std::string &attempt, std::uint64_t next,
                                       std::shared_ptr<generation_observer> observer) override;
    void exportCache(const endpoint &engine, const std::string &stream,
                     std::function<void(outcome<std::string>)> done) override;
    void readLoad(const endpoint &engine, std::function<void(outcome<engine_load>)> done) override;
    void readCacheEvents(const endpoint &engine, std::uint64_t after,
                         std::function<void(outcome<std::vector<cache_event>>)> done) override;
    void order(const endpoint &engine, const engine_order &wanted,
               std::function<void(outcome<void>)> done) override;

private:
    std::shared_ptr<generation> open(const endpoint &engine, http::request message,
                                     const std::string &attempt,
                                     std::shared_ptr<generation_observer> observer);
    void call(const endpoint &engine, http::request message, std::function<void(outcome<Json::Value>)> done);

    task_poster m_poster;
    std::shared_ptr<http::client> m_transport;
};

} // namespace ivypier::upstream
