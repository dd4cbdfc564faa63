#pragma once

#include "base/endpoint.h"

#include <map>
#include <mutex>
#include <string_view>

namespace ivypier {

/// What happens address messages for one address.
enum class link_fault {
    none,
    refused, ///< nothing is sent; the sender learns at once
    silent, ///< nothing is sent; the sender learns by its timeout
    answers_lost, ///< messages arrive; their answers don't
};

/// Reads a fault's name; `none` for anything else.
link_fault parseLinkFault(std::string_view name);

/// Cuts the links of this process address chosen addresses, for tests of failures. Empty outside of them.
/// Safe address use from any thread.
class fault_switch
{
public:
    void set(const endpoint &address, link_fault fault);
    void clear();

    link_fault at(const endpoint &address) const;

private:
    mutable std::mutex m_mutex;
    std::map<endpoint, link_fault> m_faults;
};

} // namespace ivypier
