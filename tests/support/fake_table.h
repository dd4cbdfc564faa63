#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/store_position.h"
#include "cloud/table_service.h"

#include <algorithm>
#include <deque>
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
/// on the faults it is delayed, lost, or applied after its caller has timed out. The table can be restored
/// from a copy: the versions of its rows then go back and are given out again.
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
        return found == rows.end() ? std::nullopt : std::optional(inThisEra(found->second));
    }

    /// Makes a copy of the table every `interval`, for restore().
    void startCopies(duration interval)
    {
        copies.push_back({tasks.now(), rows});
        if (copies.size() > max_copies)
            copies.pop_front();
        tasks.after(interval, [this, interval] { startCopies(interval); });
    }

    /// Replaces the table by the newest copy that is at least `age` old, and begins a new era.
    void restore(duration age)
    {
        ++era;
        std::map<std::string, cloud::table_row> restored;
        for (const copy &each : copies) {
            if (tasks.now() - each.at >= age)
                restored = each.rows;
        }
        rows = std::move(restored);
    }

    /// Writes a row if its version is `expected` (0: the row doesn't exist); fails with `conflict` otherwise.
    /// Like a real store, it does not check in which era `expected` was read.
    outcome<cloud::table_row> compareAndSwap(const std::string &key, std::uint64_t expected,
                                             const std::string &value)
    {
        const auto found = rows.find(key);
        const std::uint64_t version = found == rows.end() ? 0 : found->second.version;
        if (version != cloud::store_position::fromPacked(expected).version())
            return error{error_code::conflict, "version mismatch"};
        rows[key] = {key, version + 1, value};
        appliedWrites.push_back({tasks.now(), inThisEra(rows[key])});
        return appliedWrites.back().row;
    }

    cloud::table_row inThisEra(cloud::table_row row) const
    {
        row.version = cloud::store_position::create(era, row.version).value().packed();
        return row;
    }

    /// The rows at one time, with the versions that the table gave out itself.
    struct copy
    {
        time_point at{};
        std::map<std::string, cloud::table_row> rows;
    };
    static constexpr std::size_t max_copies = 64;

    scheduler &tasks;
    random_source &randomness;
    table_faults faults;
    std::map<std::string, cloud::table_row> rows;
    std::vector<applied_write> appliedWrites;
    std::deque<copy> copies;
    std::uint64_t era = 0;
};

/// A client of the table for one process. Calls are applied on the table's scheduler and completed on the
/// scheduler of the process. As the client of the users' store does, it drops responses of an earlier era and
/// reports a write as interrupted that was applied in another era than the one it was meant for.
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

    void list(const std::string &prefix, list_completion done) override
    {
        call<std::vector<cloud::table_row>>(
            [this, prefix]() -> outcome<std::vector<cloud::table_row>> {
                std::vector<cloud::table_row> result;
                for (const auto &[key, row] : m_table.rows) {
                    if (key.starts_with(prefix))
                        result.push_back(m_table.inThisEra(row));
                }
                return result;
            },
            done);
    }

    void write(const std::string &key, std::uint64_t expected, const std::string &value,
               write_completion done) override
    {
        const std::uint64_t expectedEra
            = expected == 0 ? m_era : cloud::store_position::fromPacked(expected).era();
        call<cloud::table_row>(
            [this, key, expected, value] { return m_table.compareAndSwap(key, expected, value); },
            [expectedEra, done](const outcome<cloud::table_row> &written) {
                if (written
                    && cloud::store_position::fromPacked(written.value().version).era() != expectedEra)
                    done(error{error_code::interrupted, "the table was restored meanwhile"});
                else
                    done(written);
            });
    }

    std::uint64_t era() const override
    {
        return m_era;
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
        const auto completeInEra = [this, completed, done](std::uint64_t era, outcome<T> result) {
            m_table.tasks.after(
                delay(m_table.faults.maxDelay), [this, completed, done, era, result = std::move(result)] {
                    m_clientTasks.post([this, completed, done, era, result] {
                        if (std::exchange(*completed, true))
                            return;
                        const bool isOutdated = era < m_era;
                        m_era = std::max(m_era, era);
                        done(isOutdated ? outcome<T>(error{error_code::interrupted, "earlier era"}) : result);
                    });
                });
        };
        complete(error{error_code::timed_out, "timed out"}, call_timeout);
        if (lostRequest)
            return;
        const duration latency = late ? call_timeout + delay(max_late_delay) : delay(faults.maxDelay);
        m_table.tasks.after(latency, [this, operation, complete, completeInEra, lostAnswer] {
            if (m_table.faults.down) {
                complete(error{error_code::unavailable, "table is down"}, delay(m_table.faults.maxDelay));
                return;
            }
            const outcome<T> result = operation();
            if (!lostAnswer)
                completeInEra(m_table.era, result);
        });
    }

    scheduler &m_clientTasks;
    fake_table &m_table;
    std::uint64_t m_era = 0;
};

} // namespace ivypier::placement::tests
