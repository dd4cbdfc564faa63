#pragma once

#include "cloud/object_store.h"
#include "cloud/table_service.h"

#include <functional>
#include <map>

namespace ivypier::console::tests {

/// An in-memory table and object store that can simulate the faults that affect a submission.
class fake_platform final : public cloud::table_service, public cloud::object_store
{
public:
    bool down = false;
    /// The next write takes effect, but its response is lost and the platform goes down.
    bool loseNextWriteResponse = false;
    bool holdWrites = false; ///< writes are held until release()

    void read(const std::string &key, read_completion done) override
    {
        if (down) {
            done(error{error_code::unavailable, "down"});
            return;
        }
        const auto found = m_rows.find(key);
        done(found == m_rows.end() ? std::nullopt : std::optional(found->second));
    }

    void list(const std::string &, list_completion done) override
    {
        done(std::vector<cloud::table_row>());
    }

    void write(const std::string &key, std::uint64_t expected, const std::string &value,
               write_completion done) override
    {
        if (holdWrites) {
            m_heldWrites.push_back([=, this] { apply(key, expected, value, done); });
            return;
        }
        apply(key, expected, value, done);
    }

    void get(const std::string &name, get_completion done) override
    {
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
            done(error{error_code::not_found, name});
        else
            done(found->second);
    }

    void put(const std::string &name, std::string content, put_completion done) override
    {
        if (down) {
            done(error{error_code::unavailable, "down"});
            return;
        }
        m_objects[name] = std::move(content);
        done(success());
    }

    /// Executes the held writes, in order.
    void release()
    {
        for (const auto &each : std::exchange(m_heldWrites, {}))
            each();
    }

private:
    void apply(const std::string &key, std::uint64_t expected, const std::string &value,
               const write_completion &done)
    {
        cloud::table_row &row = m_rows[key];
        if (row.version != expected) {
            done(error{error_code::conflict, key});
            return;
        }
        row = {key, expected + 1, value};
        if (std::exchange(loseNextWriteResponse, false)) {
            down = true; // so that the outcome can't be read back either
            done(error{error_code::timed_out, "lost"});
            return;
        }
        done(row);
    }

    std::map<std::string, cloud::table_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<std::function<void()>> m_heldWrites;
};

} // namespace ivypier::console::tests
