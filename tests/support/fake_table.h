#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/table_service.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::placement::tests {

/// A conditional write that was applied, with the time of its application.
struct applied_write
{
    time_point at{};
    cloud::table_row row;
};

/// Faults that a test injects into a fake_table. The first three are probabilities per call, from 0 to 1.
struct table_faults
{
    double lostRequest = 0.0; ///< the request is lost and the call times out
    double lostAnswer = 0.0; ///< the call is applied, but its response is lost
    double lateCall = 0.0; ///< the call is applied after it has timed out at the caller
    duration maxDelay = std::chrono::milliseconds(20); ///< upper bound of the delay in each direction
    bool down = false; ///< every call fails with `unavailable`
};

/// An in-memory table that is shared by the clients of a test. Each call is applied at most once; depending
/// on the faults it is delayed, lost, or applied after its caller has timed out.
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

    /// Writes a row if its version is `expected` (0: the row doesn't exist); fails with `conflict` otherwise.
    outcome<cloud::table_row> compareAndSwap(const std::string &key, std::uint64_t expected,
                                             const std::string &value)
    {
        const auto found = rows.find(key);
        const std::uint64_t version = found == rows.end() ? 0 : found->second.version;
        if (version != expected)
            return error{error_code::conflict, "version mismatch"};
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

/// A client of the table for one process. Calls are applied on the table's scheduler and completed on the
/// scheduler of the process.
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
        done(error{error_code::unavailable, "fake_table doesn't support list()"});
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
        const bool late = !lostRequest && !lostAnswer
            && sample < faults.lostRequest + faults.lostAnswer + faults.lateCall;
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
        complete(error{error_code::timed_out, "timed out"}, call_timeout);
        if (lostRequest)
            return;
        const duration latency = late ? call_timeout + delay(max_late_delay) : delay(faults.maxDelay);
        m_table.tasks.after(latency, [this, operation, complete, lostAnswer] {
            if (m_table.faults.down) {
                complete(error{error_code::unavailable, "table is down"}, delay(m_table.faults.maxDelay));
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
