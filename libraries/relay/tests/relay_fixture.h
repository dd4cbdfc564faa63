#pragma once

#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "fake_transport.h"
#include "relay/prefix_affinity_selector.h"
#include "relay/relay_service.h"

#include <algorithm>

namespace ivypier::relay::tests {

/// A minimal protocol whose answers state their class in the header field `Meaning`.
class plain_protocol final : public upstream_protocol
{
public:
    std::string encode(const call &request, const attempt &details) const override
    {
        std::string text = request.id + " to " + details.instance + " for " + details.account;
        if (details.lastEvent)
            text += " after " + std::to_string(*details.lastEvent);
        return text;
    }
    bool isAnswerTo(const call &, const http::response_head &) const override
    {
        return true;
    }
    answer_class classify(const http::response_head &head) const override
    {
        const std::string_view meaning = head.fields.find("Meaning");
        if (meaning == "not_run")
            return answer_class::not_run;
        if (meaning == "moved")
            return answer_class::other_instance;
        if (meaning == "unattributed")
            return answer_class::unattributed;
        if (meaning == "unsigned")
            return answer_class::unsigned_success;
        return head.status == 200 ? answer_class::served : answer_class::failed;
    }
    upstream_statement statement(const http::response_head &head) const override
    {
        upstream_statement result;
        result.isLeaving = head.fields.find("Leaving") == "yes";
        if (head.fields.count("Wait ms") > 0)
            result.wait = std::chrono::milliseconds(std::stoll(std::string(head.fields.find("Wait ms"))));
        if (head.fields.count("Limit") > 0)
            result.callsPerSecond = std::stod(std::string(head.fields.find("Limit")));
        return result;
    }
    http::field_list answerFields(const http::response_head &head) const override
    {
        return head.fields;
    }
};

/// Refuses permits to the upstreams in `refused`, and needs none for the others.
class fake_permits final : public call_permits
{
public:
    bool isNeeded(const std::string &upstream) const override
    {
        return refused.contains(upstream) || pending.contains(upstream);
    }
    std::optional<permit_decision> knownRefusal(const std::string &) override
    {
        return std::nullopt;
    }
    permit_request_id request(const std::string &upstream, const permit_request &details,
                              completion done) override
    {
        requests.emplace_back(upstream, details);
        if (const auto waiting = pending.find(upstream); waiting != pending.end())
            waiting->second = std::move(done);
        else
            done(refused.at(upstream));
        return requests.size();
    }
    void withdraw(permit_request_id id) override
    {
        withdrawn.push_back(requests.at(id - 1).first);
    }
    void recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond) override
    {
        answers.emplace_back(upstream, callsPerSecond);
    }

    std::map<std::string, permit_decision> refused;
    std::map<std::string, completion> pending; ///< upstreams whose requests the test completes
    std::vector<std::pair<std::string, std::optional<double>>> answers;
    std::vector<std::pair<std::string, permit_request>> requests;
    std::vector<std::string> withdrawn; ///< upstreams of withdrawn requests
};

/// Holds the records that the test or the relay made.
class fake_origins final : public stream_origins
{
public:
    void record(const stream_key &stream, const stream_origin &origin, duration lifetime) override
    {
        records[stream] = origin;
        lifetimes[stream] = lifetime;
    }
    void find(const stream_key &stream, completion done) override
    {
        const auto found = records.find(stream);
        if (isDelayed)
            pending = std::move(done);
        else
            done({.origin = found == records.end() ? std::nullopt : std::optional(found->second),
                  .isComplete = isComplete});
    }
    void storeDeviation(const stream_key &stream, duration, std::function<void()> onStored) override
    {
        deviations[stream] = std::move(onStored);
    }
    bool areDeviationsLate() const override
    {
        return deviationsAreLate;
    }

    std::map<stream_key, std::function<void()>> deviations; ///< that the test stores
    bool deviationsAreLate = false;
    std::map<stream_key, stream_origin> records;
    std::map<stream_key, duration> lifetimes;
    bool isComplete = true; ///< all keepers reply
    bool isDelayed = false; ///< the test completes `pending`
    completion pending;
};

/// Lets streams begin at all versions but those in `unlisted`.
class fake_versions final : public service_versions
{
public:
    bool mayBeginAt(const upstream_record &upstream) const override
    {
        return !unlisted.contains(upstream.softwareVersion);
    }
    std::optional<std::string> selectedVersion(const std::string &, const stream_key &) const override
    {
        return selected;
    }
    void findOnlyVersion(const std::string &, completion done) override
    {
        ++lookups;
        done(response);
    }

    std::set<std::string> unlisted;
    std::optional<std::string> selected; ///< by every key
    version_lookup response{std::nullopt, 2};
    int lookups = 0;
};

/// Decides as the test says, and keeps what was recorded.
class fake_quarantine final : public call_quarantine
{
public:
    quarantine_decision decide(const std::string &, const crash_key_list &keys) const override
    {
        for (const auto &[blamed, decision] : decisions) {
            if (std::includes(keys.begin(), keys.end(), blamed.begin(), blamed.end()))
                return decision;
        }
        return quarantine_decision::send;
    }
    bool hasEntries(const std::string &) const override
    {
        return !decisions.empty();
    }
    void requestTrial(const std::string &, const crash_key_list &, std::function<void(bool)> done) override
    {
        done(std::exchange(isTrialGranted, false));
    }
    bool watchesCalls(const std::string &) const override
    {
        return isWatchingCalls;
    }
    void recordEnd(const upstream_end &end) override
    {
        ends.push_back(end);
    }
    bool needsProof(const std::string &, const crash_key_list &) const override
    {
        return true;
    }
    void recordAnswer(const std::string &, const crash_key_list &keys, time_point,
                      answer_evidence evidence) override
    {
        answered.push_back(keys);
        lastEvidence = evidence;
    }
    void recordLeftAnswer(const std::string &, const crash_key_list &keys, const left_answer &answer) override
    {
        left.emplace_back(keys, answer);
    }

    std::map<crash_key_list, quarantine_decision> decisions;
    bool isWatchingCalls = false;
    bool isTrialGranted = false;
    std::vector<upstream_end> ends;
    std::vector<crash_key_list> answered;
    std::vector<std::pair<crash_key_list, left_answer>> left;
    answer_evidence lastEvidence = answer_evidence::whole;
};

/// Responds to a check at once, as a task of the scheduler.
class fake_reachability_check final : public reachability_check
{
public:
    explicit fake_reachability_check(scheduler &tasks)
        : m_tasks(tasks)
    {
    }
    void check(const endpoint &address, completion done) override
    {
        checked.push_back(address);
        m_tasks.post([this, address, done = std::move(done)] { done(results[address]); });
    }

    std::map<endpoint, result> results; ///< `accepted` for other addresses
    std::vector<endpoint> checked;

private:
    scheduler &m_tasks;
};

inline secret_key testFleetKey()
{
    return secret_key::fromPassphrase("a passphrase of one fleet").value();
}

/// Holds a relay with two upstreams `a` and `b` of the service `s`, in virtual time.
struct relay_fixture
{
    explicit relay_fixture(call_kind kind = call_kind::idempotent, std::uint32_t attempts = 2)
    {
        configureLog("tests", log_level::error);
        defaultRoute.name = "r";
        defaultRoute.host = "h";
        defaultRoute.prefix = "/p/";
        defaultRoute.kind = kind;
        defaultRoute.timeout = std::chrono::seconds(3);
        defaultRoute.targets = {{"s", 1}};
        defaultRoute.attempts = attempts;
        account = {"one", {"key"}, std::nullopt, 0.0, 0.0, false, 1.0};
        install(1);
        for (const char *id : {"a", "b"})
            upstreams.put(
                {id, "s", {"10.0.0.1", static_cast<std::uint16_t>(*id)}, "hall", 4, false, false, {}, "v1"});
    }

    void install(std::uint64_t version)
    {
        relay.setTable(std::make_shared<const route_table>(
            service_map{version, {defaultRoute}, {{"s", 64, std::nullopt, std::nullopt}}, {account}, {}}));
    }

    std::shared_ptr<received_response> startCall(std::string target = "/p/x", std::string key = "key")
    {
        call request;
        request.target = std::move(target);
        request.key = std::move(key);
        return start(std::move(request));
    }

    /// Starts a call that resumes a stream after an event.
    std::shared_ptr<received_response> resume(const std::string &resumedCall, std::uint64_t lastEvent,
                                              std::string key = "key")
    {
        call request;
        request.target = "/p/x";
        request.key = std::move(key);
        request.lastEvent = lastEvent;
        request.resumedCall = resumedCall;
        return start(std::move(request));
    }

    /// Starts a call with a new id and the time-out `callerTimeout`.
    std::shared_ptr<received_response> start(call request)
    {
        request.id = "id" + std::to_string(++callCount);
        request.method = "POST";
        request.host = "h";
        request.callerTimeout = callerTimeout;
        request.receivedAt = time.now();
        auto answer = std::make_shared<received_response>();
        relay.handle(std::move(request), std::make_shared<fake_reply>(answer));
        return answer;
    }

    /// Returns the exchange that was started last.
    fake_transport::fake_exchange &last()
    {
        return *transport.startedExchanges.back();
    }
    std::size_t startedExchanges() const
    {
        return transport.startedExchanges.size();
    }

    virtual_scheduler time;
    seeded_random randomness{7};
    metrics_registry metrics;
    fake_transport transport;
    plain_protocol protocol;
    upstream_directory upstreams{time};
    prefix_affinity_selector selector{time, randomness, upstreams, "hall", {}};
    retry_budget retries{time, {0.2, 10.0, std::chrono::seconds(10)}};
    unit_quota quota{time, randomness};
    run_counter runs{5000};
    work_meter work{time};
    upstream_speed speeds{time};
    fake_permits permits;
    fake_origins origins;
    fake_versions versions;
    answer_buffers buffers{std::size_t{8} * 1024 * 1024};
    fake_quarantine quarantine;
    fake_reachability_check reachability{time};
    upstream_end_detector ends{time, upstreams, reachability, quarantine};
    crash_key_deriver crashKeys{testFleetKey()};
    call_rollouts rollouts{time, randomness};
    duration callerTimeout = std::chrono::seconds(2);
    route defaultRoute;
    client_account account;
    relay_service relay{{time,
                         randomness,
                         metrics,
                         transport,
                         protocol,
                         upstreams,
                         selector,
                         retries,
                         quota,
                         runs,
                         work,
                         speeds,
                         permits,
                         origins,
                         versions,
                         buffers,
                         quarantine,
                         ends,
                         crashKeys,
                         [this] { return time.wallMilliseconds(); },
                         [](const service &) { return std::size_t{8}; },
                         &rollouts}};
    int callCount = 0;
};

inline std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

} // namespace ivypier::relay::tests
