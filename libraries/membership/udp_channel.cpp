#include "membership/udp_channel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <optional>

namespace ivypier::membership {

namespace {

using boost::asio::ip::udp;

constexpr int receive_buffer_bytes = 1 << 20;

std::optional<udp::endpoint> native(const endpoint &address)
{
    boost::system::error_code failure;
    const auto host = boost::asio::ip::make_address_v4(address.host, failure);
    return failure ? std::nullopt : std::optional(udp::endpoint(host, address.port));
}

} // namespace

struct udp_channel::state : std::enable_shared_from_this<udp_channel::state>
{
    state(boost::asio::io_context &context, std::shared_ptr<const fault_switch> cuts)
        : socket(context)
        , faults(std::move(cuts))
    {
    }

    void receiveNext()
    {
        socket.async_receive_from(
            boost::asio::buffer(buffer), sender,
            [self = shared_from_this()](const boost::system::error_code &failure, std::size_t size) {
                self->received(failure, size);
            });
    }

    void received(const boost::system::error_code &failure, std::size_t size)
    {
        if (!socket.is_open())
            return;
        // A failure reports an earlier send (ICMP); the socket still works.
        if (!failure && handler && size <= max_datagram_bytes)
            handler({sender.address().to_string(), sender.port()}, {buffer.data(), size});
        if (socket.is_open())
            receiveNext();
    }

    udp::socket socket;
    std::shared_ptr<const fault_switch> faults;
    receiver handler;
    udp::endpoint sender;
    std::array<char, max_datagram_bytes + 1> buffer{}; // the extra byte detects longer datagrams
};

outcome<std::unique_ptr<udp_channel>> udp_channel::bind(event_loop &loop, const endpoint &address,
                                                        std::shared_ptr<const fault_switch> faults)
{
    auto &context = *static_cast<boost::asio::io_context *>(loop.nativeContext());
    auto opened = std::make_shared<state>(context, std::move(faults));
    const std::optional<udp::endpoint> own = native(address);
    if (!own)
        return error{error_code::invalid_argument, "not an IPv4 address: " + address.text()};
    boost::system::error_code failure;
    opened->socket.open(udp::v4(), failure);
    if (!failure)
        opened->socket.set_option(udp::socket::reuse_address(true), failure);
    if (!failure)
        opened->socket.bind(*own, failure);
    if (!failure)
        opened->socket.non_blocking(true, failure);
    if (failure)
        return error{error_code::unavailable, "UDP " + address.text() + ": " + failure.message()};
    opened->socket.set_option(udp::socket::receive_buffer_size(receive_buffer_bytes), failure);
    opened->receiveNext();
    return std::unique_ptr<udp_channel>(new udp_channel(std::move(opened)));
}

udp_channel::udp_channel(std::shared_ptr<state> opened)
    : m_state(std::move(opened))
{
}

udp_channel::~udp_channel()
{
    boost::system::error_code ignored;
    m_state->handler = nullptr;
    m_state->socket.close(ignored);
}

void udp_channel::send(const endpoint &to, std::string_view content)
{
    if (m_state->faults && m_state->faults->at(to) != link_fault::none)
        return;
    const std::optional<udp::endpoint> target = native(to);
    if (!target)
        return;
    boost::system::error_code ignored; // the datagram is lost when the send buffer is full
    m_state->socket.send_to(boost::asio::buffer(content.data(), content.size()), *target, 0, ignored);
}

void udp_channel::onReceive(receiver handler)
{
    m_state->handler = std::move(handler);
}

} // namespace ivypier::membership
