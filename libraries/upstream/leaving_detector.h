#pragma once

#include "upstream/model_engine.h"

#include <set>

namespace ivypier::upstream {

/// Model engines whose own word that they leave is noticed: in a load report, or when one refuses an attempt
/// and is then asked for its load. A refusal alone is no sign of leaving.
class leaving_detector final : public model_engine
{
public:
    using observer = std::function<void(const endpoint &engine)>;

    /// `onLeaving` is called with every report that says so.
    leaving_detector(model_engine &engines, observer onLeaving);

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
    class refusal_observer;

    void checkAfterRefusal(const endpoint &engine);

    model_engine &m_engines;
    observer m_onLeaving;
    std::set<endpoint> m_pendingChecks; ///< engines whose answer about a refusal is still out
};

} // namespace ivypier::upstream
