#include "measurement.h"

#include "base/random_source.h"
#include "base/virtual_scheduler.h"
#include "membership/exchange_membership.h"
#include "rpc/codec/rpc_codec.h"

#include <map>
#include <memory>
#include <vector>

namespace ivypier::measurement {

namespace {

constexpr duration settle_time = std::chrono::seconds(10);
constexpr duration measurement_time = std::chrono::seconds(20);
constexpr duration call_delay = std::chrono::milliseconds(1);
/// Lower bound for the HTTP, TCP and IPv4 headers of a request and its response.
constexpr std::size_t min_call_header_bytes = 300;

/// Passes the response body to a callback.
class local_responder final : public http::responder
{
public:
    explicit local_responder(std::function<void(const std::string &)> done)
        : m_done(std::move(done))
    {
    }

    void respond(http::response response) override
    {
        m_done(response.body);
    }

    void begin(int, http::header_map) override
    {
    }
    void write(std::string) override
    {
    }
    void finish() override
    {
    }
    bool isOpen() const override
    {
        return true;
    }
    void onClosed(std::function<void()>) override
    {
    }

private:
    std::function<void(const std::string &)> m_done;
};

struct rpc_network
{
    virtual_scheduler &tasks;
    secret_key key;
    std::map<endpoint, rpc::peer_server *> servers;
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
};

/// Calls servers in the same process, with the real JSON-RPC encoding and authenticators, and counts the
/// bytes.
class in_process_client final : public rpc::peer_client
{
public:
    explicit in_process_client(rpc_network &network)
        : m_network(network)
    {
    }

    void call(const endpoint &to, const std::string &method, Json::Value parameters, duration,
              completion done) override
    {
        http::request message;
        message.body = rpc::encodeCall(method, parameters);
        message.headers[rpc::rpc_authenticator_header] = bytesToHex(m_network.key.authenticate(message.body));
        ++m_network.calls;
        m_network.bytes += message.body.size() + min_call_header_bytes;
        auto localResponder
            = std::make_shared<local_responder>([this, done = std::move(done)](const std::string &body) {
                  m_network.bytes += body.size();
                  const rpc::decoded_response decoded = rpc::decodeResponse(body);
                  done(decoded.result);
              });
        m_network.tasks.after(call_delay, [this, to, message, localResponder] {
            m_network.servers.at(to)->handle(message, localResponder);
        });
    }

private:
    rpc_network &m_network;
};

struct exchange_node
{
    exchange_node(rpc_network &network, const membership::member &self, std::vector<endpoint> seeds)
        : calls(network)
        , methods(network.tasks, network.key)
        , members(network.tasks, calls, methods, self, std::move(seeds))
    {
        network.servers[self.address] = &methods;
    }

    in_process_client calls;
    rpc::peer_server methods;
    membership::exchange_membership members;
};

} // namespace

void measureExchange(std::size_t members, std::uint64_t seed)
{
    virtual_scheduler time;
    seeded_random randomness(seed);
    rpc_network network{time, secret_key::fromPassphrase("key of the measurement").value(), {}};
    std::vector<endpoint> seeds;
    for (std::size_t index = 0; index < members; ++index)
        seeds.push_back({"10.0.0." + std::to_string(index + 1), 8080});
    std::vector<std::unique_ptr<exchange_node>> nodes;
    for (std::size_t index = 0; index < members; ++index) {
        const membership::member self{randomness.next() | 1,
                                      "node-" + std::to_string(index),
                                      seeds[index],
                                      seeds[index],
                                      "domain-" + std::to_string(index % 3),
                                      "region",
                                      {}};
        nodes.push_back(std::make_unique<exchange_node>(network, self, seeds));
    }
    for (const auto &each : nodes)
        each->members.start();
    time.advance(settle_time);
    const std::uint64_t calls = network.calls;
    const std::uint64_t bytes = network.bytes;
    const double cpuBefore = cpuSeconds();
    time.advance(measurement_time);
    const double memberSeconds = seconds(measurement_time) * static_cast<double>(members);
    result_line("exchange")
        .with("members", static_cast<double>(members))
        .with("bytes_per_second", static_cast<double>(network.bytes - bytes) / memberSeconds)
        .with("calls_per_second", static_cast<double>(network.calls - calls) / memberSeconds)
        .with("processor_share", (cpuSeconds() - cpuBefore) / memberSeconds);
}

} // namespace ivypier::measurement
