#pragma once

#include "net.h"

#include <json/value.h>
#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <optional>

namespace review {

/// What was sent, answered and run: lines of record.txt, with times.
class record_file
{
public:
    explicit record_file(const std::string &path);
    ~record_file();
    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

/// The platform: its store of rows and its interface for duties, as PROTOCOL.md describes them.
class platform
{
public:
    explicit platform(record_file &record);
    ~platform();

    bool start(const std::string &storeHost, const std::string &cloudHost, int port);
    /// Writes a row as the operator or a runner does. Its answer is the acknowledgement.
    void put(const std::string &table, const std::string &key, const std::string &value,
             bool isRecorded = true);
    void remove(const std::string &table, const std::string &key);

    /// One call of a duty, in the order of arrival.
    struct duty_call
    {
        double at = 0.0;
        std::string path;
        std::string holder;
        std::string peer; ///< the machine that called, if it has an address of its own for that
        std::uint64_t token = 0;
        std::string subject;
        std::string content;
        int status = 0;
    };
    std::vector<duty_call> dutyCalls();
    /// Row of the system's own lease, or an empty text.
    std::string valueOf(const std::string &table, const std::string &key);

    /// Opens an address of its own for the duty calls of one machine, so that the record tells who called.
    bool serveDutiesFor(const std::string &machine, const std::string &host, int port);
    bool isFenced = true; ///< `fencing-enforced`
    /// While the store is silent it answers nothing and does nothing; connections of that time are cut
    /// afterwards.
    void setSilent(bool silent);

private:
    struct row
    {
        std::uint64_t version = 0;
        std::string value; ///< base64
        bool isDeleted = false;
    };

    void answer(const http_message &request, connection &to);
    /// Waits while the store is silent. Returns whether the call fell into that time.
    bool waitWhileSilent();
    void answerDuty(const http_message &request, connection &to, const std::string &peer);
    void answerFeed(const http_message &request, connection &to);
    void answerWrite(const http_message &request, connection &to);
    Json::Value rowsOf(const std::string &table, const std::string &from, std::uint64_t after,
                       bool withDeleted, std::size_t limit) const;
    static void reply(connection &to, int status, const Json::Value &body);

    record_file &m_record;
    std::atomic<bool> m_silent = false;
    std::atomic<bool> m_stopping = false;
    http_server m_store;
    http_server m_cloud;
    std::vector<std::unique_ptr<http_server>> m_machineClouds;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, row> m_rows;
    std::uint64_t m_version = 0;
    std::vector<duty_call> m_dutyCalls;
    std::map<std::string, std::uint64_t> m_highestTokens;
};

/// A run at a runner.
struct run
{
    double at = 0.0;
    std::string runner;
    std::string version;
    std::string request;
    std::string lastEvent;
};

/// A runner: streams of numbered events, and plain answers. It registers itself in the store.
class runner
{
public:
    runner(record_file &record, platform &store, std::string id, std::string host, std::string zone,
           std::string service);
    ~runner();

    /// Starts a new incarnation with this version of its software and writes its row.
    bool start(const std::string &version);
    void drain();
    /// Ends the process: connections are closed. The row stays.
    void end();
    /// The runner has left; the platform removes its entry.
    void removeRow();
    /// Cuts the runner off from the store. After three heartbeat intervals of silence its entry is removed.
    void cutFromStore();
    void healCut();
    std::vector<run> runs();
    const std::string &id() const
    {
        return m_id;
    }

    /// Returns whether a request crashes each runner that begins to run it. The runner is back, under its id,
    /// after `restartSeconds`. May be empty.
    std::function<bool(const http_message &)> isCrashing;
    double restartSeconds = 2.0;
    /// Waits until a restart that is in progress has ended.
    void finishRestart();

    int eventCount = 50;
    double eventSeconds = 0.25;
    double plainSeconds = 0.02;

private:
    void answer(const http_message &request, connection &to);
    void answerStream(const http_message &request, connection &to);
    void crash();
    void writeRow(const std::string &state);
    bool isLeaving();
    void beat();

    record_file &m_record;
    platform &m_platform;
    std::string m_id;
    std::string m_host;
    std::string m_zone;
    std::string m_service;
    std::string m_version;
    std::int64_t m_born = 0;
    std::string m_state = "ready";
    std::uint64_t m_sequence = 0;
    bool m_isListed = false;
    bool m_isCut = false;
    double m_lastBeat = 0.0;
    std::mutex m_rowMutex;
    std::atomic<bool> m_alive = false;
    std::atomic<bool> m_over = false;
    std::thread m_beats;
    std::thread m_restart;
    std::mutex m_restartMutex;
    http_server m_server;
    std::mutex m_mutex;
    std::vector<run> m_runs;
};

/// A process of target/bin/ivypier-edge, as the deploy file runs it.
class edge_process
{
public:
    struct settings
    {
        std::string name;
        std::string host;
        std::string zone;
        std::vector<std::string> seedHosts;
        std::string storeHost;
        std::string cloudHost;
    };

    edge_process(record_file &record, std::string folder, settings content);
    ~edge_process();
    bool start();
    void signal(int number);
    /// Ends the process and waits for its end.
    void kill();
    bool isRunning();
    pid_t process() const
    {
        return m_process;
    }
    /// Waits for the end of the process after SIGTERM.
    bool waitForEnd(double seconds);
    bool isReady() const;
    const settings &content() const
    {
        return m_settings;
    }

private:
    record_file &m_record;
    std::string m_folder;
    settings m_settings;
    pid_t m_process = -1;
    int m_starts = 0;
};

/// Ports, the same on all machines.
inline constexpr int caller_port = 8221;
inline constexpr int readiness_port = 8224;
inline constexpr int directory_port = 8220;
inline constexpr int control_port = 8229;
inline constexpr int store_port = 8225;
inline constexpr int runner_port = 8080;

/// A free part of the loopback network, such as "127.92.17.".
std::string freeNetwork();
/// True unless TROUBLE=0.
bool hasTrouble();
/// Folder for settings and logs, in the folder for temporary files.
std::string temporaryFolder();
std::string encodeBase64(const std::string &bytes);
std::string decodeBase64(const std::string &text);

/// What a client has seen of a stream, over its tries.
struct stream_client
{
    std::string node; ///< host
    std::string path;
    std::string requestId; ///< of the try that brought the first event
    std::string lastRequestId;
    std::vector<std::pair<int, std::string>> events; ///< number and data
    int status = 0;
    std::string retryAfter;
    bool isComplete = false;
    bool isClosedByClient = false;
};

/// Sends a request for a stream and reads it until its end, until the connection ends, or until `until`.
/// `resumes` takes the stream up after its last event. Returns the number of events that this try brought.
int readStream(record_file &record, stream_client &client, const std::string &host, const std::string &id,
               bool resumes, int deadlineMs, double until);

} // namespace review
