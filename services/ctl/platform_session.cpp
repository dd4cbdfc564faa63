#include "platform_session.h"

#include <future>

namespace ivypier::ctl {

namespace {

constexpr duration node_timeout = std::chrono::seconds(10);

/// Calls `start` with a completion callback and runs the loop until the callback is called. Returns its
/// argument.
template <typename T, typename Start>
outcome<T> runUntilCompleted(event_loop &loop, Start start)
{
    outcome<T> result = error{error_code::internal, "no answer"};
    start([&](const outcome<T> &completed) {
        result = completed;
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace

outcome<std::unique_ptr<platform_session>> platform_session::open(const std::string &address)
{
    const outcome<endpoint> parsed = endpoint::parse(address);
    if (!parsed)
        return error{error_code::invalid_argument, "--platform: " + parsed.error().message};
    return std::unique_ptr<platform_session>(new platform_session(parsed.value()));
}

platform_session::platform_session(endpoint address)
    : m_platform(m_loop, std::make_shared<http::client>(), std::move(address))
    , m_store(m_platform, m_platform)
{
}

outcome<configuration::in_force> platform_session::readInForce()
{
    return runUntilCompleted<configuration::in_force>(
        m_loop, [this](auto done) { configuration::readInForce(m_store, {}, std::move(done)); });
}

outcome<configuration::document_head> platform_session::submit(const std::string &body, std::uint64_t base,
                                                               const std::string &writerToken)
{
    return runUntilCompleted<configuration::document_head>(
        m_loop, [&](auto done) { m_store.submit(body, base, writerToken, std::move(done)); });
}

outcome<std::vector<cloud::vm_record>> platform_session::listVms()
{
    return runUntilCompleted<std::vector<cloud::vm_record>>(
        m_loop, [this](auto done) { m_platform.listVms(std::move(done)); });
}

outcome<http::response> sendNodeRequest(const endpoint &node, http::request message,
                                        const std::string &certificateAuthority)
{
    http::client httpClient;
    auto promisedResponse = std::make_shared<std::promise<outcome<http::response>>>();
    auto futureResponse = promisedResponse->get_future();
    httpClient.send(node, std::move(message),
                    {.timeout = node_timeout, .certificateAuthority = certificateAuthority},
                    [promisedResponse](const outcome<http::response> &response) {
                        promisedResponse->set_value(response);
                    });
    return futureResponse.get();
}

} // namespace ivypier::ctl
