#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/object_store.h"
#include "cloud/table_service.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::configuration {

/// Simulates the platform's table and object store in memory with injected faults, and records every accepted
/// write for the oracle.
struct fake_platform
{
    explicit fake_platform(std::uint64_t seed)
        : randomness(seed)
    {
    }

    struct accepted_write
    {
        std::uint64_t version = 0;
        std::string value;
        time_point at;
    };

    std::map<std::string, cloud::table_row> rows;
    std::map<std::string, std::string> objects;
    std::vector<accepted_write> history; ///< every accepted write of a row
    bool down = false;
    double lostResponseRate = 0.0; ///< fraction of accepted writes whose response is lost
    double slowResponseRate = 0.0; ///< fraction of responses that take up to 3 s
    seeded_random randomness;
    std::size_t gets = 0;
    std::size_t puts = 0;
};

/// Client of one process to the fake platform. Responses are delayed and run as tasks of its scheduler.
class fake_platform_client final : public cloud::table_service, public cloud::object_store
{
public:
    fake_platform_client(fake_platform &platform, scheduler &tasks)
        : m_platform(platform)
        , m_tasks(tasks)
    {
    }

    void read(const std::string &key, read_completion done) override
    {
        if (failIfUnreachable(done))
            return;
        const auto found = m_platform.rows.find(key);
        outcome<std::optional<cloud::table_row>> answer
            = found == m_platform.rows.end() ? std::nullopt : std::optional(found->second);
        respondLater([done = std::move(done), answer] { done(answer); });
    }

    void list(const std::string &, list_completion done) override
    {
        failIfUnreachable(done);
    }

    void write(const std::string &key, std::uint64_t expected, const std::string &value,
               write_completion done) override
    {
        if (failIfUnreachable(done))
            return;
        cloud::table_row &row = m_platform.rows[key];
        if (row.version != expected) {
            respondLater([done = std::move(done)] { done(error{error_code::conflict, "another version"}); });
            return;
        }
        row = {key, expected + 1, value};
        m_platform.history.push_back({row.version, value, m_tasks.now()});
        const bool lost = m_platform.randomness.uniform() < m_platform.lostResponseRate;
        respondLater([done = std::move(done), row, lost] {
            if (lost)
                done(error{error_code::interrupted, "the connection was lost"});
            else
                done(row);
        });
    }

    void get(const std::string &name, get_completion done) override
    {
        if (failIfUnreachable(done))
            return;
        ++m_platform.gets;
        const auto found = m_platform.objects.find(name);
        outcome<std::string> answer = found == m_platform.objects.end()
            ? outcome<std::string>(error{error_code::not_found, "no object"})
            : outcome<std::string>(found->second);
        respondLater([done = std::move(done), answer] { done(answer); });
    }

    void put(const std::string &name, std::string content, put_completion done) override
    {
        if (failIfUnreachable(done))
            return;
        ++m_platform.puts;
        m_platform.objects[name] = std::move(content);
        respondLater([done = std::move(done)] { done(success()); });
    }

    bool isolated = false;

private:
    template <typename Completion>
    bool failIfUnreachable(const Completion &done)
    {
        if (!m_platform.down && !isolated)
            return false;
        respondLater([done] { done(error{error_code::unavailable, "the platform is unreachable"}); });
        return true;
    }

    void respondLater(scheduler::task work)
    {
        const bool slow = m_platform.randomness.uniform() < m_platform.slowResponseRate;
        const double longest = slow ? 3.0 : 0.02;
        m_tasks.after(fromSeconds(0.001 + longest * m_platform.randomness.uniform()), std::move(work));
    }

    fake_platform &m_platform;
    scheduler &m_tasks;
};

} // namespace ivypier::configuration
