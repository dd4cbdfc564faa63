#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/weight_store.h"
#include "upstream/model_engine.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::placement::tests {

/// An order that an engine accepted.
struct accepted_order
{
    endpoint engine;
    upstream::engine_order order;
};

/// The engines of a test, on the test's virtual clock.
struct fake_fleet
{
    struct engine
    {
        upstream::engine_load load;
        std::uint64_t fencingToken = 0;
        std::uint64_t loads = 0; ///< loads started; a later load supersedes an earlier one
    };

    fake_fleet(scheduler &world, random_source &random)
        : tasks(world)
        , randomness(random)
    {
    }

    void add(const endpoint &address, const std::string &model, const std::string &version)
    {
        engines[address].load.model = model;
        engines[address].load.modelVersion = version;
    }

    outcome<void> acceptOrder(const endpoint &address, const upstream::engine_order &wanted)
    {
        engine &target = engines.at(address);
        if (checksFencing && wanted.fencingToken < target.fencingToken)
            return error{error_code::refused, "stale fencing token"};
        target.fencingToken = std::max(target.fencingToken, wanted.fencingToken);
        acceptedOrders.push_back({address, wanted});
        const bool loads = target.load.model != wanted.model
            || target.load.modelVersion != wanted.modelVersion || target.load.adapter != wanted.adapter;
        target.load.model = wanted.model;
        target.load.modelVersion = wanted.modelVersion;
        target.load.adapter = wanted.adapter;
        target.load.role = wanted.role;
        if (!loads)
            return success();
        target.load.loading = true;
        const std::uint64_t number = ++target.loads;
        peakLoading = std::max(peakLoading, loading());
        tasks.after(loadTime, [&target, number] {
            if (target.loads == number)
                target.load.loading = false;
        });
        return success();
    }

    std::size_t loading() const
    {
        std::size_t count = 0;
        for (const auto &[address, each] : engines)
            count += each.load.loading ? 1 : 0;
        return count;
    }

    std::size_t serving(const std::string &model, const std::string &version) const
    {
        std::size_t count = 0;
        for (const auto &[address, each] : engines)
            count += each.load.model == model && each.load.modelVersion == version && !each.load.loading ? 1
                                                                                                         : 0;
        return count;
    }

    scheduler &tasks;
    random_source &randomness;
    std::map<endpoint, engine> engines;
    std::vector<accepted_order> acceptedOrders;
    std::size_t peakLoading = 0;
    std::size_t pollCount = 0;
    bool checksFencing = true;
    duration loadTime = std::chrono::seconds(20);
    double lossProbability = 0.0; ///< of a call; half of the lost calls are still applied
    double lateProbability = 0.0; ///< probability that an order arrives up to a minute late
};

/// The connection of one process to the engines.
class fake_engine_client final : public upstream::model_engine
{
public:
    fake_engine_client(scheduler &process, fake_fleet &fleet)
        : m_process(process)
        , m_fleet(fleet)
    {
    }

    std::shared_ptr<upstream::generation> start(const endpoint &, const upstream::generation_request &,
                                                std::shared_ptr<upstream::generation_observer>) override
    {
        return nullptr;
    }

    std::shared_ptr<upstream::generation> resume(const endpoint &, const std::string &, const std::string &,
                                                 std::uint64_t,
                                                 std::shared_ptr<upstream::generation_observer>) override
    {
        return nullptr;
    }

    void exportCache(const endpoint &, const std::string &,
                     std::function<void(outcome<std::string>)>) override
    {
    }

    void readCacheEvents(const endpoint &, std::uint64_t,
                         std::function<void(outcome<std::vector<upstream::cache_event>>)>) override
    {
    }

    void readLoad(const endpoint &engine, std::function<void(outcome<upstream::engine_load>)> done) override
    {
        ++m_fleet.pollCount;
        call<upstream::engine_load>(
            [this, engine]() -> outcome<upstream::engine_load> { return m_fleet.engines.at(engine).load; },
            done, false);
    }

    void order(const endpoint &engine, const upstream::engine_order &wanted,
               std::function<void(outcome<void>)> done) override
    {
        call<void>([this, engine, wanted] { return m_fleet.acceptOrder(engine, wanted); }, done, true);
    }

private:
    template <typename T>
    void call(std::function<outcome<T>()> effect, std::function<void(outcome<T>)> done, bool mayBeLate)
    {
        random_source &randomness = m_fleet.randomness;
        const double draw = randomness.uniform();
        const bool late = mayBeLate && randomness.uniform() < m_fleet.lateProbability;
        const double latency = late ? 60.0 * randomness.uniform() : 0.02 * randomness.uniform();
        const bool lostRequest = draw < m_fleet.lossProbability / 2;
        const bool lostAnswer = draw < m_fleet.lossProbability || late;
        if (lostAnswer)
            m_fleet.tasks.after(std::chrono::seconds(2), [this, done] {
                m_process.post([done] { done(error{error_code::timed_out, "no response"}); });
            });
        if (lostRequest)
            return;
        m_fleet.tasks.after(fromSeconds(latency), [this, effect, done, lostAnswer] {
            const outcome<T> result = effect();
            if (!lostAnswer)
                m_process.post([done, result] { done(result); });
        });
    }

    scheduler &m_process;
    fake_fleet &m_fleet;
};

/// A weight store that grants one delivery in every `interval` and counts the requests that ignore its
/// retry-after time.
class fake_weight_store final : public cloud::weight_store
{
public:
    explicit fake_weight_store(scheduler &tasks)
        : m_tasks(tasks)
    {
    }

    void requestDelivery(const std::string &name,
                         std::function<void(outcome<cloud::weight_delivery>)> done) override
    {
        names.push_back(name);
        earlyRequests += m_tasks.now() < m_nextGrantAt && m_refused ? 1 : 0;
        m_refused = m_tasks.now() < m_nextGrantAt;
        cloud::weight_delivery answer{1000, m_refused ? m_nextGrantAt - m_tasks.now() : duration::zero()};
        if (!m_refused)
            m_nextGrantAt = m_tasks.now() + interval;
        m_tasks.post([done, answer] { done(answer); });
    }

    duration interval = std::chrono::seconds(1);
    std::size_t earlyRequests = 0;
    std::vector<std::string> names;

private:
    scheduler &m_tasks;
    time_point m_nextGrantAt{};
    bool m_refused = false;
};

} // namespace ivypier::placement::tests
