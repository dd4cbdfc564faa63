#include "base/virtual_scheduler.h"
#include "requests/request_table.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::requests;

namespace {

constexpr incarnation self = 7;

incoming_request makeRequest(const std::string &part, std::uint64_t epoch, incarnation home = self)
{
    incoming_request request;
    request.account = "kumasi";
    request.id = {home, 9, epoch, part};
    return request;
}

record_pointer makeRecord(const incoming_request &request, time_point now)
{
    return std::make_shared<request_record>(request, dispatch_right(request.name(), self, {}), now);
}

void finishWithAnswer(request_table &table, const record_pointer &record, std::size_t bytes)
{
    record->final = final_answer{.outcome = request_outcome::answered, .body = std::string(bytes, 'x')};
    table.retain(record);
}

} // namespace

TEST_CASE("an unknown id of a closed epoch did not run, until the epoch is forgotten", "[promise][promise-3]")
{
    virtual_scheduler tasks;
    request_table table(tasks, self, {});
    std::vector<std::uint64_t> epochs;
    table.startEpochRotation([&](std::uint64_t epoch) { epochs.push_back(epoch); });
    const incoming_request early = makeRequest("early", 1);
    const record_pointer record = makeRecord(early, tasks.now());
    table.add(record);
    finishWithAnswer(table, record, 10);

    CHECK(table.idStatus(makeRequest("late", 1).name()) == id_status::fresh);
    tasks.advance(std::chrono::minutes(25));
    CHECK(epochs == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(table.idStatus(makeRequest("late", 1).name()) == id_status::expired);
    CHECK(table.find(early.key())); // still known, so it is not reported as not run
    tasks.advance(std::chrono::minutes(20));
    CHECK(table.idStatus(makeRequest("late", 1).name()) == id_status::forgotten);
    CHECK_FALSE(table.find(early.key()));
}

TEST_CASE("an answer is retained for the retention time, and after that only its outcome")
{
    virtual_scheduler tasks;
    request_table table(tasks, self, {});
    const record_pointer record = makeRecord(makeRequest("a", 1), tasks.now());
    table.add(record);
    finishWithAnswer(table, record, 10);
    tasks.advance(std::chrono::seconds(59));
    CHECK(record->final->body.size() == 10);
    tasks.advance(std::chrono::seconds(2));
    const record_pointer kept = table.find(record->key);
    REQUIRE(kept);
    CHECK(kept->final->body.empty());
    CHECK(kept->final->status == 410);
    CHECK(kept->final->outcome == request_outcome::answered);
}

TEST_CASE("ids whose answers were dropped share one tombstone per kind of ending")
{
    virtual_scheduler tasks;
    request_table table(tasks, self, {});
    std::map<std::string, request_outcome> endings;
    for (const request_outcome outcome :
         {request_outcome::answered, request_outcome::not_run, request_outcome::unknown}) {
        for (int number = 0; number < 3; ++number) {
            const record_pointer record = makeRecord(
                makeRequest(std::string(name(outcome)) + std::to_string(number), 1), tasks.now());
            table.add(record);
            record->final = final_answer{.outcome = outcome, .cause = "cause"};
            table.retain(record);
            endings[record->key] = outcome;
        }
    }
    const record_pointer moved = makeRecord(makeRequest("moved", 1), tasks.now());
    table.add(moved);
    moved->handover = handover_phase::moved;
    moved->movedTo = "10.0.0.9:8080";
    table.retain(moved);
    tasks.advance(std::chrono::minutes(2));
    for (const auto &[key, outcome] : endings)
        CHECK(table.find(key)->final->outcome == outcome);
    CHECK(table.find(moved->key)->movedTo == "10.0.0.9:8080");
    CHECK(table.find(moved->key)->handover == handover_phase::moved);
    CHECK(table.find(moved->key) != moved);
}

TEST_CASE("the total size of retained answers is bounded; the oldest are dropped first")
{
    virtual_scheduler tasks;
    request_table table(tasks, self, {.maxAnswerBytes = 100});
    std::vector<record_pointer> records;
    for (int index = 0; index < 10; ++index) {
        records.push_back(makeRecord(makeRequest("r" + std::to_string(index), 1), tasks.now()));
        table.add(records.back());
        finishWithAnswer(table, records.back(), 30);
    }
    CHECK(table.find(records.front()->key)->final->body.empty());
    CHECK(table.find(records.back()->key)->final->body.size() == 30);
    CHECK(table.openCount() == 0);
}

TEST_CASE("an epoch with too many ids ends early, so memory stays bounded")
{
    virtual_scheduler tasks;
    request_table table(tasks, self, {.maxIdsPerEpoch = 10});
    std::uint64_t current = 0;
    table.startEpochRotation([&](std::uint64_t epoch) { current = epoch; });
    for (int index = 0; index < 1000; ++index) {
        const record_pointer record
            = makeRecord(makeRequest("r" + std::to_string(index), current), tasks.now());
        table.add(record);
        finishWithAnswer(table, record, 1);
    }
    CHECK(current > 50);
    CHECK(table.size() <= 10 * epoch_window::remembered_epochs);
}

TEST_CASE("handed-over ids of another home are refused once they are forgotten", "[promise][promise-4]")
{
    virtual_scheduler tasks;
    request_table table(tasks, self, {});
    const incoming_request foreign = makeRequest("a", 1, self + 1);
    const record_pointer record = makeRecord(foreign, tasks.now());
    table.add(record);
    finishWithAnswer(table, record, 1);
    tasks.advance(std::chrono::minutes(1));
    CHECK(table.find(foreign.key()));
    tasks.advance(std::chrono::hours(1));
    const record_pointer later = makeRecord(makeRequest("b", 1, self + 2), tasks.now());
    table.add(later);
    finishWithAnswer(table, later, 1);
    tasks.advance(std::chrono::minutes(2));
    CHECK_FALSE(table.find(foreign.key()));
    CHECK(table.idStatus(foreign.name()) == id_status::forgotten);
}
