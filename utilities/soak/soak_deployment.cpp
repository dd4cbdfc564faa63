#include "soak_deployment.h"

#include "base/json.h"
#include "base/status_codes.h"

#include <csignal>
#include <fstream>
#include <iostream>

namespace ivypier::soak {

namespace {

constexpr std::size_t platform_host = 200;
constexpr std::size_t first_upstream_host = 100;
/// Time between two requests to the platform when there are many.
constexpr duration control_interval = std::chrono::milliseconds(10);
constexpr duration retry_interval = std::chrono::milliseconds(200);
constexpr duration request_timeout = std::chrono::seconds(2);
/// How long a node that a fault ended stays down.
constexpr duration down_time = std::chrono::milliseconds(300);
/// Resident memory above which a node has lost memory: four times that of a node under this load.
constexpr std::size_t max_node_memory_kilobytes = std::size_t{64} * 1024;
constexpr const char *domains[] = {"ridge-hall", "osu-hall", "tema-hall"};

std::size_t residentKilobytes(int process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    std::size_t value = 0;
    while (status >> word) {
        if (word == "VmRSS:" && status >> value)
            return value;
    }
    return 0;
}

} // namespace

soak_deployment::soak_deployment(event_loop &loop, std::string binaries, std::string folder,
                                 std::string network, std::size_t nodes, std::size_t upstreams,
                                 int streamLength)
    : m_loop(loop)
    , m_connections(loop)
    , m_requests(loop, m_connections)
    , m_binaries(std::move(binaries))
    , m_folder(std::move(folder))
    , m_network(std::move(network))
    , m_upstreamCount(upstreams)
    , m_streamLength(streamLength)
    , m_processes(m_folder)
    , m_nodes(nodes)
{
}

std::string soak_deployment::crashingPart(std::size_t number)
{
    return "bad" + std::to_string(number);
}

std::string soak_deployment::crashingBody(std::size_t number)
{
    return "boom" + std::to_string(number);
}

std::string soak_deployment::address(std::size_t host, unsigned port) const
{
    return m_network + std::to_string(host) + ":" + std::to_string(port);
}

endpoint soak_deployment::callersOf(std::size_t node) const
{
    return endpoint::parse(address(node + 1, 8221)).value();
}

std::string soak_deployment::upstreamName(std::size_t index) const
{
    return "u-" + std::to_string(index % m_upstreamCount + 1);
}

void soak_deployment::start(std::function<void()> done)
{
    m_processes.start(
        m_binaries + "/standin-edge-platform",
        {"--listen=" + address(platform_host, 9000), "--control=" + address(platform_host, 9001)},
        "platform");
    fetchWords([this, done = std::move(done)] {
        Json::Value streams(Json::objectValue);
        streams["length"] = m_streamLength;
        control("streams", streams);
        putUpstreams();
        // The platform has all upstreams when the nodes start.
        m_loop.after(2 * m_upstreamCount * control_interval, [this, done] {
            for (std::size_t index = 0; index < m_nodes.size(); ++index)
                startNode(index);
            awaitNodes(done);
        });
    });
}

void soak_deployment::fetchWords(std::function<void()> done)
{
    const endpoint to = endpoint::parse(address(platform_host, 9001)).value();
    m_requests.send(to, {.path = "/control/words"}, request_timeout,
                    [this, done = std::move(done)](const outcome<http::response> &answer) {
                        const auto words
                            = answer ? parseJson(answer.value().body) : outcome<Json::Value>(answer.error());
                        if (!words) {
                            m_loop.after(retry_interval, [this, done] { fetchWords(done); });
                            return;
                        }
                        const Json::Value &json = words.value();
                        m_words = {stringMember(json, "request_id"),   stringMember(json, "account_key"),
                                   stringMember(json, "deadline"),     stringMember(json, "last_event"),
                                   stringMember(json, "resumed_call"), stringMember(json, "prompt_parts"),
                                   stringMember(json, "prompt_size")};
                        done();
                    });
}

void soak_deployment::putUpstreams()
{
    for (std::size_t index = 0; index < m_upstreamCount; ++index) {
        Json::Value content(Json::objectValue);
        content["id"] = upstreamName(index);
        content["address"] = address(first_upstream_host + index, 9100);
        content["version"] = "v1";
        content["failure_domain"] = domains[index % std::size(domains)];
        m_loop.after(index * control_interval, [this, content] { control("upstream", content); });
    }
}

void soak_deployment::control(const std::string &path, const Json::Value &content)
{
    const endpoint to = endpoint::parse(address(platform_host, 9001)).value();
    m_requests.send(to, {.method = "POST", .path = "/control/" + path, .body = writeJson(content)},
                    request_timeout, [path](const outcome<http::response> &answer) {
                        if (!answer)
                            std::cerr << "soak: control " << path << ": " << answer.error().message << '\n';
                    });
}

void soak_deployment::startNode(std::size_t index)
{
    const std::string name = "edge-" + std::to_string(index + 1);
    const std::string path = m_folder + "/" + name + ".toml";
    std::ofstream settings(path);
    const auto text
        = [&](const char *key, const std::string &value) { settings << key << " = \"" << value << "\"\n"; };
    text("name", name);
    text("failure_domain", domains[index % std::size(domains)]);
    text("region", "accra");
    text("callers", address(index + 1, 8221));
    text("readiness", address(index + 1, 8224));
    text("lookups", address(index + 1, 8220));
    text("control", address(index + 1, 8229));
    text("metrics", address(index + 1, 9464));
    text("fleet_key", "fleet key of the soak");
    text("store", address(platform_host, 9000));
    text("cloud", address(platform_host, 9000));
    settings << "gossip_port = 7600\nfleet_port = 7610\nseeds = [";
    for (std::size_t seed = 0; seed < std::min<std::size_t>(m_nodes.size(), 3); ++seed)
        settings << (seed > 0 ? ", " : "") << '"' << address(seed + 1, 8229) << '"';
    settings
        << "]\ndescriptors = 1000\nstop_within_ms = 1500\nlookup_lifetime_ms = 300\nlease_term_ms = 1000\n"
           "usage_window_ms = 2000\nrepeat_ratio = 0.2\nrepeat_slack = 50\nrepeat_window_ms = 10000\n"
           "limit_tolerance = 0\n";
    settings.close();
    m_nodes[index].process = m_processes.start(m_binaries + "/ivypier-edge", {"--settings=" + path}, name);
    m_nodes[index].isEnding = false;
}

void soak_deployment::awaitNodes(std::function<void()> done)
{
    awaitNode(0, std::move(done));
}

void soak_deployment::awaitNode(std::size_t index, std::function<void()> done)
{
    if (index == m_nodes.size()) {
        done();
        return;
    }
    const endpoint to = endpoint::parse(address(index + 1, 9464)).value();
    m_requests.send(to, {.path = "/metrics"}, request_timeout,
                    [this, index, done = std::move(done)](const outcome<http::response> &answer) {
                        const std::string body = answer ? answer.value().body : std::string();
                        const auto has
                            = [&](const std::string &line) { return body.find(line) != std::string::npos; };
                        const bool isComplete = has("ivypier_nodes " + std::to_string(m_nodes.size()))
                            && has("ivypier_configuration_version 1")
                            && has("upstream=\"" + upstreamName(m_upstreamCount - 1) + "\"")
                            && has("ivypier_software_versions{service=\"s\"} 1");
                        if (isComplete)
                            awaitNode(index + 1, done);
                        else
                            m_loop.after(retry_interval, [this, index, done] { awaitNode(index, done); });
                    });
}

void soak_deployment::endNode(std::size_t index, int signal, duration downTime)
{
    node_process &node = m_nodes[index];
    if (std::exchange(node.isEnding, true))
        return;
    m_processes.signal(node.process, signal);
    awaitEnd(index, downTime);
}

void soak_deployment::awaitEnd(std::size_t index, duration downTime)
{
    if (!m_processes.wait(m_nodes[index].process, 0)) {
        m_loop.after(retry_interval, [this, index, downTime] { awaitEnd(index, downTime); });
        return;
    }
    m_loop.after(downTime, [this, index] { startNode(index); });
}

void soak_deployment::play(const fault &what, std::size_t number)
{
    Json::Value content(Json::objectValue);
    content["id"] = upstreamName(what.target);
    const Json::Value ended = content;
    const auto state = [&](const char *key, const Json::Value &value) {
        content[key] = value;
        control("statement", content);
        m_loop.after(what.length, [this, ended] { control("statement", ended); });
    };
    const std::size_t node = what.target % m_nodes.size();
    switch (what.kind) {
    case fault_kind::node_stopped:
        endNode(node, SIGTERM, down_time);
        break;
    case fault_kind::node_killed:
        endNode(node, SIGKILL, down_time);
        break;
    case fault_kind::node_frozen: {
        const int process = m_nodes[node].process;
        if (m_nodes[node].isEnding)
            break;
        m_processes.signal(process, SIGSTOP);
        m_loop.after(what.length, [this, process] { m_processes.signal(process, SIGCONT); });
        break;
    }
    case fault_kind::nodes_killed:
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            endNode(index, SIGKILL, down_time);
        break;
    case fault_kind::platform_down: {
        Json::Value down(Json::objectValue);
        down["is_down"] = true;
        control("platform", down);
        m_loop.after(what.length, [this] { control("platform", Json::Value(Json::objectValue)); });
        break;
    }
    case fault_kind::upstream_ends:
        control("end", content);
        break;
    case fault_kind::upstream_leaves:
        // One that leaves never takes calls again, so it ends, and a new incarnation comes.
        content["is_leaving"] = true;
        control("statement", content);
        m_loop.after(what.length, [this, ended] { control("end", ended); });
        break;
    case fault_kind::upstream_waits:
        state("wait_seconds", std::max(0.2, seconds(what.length)));
        break;
    case fault_kind::upstream_limits:
        state("calls_per_second", 20.0);
        break;
    case fault_kind::crashing_part:
        content["part"] = crashingPart(number);
        control("crashing", content);
        break;
    case fault_kind::crashing_call:
        content["body"] = crashingBody(number);
        control("crashing", content);
        break;
    }
}

void soak_deployment::fetchRecord(time_point startedAt,
                                  std::function<void(std::vector<upstream_record>)> done)
{
    const endpoint to = endpoint::parse(address(platform_host, 9001)).value();
    const std::int64_t start = milliseconds(startedAt.time_since_epoch());
    m_requests.send(to, {.path = "/control/record"}, std::chrono::seconds(20),
                    [start, done = std::move(done)](const outcome<http::response> &answer) {
                        std::vector<upstream_record> result;
                        const auto parsed
                            = answer ? parseJson(answer.value().body) : outcome<Json::Value>(answer.error());
                        if (!parsed)
                            std::cerr << "soak: no record: " << parsed.error().message << '\n';
                        for (const Json::Value &each : parsed ? parsed.value() : Json::Value())
                            result.push_back(
                                {stringMember(each, "upstream"), stringMember(each, "version"),
                                 stringMember(each, "request"),
                                 std::chrono::milliseconds(integerMember(each, "at_ms", 0) - start),
                                 booleanMember(each, "is_refused"), booleanMember(each, "is_crashing")});
                        done(std::move(result));
                    });
}

void soak_deployment::checkProcesses(std::vector<finding> &findings)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        const node_process &node = m_nodes[index];
        if (node.isEnding)
            continue;
        const std::string name = "node " + std::to_string(index + 1);
        if (const auto status = m_processes.wait(node.process, 0))
            findings.push_back({"ENDS", name + " ended by itself with " + std::to_string(*status)});
        if (const std::size_t memory = residentKilobytes(node.process); memory > max_node_memory_kilobytes)
            findings.push_back({"MEMORY", name + " uses " + std::to_string(memory) + " KB"});
    }
}

} // namespace ivypier::soak
