#pragma once

#include "base/outcome.h"
#include "cloud/table_follower.h"
#include "delivery/rollout_order.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::relay {

/// Reads the orders of rollouts from their rows in the table, one for each service.
///
/// A row that can't be decoded is logged and ignored; an earlier order of its service stays in force. A
/// removed row withdraws the order. After the store was restored from an older copy, an order that the copy
/// has keeps its row version, because it is the same order, and one that the copy lacks stays in force.
class rollout_rows final : public cloud::table_observer
{
public:
    /// Decodes a row's value; the row version and the time are set here.
    using decoder = std::function<outcome<delivery::rollout_order>(std::string_view)>;
    /// Called with all orders in force after one of them changed.
    using update_handler = std::function<void(const std::vector<delivery::rollout_order> &)>;

    /// Orders that are kept at a time; rows of further services are ignored.
    static constexpr std::size_t max_orders = 256;

    rollout_rows(const clock &time, std::string keyPrefix, decoder decode, update_handler onUpdate);

    bool onChange(const cloud::feed_row &row, duration uncertainFor) override;

    std::vector<delivery::rollout_order> orders() const;

private:
    bool withdraw(const std::string &service, const cloud::feed_row &row, duration uncertainFor);
    bool take(const std::string &service, const cloud::feed_row &row);

    const clock &m_time;
    std::string m_keyPrefix;
    decoder m_decode;
    update_handler m_onUpdate;
    std::map<std::string, delivery::rollout_order> m_orders; ///< by service
};

} // namespace ivypier::relay
