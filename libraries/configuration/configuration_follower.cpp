#include "configuration/configuration_follower.h"

#include "base/log_event.h"

namespace ivypier::configuration {

configuration_follower::configuration_follower(scheduler &tasks, random_source &randomness,
                                               document_store &store, duration interval)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_store(store)
    , m_interval(interval)
{
}

void configuration_follower::start()
{
    poll();
}

std::shared_ptr<const versioned_document> configuration_follower::current() const
{
    return m_current;
}

void configuration_follower::onChange(std::function<void()> observer)
{
    m_observers.push_back(std::move(observer));
}

void configuration_follower::poll()
{
    m_store.readHead([this](const outcome<document_head> &head) {
        if (head)
            take(head.value());
        const double jitter = 0.5 + m_random.uniform();
        m_tasks.after(fromSeconds(seconds(m_interval) * jitter), [this] { poll(); });
    });
}

void configuration_follower::take(const document_head &head)
{
    const std::uint64_t known = m_current ? m_current->version : 0;
    if (head.version <= known)
        return;
    m_store.readBody(head.digest, [this, version = head.version](const outcome<std::string> &body) {
        if (body)
            apply(version, body.value());
    });
}

void configuration_follower::apply(std::uint64_t version, const std::string &body)
{
    if (m_current && version <= m_current->version)
        return;
    parsed_document parsed = parseDocument(body);
    document *content = std::get_if<document>(&parsed);
    if (!content) {
        log_event(log_level::error, "configuration.unreadable")
            .with("version", static_cast<std::int64_t>(version))
            .write();
        return;
    }
    m_current = std::make_shared<const versioned_document>(versioned_document{version, std::move(*content)});
    log_event(log_level::info, "configuration.applied")
        .with("version", static_cast<std::int64_t>(version))
        .write();
    for (const auto &observer : m_observers)
        observer();
}

} // namespace ivypier::configuration
