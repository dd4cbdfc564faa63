#include "base/fault_switch.h"

namespace ivypier {

link_fault parseLinkFault(std::string_view name)
{
    if (name == "refused")
        return link_fault::refused;
    if (name == "silent")
        return link_fault::silent;
    if (name == "answers_lost")
        return link_fault::answers_lost;
    return link_fault::none;
}

void fault_switch::set(const endpoint &address, link_fault fault)
{
    const std::lock_guard lock(m_mutex);
    m_faults[address] = fault;
}

void fault_switch::clear()
{
    const std::lock_guard lock(m_mutex);
    m_faults.clear();
}

link_fault fault_switch::at(const endpoint &address) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_faults.find(address);
    return found == m_faults.end() ? link_fault::none : found->second;
}

} // namespace ivypier
