#include "requests/dispatch_right.h"

#include <utility>

namespace ivypier::requests {

dispatch_right::dispatch_right(request_name request, incarnation self, std::vector<incarnation> previous)
    : m_request(std::move(request))
    , m_self(self)
    , m_previous(std::move(previous))
{
}

dispatch_right dispatch_right::forDispatched(request_name request, incarnation self,
                                             std::vector<incarnation> previous)
{
    dispatch_right right(std::move(request), self, std::move(previous));
    right.m_phase = right_phase::granted;
    return right;
}

right_phase dispatch_right::phase() const
{
    return m_phase;
}

const std::vector<incarnation> &dispatch_right::previous() const
{
    return m_previous;
}

std::optional<dispatch_intent> dispatch_right::prepareIntent()
{
    if (m_phase != right_phase::idle && m_phase != right_phase::requested)
        return std::nullopt;
    m_phase = right_phase::requested;
#ifdef IVYPIER_MUTANT_WITNESS_GRANT
    m_phase = right_phase::granted;
    return std::nullopt;
#endif
    return intent();
}

bool dispatch_right::acceptGrant(incarnation holder)
{
    if (m_phase != right_phase::requested || holder != m_self)
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

bool dispatch_right::provesNotRun() const
{
    return m_phase == right_phase::closed && m_previous.empty();
}

dispatch_intent dispatch_right::intent() const
{
    return {m_request, m_self, m_previous, 0};
}

} // namespace ivypier::requests
