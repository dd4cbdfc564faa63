#pragma once

#include "base/outcome.h"
#include "cloud/table_follower.h"
#include "relay/route_table.h"

#include <functional>
#include <memory>

namespace ivypier::relay {

/// Reads the configuration from its row in the table. Ignores versions that are not newer than the one in
/// force. A row that can't be decoded is logged and ignored.
class configuration_rows final : public cloud::table_observer
{
public:
    using decoder = std::function<outcome<service_map>(std::string_view)>;
    using update_handler = std::function<void(std::shared_ptr<const route_table>)>;

    configuration_rows(std::string key, decoder decode, update_handler onUpdate);

    bool onChange(const cloud::feed_row &row, duration uncertainFor) override;

    /// Returns the version in force; 0 before the first configuration arrived.
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    std::string m_key;
    decoder m_decode;
    update_handler m_onUpdate;
    std::uint64_t m_version = 0;
};

} // namespace ivypier::relay
