#pragma once

#include <cstdint>

namespace ivypier::requests {

/// Epochs of one home. Each home counts its own epochs, which orders its tickets without a clock. Tickets of
/// the current and the previous epoch are accepted. Ids of the two epochs before are still known, so that
/// `not_run` can be reported for an id that was never received. Older epochs are forgotten and their requests
/// have an unknown outcome.
class epoch_window
{
public:
    static constexpr std::uint64_t first_epoch = 1;
    static constexpr std::uint64_t accepted_epochs = 2;
    static constexpr std::uint64_t remembered_epochs = 4;

    /// Returns the epoch of new tickets.
    std::uint64_t current() const
    {
        return m_current;
    }

    void rotate()
    {
        ++m_current;
    }

    /// Returns true when a new request of this epoch may start.
    bool accepts(std::uint64_t epoch) const
    {
        return epoch <= m_current && epoch + accepted_epochs > m_current;
    }

    /// Returns the lower bound of the remembered epochs; all epochs below it are forgotten.
    std::uint64_t forgottenBelow() const
    {
        return m_current < remembered_epochs ? 0 : m_current - remembered_epochs + 1;
    }

private:
    std::uint64_t m_current = first_epoch;
};

} // namespace ivypier::requests
