#include "scene.h"

#include <cstdio>
#include <filesystem>

namespace review {

namespace {

const std::vector<std::string> zones = {"ridge-hall", "osu-hall", "tema-hall"};

/// The configuration, its lists in columns as deploy/wire.toml asks for.
constexpr const char *configuration = R"({"version":7,"route-table":{"columns":["name","host","prefix","kind",
"timeout-ms","target-latency-ms","priority","service","max-attempts","public","session-affinity","resumable",
"target-gap-ms","traffic-split"],"rows":[
["r-stream","review.example","/stream/","streaming",15000,1500,1,"llm",2,false,true,true,400,null],
["r-quote","review.example","/quote/","unsafe",3000,300,2,"app",1,false,false,false,null,null],
["r-lookup","review.example","/lookup/","safe",3000,300,2,"app",2,false,false,false,null,null]]},
"services":{"columns":["name","health-path","max-connections","protocol","tls","engine","scaling"],"rows":[
["llm","/healthz",370,"h1",false,{"slots":64,"kv-capacity-tokens":373641},null],
["app","/healthz",110,"h1",false,null,null]]},
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":{"columns":["name","api-keys","priority","unit","uncached-tokens","rate-per-s","burst"],"rows":[
["tenant-one",["key-of-the-review"],1,"token_count",200,0,0]]}})";

} // namespace

scene::scene(const std::string &caseFolder, std::vector<std::string> names)
    : record(caseFolder + "/record.txt")
    , store(record)
    , m_network(freeNetwork())
    , m_folder(temporaryFolder())
    , m_names(std::move(names))
{
    record.add(hasTrouble() ? "with the disruption" : "without the disruption");
}

scene::~scene()
{
    m_nodes.clear();
    for (const auto &each : m_runners)
        each->end();
    if (m_folder.size() > 4 && !std::getenv("KEEP"))
        std::filesystem::remove_all(m_folder);
}

bool scene::startPlatform()
{
    if (m_network.empty() || m_folder.empty()
        || !store.start(m_network + "200", m_network + "201", store_port))
        return false;
    std::string text = configuration;
    std::erase(text, '\n');
    store.put("op", "config", text);
    for (std::size_t index = 0; index < m_names.size(); ++index) {
        if (!addNode(m_names[index], index))
            return false;
    }
    return true;
}

bool scene::addNode(const std::string &name, std::size_t zone)
{
    const std::size_t index = m_nodes.size();
    edge_process::settings each;
    each.name = name;
    each.host = m_network + std::to_string(index + 1);
    each.zone = zones[zone % zones.size()];
    each.seedHosts = {m_network + "1", m_network + "2", m_network + "3"};
    each.storeHost = m_network + "200";
    each.cloudHost = m_network + std::to_string(210 + index);
    if (!store.serveDutiesFor(each.host, each.cloudHost, store_port))
        return false;
    m_nodes.push_back(std::make_unique<edge_process>(record, m_folder, each));
    return true;
}

bool scene::startNode(std::size_t index)
{
    return m_nodes.at(index)->start();
}

bool scene::startNodes()
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (!startNode(index))
            return false;
        sleepSeconds(0.3 / static_cast<double>(m_nodes.size())); // all machines start within 0.3 s
    }
    constexpr double leadSeconds = 10.0; // traffic starts so long after the machines
    const double startedAt = secondsNow();
    for (const auto &each : m_nodes) {
        if (!waitFor(leadSeconds, [&] { return each->isReady(); }))
            return false;
    }
    sleepSeconds(startedAt + leadSeconds - secondsNow());
    return true;
}

runner &scene::addRunner(const std::string &id, const std::string &service, std::size_t zone)
{
    const std::string host = m_network + std::to_string(101 + m_runners.size());
    m_runners.push_back(
        std::make_unique<runner>(record, store, id, host, zones[zone % zones.size()], service));
    return *m_runners.back();
}

const std::string &scene::host(std::size_t index) const
{
    return m_nodes.at(index)->content().host;
}

http_message scene::sendPlain(std::size_t index, const std::string &path, const std::string &id,
                              int deadlineMs, const std::string &body)
{
    record.add("client sends " + id + " to " + host(index));
    const http_message answer = ask(host(index), caller_port, "POST", path,
                                    {{"Host", "review.example"},
                                     {"Request-Id", id},
                                     {"Deadline-Ms", std::to_string(deadlineMs)},
                                     {"Key", "key-of-the-review"}},
                                    body, deadlineMs / 1000.0);
    record.add("client gets " + std::to_string(answer.status()) + " to " + id);
    return answer;
}

int scene::broken(const std::string &text)
{
    record.add("BROKEN: " + text);
    std::printf("BROKEN: %s\n", text.c_str());
    return 1;
}

int scene::held(const std::string &text)
{
    record.add("held: " + text);
    std::printf("held: %s\n", text.c_str());
    return 0;
}

int scene::impossible(const std::string &text)
{
    std::printf("the case could not run: %s\n", text.c_str());
    return 2;
}

} // namespace review
