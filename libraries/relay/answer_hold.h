#pragma once

#include "http/exchange_transport.h"

#include <optional>
#include <string>
#include <string_view>

namespace ivypier::relay {

/// The beginning of a stream that must not be forwarded yet.
struct held_answer
{
    http::response_head head;
    std::string body;
    bool isEnded = false;
};

/// Holds back the beginning of a stream until a deviation is stored.
class answer_hold
{
public:
    bool isHolding() const
    {
        return m_held.has_value();
    }
    void hold(http::response_head head)
    {
        m_held = held_answer{std::move(head), {}, false};
    }
    void append(std::string_view bytes)
    {
        m_held->body.append(bytes);
    }
    void setEnded()
    {
        m_held->isEnded = true;
    }

    /// Returns what was held, and holds nothing more.
    held_answer release()
    {
        held_answer result = std::move(*m_held);
        m_held.reset();
        return result;
    }
    void drop()
    {
        m_held.reset();
    }

private:
    std::optional<held_answer> m_held;
};

} // namespace ivypier::relay
