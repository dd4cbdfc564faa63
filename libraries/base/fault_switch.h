#pragma once

#include "base/endpoint.h"

#include <map>
#include <mutex>
#include <string_view>

namespace ivypier {

/// Fault to inject on the link to one address.
enum class link_fault {
    none,
    refused, ///< nothing is sent; the sender gets an error at once
    silent, ///< nothing is sent; the sender times out
    answers_lost, ///< requests arrive; their responses are dropped
};

/// Parses the name of a fault. Returns `none` for an unknown name.
link_fault parseLinkFault(std::string_view name);

/// Injects faults into the links from this process to chosen addresses, for failure tests. No fault is set
/// outside of tests. Thread-safe.
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
