#include "base/virtual_scheduler.h"
#include "requests/attempt_runner.h"
#include "routing/least_dispatched_router.h"

#include <catch2/catch.hpp>

#include <map>

using namespace ivypier;
using namespace ivypier::requests;

namespace {

const endpoint first_engine{"10.0.0.1", 9100};
const endpoint second_engine{"10.0.0.2", 9100};

class recorded_generation final : public upstream::generation
{
public:
    bool cancelled = false;

    void cancel() override
    {
        cancelled = true;
    }

    void detach() override
    {
    }
};

struct started_attempt
{
    endpoint engine;
    upstream::generation_request request;
    std::shared_ptr<upstream::generation_observer> observer;
    std::shared_ptr<recorded_generation> running;
};

/// Engines that record each start and leave the events to the test.
class scripted_engines final : public upstream::model_engine
{
public:
    std::vector<started_attempt> started;
    bool exports = true;

    std::shared_ptr<upstream::generation>
    start(const endpoint &engine, const upstream::generation_request &request,
          std::shared_ptr<upstream::generation_observer> observer) override
    {
        started.push_back({engine, request, std::move(observer), std::make_shared<recorded_generation>()});
        return started.back().running;
    }

    std::shared_ptr<upstream::generation> resume(const endpoint &, const std::string &, const std::string &,
                                                 std::uint64_t,
                                                 std::shared_ptr<upstream::generation_observer>) override
    {
        return nullptr;
    }

    void exportCache(const endpoint &, const std::string &stream,
                     std::function<void(outcome<std::string>)> done) override
    {
        if (exports)
            done("cache of " + stream);
        else
            done(error{error_code::timed_out, "no answer"});
    }

    void readLoad(const endpoint &, std::function<void(outcome<upstream::engine_load>)>) override
    {
    }

    void readCacheEvents(const endpoint &, std::uint64_t,
                         std::function<void(outcome<std::vector<upstream::cache_event>>)>) override
    {
    }

    void order(const endpoint &, const upstream::engine_order &, std::function<void(outcome<void>)>) override
    {
    }
};

class unused_services final : public upstream::plain_service
{
public:
    void call(const endpoint &, const upstream::plain_call &,
              std::function<void(outcome<http::response>)>) override
    {
    }
};

/// Answers every call with one status.
class answering_service final : public upstream::plain_service
{
public:
    void call(const endpoint &, const upstream::plain_call &,
              std::function<void(outcome<http::response>)> done) override
    {
        done(http::response{status, {}, "an answer"});
    }

    int status = 200;
};

class immediate_retry final : public admission::retry_policy
{
public:
    void dispatched(const std::string &) override
    {
    }

    std::optional<duration> retryDelay(const std::string &, unsigned, duration) override
    {
        return duration::zero();
    }
};

class recording_owner final : public record_owner
{
public:
    std::vector<final_answer> answers;

    void finish(const record_pointer &record, final_answer answer) override
    {
        record->final = answer;
        answers.push_back(std::move(answer));
    }

    void completeHandover(const record_pointer &, incarnation) override
    {
    }
};

/// A runner with two engines and one request that is streaming from the first engine.
struct fixture
{
    explicit fixture(bool repeatable)
    {
        router.setCandidates(
            {{"one", "tariff", first_engine, "", "", 0.0}, {"two", "tariff", second_engine, "", "", 0.0}});
        incoming_request request;
        request.account = "kumasi";
        request.service.name = "tariff";
        request.repeatable = repeatable;
        request.timeout = std::chrono::seconds(60);
        request.id = {1, 2, 1, "part"};
        record
            = std::make_shared<request_record>(request, dispatch_right(request.name(), 1, {}), tasks.now());
        runner.dispatch(record);
        engines.started[0].observer->onStarted("stream-1");
        engines.started[0].observer->onToken(0, "two ");
        engines.started[0].observer->onToken(1, "cedis ");
    }

    double recomputed(const std::string &cause)
    {
        return metrics.value("ivypier_recomputed_tokens_total", {{"cause", cause}});
    }

    virtual_scheduler tasks;
    metrics_registry metrics;
    routing::least_dispatched_router router;
    immediate_retry retries;
    scripted_engines engines;
    unused_services services;
    recording_owner owner;
    attempt_runner runner{{tasks, metrics, router, retries, engines, services, owner, 1}};
    record_pointer record;
};

} // namespace

TEST_CASE("a stream on a leaving engine continues on another engine with its exported cache",
          "[promise][promise-1]")
{
    fixture test(true);
    test.runner.moveStreams(first_engine, {test.record});
    REQUIRE(test.engines.started.size() == 2);
    const started_attempt &second = test.engines.started[1];
    CHECK(test.engines.started[0].running->cancelled);
    CHECK(second.engine == second_engine);
    CHECK(second.request.cacheHandle == "cache of stream-1");
    CHECK(second.request.delivered == "two cedis ");
    CHECK(second.request.deliveredTokens == 2);
    second.observer->onToken(2, "each");
    second.observer->onFinished({20, 20, 3});
    CHECK(test.owner.answers.front().outcome == request_outcome::answered);
    CHECK(test.record->chunks == std::vector<std::string>{"two ", "cedis ", "each"});
    CHECK(test.recomputed("runner_leaving") == 0);
}

TEST_CASE("without an exported cache a moved stream still continues, and recomputed tokens are counted")
{
    fixture test(true);
    test.engines.exports = false;
    test.runner.moveStreams(first_engine, {test.record});
    REQUIRE(test.engines.started.size() == 2);
    CHECK(test.engines.started[1].request.cacheHandle.empty());
    CHECK(test.engines.started[1].request.deliveredTokens == 2);
    test.engines.started[1].observer->onFinished({20, 5, 3});
    CHECK(test.recomputed("runner_leaving") == 15);
}

TEST_CASE(
    "an interrupted stream continues on another engine, and late events of the failed attempt are dropped",
    "[promise][promise-2]")
{
    fixture test(true);
    const auto broken = test.engines.started[0].observer;
    broken->onFailed({error_code::interrupted, "cut"});
    test.tasks.runAll(10);
    REQUIRE(test.engines.started.size() == 2);
    CHECK(test.engines.started[1].engine == second_engine);
    broken->onToken(2, "foreign ");
    broken->onFinished({1, 1, 1});
    CHECK(test.record->chunks.size() == 2);
    CHECK(test.owner.answers.empty());
    CHECK(test.metrics.value("ivypier_late_events_total", {}) == 2);
    test.engines.started[1].observer->onFinished({20, 0, 2});
    CHECK(test.recomputed("engine_failed") == 20);
}

TEST_CASE("a non-repeatable stream is neither moved nor restarted", "[promise][promise-4]")
{
    fixture test(false);
    test.runner.moveStreams(first_engine, {test.record});
    CHECK(test.engines.started.size() == 1);
    test.engines.started[0].observer->onFailed({error_code::interrupted, "cut"});
    test.tasks.runAll(10);
    CHECK(test.engines.started.size() == 1);
    CHECK(test.owner.answers.front().outcome == request_outcome::unknown);
}

TEST_CASE("a gap in a stream fails the attempt instead of losing a chunk", "[promise][promise-2]")
{
    fixture test(true);
    test.engines.started[0].observer->onToken(3, "late");
    test.tasks.runAll(10);
    REQUIRE(test.engines.started.size() == 2);
    CHECK(test.engines.started[1].request.deliveredTokens == 2);
}

TEST_CASE("an answer of a service whose status promises that it was not processed gets another status")
{
    virtual_scheduler tasks;
    metrics_registry metrics;
    routing::least_dispatched_router router;
    router.setCandidates({{"one", "orders", first_engine, "", "", 0.0}});
    immediate_retry retries;
    scripted_engines engines;
    answering_service services;
    recording_owner owner;
    attempt_runner runner({tasks, metrics, router, retries, engines, services, owner, 1});
    incoming_request request;
    request.service.name = "orders";
    request.service.kind = configuration::service_kind::plain;
    request.timeout = std::chrono::seconds(60);
    request.id = {1, 2, 1, "part"};
    for (const auto &[received, sent] : std::map<int, int>{
             {200, 200}, {404, 404}, {500, 500}, {408, 502}, {421, 502}, {429, 502}, {503, 502}}) {
        INFO(received);
        services.status = received;
        const auto record
            = std::make_shared<request_record>(request, dispatch_right(request.name(), 1, {}), tasks.now());
        runner.dispatch(record);
        REQUIRE_FALSE(owner.answers.empty());
        CHECK(owner.answers.back().outcome == request_outcome::answered);
        CHECK(owner.answers.back().status == sent);
        CHECK(owner.answers.back().body == "an answer");
    }
}
