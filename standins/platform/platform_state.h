#pragma once

#include "base/clock.h"
#include "http/message.h"
#include "platform/cloud_service.h"
#include "platform/table_service.h"

#include <json/value.h>

#include <map>
#include <string>
#include <vector>

namespace ivypier::standins {

/// Faults that a test switches on.
struct platform_faults
{
    bool down = false; ///< every call gets 503
    double delaySeconds = 0.0; ///< before every answer
    int loseAnswers = 0; ///< writes that take effect and whose answer is lost
    int refuseStarts = 0; ///< VM orders to refuse
    double listLagSeconds = 0.0; ///< age of the VM list that is shown
};

/// What an answer of the stand-in does beside its content.
struct platform_answer
{
    http::response response;
    double delaySeconds = 0.0;
    bool lost = false; ///< the connection breaks instead of an answer
};

/// A small stand-in for the platform: table, object store, VM list, cloud API. Not thread-safe.
class platform_state
{
public:
    explicit platform_state(const clock &time);

    /// Answers one request.
    platform_answer handle(const http::request &incoming);

private:
    struct listed_snapshot
    {
        time_point at;
        std::vector<platform::vm_record> vms;
    };

    http::response control(const http::request &incoming);
    http::response table(const http::request &incoming);
    http::response writeRow(const std::string &key, const http::request &incoming);
    http::response objects(const http::request &incoming);
    http::response cloud(const http::request &incoming);
    http::response startVm(const http::request &incoming);
    http::response reclaim(const http::request &incoming);
    http::response notices(const http::request &incoming) const;
    http::response listVms() const;
    void recordVms();

    const clock &m_time;
    platform_faults m_faults;
    std::map<std::string, platform::table_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, platform::vm_record> m_vms;
    std::map<std::string, time_point> m_reclaimAt;
    std::vector<platform::vm_price> m_prices;
    std::vector<listed_snapshot> m_history;
};

} // namespace ivypier::standins
