#pragma once

#include "base/scheduler.h"
#include "http/exchange_transport.h"
#include "http/reply.h"

#include <memory>
#include <vector>

namespace ivypier {

/// A transport without network: records every exchange, and the test delivers the response through the
/// recorded exchange.
class fake_transport final : public http::exchange_transport
{
public:
    struct fake_exchange
    {
        endpoint to;
        std::string bytes;
        http::exchange_options options;
        http::exchange_observer *observer = nullptr; ///< null once the exchange has ended or was dropped
        bool isPaused = false;

        bool isRunning() const
        {
            return observer != nullptr;
        }
        void head(int status, http::field_list fields)
        {
            if (observer)
                observer->onHead({status, std::move(fields)});
        }
        void body(std::string_view data)
        {
            if (observer)
                observer->onBody(data);
        }
        void end()
        {
            if (auto *to = std::exchange(observer, nullptr))
                to->onEnd();
        }
        void fail(http::exchange_stage stage, bool isConnectionLimit = false)
        {
            if (auto *to = std::exchange(observer, nullptr))
                to->onFailed({stage, "failure injected by the test", isConnectionLimit});
        }
        /// Fails as if no connection could be opened.
        void failToConnect()
        {
            if (auto *to = std::exchange(observer, nullptr))
                to->onFailed({.reason = "failure injected by the test", .isUnconnected = true});
        }
    };

    std::unique_ptr<http::outgoing_exchange> start(const endpoint &to, std::string bytes,
                                                   http::exchange_options options,
                                                   http::exchange_observer &observer) override
    {
        startedExchanges.push_back(std::make_shared<fake_exchange>(
            fake_exchange{to, std::move(bytes), std::move(options), &observer}));
        return std::make_unique<exchange_handle>(startedExchanges.back());
    }

    std::vector<std::shared_ptr<fake_exchange>> startedExchanges;

private:
    class exchange_handle final : public http::outgoing_exchange
    {
    public:
        explicit exchange_handle(std::shared_ptr<fake_exchange> exchange)
            : m_exchange(std::move(exchange))
        {
        }
        ~exchange_handle() override
        {
            m_exchange->observer = nullptr;
        }
        void pause() override
        {
            m_exchange->isPaused = true;
        }
        void resume() override
        {
            m_exchange->isPaused = false;
        }

    private:
        std::shared_ptr<fake_exchange> m_exchange;
    };
};

/// The response that a caller received so far.
struct received_response
{
    int status = 0;
    http::field_list fields;
    std::string body;
    bool ended = false; ///< the response was finished
    bool closed = false; ///< the reply was destroyed
    std::size_t unsentByteCount = 0;
    std::function<void()> onClosed;
    std::function<void()> onSent;
};

/// A reply that records the response in a received_response.
class fake_reply final : public http::reply
{
public:
    explicit fake_reply(std::shared_ptr<received_response> response)
        : m_response(std::move(response))
    {
    }
    ~fake_reply() override
    {
        m_response->closed = true;
    }
    void send(int status, const http::field_list &fields, std::string_view body) override
    {
        begin(status, fields);
        write(body);
        finish();
    }
    void begin(int status, const http::field_list &fields) override
    {
        m_response->status = status;
        m_response->fields = fields;
    }
    void write(std::string_view data) override
    {
        m_response->body.append(data);
    }
    void finish() override
    {
        m_response->ended = true;
    }
    std::size_t unsentBytes() const override
    {
        return m_response->unsentByteCount;
    }
    void onSent(std::function<void()> observer) override
    {
        m_response->onSent = std::move(observer);
    }
    void onClosed(std::function<void()> observer) override
    {
        m_response->onClosed = std::move(observer);
    }

private:
    std::shared_ptr<received_response> m_response;
};

} // namespace ivypier
