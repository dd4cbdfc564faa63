#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/weight_store.h"
#include "upstream/model_engine.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::placement::tests {

/// An order as an engine took it.
struct taken_order
{
    endpoint engine;
    upstream::engine_order order;
};

/// Engines of a test, on the test's own clock.
struct fake_fleet
{
    struct engine
    {
        upstream::engine_load load;
        std::uint64_t fencing = 0;
        std::uint64_t loads = 0; ///< tells a load that was overtaken
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

    outcome<void> take(const endpoint &address, const upstream::engine_order &wanted)
    {
        engine &taker = engines.at(address);
        if (checksFencing && wanted.fencing < taker.fencing)
            return error{error_code::refused, "an old fencing number"};
        taker.fencing = std::max(taker.fencing, wanted.fencing);
        taken.push_back({address, wanted});
        const bool loads = taker.load.model != wanted.model || taker.load.modelVersion != wanted.modelVersion
            || taker.load.adapter != wanted.adapter;
        taker.load.model = wanted.model;
        taker.load.modelVersion = wanted.modelVersion;
        taker.load.adapter = wanted.adapter;
        taker.load.role = wanted.role;
        if (!loads)
            return success();
        taker.load.loading = true;
        const std::uint64_t number = ++taker.loads;
        mostLoading = std::max(mostLoading, loading());
        tasks.after(loadTime, [&taker, number] {
            if (taker.loads == number)
                taker.load.loading = false;
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
    std::vector<taken_order> taken;
    std::size_t mostLoading = 0;
    std::size_t looks = 0;
    bool checksFencing = true;
    duration loadTime = std::chrono::seconds(20);
    double lost = 0.0; ///< part of the calls that are lost, half of them after they took effect
    double late = 0.0; ///< part of the orders that arrive up to a minute late
};

/// One process's way to the engines.
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
        ++m_fleet.looks;
        call<upstream::engine_load>(
            [this, engine]() -> outcome<upstream::engine_load> { return m_fleet.engines.at(engine).load; },
            done, false);
    }

    void order(const endpoint &engine, const upstream::engine_order &wanted,
               std::function<void(outcome<void>)> done) override
    {
        call<void>([this, engine, wanted] { return m_fleet.take(engine, wanted); }, done, true);
    }

private:
    template <typename T>
    void call(std::function<outcome<T>()> effect, std::function<void(outcome<T>)> done, bool mayBeLate)
    {
        random_source &randomness = m_fleet.randomness;
        const double draw = randomness.uniform();
        const bool late = mayBeLate && randomness.uniform() < m_fleet.late;
        const double way = late ? 60.0 * randomness.uniform() : 0.02 * randomness.uniform();
        const bool lostRequest = draw < m_fleet.lost / 2;
        const bool lostAnswer = draw < m_fleet.lost || late;
        if (lostAnswer)
            m_fleet.tasks.after(std::chrono::seconds(2), [this, done] {
                m_process.post([done] { done(error{error_code::timed_out, "no answer"}); });
            });
        if (lostRequest)
            return;
        m_fleet.tasks.after(fromSeconds(way), [this, effect, done, lostAnswer] {
            const outcome<T> result = effect();
            if (!lostAnswer)
                m_process.post([done, result] { done(result); });
        });
    }

    scheduler &m_process;
    fake_fleet &m_fleet;
};

/// A weight store that grants one delivery in every `interval` and counts requests inside a wait it gave.
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
        tooEarly += m_tasks.now() < m_freeAt && m_refused ? 1 : 0;
        m_refused = m_tasks.now() < m_freeAt;
        cloud::weight_delivery answer{1000, m_refused ? m_freeAt - m_tasks.now() : duration::zero()};
        if (!m_refused)
            m_freeAt = m_tasks.now() + interval;
        m_tasks.post([done, answer] { done(answer); });
    }

    duration interval = std::chrono::seconds(1);
    std::size_t tooEarly = 0;
    std::vector<std::string> names;

private:
    scheduler &m_tasks;
    time_point m_freeAt{};
    bool m_refused = false;
};

} // namespace ivypier::placement::tests
