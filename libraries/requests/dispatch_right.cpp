#include "requests/dispatch_right.h"

#include <utility>

namespace ivypier::requests {

dispatch_right::dispatch_right(std::string request, incarnation self, incarnation previous)
    : m_request(std::move(request))
    , m_self(self)
    , m_previous(previous)
{
}

right_phase dispatch_right::phase() const
{
    return m_phase;
}

incarnation dispatch_right::previous() const
{
    return m_previous;
}

std::optional<dispatch_intent> dispatch_right::ask()
{
    if (m_phase != right_phase::idle && m_phase != right_phase::asked)
        return std::nullopt;
    m_phase = right_phase::asked;
    return dispatch_intent{m_request, m_self, m_previous};
}

bool dispatch_right::takeGrant(incarnation holder)
{
    if (m_phase != right_phase::asked || holder != m_self)
        return false;
    m_phase = right_phase::granted;
    return true;
}

bool dispatch_right::close()
{
    if (m_phase == right_phase::granted || m_phase == right_phase::frozen)
        return false;
    m_phase = right_phase::closed;
    return true;
}

bool dispatch_right::freeze()
{
    if (m_phase == right_phase::granted || m_phase == right_phase::closed)
        return false;
#ifndef IVYPIER_MUTANT_ACCEPT_THEN_RELEASE
    m_phase = right_phase::frozen;
#endif
    return true;
}

bool dispatch_right::closedMeansNotRun() const
{
    return m_phase == right_phase::closed && m_previous == 0;
}

} // namespace ivypier::requests
