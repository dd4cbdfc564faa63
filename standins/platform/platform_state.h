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

/// Faults that a test injects through /control/faults.
struct platform_faults
{
    bool down = false; ///< every call gets a 503
    double delaySeconds = 0.0; ///< delay before every response
    int lostWriteResponses = 0; ///< number of successful writes whose response is lost
    int lostStartResponses = 0; ///< number of successful VM orders whose response is lost
};

/// A response with its injected delay and loss.
struct platform_response
{
    http::response response;
    double delaySeconds = 0.0;
    bool dropResponse = false; ///< close the connection instead of sending the response
};

/// Simulates the platform: table, object store, VM list, cloud API and weight store. Not thread-safe.
class platform_state
{
public:
    explicit platform_state(const clock &time);

    /// Handles one request and returns its response.
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
