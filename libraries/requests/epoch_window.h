#pragma once

#include <cstdint>

namespace ivypier::requests {

/// The epochs of one home: its own count, which orders its tickets without a clock. Tickets of the current
/// and the previous epoch are accepted; ids of the two before them are still known, so that `not_run` is true
/// of one that never came; older ones are forgotten, and nothing is claimed about them.
class epoch_window
{
public:
    static constexpr std::uint64_t first_epoch = 1;
    static constexpr std::uint64_t accepted_epochs = 2;
    static constexpr std::uint64_t remembered_epochs = 4;

    /// The epoch of new tickets.
    std::uint64_t current() const
    {
        return m_current;
    }

    void rotate()
    {
        ++m_current;
    }

    /// True when a new request of this epoch may start.
    bool accepts(std::uint64_t epoch) const
    {
        return epoch <= m_current && epoch + accepted_epochs > m_current;
    }

    /// Every epoch under this one is forgotten.
    std::uint64_t forgottenBelow() const
    {
        return m_current < remembered_epochs ? 0 : m_current - remembered_epochs + 1;
    }

private:
    std::uint64_t m_current = first_epoch;
};

} // namespace ivypier::requests
