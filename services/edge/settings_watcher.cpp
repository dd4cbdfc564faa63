#include "settings_watcher.h"

#include "base/log_event.h"
#include "program/daemon.h"

namespace ivypier::edge {

namespace {

constexpr duration check_interval = std::chrono::seconds(5);

} // namespace

settings_watcher::settings_watcher(scheduler &tasks, std::function<void(const edge_settings &)> onChange)
    : m_tasks(tasks)
    , m_onChange(std::move(onChange))
{
    if (outcome<std::string> text = program::rereadSettingsText())
        m_lastText = std::move(text.value());
}

void settings_watcher::start()
{
    m_tasks.after(check_interval, [this] {
        check();
        start();
    });
}

void settings_watcher::check()
{
    const outcome<std::string> text = program::rereadSettingsText();
    if (!text) {
        log_event(log_level::warning, "settings.unreadable").with("reason", text.error().message).write();
        return;
    }
    if (text.value() == m_lastText)
        return;
    m_lastText = text.value();
    const auto read = readEdgeSettings(m_lastText);
    if (const auto *faults = std::get_if<std::vector<settings_error>>(&read)) {
        for (const settings_error &each : *faults)
            log_event(log_level::error, "settings.fault").with("fault", describe(each, "settings")).write();
        return;
    }
    m_onChange(std::get<edge_settings>(read));
}

} // namespace ivypier::edge
