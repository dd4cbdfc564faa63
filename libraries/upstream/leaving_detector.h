#pragma once

#include "upstream/model_engine.h"

#include <set>

namespace ivypier::upstream {

/// Decorates model engines to detect those that are leaving. An engine states that in its load report. After
/// an engine refused an attempt its load is read, because a refusal alone does not mean that it is leaving.
class leaving_detector final : public model_engine
{
public:
    using leaving_callback = std::function<void(const endpoint &engine)>;

    /// `onLeaving` is called for every load report that states that the engine is leaving.
    leaving_detector(model_engine &engines, leaving_callback onLeaving);

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
    leaving_callback m_onLeaving;
    std::set<endpoint> m_pendingChecks; ///< engines whose load is being read after a refusal
};

} // namespace ivypier::upstream
