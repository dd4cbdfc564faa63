#pragma once

#include "base/event_loop.h"
#include "cloud/http_platform.h"
#include "configuration/in_force.h"
#include "http/client.h"

#include <memory>
#include <string>

namespace ivypier::ctl {

/// Makes blocking calls to the platform's services.
class platform_session
{
public:
    /// Returns a session with the platform at `address`; connects on the first call. Fails if the address is
    /// invalid.
    static outcome<std::unique_ptr<platform_session>> open(const std::string &address);

    outcome<configuration::in_force> readInForce();
    outcome<configuration::document_head> submit(const std::string &body, std::uint64_t base,
                                                 const std::string &writerToken);
    outcome<std::vector<cloud::vm_record>> listVms();

private:
    explicit platform_session(endpoint address);

    event_loop m_loop;
    cloud::http_platform m_platform;
    configuration::document_store m_store;
};

/// Sends a request to a node and waits for the response or a timeout.
outcome<http::response> sendNodeRequest(const endpoint &node, http::request message,
                                        const std::string &certificateAuthority);

} // namespace ivypier::ctl
