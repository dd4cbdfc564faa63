#include "simulated_caller.h"

#include "base/json.h"
#include "base/status_codes.h"
#include "gateway/request_reader.h"

#include <sstream>

namespace ivypier::simulation {

namespace {

constexpr duration retry_interval = std::chrono::milliseconds(2500);
constexpr unsigned max_retry_rounds = 12;

/// One connection of a caller. The response is delivered when the node finishes it; if the node dies before,
/// nothing is delivered.
class caller_connection final : public http::responder
{
public:
    explicit caller_connection(std::shared_ptr<simulated_caller> caller)
        : m_caller(std::move(caller))
    {
    }

    void respond(http::response answer) override
    {
        m_caller->handleResponse(answer.status, answer.headers, answer.body);
    }

    void begin(int status, http::header_map headers) override
    {
        m_status = status;
        m_headers = std::move(headers);
    }

    void write(std::string data) override
    {
        m_body += data;
    }

    void finish() override
    {
        m_caller->handleResponse(m_status, m_headers, m_body);
    }

    bool isOpen() const override
    {
        return true;
    }

    void onClosed(std::function<void()>) override
    {
    }

private:
    std::shared_ptr<simulated_caller> m_caller;
    int m_status = 0;
    http::header_map m_headers;
    std::string m_body;
};

} // namespace

simulated_caller::simulated_caller(simulated_fleet &fleet, request_spec spec)
    : m_fleet(fleet)
    , m_spec(std::move(spec))
{
}

void simulated_caller::start()
{
    const entry::lookup_result entry = m_fleet.nodes[pickAvailableNode()]->entries.lookUp(
        "kumasi", m_spec.conversation, m_fleet.random.next());
    if (entry.addresses.empty())
        return;
    m_id = entry.addresses.front().ticketPrefix + '.' + m_spec.callerPart;
    send(entry.addresses.front().address, makeRequest());
    scheduleRetry(1);
    if (!m_spec.sendsDuplicates)
        return;
    m_fleet.time.after(fromSeconds(m_fleet.random.uniform() * 3.0), [self = shared_from_this()] {
        for (std::size_t node = 0; node < simulated_fleet::node_count; ++node)
            self->sendTo(node);
    });
}

const request_spec &simulated_caller::spec() const
{
    return m_spec;
}

const std::vector<reported_outcome> &simulated_caller::reported() const
{
    return m_reported;
}

const std::string &simulated_caller::violation() const
{
    return m_violation;
}

bool simulated_caller::isDone() const
{
    return m_done;
}

std::size_t simulated_caller::pickAvailableNode()
{
    std::size_t node = m_fleet.random.index(simulated_fleet::node_count);
    for (std::size_t tries = 0; tries < simulated_fleet::node_count; ++tries) {
        const auto &process = m_fleet.nodes[node]->process;
        const bool leaving = m_fleet.histories[node].leftAt.has_value();
        if (process.isAlive() && !process.isFrozen() && !leaving)
            break;
        node = (node + 1) % simulated_fleet::node_count;
    }
    return node;
}

http::request simulated_caller::makeRequest() const
{
    http::request result{.method = "POST"};
    result.headers["Authorization"] = "Bearer key";
    result.headers["Ivypier-Request"] = m_id;
    result.headers["Ivypier-Repeatable"] = m_spec.repeatable ? "true" : "false";
    if (!m_spec.conversation.empty())
        result.headers["Ivypier-Conversation"] = m_spec.conversation;
    if (m_spec.plain) {
        result.path = "/v1/services/rates/quote";
        result.body = "body of " + m_spec.callerPart;
        return result;
    }
    Json::Value json(Json::objectValue);
    json["model"] = "tariff";
    json["stream"] = m_spec.streamed;
    json["messages"][0]["role"] = "user";
    json["messages"][0]["content"] = m_spec.callerPart;
    result.path = "/v1/chat/completions";
    result.body = writeJson(json);
    return result;
}

std::string simulated_caller::expectedAnswer() const
{
    const configuration::document &document = m_fleet.configuration.current()->content;
    const auto parsed = gateway::parseRequest(document, document.clientAccounts.front(), makeRequest());
    std::string text;
    for (const std::string &each : simulated_upstreams::generateTokens(parsed.value().request.body))
        text += each;
    return text;
}

void simulated_caller::sendTo(std::size_t node)
{
    http::request retry = makeRequest();
    if (!m_chunks.empty())
        retry.headers["Last-Event-ID"] = std::to_string(m_chunks.rbegin()->first);
    send(m_fleet.histories[node].member.address, std::move(retry));
}

void simulated_caller::fetchAnswer(const endpoint &address)
{
    http::request get{.path = "/v1/requests/" + m_id};
    get.headers["Authorization"] = "Bearer key";
    if (m_spec.streamed)
        get.headers["Accept"] = "text/event-stream";
    if (!m_chunks.empty())
        get.headers["Last-Event-ID"] = std::to_string(m_chunks.rbegin()->first);
    send(address, std::move(get));
}

void simulated_caller::send(const endpoint &address, http::request message)
{
    m_fleet.network.send([self = shared_from_this(), address, message = std::move(message)] {
        simulated_node *node = self->m_fleet.nodeAt(address);
        if (!node)
            return;
        node->process.post([self, node, message] {
            node->callerApi.handle(message, std::make_shared<caller_connection>(self));
        });
    });
}

void simulated_caller::scheduleRetry(unsigned round)
{
    m_fleet.time.after(retry_interval, [self = shared_from_this(), round] {
        if (self->m_done || round >= max_retry_rounds)
            return;
        const std::size_t node = self->pickAvailableNode();
        const bool resend = std::exchange(self->m_requestUnknown, false) || round % 3 == 0;
        if (resend)
            self->sendTo(node);
        else
            self->fetchAnswer(self->m_fleet.histories[node].member.address);
        self->scheduleRetry(round + 1);
    });
}

void simulated_caller::handleResponse(int status, const http::header_map &headers, const std::string &body)
{
    const auto requestIdHeader = headers.find(std::string_view("Ivypier-Request"));
    if (requestIdHeader != headers.end())
        m_id = requestIdHeader->second;
    const auto type = headers.find(std::string_view("Content-Type"));
    if (status == status_see_other) {
        const std::string location = headers.find(std::string_view("Location"))->second;
        const std::string host = location.substr(2, location.find('/', 2) - 2);
        fetchAnswer(endpoint::parse(host).value());
    } else if (type != headers.end() && type->second == "text/event-stream") {
        parseEvents(body);
    } else if (status == status_not_found) {
        m_requestUnknown = true;
    } else {
        handleFullResponse(status, headers, body);
    }
}

void simulated_caller::parseEvents(const std::string &body)
{
    std::istringstream lines(body);
    std::string line;
    std::string event;
    std::string id;
    while (std::getline(lines, line)) {
        if (line.empty()) {
            event.clear();
            id.clear();
        } else if (line.starts_with("event: ")) {
            event = line.substr(7);
        } else if (line.starts_with("id: ")) {
            id = line.substr(4);
        } else if (line.starts_with("data: {")) {
            const Json::Value json = parseJson(line.substr(6)).value();
            if (!id.empty()) {
                const std::string text = json["choices"][0]["delta"]["content"].asString();
                const auto [position, added] = m_chunks.emplace(std::stoull(id), text);
                if (!added && position->second != text)
                    m_violation = "piece " + id + " was received with two different texts";
            } else if (event == "moved") {
                const std::string location = json["location"].asString();
                fetchAnswer(endpoint::parse(location.substr(2, location.find('/', 2) - 2)).value());
            } else if (event == "outcome") {
                recordOutcome(stringMember(json, "outcome"), stringMember(json, "cause"));
                std::string text;
                for (const auto &[index, chunk] : m_chunks)
                    text += chunk;
                checkAnswer(text, stringMember(json, "outcome") == "answered");
            }
        }
    }
}

void simulated_caller::handleFullResponse(int status, const http::header_map &headers,
                                          const std::string &body)
{
    const auto outcome = headers.find(std::string_view("Ivypier-Outcome"));
    const auto json = parseJson(body);
    if (outcome == headers.end() || outcome->second != "answered" || status != 200) {
        const Json::Value &read = json ? json.value() : Json::Value::nullSingleton();
        recordOutcome(outcome == headers.end() ? stringMember(read, "outcome") : outcome->second,
                      stringMember(read, "cause"));
        return;
    }
    recordOutcome("answered", "");
    if (!m_spec.plain) {
        checkAnswer(json ? json.value()["choices"][0]["message"]["content"].asString() : body, true);
        return;
    }
    const std::string expectedSuffix = "." + m_spec.callerPart + " body of " + m_spec.callerPart;
    if (!body.starts_with("kumasi/") || !body.ends_with(expectedSuffix))
        m_violation = "plain answer of another request: " + body;
}

void simulated_caller::checkAnswer(const std::string &answer, bool complete)
{
    const std::string expectedText = expectedAnswer();
    if (complete ? answer != expectedText : !expectedText.starts_with(answer))
        m_violation = "wrong text: " + answer + ", expected " + expectedText;
}

void simulated_caller::recordOutcome(const std::string &outcome, const std::string &cause)
{
    const auto ticket = entry::ticket::parse(m_id, m_fleet.key);
    m_reported.push_back({ticket.value().key(), outcome, cause, m_fleet.time.now()});
    m_done = true;
}

} // namespace ivypier::simulation
