#include "base/log_event.h"

#include "base/boot_clock.h"
#include "base/log_writer.h"
#include "base/quoted_text.h"

#include <easylogging++.h>

#include <array>
#include <cstdio>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace ivypier {

namespace {

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char character : value) {
        if (character <= ' ' || character == '"' || character == '=' || character == '\\'
            || character == 0x7f)
            return true;
    }
    return false;
}

/// Events below this level are not written.
log_level configuredMinLevel = log_level::debug;

log_writer &writer()
{
    // Never destroyed, so that logging works until the process exits.
    static auto *const instance = new log_writer(STDOUT_FILENO);
    return *instance;
}

/// Passes the lines that Easylogging++ has formatted to the log writer.
class writing_callback final : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        writer().write(message->logger()->logBuilder()->build(message, false));
    }
};

void log(log_level level, const std::string &text)
{
    switch (level) {
    case log_level::debug:
        LOG(DEBUG) << text;
        return;
    case log_level::info:
        LOG(INFO) << text;
        return;
    case log_level::warning:
        LOG(WARNING) << text;
        return;
    case log_level::error:
        LOG(ERROR) << text;
        return;
    }
}

} // namespace

log_event::log_event(log_level level, std::string_view event)
    : m_level(level)
    , m_event(event)
{
    with("event", event);
}

log_event &log_event::with(std::string_view key, std::string_view value)
{
    if (!m_text.empty())
        m_text += ' ';
    m_text += key;
    m_text += '=';
    m_text += needsQuotes(value) ? quotedText(value, control_escape::hexadecimal) : std::string(value);
    return *this;
}

log_event &log_event::with(std::string_view key, std::int64_t value)
{
    return with(key, std::string_view(std::to_string(value)));
}

log_event &log_event::with(std::string_view key, double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return with(key, std::string_view(text.data()));
}

void log_event::write() const
{
    const time_point now = bootClockNow();
    for (const auto &[event, count] : writer().takeSuppressed(now))
        log(log_level::warning, "event=log.left_out of=" + event + " count=" + std::to_string(count));
    if (const std::uint64_t dropped = writer().takeDropped(); dropped > 0)
        log(log_level::warning, "event=log.dropped count=" + std::to_string(dropped));
    if (m_level < configuredMinLevel || !writer().tryAdmit(m_event, now))
        return;
    log(m_level, m_text);
}

const std::string &log_event::text() const
{
    return m_text;
}

void configureLog(std::string_view program, log_level minLevel)
{
    configuredMinLevel = minLevel;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(
        el::ConfigurationType::Format,
        "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level program=" + std::string(program) + " %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<writing_callback>("writing_callback");
    const auto configureLevel = [&](el::Level level, log_level severity) {
        configuration.set(level, el::ConfigurationType::Enabled, severity < minLevel ? "false" : "true");
    };
    configureLevel(el::Level::Debug, log_level::debug);
    configureLevel(el::Level::Info, log_level::info);
    configureLevel(el::Level::Warning, log_level::warning);
    el::Loggers::reconfigureLogger("default", configuration);
}

} // namespace ivypier
