#include "relay/configuration_rows.h"

#include "base/log_event.h"

namespace ivypier::relay {

configuration_rows::configuration_rows(std::string key, decoder decode, update_handler onUpdate)
    : m_key(std::move(key))
    , m_decode(std::move(decode))
    , m_onUpdate(std::move(onUpdate))
{
}

bool configuration_rows::onChange(const cloud::feed_row &row, duration)
{
    if (row.key != m_key || row.removed)
        return false;
    outcome<service_map> decoded = m_decode(row.value);
    if (!decoded) {
        log_event(log_level::error, "configuration.rejected")
            .with("row_version", static_cast<std::int64_t>(row.version))
            .with("in_force", static_cast<std::int64_t>(m_version))
            .with("reason", decoded.error().message)
            .write();
        return false;
    }
    if (decoded.value().version <= m_version)
        return false;
    m_version = decoded.value().version;
    m_onUpdate(std::make_shared<const route_table>(std::move(decoded.value())));
    return true;
}

} // namespace ivypier::relay
