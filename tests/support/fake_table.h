#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/table_service.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::placement::tests {

/// A write that took operation.
struct applied_write
{
    time_point at{};
    cloud::table_row row;
};

/// How often the table of a test misbehaves.
struct table_faults
{
    double lostRequest = 0.0; ///< part of the calls that never arrive
    double lostAnswer = 0.0; ///< part of the calls that take operation and whose complete is lost
    double late = 0.0; ///< part of the calls that take operation after their caller gave up
    duration maxDelay = std::chrono::milliseconds(20); ///< of each latency
    bool down = false;
};

/// The one table of a test. Calls reach it late, twice never, sometimes after their caller gave up.
class fake_table
{
public:
    fake_table(scheduler &tasks, random_source &randomness)
        : tasks(tasks)
        , randomness(randomness)
    {
    }

    std::optional<cloud::table_row> find(const std::string &key) const
    {
        const auto found = rows.find(key);
        return found == rows.end() ? std::nullopt : std::optional(found->second);
    }

    outcome<cloud::table_row> compareAndSwap(const std::string &key, std::uint64_t expected,
                                             const std::string &value)
    {
        const auto found = rows.find(key);
        const std::uint64_t version = found == rows.end() ? 0 : found->second.version;
        if (version != expected)
            return error{error_code::conflict, "another version"};
        rows[key] = {key, version + 1, value};
        appliedWrites.push_back({tasks.now(), rows[key]});
        return rows[key];
    }

    scheduler &tasks;
    random_source &randomness;
    table_faults faults;
    std::map<std::string, cloud::table_row> rows;
    std::vector<applied_write> appliedWrites;
};

/// One process's latency to the table: calls run on the table's scheduler, answers on the process's own.
class fake_table_client final : public cloud::table_service
{
public:
    fake_table_client(scheduler &clientTasks, fake_table &table)
        : m_clientTasks(clientTasks)
        , m_table(table)
    {
    }

    void read(const std::string &key, read_completion done) override
    {
        call<std::optional<cloud::table_row>>(
            [this, key]() -> outcome<std::optional<cloud::table_row>> { return m_table.find(key); }, done);
    }

    void list(const std::string &, list_completion done) override
    {
        done(error{error_code::unavailable, "not part of this fake"});
    }

    void write(const std::string &key, std::uint64_t expected, const std::string &value,
               write_completion done) override
    {
        call<cloud::table_row>(
            [this, key, expected, value] { return m_table.compareAndSwap(key, expected, value); }, done);
    }

private:
    static constexpr duration call_timeout = std::chrono::seconds(2);
    static constexpr duration max_late_delay = std::chrono::seconds(15);

    duration delay(duration longest)
    {
        return fromSeconds(seconds(longest) * m_table.randomness.uniform());
    }

    template <typename T>
    void call(std::function<outcome<T>()> operation, std::function<void(outcome<T>)> done)
    {
        const double sample = m_table.randomness.uniform();
        const table_faults &faults = m_table.faults;
        const bool lostRequest = sample < faults.lostRequest;
        const bool lostAnswer = !lostRequest && sample < faults.lostRequest + faults.lostAnswer;
        const bool late
            = !lostRequest && !lostAnswer && sample < faults.lostRequest + faults.lostAnswer + faults.late;
        auto completed = std::make_shared<bool>(false);
        const auto complete = [this, completed, done](outcome<T> result, duration after) {
            m_table.tasks.after(after, [this, completed, done, result = std::move(result)] {
                m_clientTasks.post([completed, done, result] {
                    if (std::exchange(*completed, true))
                        return;
                    done(result);
                });
            });
        };
        complete(error{error_code::timed_out, "no answer"}, call_timeout);
        if (lostRequest)
            return;
        const duration latency = late ? call_timeout + delay(max_late_delay) : delay(faults.maxDelay);
        m_table.tasks.after(latency, [this, operation, complete, lostAnswer] {
            if (m_table.faults.down) {
                complete(error{error_code::unavailable, "down"}, delay(m_table.faults.maxDelay));
                return;
            }
            const outcome<T> result = operation();
            if (!lostAnswer)
                complete(result, delay(m_table.faults.maxDelay));
        });
    }

    scheduler &m_clientTasks;
    fake_table &m_table;
};

} // namespace ivypier::placement::tests
