#pragma once

#include "cloud/table_service.h"
#include "delivery/rollout_status_table.h"

#include <optional>
#include <string>

namespace ivypier::delivery::tests {

/// The status rows in the fake table.
class fake_status_table final : public rollout_status_table
{
public:
    explicit fake_status_table(cloud::table_service &table)
        : m_table(table)
    {
    }

    void readStatus(const std::string &service, read_completion done) override
    {
        m_table.read("status/" + service, [done](const outcome<std::optional<cloud::table_row>> &read) {
            if (!read)
                done(read.error());
            else if (!read.value())
                done(std::optional<rollout_status_row>());
            else
                done(std::optional<rollout_status_row>(decode(*read.value())));
        });
    }

    void writeStatus(const std::string &service, std::uint64_t expected, const rollout_status_row &row,
                     write_completion done) override
    {
        const std::string text = std::string(name(row.state)) + ' ' + row.targetVersion;
        m_table.write("status/" + service, expected, text, [done](const outcome<cloud::table_row> &written) {
            if (written)
                done(decode(written.value()));
            else
                done(written.error());
        });
    }

    static rollout_status_row decode(const cloud::table_row &row)
    {
        const std::size_t space = row.value.find(' ');
        return {*rolloutStateOf(row.value.substr(0, space)), row.value.substr(space + 1), row.version};
    }

private:
    cloud::table_service &m_table;
};

} // namespace ivypier::delivery::tests
