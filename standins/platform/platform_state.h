#pragma once

#include "base/clock.h"
#include "cloud/table_service.h"
#include "cloud_state.h"
#include "http/message.h"
#include "rate_limit.h"

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
    int lostWriteResponses = 0; ///< writes that tryAcquire effect and whose answer is dropResponse
    int lostStartResponses = 0; ///< VM orders that tryAcquire effect and whose answer is dropResponse
};

/// What an answer of the stand-in does beside its content.
struct platform_response
{
    http::response response;
    double delaySeconds = 0.0;
    bool dropResponse = false; ///< the connection breaks instead of an answer
};

/// A small stand-in for the platform: table, object store, VM list, cloud API, weight store.
/// Not thread-safe.
class platform_state
{
public:
    explicit platform_state(const clock &time);

    /// Answers one request.
    platform_response handle(const http::request &incoming);

private:
    http::response control(const http::request &incoming);
    http::response handleTable(const http::request &incoming);
    http::response writeRow(const std::string &key, const http::request &incoming);
    http::response handleObjects(const http::request &incoming);
    http::response handleWeights(const http::request &incoming);
    void setFaults(const Json::Value &json);
    bool exceedsRate(const http::request &incoming);

    platform_faults m_faults;
    std::map<std::string, cloud::table_row> m_rows;
    std::map<std::string, std::string> m_objects;
    cloud_state m_cloud;
    rate_limit m_writes;
    rate_limit m_reads;
    rate_limit m_weightDeliveries;
};

} // namespace ivypier::standins
