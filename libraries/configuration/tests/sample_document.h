#pragma once

#include <string>

namespace ivypier::configuration {

/// Returns a valid document with this budget and number of upstreams, which distinguish one from another.
inline std::string sampleDocument(int budget, std::size_t upstreams = 0)
{
    std::string text = "# Operators' remarks stay as they are.\n[deployment]\nname = \"scenario\"\n\n"
                       "[[services]]\nname = \"rates\"\nkind = \"plain\"\nanswer_ms = 300\nbudget_per_hour = "
        + std::to_string(budget)
        + ".0\n[[services.classes]]\nname = \"counter\"\nworth = 2.0\n\n"
          "[[client_accounts]]\nname = \"kumasi\"\nkey_sha256 = \""
        + std::string(64, 'a')
        + "\"\nrequests_per_second = 10.0\nconcurrent_requests = 5\nservices = [\"rates\"]\n";
    for (std::size_t index = 0; index < upstreams; ++index) {
        text += "\n[[upstreams]]\nname = \"rates-" + std::to_string(index)
            + "\"\nservice = \"rates\"\naddress = \"10." + std::to_string(index / 250) + ".0."
            + std::to_string(index % 250 + 1) + ":9200\"\nfailure_domain = \"osu-hall\"\n";
    }
    return text;
}

} // namespace ivypier::configuration
