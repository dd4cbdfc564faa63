#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace ivypier::measurement {

/// Collects key=value pairs and prints them as one line when destroyed.
class result_line
{
public:
    explicit result_line(const std::string &what);
    ~result_line();
    result_line(const result_line &) = delete;
    result_line &operator=(const result_line &) = delete;

    result_line &with(const std::string &key, double value);

private:
    std::string m_text;
};

/// Returns the CPU time that this process has used so far, in seconds.
double cpuSeconds();

/// Returns the heap bytes that this process has allocated and not freed.
std::size_t heapBytes();

/// Measures gossip in one region: traffic, CPU time, memory, failure detection and propagation of facts.
void measureGossip(std::size_t members, std::uint64_t seed);

/// Measures the sudden loss of a failure domain with a third of the members, after the leave
/// notices of its upstreams have propagated.
void measureDomainLoss(std::size_t members, std::size_t notices, std::uint64_t seed);

/// Measures gossip across 6 regions with 21 failure domains in total.
void measureRegions(std::size_t membersPerDomain, std::uint64_t seed);

/// Measures the baseline: full-state exchange with every seed.
void measureExchange(std::size_t members, std::uint64_t seed);

/// Measures the distribution of single changes to a document with `upstreams` upstreams: bytes and round
/// trips by section, compared with the whole body. Returns false and prints the reason to standard error if
/// the document is invalid.
bool measureConfiguration(std::size_t upstreams);

} // namespace ivypier::measurement
