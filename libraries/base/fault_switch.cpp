#include "base/fault_switch.h"

namespace ivypier {

link_fault linkFaultOf(std::string_view name)
{
    if (name == "refused")
        return link_fault::refused;
    if (name == "silent")
        return link_fault::silent;
    if (name == "answers_lost")
        return link_fault::answers_lost;
    return link_fault::none;
}

void fault_switch::set(const endpoint &to, link_fault fault)
{
    const std::lock_guard lock(m_mutex);
    m_faults[to] = fault;
}

void fault_switch::clear()
{
    const std::lock_guard lock(m_mutex);
    m_faults.clear();
}

link_fault fault_switch::at(const endpoint &to) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_faults.find(to);
    return found == m_faults.end() ? link_fault::none : found->second;
}

} // namespace ivypier
