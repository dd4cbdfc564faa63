#pragma once

#include "wire.h"

#include <jsoncpp/json/json.h>

#include <condition_variable>

namespace trial {

inline std::string encodeBase64(const std::string &text)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t each = 0; each < 3; ++each)
            bits = bits << 8 | (at + each < text.size() ? static_cast<unsigned char>(text[at + each]) : 0U);
        for (std::size_t each = 0; each < 4; ++each)
            result += at + each > text.size() ? '=' : digits[bits >> (18 - 6 * each) & 63U];
    }
    return result;
}

inline std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

/// The store and the cloud of the users' pages, on one address.
class platform
{
public:
    explicit platform(const std::string &at)
        : m_server(at, [this](connection &from) { serve(from); })
    {
    }

    bool isOpen() const
    {
        return m_server.isOpen();
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, "", key}] = {++m_version, encodeBase64(value), false};
        m_changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, "", key}] = {++m_version, "", true};
        m_changed.notify_all();
    }

    /// While the store is silent, it takes calls and answers none.
    void setSilent(bool isSilent)
    {
        const std::lock_guard lock(m_mutex);
        m_isSilent = isSilent;
        m_changed.notify_all();
    }

    bool isSilent() const
    {
        return m_isSilent;
    }

private:
    static constexpr std::int64_t answer_ms = 4;

    using row_key = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::uint64_t version = 0;
        std::string value;
        bool isRemoved = false;
    };

    static std::map<std::string, std::string> parametersOf(const std::string &target)
    {
        std::map<std::string, std::string> result;
        std::size_t at = target.find('?');
        while (at != std::string::npos && at + 1 < target.size()) {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const std::size_t equals = pair.find('=');
            std::string value;
            for (std::size_t each = equals + 1; equals != std::string::npos && each < pair.size(); ++each) {
                if (pair[each] == '%' && each + 2 < pair.size()) {
                    value += static_cast<char>(std::strtol(pair.substr(each + 1, 2).c_str(), nullptr, 16));
                    each += 2;
                } else {
                    value += pair[each];
                }
            }
            result[pair.substr(0, equals)] = value;
            at = end;
        }
        return result;
    }

    void serve(connection &from)
    {
        message request;
        while (readRequest(from, request)) {
            auto [status, body] = answer(from, request);
            if (status == 0)
                return;
            body["now-ms"] = Json::Int64{nowMs()};
            const std::string text = writeJson(body);
            if (!from.write("HTTP/1.1 " + std::to_string(status)
                            + " X\r\nContent-Type: application/json\r\nContent-Length: "
                            + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
            request = {};
        }
    }

    /// Waits while the store is silent. Returns false if the caller must not get an answer any more.
    bool waitForStore(connection &from, std::unique_lock<std::mutex> &lock)
    {
        if (!m_isSilent)
            return true;
        while (m_isSilent && !m_server.isStopped())
            m_changed.wait_for(lock, std::chrono::milliseconds(50));
        from.shutDown(); // what came while the store was away is not answered, and was not done
        return false;
    }

    std::pair<int, Json::Value> answer(connection &from, const message &request)
    {
        sleepMs(answer_ms);
        std::unique_lock lock(m_mutex);
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        if (path == "/usage" || path == "/scale")
            return answerDuty(path, request);
        if (!waitForStore(from, lock))
            return {0, {}};
        std::map<std::string, std::string> parameters = parametersOf(target);
        if (path == "/api/rows-get")
            return {200, rowsOf(parameters)};
        if (path == "/api/rows-feed")
            return answerFeed(from, lock, parameters);
        if (path == "/api/rows-tx")
            return answerWrite(request.body);
        return {404, Json::Value(Json::objectValue)};
    }

    static Json::Value encode(const row_key &key, const row &each)
    {
        Json::Value json(Json::objectValue);
        json["table"] = std::get<0>(key);
        json["part"] = std::get<1>(key);
        json["key"] = std::get<2>(key);
        json["ver"] = Json::UInt64{each.version};
        if (each.isRemoved)
            json["deleted"] = true;
        else
            json["value"] = each.value;
        return json;
    }

    Json::Value rowsOf(std::map<std::string, std::string> &parameters) const
    {
        Json::Value body(Json::objectValue);
        body["rows"] = Json::Value(Json::arrayValue);
        body["ver"] = Json::UInt64{m_version};
        body["has-more"] = false;
        const std::string limitText = parameters["limit"];
        const Json::ArrayIndex limit = limitText.empty() ? 500 : std::stoul(limitText);
        for (const auto &[key, each] : m_rows) {
            const auto &[table, part, name] = key;
            if (table != parameters["table"] || part != parameters["part"] || name < parameters["from"]
                || (!parameters["target"].empty() && name >= parameters["target"]) || each.isRemoved)
                continue;
            if (body["rows"].size() >= limit) {
                body["has-more"] = true;
                break;
            }
            body["rows"].append(encode(key, each));
        }
        return body;
    }

    std::pair<int, Json::Value> answerFeed(connection &from, std::unique_lock<std::mutex> &lock,
                                           std::map<std::string, std::string> &parameters)
    {
        const std::uint64_t after = std::strtoull(parameters["after"].c_str(), nullptr, 10);
        const std::int64_t until = nowMs() + std::atoll(parameters["wait-ms"].c_str());
        if (after > m_version)
            return {410, Json::Value(Json::objectValue)};
        while (true) {
            if (m_isSilent && !waitForStore(from, lock))
                return {0, {}};
            std::map<std::uint64_t, Json::Value> changed;
            for (const auto &[key, each] : m_rows) {
                if (std::get<0>(key) == parameters["table"] && each.version > after)
                    changed[each.version] = encode(key, each);
            }
            if (!changed.empty() || nowMs() >= until || m_server.isStopped()) {
                Json::Value body(Json::objectValue);
                body["rows"] = Json::Value(Json::arrayValue);
                for (const auto &[version, each] : changed)
                    body["rows"].append(each);
                body["ver"] = Json::UInt64{m_version};
                return {200, body};
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(50));
        }
    }

    static row_key keyOf(const Json::Value &json)
    {
        return {json["table"].asString(), json["part"].asString(), json["key"].asString()};
    }

    std::pair<int, Json::Value> answerWrite(const std::string &text)
    {
        Json::Value body;
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        if (!reader->parse(text.data(), text.data() + text.size(), &body, nullptr))
            return {400, Json::Value(Json::objectValue)};
        Json::Value result(Json::objectValue);
        for (const Json::Value &each : body["expected-revision"]) {
            const auto found = m_rows.find(keyOf(each));
            const std::uint64_t version
                = found == m_rows.end() || found->second.isRemoved ? 0 : found->second.version;
            if (version != each["ver"].asUInt64()) {
                result["rows"] = Json::Value(Json::arrayValue);
                if (version != 0)
                    result["rows"].append(encode(found->first, found->second));
                result["ver"] = Json::UInt64{m_version};
                return {412, result};
            }
        }
        for (const char *table : {"put", "remove"}) {
            for (const Json::Value &each : body[table]) {
                if (each["table"] == "op" || each["table"] == "servers")
                    return {403, result};
            }
        }
        ++m_version;
        for (const Json::Value &each : body["put"])
            m_rows[keyOf(each)] = {m_version, each["value"].asString(), false};
        for (const Json::Value &each : body["remove"])
            m_rows[keyOf(each)] = {m_version, "", true};
        m_changed.notify_all();
        result["ver"] = Json::UInt64{m_version};
        return {200, result};
    }

    std::pair<int, Json::Value> answerDuty(const std::string &path, const message &request)
    {
        const std::uint64_t fence = std::strtoull(request.field("fencing-token").c_str(), nullptr, 10);
        std::uint64_t &highest = m_fences[path];
        if (fence < highest)
            return {409, Json::Value(Json::objectValue)};
        highest = fence;
        return {200, Json::Value(Json::objectValue)};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<row_key, row> m_rows;
    std::map<std::string, std::uint64_t> m_fences;
    std::uint64_t m_version = 0;
    std::atomic<bool> m_isSilent{false};
    server m_server; ///< last: it calls the others
};

} // namespace trial
