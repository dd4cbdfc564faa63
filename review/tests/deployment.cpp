#include "deployment.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <json/reader.h>
#include <json/writer.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace review {

namespace {

constexpr const char *host_name = "review.example";
constexpr const char *client_key = "key-of-the-review";

std::string writeCompact(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parse(const std::string &text)
{
    Json::Value result;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string failure;
    reader->parse(text.data(), text.data() + text.size(), &result, &failure);
    return result;
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

record_file::record_file(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

record_file::~record_file()
{
    if (m_file)
        std::fclose(m_file);
}

void record_file::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    if (!m_file)
        return;
    std::fprintf(m_file, "%8.3f  %s\n", secondsNow(), line.c_str());
    std::fflush(m_file);
}

std::string encodeBase64(const std::string &bytes)
{
    static constexpr std::string_view letters
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t each = 0; each < 3; ++each)
            group
                = group << 8 | (at + each < bytes.size() ? static_cast<unsigned char>(bytes[at + each]) : 0U);
        for (std::size_t each = 0; each < 4; ++each)
            result += at + each > bytes.size() ? '=' : letters[group >> (18 - 6 * each) & 63];
    }
    return result;
}

std::string decodeBase64(const std::string &text)
{
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char each : text) {
        int value = -1;
        if (each >= 'A' && each <= 'Z')
            value = each - 'A';
        else if (each >= 'a' && each <= 'z')
            value = each - 'a' + 26;
        else if (each >= '0' && each <= '9')
            value = each - '0' + 52;
        else if (each == '+' || each == '/')
            value = each == '+' ? 62 : 63;
        if (value < 0)
            continue;
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        count += 6;
        if (count < 8)
            continue;
        count -= 8;
        result += static_cast<char>(bits >> count & 255);
    }
    return result;
}

platform::platform(record_file &record)
    : m_record(record)
{
}

platform::~platform()
{
    m_stopping = true;
    m_store.stop();
    m_cloud.stop();
    for (const auto &each : m_machineClouds)
        each->stop();
}

bool platform::start(const std::string &storeHost, const std::string &cloudHost, int port)
{
    return m_store.start(storeHost, port, [this](const http_message &request, connection &to) {
        answer(request, to);
    }) && m_cloud.start(cloudHost, port, [this](const http_message &request, connection &to) {
        answerDuty(request, to, "");
    });
}

bool platform::serveDutiesFor(const std::string &machine, const std::string &host, int port)
{
    m_machineClouds.push_back(std::make_unique<http_server>());
    return m_machineClouds.back()->start(
        host, port,
        [this, machine](const http_message &request, connection &to) { answerDuty(request, to, machine); });
}

void platform::put(const std::string &table, const std::string &key, const std::string &value,
                   bool isRecorded)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {++m_version, encodeBase64(value), false};
    if (isRecorded)
        m_record.add("the store acknowledges " + table + "/" + key + " " + value.substr(0, 200));
    m_changed.notify_all();
}

void platform::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {++m_version, "", true};
    m_record.add("the store removes " + table + "/" + key);
    m_changed.notify_all();
}

std::vector<platform::duty_call> platform::dutyCalls()
{
    const std::lock_guard lock(m_mutex);
    return m_dutyCalls;
}

std::string platform::valueOf(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find({table, key});
    return found == m_rows.end() || found->second.isDeleted ? std::string()
                                                            : decodeBase64(found->second.value);
}

void platform::reply(connection &to, int status, const Json::Value &body)
{
    to.send(
        responseText(status, {{"Content-Type", "application/json"}, {"Store-Era", "0"}}, writeCompact(body)));
}

Json::Value platform::rowsOf(const std::string &table, const std::string &from, std::uint64_t after,
                             bool withDeleted, std::size_t limit) const
{
    Json::Value result(Json::objectValue);
    result["rows"] = Json::Value(Json::arrayValue);
    result["has-more"] = false;
    result["ver"] = Json::UInt64{m_version};
    result["now-ms"] = Json::Int64{static_cast<std::int64_t>(secondsNow() * 1000.0)};
    std::vector<std::pair<std::uint64_t, Json::Value>> found;
    for (const auto &[at, each] : m_rows) {
        if (at.first != table || at.second < from || each.version <= after
            || (each.isDeleted && !withDeleted))
            continue;
        Json::Value row(Json::objectValue);
        row["table"] = table;
        row["part"] = "";
        row["key"] = at.second;
        row["value"] = each.value;
        row["ver"] = Json::UInt64{each.version};
        if (each.isDeleted)
            row["deleted"] = true;
        if (found.size() == limit) {
            result["has-more"] = true;
            break;
        }
        found.emplace_back(each.version, row);
    }
    if (withDeleted)
        std::stable_sort(found.begin(), found.end(),
                         [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[version, row] : found)
        result["rows"].append(row);
    return result;
}

void platform::setSilent(bool silent)
{
    m_record.add(silent ? "the store falls silent" : "the store answers again");
    m_silent = silent;
}

bool platform::waitWhileSilent()
{
    if (!m_silent)
        return false;
    while (m_silent && !m_stopping)
        sleepSeconds(0.01);
    return true;
}

void platform::answer(const http_message &request, connection &to)
{
    if (waitWhileSilent()) {
        to.shutDown();
        return;
    }
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/api/rows-feed") {
        answerFeed(request, to);
        return;
    }
    if (path == "/api/rows-tx") {
        answerWrite(request, to);
        return;
    }
    if (path != "/api/rows-get") {
        reply(to, 404, Json::Value(Json::objectValue));
        return;
    }
    const std::string limit = request.parameter("limit");
    Json::Value rows;
    {
        const std::lock_guard lock(m_mutex);
        rows = rowsOf(request.parameter("table"), request.parameter("from"), 0, false,
                      limit.empty() ? 500 : std::min<std::size_t>(std::stoul(limit), 500));
    }
    sleepSeconds(0.002);
    reply(to, 200, rows);
}

void platform::answerFeed(const http_message &request, connection &to)
{
    const std::string table = request.parameter("table");
    const std::uint64_t after = std::stoull(request.parameter("after"));
    const double wait = std::min(30.0, std::stod("0" + request.parameter("wait-ms")) / 1000.0);
    const double end = secondsNow() + wait;
    Json::Value rows;
    bool isKnown = true;
    {
        std::unique_lock lock(m_mutex);
        isKnown = after <= m_version;
        rows = rowsOf(table, "", after, true, 500);
        while (isKnown && !m_silent && rows["rows"].empty() && secondsNow() < end && !to.isEnded()) {
            m_changed.wait_for(lock, std::chrono::milliseconds(100));
            rows = rowsOf(table, "", after, true, 500);
        }
    }
    if (waitWhileSilent()) {
        to.shutDown();
        return;
    }
    reply(to, isKnown ? 200 : 410, isKnown ? rows : Json::Value(Json::objectValue));
}

void platform::answerWrite(const http_message &request, connection &to)
{
    const Json::Value body = parse(request.body);
    Json::Value result(Json::objectValue);
    int status = 200;
    sleepSeconds(0.005);
    {
        const std::lock_guard lock(m_mutex);
        for (const Json::Value &each : body["expected-revision"]) {
            const auto found = m_rows.find({each["table"].asString(), each["key"].asString()});
            const bool exists = found != m_rows.end() && !found->second.isDeleted;
            if ((exists ? found->second.version : 0) != each["ver"].asUInt64())
                status = 412;
        }
        if (status == 200) {
            ++m_version;
            for (const Json::Value &each : body["put"])
                m_rows[{each["table"].asString(), each["key"].asString()}]
                    = {m_version, each["value"].asString(), false};
            for (const Json::Value &each : body["remove"])
                m_rows[{each["table"].asString(), each["key"].asString()}] = {m_version, "", true};
            m_changed.notify_all();
        } else {
            result["rows"] = Json::Value(Json::arrayValue);
        }
        result["ver"] = Json::UInt64{m_version};
        result["now-ms"] = Json::Int64{static_cast<std::int64_t>(secondsNow() * 1000.0)};
    }
    reply(to, status, result);
}

void platform::answerDuty(const http_message &request, connection &to, const std::string &peer)
{
    const Json::Value body = parse(request.body);
    duty_call call;
    call.at = secondsNow();
    call.path = request.target();
    call.holder = request.field("Lease-Holder");
    call.peer = peer;
    call.token = std::strtoull(request.field("Fencing-Token").c_str(), nullptr, 10);
    call.subject
        = call.path == "/usage" ? "usage" : body["service"].asString() + "/" + body["zone"].asString();
    call.content = request.body;
    {
        const std::lock_guard lock(m_mutex);
        std::uint64_t &highest = m_highestTokens[call.subject];
        call.status = isFenced && call.token < highest ? 409 : 200;
        highest = std::max(highest, call.token);
        m_dutyCalls.push_back(call);
    }
    m_record.add("the platform gets " + call.path + " from holder " + call.holder
                 + (peer.empty() ? "" : " on machine " + peer) + " with token " + std::to_string(call.token)
                 + " " + call.content + " and answers " + std::to_string(call.status));
    reply(to, call.status, Json::Value(Json::objectValue));
}

runner::runner(record_file &record, platform &store, std::string id, std::string host, std::string zone,
               std::string service)
    : m_record(record)
    , m_platform(store)
    , m_id(std::move(id))
    , m_host(std::move(host))
    , m_zone(std::move(zone))
    , m_service(std::move(service))
{
}

bool runner::start(const std::string &version)
{
    {
        const std::lock_guard lock(m_rowMutex);
        m_version = version;
        m_born = unixMilliseconds();
        m_sequence = 0;
        m_state = "ready";
    }
    m_alive = true;
    if (!m_server.start(m_host, runner_port,
                        [this](const http_message &request, connection &to) { answer(request, to); }))
        return false;
    m_record.add("runner " + m_id + " starts with software " + m_version);
    writeRow("ready");
    return true;
}

runner::~runner()
{
    end();
    m_over = true;
    if (m_beats.joinable())
        m_beats.join();
}

void runner::writeRow(const std::string &state)
{
    const std::lock_guard lock(m_rowMutex);
    Json::Value row(Json::objectValue);
    row["service"] = m_service;
    row["address"] = m_host + ":" + std::to_string(runner_port);
    row["zone"] = m_zone;
    row["version"] = m_version;
    row["slots"] = 64;
    row["state"] = state;
    row["cold-remaining-ms"] = 0;
    row["sequence"] = Json::UInt64{++m_sequence};
    row["born"] = Json::Int64{m_born};
    m_platform.put("servers", m_id, writeCompact(row), m_state != state || m_sequence == 1 || !m_isListed);
    m_state = state;
    m_isListed = true;
    m_lastBeat = secondsNow();
    if (!m_beats.joinable())
        m_beats = std::thread([this] { beat(); });
}

void runner::beat()
{
    constexpr double interval = 1.2; // `heartbeat-ms`
    while (!m_over) {
        sleepSeconds(0.02);
        std::string state;
        {
            const std::lock_guard lock(m_rowMutex);
            const double silence = secondsNow() - m_lastBeat;
            const bool isSilent = m_isCut || !m_alive;
            if (m_isListed && isSilent && silence > 3.0 * interval) {
                m_isListed = false;
                m_platform.remove("servers", m_id);
            }
            if (isSilent || silence < interval || (!m_isListed && m_state != "ready"))
                continue;
            state = m_state;
        }
        writeRow(state);
    }
}

void runner::cutFromStore()
{
    const std::lock_guard lock(m_rowMutex);
    m_isCut = true;
    m_record.add("runner " + m_id + " is cut off from the store");
}

void runner::healCut()
{
    {
        const std::lock_guard lock(m_rowMutex);
        m_isCut = false;
    }
    m_record.add("runner " + m_id + " reaches the store again");
    writeRow("ready");
}

void runner::drain()
{
    writeRow("draining");
}

void runner::end()
{
    finishRestart();
    m_alive = false;
    m_server.stop();
    m_record.add("runner " + m_id + " has ended");
}

void runner::removeRow()
{
    const std::lock_guard lock(m_rowMutex);
    m_isListed = false;
    m_platform.remove("servers", m_id);
}

std::vector<run> runner::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

bool runner::isLeaving()
{
    const std::lock_guard lock(m_rowMutex);
    return m_state == "draining";
}

void runner::answer(const http_message &request, connection &to)
{
    const std::string target = request.target();
    const std::string id = request.field("Request-Id");
    std::vector<std::pair<std::string, std::string>> fields;
    if (isLeaving())
        fields.emplace_back("Server-Leaving", "1");
    if (target == "/healthz") {
        fields.emplace_back("Instance-Id", m_id);
        to.send(responseText(isLeaving() ? 503 : 200, fields, ""));
        return;
    }
    const std::string expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        m_record.add("runner " + m_id + " gets " + id + " for " + expected + " and answers 421");
        fields.emplace_back("Instance-Id", m_id);
        fields.emplace_back("Request-Id", id);
        to.send(responseText(421, fields, ""));
        return;
    }
    const std::string last = request.field("Last-Event-Id");
    m_record.add("runner " + m_id + " (software " + m_version + ") runs " + id
                 + (last.empty() ? "" : " after event " + last));
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({secondsNow(), m_id, m_version, id, last});
    }
    if (isCrashing && isCrashing(request)) {
        crash();
        return;
    }
    if (target.starts_with("/stream/")) {
        answerStream(request, to);
        return;
    }
    sleepSeconds(plainSeconds);
    fields.emplace_back("Request-Id", id);
    fields.emplace_back("Response-Signature", m_id + "." + id);
    to.send(responseText(200, fields, "answer of " + m_id + " to " + id));
}

void runner::crash()
{
    const std::lock_guard lock(m_restartMutex);
    if (!m_alive.exchange(false))
        return;
    if (m_restart.joinable())
        m_restart.join();
    m_record.add("runner " + m_id + " crashes");
    m_restart = std::thread([this] {
        m_server.stop();
        sleepSeconds(restartSeconds);
        start(m_version);
    });
}

void runner::finishRestart()
{
    const std::lock_guard lock(m_restartMutex);
    if (m_restart.joinable())
        m_restart.join();
}

void runner::answerStream(const http_message &request, connection &to)
{
    const std::string id = request.field("Request-Id");
    const std::string last = request.field("Last-Event-Id");
    std::string head = std::string("HTTP/1.1 200 OK\r\n") + (isLeaving() ? "Server-Leaving: 1\r\n" : "")
        + "Content-Type: text/event-stream\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + m_id + "."
        + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!to.send(head))
        return;
    for (int number = last.empty() ? 1 : std::atoi(last.c_str()) + 1; number <= eventCount; ++number) {
        sleepSeconds(eventSeconds);
        if (!m_alive || to.isEnded())
            return;
        const std::string event = "id: " + std::to_string(number) + "\ndata: software " + m_version + " of "
            + m_id + " event " + std::to_string(number) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        if (!to.send(size + event + "\r\n"))
            return;
    }
    to.send("0\r\n\r\n");
}

edge_process::edge_process(record_file &record, std::string folder, settings content)
    : m_record(record)
    , m_folder(std::move(folder))
    , m_settings(std::move(content))
{
}

edge_process::~edge_process()
{
    kill();
}

bool edge_process::start()
{
    const settings &of = m_settings;
    const std::string label = m_folder + "/" + of.host;
    const std::string path = label + ".toml";
    std::FILE *file = std::fopen(path.c_str(), "w");
    if (!file)
        return false;
    std::string seeds;
    for (const std::string &each : of.seedHosts)
        seeds += (seeds.empty() ? "\"" : ",\"") + each + ":" + std::to_string(control_port) + "\"";
    const auto at = [&](int port) { return "\"" + of.host + ":" + std::to_string(port) + "\"\n"; };
    // deploy/edge.toml, filled in with the bounds of the small deployments.
    const std::string text = "name = \"" + of.name + "\"\nfailure_domain = \"" + of.zone
        + "\"\nregion = \"accra\"\ncallers = " + at(caller_port) + "readiness = " + at(readiness_port)
        + "lookups = " + at(directory_port) + "control = " + at(control_port) + "metrics = " + at(9464)
        + "gossip_port = 7600\nfleet_port = 7615\nseeds = [" + seeds
        + "]\nfleet_key = \"ivypier membership of one fleet\"\nstore = \"" + of.storeHost + ":"
        + std::to_string(store_port) + "\"\ncloud = \"" + of.cloudHost + ":" + std::to_string(store_port)
        + "\"\ndescriptors = 4100\nstop_within_ms = 8000\nlookup_lifetime_ms = 1000\nlease_term_ms = 3000\n"
          "usage_window_ms = 5000\nrepeat_ratio = 0.2\nrepeat_slack = 56\nrepeat_window_ms = 10000\n"
          "limit_tolerance = 110000\nexposure_share = 0\nexposure_tolerance = 0\nrollback_ms = 0\n";
    std::fputs(text.c_str(), file);
    std::fclose(file);
    const std::string log = label + "." + std::to_string(++m_starts) + ".log";
    const std::string variable = "IVYPIER_SETTINGS=" + path;
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // the node ends with the case, however that ends
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(output, 1);
        dup2(output, 2);
        std::string program = "target/bin/ivypier-edge";
        char *arguments[] = {program.data(), nullptr};
        std::string environment = variable;
        std::string search = "PATH=/usr/bin:/bin";
        std::string home = "HOME=/tmp";
        char *variables[] = {environment.data(), search.data(), home.data(), nullptr};
        execve(program.c_str(), arguments, variables);
        _exit(127);
    }
    m_record.add("machine " + of.host + " starts node " + of.name + " in " + of.zone);
    return m_process > 0;
}

void edge_process::signal(int number)
{
    m_record.add("machine " + m_settings.host + " gets signal " + std::to_string(number));
    if (m_process > 0)
        ::kill(m_process, number);
}

void edge_process::kill()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGCONT);
    ::kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = -1;
}

bool edge_process::isRunning()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process > 0;
}

bool edge_process::waitForEnd(double seconds)
{
    return waitFor(seconds, [this] { return !isRunning(); });
}

bool edge_process::isReady() const
{
    return ask(m_settings.host, readiness_port, "GET", "/api/readyz", {{"Host", m_settings.host}}, "", 1.0)
               .status()
        == 200;
}

std::string freeNetwork()
{
    for (int attempt = 0; attempt < 50; ++attempt) {
        const int number = static_cast<int>((getpid() + attempt * 251) % 60000);
        const std::string network
            = "127." + std::to_string(20 + number / 250 % 200) + "." + std::to_string(number % 250 + 1) + ".";
        bool isFree = true;
        for (const int port : {caller_port, readiness_port, control_port, 7600}) {
            const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port));
            inet_pton(AF_INET, (network + "1").c_str(), &address.sin_addr);
            isFree = isFree
                && bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
            close(descriptor);
        }
        if (isFree)
            return network;
    }
    return {};
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::string temporaryFolder()
{
    const char *base = std::getenv("TMPDIR");
    std::string pattern = std::string(base && *base ? base : "/tmp") + "/ivypier-review-XXXXXX";
    const char *made = mkdtemp(pattern.data());
    return made ? std::string(made) : std::string();
}

int readStream(record_file &record, stream_client &client, const std::string &host, const std::string &id,
               bool resumes, int deadlineMs, double until)
{
    client.node = host;
    client.lastRequestId = id;
    client.status = 0;
    client.retryAfter.clear();
    const auto peer = connection::open(host, caller_port);
    if (!peer)
        return 0;
    std::string text = "POST " + client.path + " HTTP/1.1\r\nHost: " + host_name + "\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nKey: " + client_key
        + "\r\nModel: m\r\nToken-Usage: 400,200\r\nContent-Length: 4\r\n";
    if (resumes)
        text += "Last-Event-Id: " + std::to_string(client.events.back().first)
            + "\r\nResumes: " + client.requestId + "\r\n";
    record.add("client sends " + id + " to " + host
               + (resumes ? " to take up " + client.requestId + " after event "
                          + std::to_string(client.events.back().first)
                          : std::string()));
    http_message head;
    if (!peer->send(text + "\r\nbody") || !peer->readHead(head, until)) {
        record.add("client gets no answer to " + id);
        return 0;
    }
    client.status = head.status();
    client.retryAfter = head.field("Retry-After");
    if (client.status != 200) {
        record.add("client gets " + std::to_string(client.status) + " to " + id
                   + (client.retryAfter.empty() ? "" : ", Retry-After " + client.retryAfter));
        return 0;
    }
    int brought = 0;
    std::string buffered;
    std::string chunk;
    while (peer->readChunk(chunk, until)) {
        if (chunk.empty()) {
            client.isComplete = true;
            break;
        }
        buffered += chunk;
        std::size_t end = 0;
        while ((end = buffered.find("\n\n")) != std::string::npos) {
            const std::string event = buffered.substr(0, end);
            buffered.erase(0, end + 2);
            const std::size_t data = event.find("data: ");
            if (!event.starts_with("id: ") || data == std::string::npos)
                continue;
            if (client.events.empty())
                client.requestId = id;
            client.events.emplace_back(std::atoi(event.c_str() + 4), event.substr(data + 6));
            ++brought;
        }
    }
    client.isClosedByClient = !client.isComplete && secondsNow() >= until;
    record.add("client has " + std::to_string(brought) + " events of " + id
               + (brought > 0 ? ", the last: " + client.events.back().second : std::string())
               + (client.isComplete             ? ", complete"
                      : client.isClosedByClient ? ", closed by the client"
                                                : ", broken off"));
    return brought;
}

} // namespace review
