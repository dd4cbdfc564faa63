#include "upstream/leaving_detector.h"

namespace ivypier::upstream {

/// Forwards an attempt's events and notifies the detector of a refusal.
class leaving_detector::refusal_observer final : public generation_observer
{
public:
    refusal_observer(leaving_detector &detector, endpoint engine, std::shared_ptr<generation_observer> target)
        : m_detector(detector)
        , m_engine(std::move(engine))
        , m_target(std::move(target))
    {
    }

    void onStarted(const std::string &stream) override
    {
        m_target->onStarted(stream);
    }

    void onToken(std::uint64_t index, const std::string &text) override
    {
        m_target->onToken(index, text);
    }

    void onFinished(const token_usage &usage) override
    {
        m_target->onFinished(usage);
    }

    void onFailed(const error &failure) override
    {
        if (failure.code == error_code::refused)
            m_detector.checkAfterRefusal(m_engine);
        m_target->onFailed(failure);
    }

private:
    leaving_detector &m_detector;
    endpoint m_engine;
    std::shared_ptr<generation_observer> m_target;
};

leaving_detector::leaving_detector(model_engine &engines, leaving_callback onLeaving)
    : m_engines(engines)
    , m_onLeaving(std::move(onLeaving))
{
}

std::shared_ptr<generation> leaving_detector::start(const endpoint &engine, const generation_request &request,
                                                    std::shared_ptr<generation_observer> observer)
{
    return m_engines.start(engine, request,
                           std::make_shared<refusal_observer>(*this, engine, std::move(observer)));
}

std::shared_ptr<generation> leaving_detector::resume(const endpoint &engine, const std::string &stream,
                                                     const std::string &attempt, std::uint64_t next,
                                                     std::shared_ptr<generation_observer> observer)
{
    return m_engines.resume(engine, stream, attempt, next,
                            std::make_shared<refusal_observer>(*this, engine, std::move(observer)));
}

void leaving_detector::exportCache(const endpoint &engine, const std::string &stream,
                                   std::function<void(outcome<std::string>)> done)
{
    m_engines.exportCache(engine, stream, std::move(done));
}

void leaving_detector::readLoad(const endpoint &engine, std::function<void(outcome<engine_load>)> done)
{
    m_engines.readLoad(engine, [this, engine, done = std::move(done)](const outcome<engine_load> &load) {
        if (load && load.value().leaving)
            m_onLeaving(engine);
        done(load);
    });
}

void leaving_detector::readCacheEvents(const endpoint &engine, std::uint64_t after,
                                       std::function<void(outcome<std::vector<cache_event>>)> done)
{
    m_engines.readCacheEvents(engine, after, std::move(done));
}

void leaving_detector::order(const endpoint &engine, const engine_order &wanted,
                             std::function<void(outcome<void>)> done)
{
    m_engines.order(engine, wanted, std::move(done));
}

void leaving_detector::checkAfterRefusal(const endpoint &engine)
{
    if (!m_pendingChecks.insert(engine).second)
        return;
    readLoad(engine, [this, engine](const outcome<engine_load> &) { m_pendingChecks.erase(engine); });
}

} // namespace ivypier::upstream
