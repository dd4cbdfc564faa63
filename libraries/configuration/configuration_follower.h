#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "configuration/configuration_source.h"
#include "configuration/document_store.h"

#include <vector>

namespace ivypier::configuration {

/// Follows the head in the platform's table and keeps the newest document. A version below one that was seen
/// is never applied.
class configuration_follower final : public configuration_source
{
public:
    configuration_follower(scheduler &tasks, random_source &randomness, document_store &store,
                           duration interval);

    /// Starts to poll, at once and then at the jittered interval.
    void start();

    std::shared_ptr<const versioned_document> current() const override;
    void onChange(std::function<void()> observer) override;

private:
    void poll();
    void take(const document_head &head);
    void apply(std::uint64_t version, const std::string &body);

    scheduler &m_tasks;
    random_source &m_random;
    document_store &m_store;
    duration m_interval;
    std::shared_ptr<const versioned_document> m_current;
    std::vector<std::function<void()>> m_observers;
};

} // namespace ivypier::configuration
