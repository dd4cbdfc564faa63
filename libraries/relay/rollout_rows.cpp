#include "relay/rollout_rows.h"

#include "base/log_event.h"
#include "cloud/store_position.h"

namespace ivypier::relay {

namespace {

/// Returns true if a row is an order as it was read before the store was restored from a copy that has it.
bool isSameRow(const delivery::rollout_order &known, const delivery::rollout_order &read)
{
    return known.targetVersion == read.targetVersion && known.length == read.length
        && cloud::store_position::fromPacked(known.rowVersion).version()
        == cloud::store_position::fromPacked(read.rowVersion).version();
}

} // namespace

rollout_rows::rollout_rows(const clock &time, std::string keyPrefix, decoder decode, update_handler onUpdate)
    : m_time(time)
    , m_keyPrefix(std::move(keyPrefix))
    , m_decode(std::move(decode))
    , m_onUpdate(std::move(onUpdate))
{
}

bool rollout_rows::onChange(const cloud::feed_row &row, duration uncertainFor)
{
    if (!row.key.starts_with(m_keyPrefix))
        return false;
    const std::string service = row.key.substr(m_keyPrefix.size());
    const bool isChanged = row.removed ? withdraw(service, row, uncertainFor) : take(service, row);
    if (isChanged)
        m_onUpdate(orders());
    return isChanged;
}

bool rollout_rows::withdraw(const std::string &service, const cloud::feed_row &row, duration uncertainFor)
{
    const auto found = m_orders.find(service);
    if (found == m_orders.end())
        return false;
    const bool isRestored = cloud::store_position::fromPacked(row.version).era()
        > cloud::store_position::fromPacked(found->second.rowVersion).era();
    if (isRestored && uncertainFor > duration::zero())
        return false;
    m_orders.erase(found);
    return true;
}

bool rollout_rows::take(const std::string &service, const cloud::feed_row &row)
{
    outcome<delivery::rollout_order> decoded = m_decode(row.value);
    const bool isForAnother = decoded && decoded.value().service != service;
    if (!decoded || isForAnother) {
        log_event(log_level::warning, "rollout.order_unreadable")
            .with("row", row.key)
            .with("row_version", static_cast<std::int64_t>(row.version))
            .with("reason", decoded ? "the row's key names another service" : decoded.error().message)
            .write();
        return false;
    }
    delivery::rollout_order &order = decoded.value();
    order.rowVersion = row.version;
    order.seenAt = m_time.now();
    const auto known = m_orders.find(service);
    if (known != m_orders.end() && isSameRow(known->second, order))
        return false;
    if (known == m_orders.end() && m_orders.size() >= max_orders)
        return false;
    m_orders[service] = std::move(order);
    return true;
}

std::vector<delivery::rollout_order> rollout_rows::orders() const
{
    std::vector<delivery::rollout_order> result;
    for (const auto &[service, order] : m_orders)
        result.push_back(order);
    return result;
}

} // namespace ivypier::relay
