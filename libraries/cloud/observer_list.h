#pragma once

#include "cloud/table_follower.h"

#include <vector>

namespace ivypier::cloud {

/// Passes the changes of one table on to several observers. A row holds new information if it does for one of
/// them.
class observer_list final : public table_observer
{
public:
    /// The observers must outlive the list.
    explicit observer_list(std::vector<table_observer *> observers)
        : m_observers(std::move(observers))
    {
    }

    bool onChange(const feed_row &row, duration uncertainFor) override
    {
        bool isNew = false;
        for (table_observer *each : m_observers)
            isNew = each->onChange(row, uncertainFor) || isNew;
        return isNew;
    }

private:
    std::vector<table_observer *> m_observers;
};

} // namespace ivypier::cloud
