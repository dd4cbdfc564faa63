#include "relay/tcp_reachability_check.h"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <utility>

namespace ivypier::relay {

namespace {

struct pending_check
{
    std::unique_ptr<http::byte_stream> connection;
    reachability_check::completion done; ///< null once the check has ended

    void end(reachability_check::result result)
    {
        const auto completion = std::exchange(done, nullptr);
        if (!completion)
            return;
        connection->close();
        completion(result);
    }
};

reachability_check::result resultOf(const boost::system::error_code &failure)
{
    if (!failure)
        return reachability_check::result::accepted;
    return failure == boost::asio::error::connection_refused ? reachability_check::result::refused
                                                             : reachability_check::result::unknown;
}

} // namespace

tcp_reachability_check::tcp_reachability_check(event_loop &loop, http::stream_factory streams)
    : m_loop(loop)
    , m_streams(std::move(streams))
{
}

void tcp_reachability_check::check(const endpoint &address, completion done)
{
    auto &context = *static_cast<boost::asio::io_context *>(m_loop.nativeContext());
    const auto pending = std::make_shared<pending_check>(pending_check{m_streams(context), std::move(done)});
    pending->connection->connect(
        address, [pending](const boost::system::error_code &failure) { pending->end(resultOf(failure)); });
    m_loop.after(timeout, [weak = std::weak_ptr(pending)] {
        if (const auto check = weak.lock())
            check->end(result::unknown);
    });
}

} // namespace ivypier::relay
