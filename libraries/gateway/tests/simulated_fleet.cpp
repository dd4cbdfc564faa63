#include "simulated_fleet.h"

#include "rpc/codec/rpc_codec.h"

#include <algorithm>

namespace ivypier::simulation {

namespace {

constexpr duration death_detection_delay = std::chrono::seconds(2);

endpoint nodeAddress(std::size_t index)
{
    return {"10.0.0." + std::to_string(index + 1), 8080};
}

/// Calls a function once with the complete response.
class response_callback final : public http::responder
{
public:
    explicit response_callback(std::function<void(http::response)> done)
        : m_done(std::move(done))
    {
    }

    void respond(http::response answer) override
    {
        if (m_done)
            std::exchange(m_done, nullptr)(std::move(answer));
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
    std::function<void(http::response)> m_done;
};

/// Copies a forwarded response to the caller in order, at least a millisecond after the node produced it.
class response_relay final : public http::responder
{
public:
    response_relay(simulated_fleet &fleet, scheduler &node, std::shared_ptr<http::responder> caller,
                   std::function<void()> onResponseStarted)
        : m_fleet(fleet)
        , m_node(node)
        , m_caller(std::move(caller))
        , m_onResponseStarted(std::move(onResponseStarted))
    {
    }

    void respond(http::response answer) override
    {
        enqueue([answer = std::move(answer)](http::responder &caller) { caller.respond(answer); });
    }

    void begin(int status, http::header_map headers) override
    {
        enqueue([status, headers = std::move(headers)](http::responder &caller) {
            caller.begin(status, headers);
        });
    }

    void write(std::string data) override
    {
        enqueue([data = std::move(data)](http::responder &caller) { caller.write(data); });
    }

    void finish() override
    {
        enqueue([](http::responder &caller) { caller.finish(); });
    }

    bool isOpen() const override
    {
        return m_caller->isOpen();
    }

    void onClosed(std::function<void()>) override
    {
    }

private:
    void enqueue(std::function<void(http::responder &)> work)
    {
        m_lastDelivery = std::max(m_lastDelivery, m_fleet.time.now() + std::chrono::milliseconds(1));
        m_node.after(m_lastDelivery - m_fleet.time.now(),
                     [caller = m_caller, onResponseStarted = m_onResponseStarted, work = std::move(work)] {
                         onResponseStarted();
                         work(*caller);
                     });
    }

    simulated_fleet &m_fleet;
    scheduler &m_node;
    std::shared_ptr<http::responder> m_caller;
    std::function<void()> m_onResponseStarted;
    time_point m_lastDelivery{};
};

} // namespace

simulated_members::simulated_members(simulated_fleet &fleet, membership::incarnation self, duration lag)
    : m_fleet(fleet)
    , m_self(self)
    , m_lag(lag)
{
}

membership::member simulated_members::self() const
{
    return *find(m_self);
}

std::vector<membership::member> simulated_members::members() const
{
    std::vector<membership::member> result;
    for (const node_history &each : m_fleet.histories) {
        const auto known = find(each.member.id);
        if (known->state != membership::member_state::dead)
            result.push_back(*known);
    }
    return result;
}

std::optional<membership::member> simulated_members::find(membership::incarnation id) const
{
    for (const node_history &each : m_fleet.histories) {
        if (each.member.id != id)
            continue;
        membership::member result = each.member;
        const time_point now = m_fleet.time.now();
        const duration lag = id == m_self ? duration::zero() : m_lag;
        if (each.leftAt && *each.leftAt + lag <= now)
            result.state = membership::member_state::leaving;
        if (id != m_self && each.deadAt && *each.deadAt + lag + death_detection_delay <= now)
            result.state = membership::member_state::dead;
        return result;
    }
    return std::nullopt;
}

std::optional<membership::fact> simulated_members::findFact(const std::string &key) const
{
    std::optional<membership::fact> newest;
    const auto found = m_fleet.facts.find(key);
    if (found == m_fleet.facts.end())
        return newest;
    for (const auto &[at, published] : found->second) {
        if (at + m_lag <= m_fleet.time.now() && (!newest || newest->version < published.version))
            newest = published;
    }
    return newest;
}

std::vector<membership::fact> simulated_members::facts(const std::string &) const
{
    return {};
}

void simulated_members::publish(const membership::fact &published)
{
    m_fleet.facts[published.key].emplace_back(m_fleet.time.now(), published);
}

void simulated_members::onMembersChanged(std::function<void()>)
{
}

void simulated_members::onFact(std::function<void(const membership::fact &)>)
{
}

void simulated_members::leave()
{
    for (node_history &each : m_fleet.histories) {
        if (each.member.id == m_self && !each.leftAt)
            each.leftAt = m_fleet.time.now();
    }
}

simulated_peers::simulated_peers(simulated_fleet &fleet, scheduler &node)
    : m_fleet(fleet)
    , m_node(node)
{
}

void simulated_peers::call(const endpoint &to, const std::string &method, Json::Value parameters,
                           duration timeout, completion done)
{
    const auto completionOnce = std::make_shared<completion>(std::move(done));
    const auto answer = [completionOnce](outcome<Json::Value> result) {
        if (*completionOnce)
            std::exchange(*completionOnce, nullptr)(std::move(result));
    };
    m_node.after(timeout, [answer] { answer(error{error_code::timed_out, "no answer"}); });
    http::request message{
        .method = "POST", .path = rpc::rpc_path, .body = rpc::encodeCall(method, parameters)};
    message.headers[rpc::rpc_authenticator_header] = bytesToHex(m_fleet.key.authenticate(message.body));
    m_fleet.network.send([this, to, message, answer] {
        simulated_node *target = m_fleet.nodeAt(to);
        if (!target) {
            m_node.post([answer] {
                answer(error{error_code::unavailable, "no process listens on this address"});
            });
            return;
        }
        const auto callback
            = std::make_shared<response_callback>([this, answer](const http::response &response) {
                  m_fleet.network.send([this, answer, response] {
                      m_node.post([answer, response] {
                          rpc::decoded_response decoded = rpc::decodeResponse(response.body);
                          if (decoded.succeeded)
                              answer(std::move(decoded.result));
                          else
                              answer(error{error_code::refused, decoded.message});
                      });
                  });
              });
        target->rpcServer.handle(message, callback);
    });
}

simulated_forwarder::simulated_forwarder(simulated_fleet &fleet, scheduler &node)
    : m_fleet(fleet)
    , m_node(node)
{
}

void simulated_forwarder::forward(const endpoint &node, const http::request &incoming,
                                  std::shared_ptr<http::responder> caller, duration idleTimeout,
                                  no_response_handler onNoResponse)
{
    struct forwarding
    {
        bool started = false;
        bool failureReported = false;
    };
    const auto state = std::make_shared<forwarding>();
    const auto fail = [state, incoming, onNoResponse = std::move(onNoResponse)] {
        if (!state->started && !std::exchange(state->failureReported, true))
            onNoResponse(incoming, {error_code::timed_out, "no answer"});
    };
    m_node.after(std::min<duration>(idleTimeout, std::chrono::seconds(5)), fail);
    m_fleet.network.send([this, node, incoming, caller, state, fail] {
        simulated_node *target = m_fleet.nodeAt(node);
        if (!target) {
            m_node.post(fail);
            return;
        }
        const auto responseRelay
            = std::make_shared<response_relay>(m_fleet, m_node, caller, [state] { state->started = true; });
        target->process.post(
            [target, incoming, responseRelay] { target->callerApi.handle(incoming, responseRelay); });
    });
}

void simulated_forwarder::redirectAll()
{
}

std::size_t simulated_forwarder::activeCount() const
{
    return 0;
}

void simulated_table::read(const std::string &key, read_completion done)
{
    const auto found = m_rows.find(key);
    done(found == m_rows.end() ? std::optional<cloud::table_row>() : std::optional(found->second));
}

void simulated_table::list(const std::string &, list_completion done)
{
    done(std::vector<cloud::table_row>());
}

void simulated_table::write(const std::string &key, std::uint64_t expected, const std::string &value,
                            write_completion done)
{
    cloud::table_row &row = m_rows[key];
    if (row.version != expected) {
        done(error{error_code::conflict, "another version"});
        return;
    }
    row = {key, expected + 1, value};
    done(row);
}

void immediate_retry::dispatched(const std::string &)
{
}

std::optional<duration> immediate_retry::retryDelay(const std::string &, unsigned attempt, duration)
{
    constexpr unsigned max_attempts = 6;
    return attempt <= max_attempts ? std::optional<duration>(std::chrono::milliseconds(20)) : std::nullopt;
}

fixed_configuration::fixed_configuration()
    : m_document(std::make_shared<configuration::versioned_document>())
{
    m_document->version = 1;
    configuration::document &content = m_document->content;
    content.services.resize(2);
    content.services[0].name = "tariff";
    content.services[0].model = "model";
    content.services[1].name = "rates";
    content.services[1].kind = configuration::service_kind::plain;
    for (configuration::service &each : content.services)
        each.classes = {{"counter", 1.0, 0}};
    content.clientAccounts.push_back(
        {"kumasi", sha256Hex("key"), "counter", 1000.0, 1000, {"tariff", "rates"}});
}

std::shared_ptr<const configuration::versioned_document> fixed_configuration::current() const
{
    return m_document;
}

void fixed_configuration::onChange(std::function<void()>)
{
}

simulated_node::simulated_node(simulated_fleet &fleet, membership::incarnation id, duration lag,
                               secret_key key)
    : process(fleet.time)
    , members(fleet, id, lag)
    , peers(fleet, process)
    , rpcServer(process, key)
    , entries(members, key)
    , engines(fleet.upstreams, process)
    , services(fleet.upstreams, process)
    , channel(members, peers)
    , ledger(id)
    , witnessHandover(process, channel, ledger)
    , requests({process, metrics, router, admission, retries, engines, services, channel, members, {}})
    , claims(fleet.table)
    , requestForwarder(fleet, process)
    , callerApi(
          {process, fleet.configuration, members, entries, requests, channel, requestForwarder, claims, key})
    , gracefulStop({process, members, entries, requests, witnessHandover, requestForwarder}, [&fleet, id] {
        for (std::size_t index = 0; index < fleet.histories.size(); ++index) {
            if (fleet.histories[index].member.id == id)
                fleet.kill(index);
        }
    })
{
    requests::rpc_peer_channel::serve(rpcServer, members, ledger, requests);
    std::vector<routing::candidate> candidates;
    for (std::size_t index = 0; index < simulated_fleet::engine_count; ++index) {
        const endpoint address = simulated_fleet::engineAddress(index);
        candidates.push_back({"engine-" + std::to_string(index), "tariff", address, "", "", 0.0});
        candidates.push_back({"rates-" + std::to_string(index), "rates", {address.host, 9200}, "", "", 0.0});
    }
    router.setCandidates(std::move(candidates));
}

simulated_fleet::simulated_fleet(std::uint64_t seed, network_faults networkFaults,
                                 upstream_faults upstreamFaults)
    : random(seed)
    , key(secret_key::fromPassphrase("the key of a simulated fleet").value())
    , network(time, random, networkFaults)
    , upstreams(time, random, upstreamFaults)
{
    for (std::size_t index = 0; index < node_count; ++index) {
        membership::member member;
        member.id = index + 1;
        member.name = "node-" + std::to_string(index);
        member.address = nodeAddress(index);
        member.failureDomain = "hall-" + std::to_string(index % 3);
        histories.push_back({member, {}, {}});
    }
    for (std::size_t index = 0; index < node_count; ++index)
        nodes.push_back(
            std::make_unique<simulated_node>(*this, index + 1, fromSeconds(random.uniform() * 0.2), key));
}

simulated_fleet::~simulated_fleet() = default;

endpoint simulated_fleet::engineAddress(std::size_t index)
{
    return {"10.0.1." + std::to_string(index + 1), 9100};
}

void simulated_fleet::kill(std::size_t node)
{
    nodes[node]->process.kill();
    histories[node].deadAt = time.now();
}

void simulated_fleet::freeze(std::size_t node)
{
    nodes[node]->process.freeze();
    histories[node].deadAt = time.now();
}

void simulated_fleet::unfreeze(std::size_t node)
{
    if (!nodes[node]->process.isAlive())
        return;
    histories[node].deadAt.reset();
    nodes[node]->process.unfreeze();
}

void simulated_fleet::stop(std::size_t node, duration notice)
{
    nodes[node]->process.post([this, node, notice] { nodes[node]->gracefulStop.start(notice, "notice"); });
}

void simulated_fleet::drainEngine(std::size_t engine)
{
    const endpoint address = engineAddress(engine);
    upstreams.drain(address);
    for (const auto &each : nodes) {
        each->process.post([raw = each.get(), address] {
            raw->router.markLeaving(address);
            raw->requests.onUpstreamLeaving(address);
        });
    }
}

simulated_node *simulated_fleet::nodeAt(const endpoint &address)
{
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (histories[index].member.address == address && nodes[index]->process.isAlive())
            return nodes[index].get();
    }
    return nullptr;
}

} // namespace ivypier::simulation
