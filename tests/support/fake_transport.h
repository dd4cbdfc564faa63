#pragma once

#include "base/scheduler.h"
#include "http/exchange_transport.h"
#include "http/reply.h"

#include <memory>
#include <vector>

namespace ivypier {

/// Upstreams of a test: keeps what was sent to them and answers as the test says, in virtual time.
class fake_transport final : public http::exchange_transport
{
public:
    struct sending
    {
        endpoint to;
        std::string bytes;
        http::exchange_options options;
        http::exchange_observer *observer = nullptr; ///< nothing once the exchange was dropped

        bool isRunning() const
        {
            return observer != nullptr;
        }
        void head(int status, http::field_list fields)
        {
            if (observer)
                observer->onHead({status, std::move(fields)});
        }
        void body(std::string_view piece)
        {
            if (observer)
                observer->onBody(piece);
        }
        void end()
        {
            if (auto *to = std::exchange(observer, nullptr))
                to->onEnd();
        }
        void fail(http::exchange_stage stage)
        {
            if (auto *to = std::exchange(observer, nullptr))
                to->onFailed({stage, "as the test says"});
        }
    };

    std::unique_ptr<http::outgoing_exchange> start(const endpoint &to, std::string bytes,
                                                   http::exchange_options options,
                                                   http::exchange_observer &observer) override
    {
        sendings.push_back(
            std::make_shared<sending>(sending{to, std::move(bytes), std::move(options), &observer}));
        return std::make_unique<running>(sendings.back());
    }

    std::vector<std::shared_ptr<sending>> sendings;

private:
    class running final : public http::outgoing_exchange
    {
    public:
        explicit running(std::shared_ptr<sending> of)
            : m_of(std::move(of))
        {
        }
        ~running() override
        {
            m_of->observer = nullptr;
        }
        void pause() override
        {
        }
        void resume() override
        {
        }

    private:
        std::shared_ptr<sending> m_of;
    };
};

/// What a caller of a test got.
struct received_answer
{
    int status = 0;
    http::field_list fields;
    std::string body;
    bool ended = false; ///< whole, as far as the caller can tell
    bool closed = false; ///< the answer was dropped
    std::size_t unsent = 0;
    std::function<void()> onClosed;
    std::function<void()> onSent;
};

/// The reply to a caller of a test.
class fake_reply final : public http::reply
{
public:
    explicit fake_reply(std::shared_ptr<received_answer> to)
        : m_to(std::move(to))
    {
    }
    ~fake_reply() override
    {
        m_to->closed = true;
    }
    void send(int status, const http::field_list &fields, std::string_view body) override
    {
        begin(status, fields);
        write(body);
        finish();
    }
    void begin(int status, const http::field_list &fields) override
    {
        m_to->status = status;
        m_to->fields = fields;
    }
    void write(std::string_view piece) override
    {
        m_to->body.append(piece);
    }
    void finish() override
    {
        m_to->ended = true;
    }
    std::size_t unsentBytes() const override
    {
        return m_to->unsent;
    }
    void onSent(std::function<void()> observer) override
    {
        m_to->onSent = std::move(observer);
    }
    void onClosed(std::function<void()> observer) override
    {
        m_to->onClosed = std::move(observer);
    }

private:
    std::shared_ptr<received_answer> m_to;
};

} // namespace ivypier
