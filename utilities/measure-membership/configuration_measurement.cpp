#include "measurement.h"

#include "base/secret.h"

#include "configuration/document.h"
#include "configuration/section_tree.h"

#include <algorithm>
#include <vector>

#include <iostream>

namespace ivypier::measurement {

namespace {

using namespace configuration;

constexpr int sample_count = 40;
constexpr std::size_t service_count = 12;
constexpr std::size_t account_count = 60;

std::string makeDocument(std::size_t upstreams)
{
    std::string text = "[deployment]\nname = \"measurement\"\n";
    for (std::size_t index = 0; index < service_count; ++index)
        text += "\n[[services]]\nname = \"service-" + std::to_string(index)
            + "\"\nkind = \"plain\"\nanswer_ms = 300\nbudget_per_hour = 5.0\n";
    for (std::size_t index = 0; index < account_count; ++index)
        text += "\n[[client_accounts]]\nname = \"account-" + std::to_string(index) + "\"\nkey_sha256 = \""
            + sha256Hex("account-" + std::to_string(index))
            + "\"\nrequests_per_second = 10.0\nconcurrent_requests = 5\n" + "services = [\"service-0\"]\n";
    for (std::size_t index = 0; index < upstreams; ++index)
        text += "\n[[upstreams]]\nname = \"runner-" + std::to_string(index) + "\"\nservice = \"service-"
            + std::to_string(index % service_count) + "\"\naddress = \"10." + std::to_string(index / 250)
            + ".0." + std::to_string(index % 250 + 1) + ":9200\"\nfailure_domain = \"domain-"
            + std::to_string(index % 21) + "\"\nprice_per_hour = 0.25\n";
    return text;
}

/// Changes one upstream's price without changing the document's length.
std::string changePrice(std::string text, std::size_t upstream, int sample)
{
    const std::size_t entry = text.find("\"runner-" + std::to_string(upstream) + '"');
    const std::size_t price = text.find("0.25", entry);
    text.replace(price, 4, "0." + std::to_string(30 + sample));
    return text;
}

} // namespace

bool measureConfiguration(std::size_t upstreams)
{
    const std::string text = makeDocument(upstreams);
    const document_objects before = splitDocument(text);
    double bytes = 0.0;
    double objects = 0.0;
    double roundTrips = 0.0;
    double assembleSeconds = 0.0;
    double parseSeconds = 0.0;
    for (int sample = 0; sample < sample_count; ++sample) {
        const std::string next
            = changePrice(text, static_cast<std::size_t>(sample) * upstreams / sample_count, sample);
        const document_objects after = splitDocument(next);
        object_map fetched = before.objects;
        double begin = cpuSeconds();
        while (true) { // a follower fetches missing objects one tree level at a time
            const std::vector<std::string> missing = missingObjects(after.root, fetched);
            if (missing.empty())
                break;
            ++roundTrips;
            for (const std::string &each : missing) {
                fetched[each] = after.objects.at(each);
                bytes += static_cast<double>(fetched[each].size());
                ++objects;
            }
        }
        const outcome<std::string> assembled = assembleDocument(after.root, fetched);
        assembleSeconds += cpuSeconds() - begin;
        begin = cpuSeconds();
        const parsed_document parsed = parseDocument(assembled.value());
        parseSeconds += cpuSeconds() - begin;
        if (const auto *faults = std::get_if<std::vector<settings_error>>(&parsed)) {
            std::cerr << describe(faults->front(), "the measured document") << '\n';
            return false;
        }
    }
    result_line("configuration")
        .with("upstreams", static_cast<double>(upstreams))
        .with("body_bytes", static_cast<double>(text.size()))
        .with("objects", static_cast<double>(before.objects.size()))
        .with("change_bytes", bytes / sample_count)
        .with("change_objects", objects / sample_count)
        .with("change_round_trips", roundTrips / sample_count)
        .with("assemble_processor_seconds", assembleSeconds / sample_count)
        .with("parse_processor_seconds", parseSeconds / sample_count);
    return true;
}

} // namespace ivypier::measurement
