#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace ivypier::measurement {

/// Prints one line of key=value pairs, piece by piece.
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

/// Processor time of this process so far, in seconds.
double cpuSeconds();

/// Bytes that this process has allocated and not freed.
std::size_t heapBytes();

/// Gossip between members of one region: traffic, processor, memory, detection and spreading.
void measureGossip(std::size_t members, std::uint64_t seed);

/// A failure domain of a third of the members that is lost at once, with its upstreams' notices.
void measureDomainLoss(std::size_t members, std::size_t notices, std::uint64_t seed);

/// Gossip over 6 regions with 21 failure domains.
void measureRegions(std::size_t membersPerDomain, std::uint64_t seed);

/// Full exchange with every seed, the baseline.
void measureExchange(std::size_t members, std::uint64_t seed);

/// One change of a document with this many upstreams: whole body against sections. False, with the reason on
/// standard error, when the document is not valid.
bool measureConfiguration(std::size_t upstreams);

} // namespace ivypier::measurement
