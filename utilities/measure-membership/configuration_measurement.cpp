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

constexpr int samples = 40;
constexpr std::size_t services = 12;
constexpr std::size_t accounts = 60;

std::string documentOf(std::size_t upstreams)
{
    std::string text = "[deployment]\nname = \"measurement\"\n";
    for (std::size_t index = 0; index < services; ++index)
        text += "\n[[services]]\nname = \"service-" + std::to_string(index)
            + "\"\nkind = \"plain\"\nanswer_ms = 300\nbudget_per_hour = 5.0\n";
    for (std::size_t index = 0; index < accounts; ++index)
        text += "\n[[client_accounts]]\nname = \"account-" + std::to_string(index) + "\"\nkey_sha256 = \""
            + sha256Hex("account-" + std::to_string(index))
            + "\"\nrequests_per_second = 10.0\nconcurrent_requests = 5\n" + "services = [\"service-0\"]\n";
    for (std::size_t index = 0; index < upstreams; ++index)
        text += "\n[[upstreams]]\nname = \"runner-" + std::to_string(index) + "\"\nservice = \"service-"
            + std::to_string(index % services) + "\"\naddress = \"10." + std::to_string(index / 250) + ".0."
            + std::to_string(index % 250 + 1) + ":9200\"\nfailure_domain = \"domain-"
            + std::to_string(index % 21) + "\"\nprice_per_hour = 0.25\n";
    return text;
}

/// Changes one upstream's price, a digit for a digit.
std::string changed(std::string text, std::size_t upstream, int sample)
{
    const std::size_t entry = text.find("\"runner-" + std::to_string(upstream) + '"');
    const std::size_t price = text.find("0.25", entry);
    text.replace(price, 4, "0." + std::to_string(30 + sample));
    return text;
}

} // namespace

bool measureConfiguration(std::size_t upstreams)
{
    const std::string text = documentOf(upstreams);
    const document_objects before = splitDocument(text);
    double bytes = 0.0;
    double objects = 0.0;
    double levels = 0.0;
    double applying = 0.0;
    double parsing = 0.0;
    for (int sample = 0; sample < samples; ++sample) {
        const std::string next
            = changed(text, static_cast<std::size_t>(sample) * upstreams / samples, sample);
        const document_objects after = splitDocument(next);
        object_map held = before.objects;
        double begin = processorSeconds();
        while (true) { // as a follower fetches: level by level
            const std::vector<std::string> missing = missingObjects(after.root, held);
            if (missing.empty())
                break;
            ++levels;
            for (const std::string &each : missing) {
                held[each] = after.objects.at(each);
                bytes += static_cast<double>(held[each].size());
                ++objects;
            }
        }
        const outcome<std::string> whole = assembleDocument(after.root, held);
        applying += processorSeconds() - begin;
        begin = processorSeconds();
        const parsed_document parsed = parseDocument(whole.value());
        parsing += processorSeconds() - begin;
        if (const auto *faults = std::get_if<std::vector<settings_error>>(&parsed)) {
            std::cerr << describe(faults->front(), "the measured document") << '\n';
            return false;
        }
    }
    figure_line("configuration")
        .with("upstreams", static_cast<double>(upstreams))
        .with("body_bytes", static_cast<double>(text.size()))
        .with("objects", static_cast<double>(before.objects.size()))
        .with("change_bytes", bytes / samples)
        .with("change_objects", objects / samples)
        .with("change_round_trips", levels / samples)
        .with("assemble_processor_seconds", applying / samples)
        .with("parse_processor_seconds", parsing / samples);
    return true;
}

} // namespace ivypier::measurement
