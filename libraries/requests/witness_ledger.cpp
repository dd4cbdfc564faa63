#include "requests/witness_ledger.h"

namespace ivypier::requests {

bool witness_ledger::grant(const dispatch_intent &intent)
{
    entry &known = m_entries[intent.request];
    if (known.fenced)
        return false;
    const bool passed = intent.previous != 0 && known.holder == intent.previous;
    if (known.holder != 0 && known.holder != intent.holder && !passed)
        return false;
    known.holder = intent.holder;
    return true;
}

witness_verdict witness_ledger::ask(const std::string &request)
{
    entry &known = m_entries[request];
    if (known.answer)
        return {request_outcome::answered, known.answer};
    if (known.holder != 0)
        return {request_outcome::unknown, std::nullopt};
    known.fenced = true;
    return {request_outcome::not_run, std::nullopt};
}

void witness_ledger::keepAnswer(const std::string &request, const final_answer &answer)
{
    const auto found = m_entries.find(request);
    if (found != m_entries.end() && found->second.holder != 0)
        found->second.answer = answer;
}

std::size_t witness_ledger::size() const
{
    return m_entries.size();
}

} // namespace ivypier::requests
