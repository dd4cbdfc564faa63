#include "relay/call_suspicion.h"

namespace ivypier::relay {

call_suspicion::call_suspicion(call_environment &environment, const call &request, std::string account,
                               std::string service)
    : m_environment(environment)
    , m_call(request)
    , m_account(std::move(account))
    , m_service(std::move(service))
{
}

crash_key call_suspicion::callKey() const
{
    return m_environment.crashKeys.callKeyOf(m_call, m_account);
}

const crash_key_list &call_suspicion::keys()
{
    if (!m_keys) {
        m_keys = m_environment.crashKeys.keysOf(m_call, m_service);
        m_keys->push_back(callKey()); // the keys of calls are greater than those of parts
    }
    return *m_keys;
}

crash_suspect call_suspicion::suspect(duration progress)
{
    return {m_environment.crashKeys.identityOf(m_call, m_account), keys(), progress};
}

quarantine_decision call_suspicion::decide()
{
    const call_quarantine &quarantine = m_environment.quarantine;
    return quarantine.hasEntries(m_service) ? quarantine.decide(m_service, keys())
                                            : quarantine_decision::send;
}

bool call_suspicion::isRefused()
{
    return decide() == quarantine_decision::refuse;
}

bool call_suspicion::isSuspected()
{
    return decide() != quarantine_decision::send;
}

void call_suspicion::requestTrial(std::function<void(bool)> done)
{
    m_environment.quarantine.requestTrial(m_service, keys(), std::move(done));
}

void call_suspicion::recordBroken(const std::string &upstream, std::optional<time_point> beganAt)
{
    const duration progress = beganAt ? m_environment.tasks.now() - *beganAt : duration::zero();
    const bool isSuspect = progress < max_crash_progress;
    m_environment.ends.recordBrokenCall(upstream,
                                        isSuspect ? std::optional(suspect(progress)) : std::nullopt);
}

void call_suspicion::recordAnswer(const std::string &upstream, time_point beganAt, bool endsWithConnection)
{
    call_quarantine &quarantine = m_environment.quarantine;
    const crash_key_list answered
        = quarantine.watchesCalls(m_service) ? keys() : m_environment.crashKeys.keysOf(m_call, m_service);
    if (endsWithConnection && quarantine.needsProof(m_service, answered))
        m_environment.ends.recordClosedAnswer(upstream, suspect(m_environment.tasks.now() - beganAt),
                                              beganAt);
    else
        quarantine.recordAnswer(m_service, answered, beganAt, answer_evidence::whole);
}

void call_suspicion::recordSurvival(time_point beganAt)
{
    m_environment.quarantine.recordAnswer(m_service, keys(), beganAt, answer_evidence::survived);
}

void call_suspicion::recordLeft(time_point beganAt, duration lasted)
{
    m_environment.quarantine.recordLeftAnswer(
        m_service, m_environment.crashKeys.keysOf(m_call, m_service),
        {m_environment.crashKeys.identityOf(m_call, m_account), beganAt, lasted});
}

} // namespace ivypier::relay
