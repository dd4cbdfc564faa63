#pragma once

#include "base/virtual_scheduler.h"
#include "http/exchange_transport.h"
#include "http/reply.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace ivypier {

/// Simulates HTTP exchanges between hosts in virtual time. Every host has a link of limited bandwidth, which
/// its transfers share. Hosts, handlers and transports must outlive the simulation.
class virtual_links
{
public:
    using request_handler
        = std::function<void(const http::incoming_request &, const std::shared_ptr<http::reply> &)>;

    explicit virtual_links(virtual_scheduler &time)
        : m_time(time)
    {
    }

    /// Adds a host whose link carries this many bytes per second in each direction.
    void addHost(const std::string &host, double bytesPerSecond)
    {
        m_hosts[host] = {{bytesPerSecond, {}}, {bytesPerSecond, {}}};
    }

    void listen(const endpoint &at, request_handler handler)
    {
        m_handlers[at] = std::move(handler);
    }

    /// Returns a transport for the requests of a host.
    std::unique_ptr<http::exchange_transport> transportOf(const std::string &host)
    {
        return std::make_unique<transport>(*this, host);
    }

    /// Returns the number of bytes that a host has sent.
    std::uint64_t bytesSentBy(const std::string &host) const
    {
        const auto found = m_bytesSent.find(host);
        return found == m_bytesSent.end() ? 0 : found->second;
    }

private:
    static constexpr std::size_t chunk_bytes = 16384;
    static constexpr std::size_t chunks_in_flight = 4;
    static constexpr std::size_t head_bytes = 300;
    static constexpr duration latency = std::chrono::milliseconds(1);

    struct direction
    {
        double bytesPerSecond = 0.0;
        time_point freeAt{};

        /// Returns when a chunk that is queued now has passed.
        time_point queue(time_point now, std::size_t bytes)
        {
            freeAt = std::max(now, freeAt) + fromSeconds(static_cast<double>(bytes) / bytesPerSecond);
            return freeAt;
        }
    };
    struct host_link
    {
        direction up;
        direction down;
    };
    struct flow
    {
        std::string from;
        std::string to;
        std::size_t unsent = 0;
        std::size_t undelivered = 0;
        std::function<void(std::size_t bytes)> onDelivered;
        bool isCancelled = false;
    };
    struct exchange
    {
        http::exchange_observer *observer = nullptr; ///< null once the exchange has ended or was dropped
        std::shared_ptr<flow> response;
    };

    class reply final : public http::reply
    {
    public:
        reply(virtual_links &links, std::string from, std::string to, std::shared_ptr<exchange> target)
            : m_links(links)
            , m_from(std::move(from))
            , m_to(std::move(to))
            , m_exchange(std::move(target))
        {
        }
        ~reply() override
        {
            if (!m_isFinished && m_exchange->observer)
                std::exchange(m_exchange->observer, nullptr)
                    ->onFailed({http::exchange_stage::sent, "the reply was dropped"});
        }
        void send(int status, const http::field_list &fields, std::string_view body) override
        {
            begin(status, fields);
            write(body);
            finish();
        }
        void begin(int status, const http::field_list &fields) override
        {
            m_head = {status, fields};
        }
        void write(std::string_view data) override
        {
            m_body.append(data);
        }
        void finish() override
        {
            m_isFinished = true;
            m_links.respond(m_from, m_to, m_exchange, m_head, std::move(m_body));
        }
        std::size_t unsentBytes() const override
        {
            return 0;
        }
        void onSent(std::function<void()>) override
        {
        }
        void onClosed(std::function<void()>) override
        {
        }

    private:
        virtual_links &m_links;
        std::string m_from;
        std::string m_to;
        std::shared_ptr<exchange> m_exchange;
        http::response_head m_head;
        std::string m_body;
        bool m_isFinished = false;
    };

    class exchange_handle final : public http::outgoing_exchange
    {
    public:
        explicit exchange_handle(std::shared_ptr<exchange> target)
            : m_exchange(std::move(target))
        {
        }
        ~exchange_handle() override
        {
            m_exchange->observer = nullptr;
            if (m_exchange->response)
                m_exchange->response->isCancelled = true;
        }
        void pause() override
        {
        }
        void resume() override
        {
        }

    private:
        std::shared_ptr<exchange> m_exchange;
    };

    class transport final : public http::exchange_transport
    {
    public:
        transport(virtual_links &links, std::string host)
            : m_links(links)
            , m_host(std::move(host))
        {
        }
        std::unique_ptr<http::outgoing_exchange> start(const endpoint &to, std::string bytes,
                                                       http::exchange_options,
                                                       http::exchange_observer &observer) override
        {
            auto started = std::make_shared<exchange>();
            started->observer = &observer;
            m_links.request(m_host, to, std::move(bytes), started);
            return std::make_unique<exchange_handle>(started);
        }

    private:
        virtual_links &m_links;
        std::string m_host;
    };

    static http::incoming_request parse(const std::string &bytes)
    {
        http::incoming_request result;
        const std::size_t methodEnd = bytes.find(' ');
        const std::size_t targetEnd = bytes.find(' ', methodEnd + 1);
        const std::size_t headEnd = bytes.find("\r\n\r\n");
        result.head.method = bytes.substr(0, methodEnd);
        result.head.target = bytes.substr(methodEnd + 1, targetEnd - methodEnd - 1);
        result.body = bytes.substr(headEnd + 4);
        return result;
    }

    void request(const std::string &from, const endpoint &to, std::string bytes,
                 const std::shared_ptr<exchange> &started)
    {
        const std::size_t size = bytes.size();
        const auto deliver = [this, from, to, started, bytes = std::move(bytes),
                              undelivered = size](std::size_t delivered) mutable {
            undelivered -= delivered;
            if (undelivered > 0 || !started->observer)
                return;
            const auto handler = m_handlers.find(to);
            if (handler == m_handlers.end())
                std::exchange(started->observer, nullptr)
                    ->onFailed({http::exchange_stage::not_sent, "connection refused"});
            else
                handler->second(parse(bytes), std::make_shared<reply>(*this, to.host, from, started));
        };
        transfer(from, to.host, size, deliver);
    }

    void respond(const std::string &from, const std::string &to, const std::shared_ptr<exchange> &target,
                 const http::response_head &head, std::string body)
    {
        const std::size_t size = body.size() + head_bytes;
        target->response
            = transfer(from, to, size,
                       [target, head, body = std::move(body), sent = std::size_t{0}, size,
                        received = std::size_t{0}](std::size_t delivered) mutable {
                           if (!target->observer)
                               return;
                           if (received == 0)
                               target->observer->onHead(head);
                           received += delivered;
                           const std::size_t until = received <= head_bytes ? 0 : received - head_bytes;
                           if (target->observer && until > sent)
                               target->observer->onBody(std::string_view(body).substr(sent, until - sent));
                           sent = until;
                           if (received == size && target->observer)
                               std::exchange(target->observer, nullptr)->onEnd();
                       });
    }

    std::shared_ptr<flow> transfer(const std::string &from, const std::string &to, std::size_t bytes,
                                   std::function<void(std::size_t)> onDelivered)
    {
        auto started = std::make_shared<flow>(flow{from, to, bytes, bytes, std::move(onDelivered)});
        for (std::size_t chunk = 0; chunk < chunks_in_flight; ++chunk)
            sendChunk(started);
        return started;
    }

    void sendChunk(const std::shared_ptr<flow> &of)
    {
        const std::size_t bytes = std::min(of->unsent, chunk_bytes);
        if (bytes == 0 || of->isCancelled)
            return;
        of->unsent -= bytes;
        m_bytesSent[of->from] += bytes;
        const time_point sentAt = m_hosts.at(of->from).up.queue(m_time.now(), bytes);
        m_time.after(sentAt - m_time.now() + latency, [this, of, bytes] {
            const time_point receivedAt = m_hosts.at(of->to).down.queue(m_time.now(), bytes);
            m_time.after(receivedAt - m_time.now(), [this, of, bytes] {
                sendChunk(of);
                if (!of->isCancelled)
                    of->onDelivered(bytes);
            });
        });
    }

    virtual_scheduler &m_time;
    std::map<std::string, host_link> m_hosts;
    std::map<endpoint, request_handler> m_handlers;
    std::map<std::string, std::uint64_t> m_bytesSent;
};

} // namespace ivypier
