#pragma once

#include "base/clock.h"
#include "relay/service_map.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::relay {

/// This node's part of each account's limit: a bucket of units (calls or tokens) that fills with its part of
/// the rate and holds its part of the burst.
class unit_quota
{
public:
    explicit unit_quota(const clock &time);

    /// Takes in the limits of a configuration. A lower limit takes away what was saved above it.
    void setAccounts(const std::vector<client_account> &accounts);

    /// The part of every limit that this node may use, above 0 and at most 1.
    void setPart(double part);

    /// Takes units. Zero when they were there; otherwise nothing is taken, and the time until they may be
    /// there is given.
    duration take(const std::string &account, double units);

    /// Gives units back, of a call that did not run.
    void giveBack(const std::string &account, double units);

private:
    struct bucket
    {
        double perSecond = 0.0; ///< of the whole fleet; zero: no limit
        double burst = 0.0;
        double units = 0.0;
        time_point filledAt{};
    };

    double capacity(const bucket &of) const;
    void fill(bucket &which) const;

    const clock &m_time;
    double m_part = 1.0;
    std::map<std::string, bucket> m_buckets;
};

} // namespace ivypier::relay
