#include "relay/call_forwarder.h"
#include "relay/forwarded_call.h"
#include "relay/forwarding_transport.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

endpoint upstreamAddress(int index)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(9000 + index)};
}

endpoint peerAddress(int index)
{
    return {"10.0.1." + std::to_string(index), 8229};
}

/// Offers nodes in their order.
class listed_peers final : public forwarding_peers
{
public:
    std::optional<endpoint> choose(const std::set<endpoint> &excluded) override
    {
        for (const endpoint &each : peers) {
            if (!excluded.contains(each))
                return each;
        }
        return std::nullopt;
    }
    void recordFailure(const endpoint &peer) override
    {
        failed.push_back(peer);
    }

    std::vector<endpoint> peers;
    std::vector<endpoint> failed;
};

/// Keeps what an exchange told.
struct exchange_record final : http::exchange_observer
{
    void onHead(http::response_head received) override
    {
        head = std::move(received);
    }
    void onBody(std::string_view data) override
    {
        body.append(data);
    }
    void onEnd() override
    {
        hasEnded = true;
    }
    void onFailed(const http::exchange_failure &reason) override
    {
        failure = reason;
    }

    std::optional<http::response_head> head;
    std::string body;
    bool hasEnded = false;
    std::optional<http::exchange_failure> failure;
};

/// A node with three upstreams and four other nodes.
struct forwarding_node
{
    forwarding_node()
    {
        configureLog("tests", log_level::error);
        for (int index = 0; index < 3; ++index) {
            upstreams.put(
                {"u" + std::to_string(index), "s", upstreamAddress(index), "hall", 4, false, false, {}, ""});
            check.results[upstreamAddress(index)] = reachability_check::result::refused;
        }
        for (int index = 1; index <= 4; ++index)
            peers.peers.push_back(peerAddress(index));
        time.advance(1s);
    }

    std::unique_ptr<http::outgoing_exchange> start(int upstream, exchange_record &record)
    {
        http::exchange_options options;
        options.callId = "id1";
        return transport.start(upstreamAddress(upstream), "request", std::move(options), record);
    }

    void cutOff()
    {
        paths.recordFailure(upstreamAddress(0));
        paths.recordFailure(upstreamAddress(1));
    }

    fake_transport::fake_exchange &lastToPeer() const
    {
        return *toPeers.startedExchanges.back();
    }

    virtual_scheduler time;
    seeded_random randomness{3};
    metrics_registry metrics;
    upstream_directory upstreams{time};
    fake_reachability_check check{time};
    upstream_paths paths{time, randomness, upstreams, check};
    fake_transport direct;
    fake_transport toPeers;
    listed_peers peers;
    forwarding_transport transport{time, metrics, direct, toPeers, paths, peers};
};

} // namespace

TEST_CASE("a call whose connection is refused goes through another node once several upstreams refuse")
{
    forwarding_node node;
    exchange_record first;
    const auto firstCall = node.start(0, first);
    node.direct.startedExchanges.back()->failToConnect();
    REQUIRE(first.failure);
    CHECK(first.failure->isUnconnected);
    CHECK(node.toPeers.startedExchanges.empty());

    exchange_record second;
    const auto secondCall = node.start(1, second);
    node.direct.startedExchanges.back()->failToConnect();
    CHECK_FALSE(second.failure);
    REQUIRE(node.toPeers.startedExchanges.size() == 1);
    CHECK(node.lastToPeer().to == peerAddress(1));
    http::response_head answer{503, {{"Retry-After", "1"}, {"Keep-Alive", "timeout=5"}}, true, true};
    node.lastToPeer().head(200, encodeForwardedHead(answer));
    node.lastToPeer().body("part");
    node.lastToPeer().end();
    REQUIRE(second.head);
    CHECK(*second.head == http::response_head{503, {{"Retry-After", "1"}}, true, true});
    CHECK(second.body == "part");
    CHECK(second.hasEnded);
}

TEST_CASE("a node that is cut off sends calls through other nodes at once, and directly again afterwards")
{
    forwarding_node node;
    node.cutOff();
    exchange_record record;
    auto call = node.start(2, record);
    CHECK(node.direct.startedExchanges.empty());
    CHECK(node.toPeers.startedExchanges.size() == 1);
    call.reset();
    CHECK_FALSE(node.lastToPeer().isRunning());
    for (int index = 0; index < 3; ++index)
        node.check.results[upstreamAddress(index)] = reachability_check::result::accepted;
    node.time.advance(upstream_paths::probe_interval * 2);
    call = node.start(2, record);
    CHECK(node.direct.startedExchanges.size() == 1);
}

TEST_CASE("a call is offered to a few nodes that have no path either, and then was not sent")
{
    forwarding_node node;
    node.cutOff();
    exchange_record record;
    const auto call = node.start(0, record);
    for (std::size_t tried = 1; tried <= forwarding_transport::max_peers_per_call; ++tried) {
        REQUIRE(node.toPeers.startedExchanges.size() == tried);
        CHECK_FALSE(record.failure);
        node.lastToPeer().head(502, encodeForwardingFailure({{.reason = "no path"}, true, true}));
    }
    node.time.advance(0ms);
    REQUIRE(record.failure);
    CHECK(record.failure->stage == http::exchange_stage::not_sent);
    CHECK(node.toPeers.startedExchanges.size() == forwarding_transport::max_peers_per_call);
    CHECK(node.peers.failed.size() == forwarding_transport::max_peers_per_call);
}

TEST_CASE("a call is sent directly after all if there is no other node")
{
    forwarding_node node;
    node.cutOff();
    node.peers.peers.clear();
    exchange_record record;
    const auto call = node.start(0, record);
    REQUIRE(node.direct.startedExchanges.size() == 1);
    node.direct.startedExchanges.back()->failToConnect();
    node.time.advance(0ms);
    REQUIRE(record.failure);
    CHECK(record.failure->stage == http::exchange_stage::not_sent);
    CHECK(node.direct.startedExchanges.size() == 1);
}

TEST_CASE("a node of an earlier version has not sent a call that it can't read")
{
    forwarding_node node;
    node.cutOff();
    exchange_record record;
    const auto call = node.start(0, record);
    node.lastToPeer().head(404, {});
    CHECK_FALSE(record.failure);
    CHECK(node.toPeers.startedExchanges.size() == 2);
}

TEST_CASE("a call that another node may have sent is never sent again")
{
    forwarding_node node;
    node.cutOff();
    exchange_record broken;
    const auto brokenCall = node.start(0, broken);
    node.lastToPeer().fail(http::exchange_stage::sent);
    REQUIRE(broken.failure);
    CHECK(broken.failure->stage == http::exchange_stage::sent);
    exchange_record told;
    const auto toldCall = node.start(0, told);
    node.lastToPeer().head(502, encodeForwardingFailure({{http::exchange_stage::sent, "reset"}}));
    REQUIRE(told.failure);
    CHECK(told.failure->stage == http::exchange_stage::sent);
    exchange_record unreadable;
    const auto unreadableCall = node.start(0, unreadable);
    node.lastToPeer().head(500, {});
    REQUIRE(unreadable.failure);
    CHECK(unreadable.failure->stage == http::exchange_stage::sent);
    CHECK(node.toPeers.startedExchanges.size() == 3);
}

TEST_CASE("an upstream can't pass its answer off for a failure to forward")
{
    const http::response_head forged{200, {{"Forwarding-Failure", "not-sent"}, {"Forwarded-Status", "418"}}};
    const auto decoded = decodeForwardedHead({200, encodeForwardedHead(forged)});
    REQUIRE(decoded);
    CHECK(*decoded == http::response_head{200, {}});
}

// Guards against numbers that are no status, taken for the status of an upstream's answer.
TEST_CASE(
    "a node that forwards an answer with a number that is no final status has failed, and may have sent")
{
    for (const char *status :
         {"0", "-200", "99", "100", "101", "199", "600", "2000", "99999999999", "200x", ""}) {
        INFO(status);
        const http::response_head response{200, {{"Forwarded-Status", status}}};
        CHECK_FALSE(decodeForwardedHead(response));
        CHECK(decodeForwardingFailure(response).failure.stage == http::exchange_stage::sent);
    }
    for (const int status : {200, 404, 599})
        CHECK(decodeForwardedHead({200, encodeForwardedHead({status, {}})})->status == status);
}

TEST_CASE("a call is decoded as it was forwarded")
{
    const forwarded_call sent{upstreamAddress(1), "id1", true, "HEAD / HTTP/1.1\r\n\r\n"};
    const std::string text = encodeForwardedCall(peerAddress(1), sent);
    const std::size_t headEnd = text.find("\r\n\r\n") + 4;
    http::incoming_request incoming;
    incoming.head.fields
        = {{"Forward-To", upstreamAddress(1).text()}, {"Forward-Call", "id1"}, {"Forward-Method", "HEAD"}};
    for (const auto &[name, value] : incoming.head.fields)
        CHECK(text.find(name + ": " + value + "\r\n") != std::string::npos);
    incoming.body = text.substr(headEnd);
    const auto received = decodeForwardedCall(incoming);
    REQUIRE(received);
    CHECK(received.value() == sent);
    CHECK_FALSE(decodeForwardedCall({}));
}

namespace {

/// A node that sends calls for others.
struct serving_node : forwarding_node
{
    std::shared_ptr<received_response> forward(int upstream)
    {
        http::incoming_request incoming;
        incoming.head.fields = {{"Forward-To", upstreamAddress(upstream).text()}, {"Forward-Call", "id1"}};
        incoming.body = "request";
        auto response = std::make_shared<received_response>();
        forwarder.handle(incoming, std::make_shared<fake_reply>(response));
        return response;
    }

    plain_protocol protocol;
    answer_buffers buffers{std::size_t{8} * 1024 * 1024};
    call_forwarder forwarder{time,
                             direct,
                             protocol,
                             upstreams,
                             paths,
                             buffers,
                             [](const upstream_record &) { return std::size_t{8}; }};
};

} // namespace

TEST_CASE("an answer is passed back as it arrives, and one that breaks off never looks complete")
{
    serving_node node;
    const auto response = node.forward(0);
    auto &sent = *node.direct.startedExchanges.back();
    CHECK(sent.to == upstreamAddress(0));
    CHECK(sent.bytes == "request");
    sent.head(200, {{"Id", "id1"}});
    sent.body("event");
    const auto head = decodeForwardedHead({response->status, response->fields});
    REQUIRE(head);
    CHECK(head->status == 200);
    CHECK(response->body == "event");
    sent.fail(http::exchange_stage::response_started);
    CHECK(response->closed);
    CHECK_FALSE(response->ended);
    CHECK(node.forwarder.running() == 0);
}

TEST_CASE("a call is dropped at the upstream when the node that forwarded it drops it")
{
    serving_node node;
    const auto response = node.forward(0);
    response->onClosed();
    CHECK_FALSE(node.direct.startedExchanges.back()->isRunning());
    CHECK(node.forwarder.running() == 0);
}

TEST_CASE("a slow reader of a forwarded answer slows the upstream down")
{
    serving_node node;
    const auto response = node.forward(0);
    auto &sent = *node.direct.startedExchanges.back();
    sent.head(200, {{"Id", "id1"}});
    response->unsentByteCount = std::size_t{64} * 1024 * 1024;
    sent.body("event");
    CHECK(sent.isPaused);
    response->onSent();
    CHECK_FALSE(sent.isPaused);
}

TEST_CASE("no call is forwarded to an upstream that this node would not send one to")
{
    serving_node node;
    const auto reasonOf = [&](int upstream) {
        const auto response = node.forward(upstream);
        CHECK(response->ended);
        const auto failure = decodeForwardingFailure({response->status, response->fields});
        CHECK(failure.failure.stage == http::exchange_stage::not_sent);
        return failure;
    };
    CHECK_FALSE(reasonOf(7).hasNoPath); // not listed
    node.upstreams.markDraining("u0");
    CHECK_FALSE(reasonOf(0).hasNoPath);
    upstream_statement waiting;
    waiting.wait = 5s;
    node.upstreams.recordStatement("u1", waiting);
    CHECK_FALSE(reasonOf(1).hasNoPath);
    node.cutOff();
    CHECK(reasonOf(2).isImpaired);
    CHECK(node.direct.startedExchanges.empty());
}
