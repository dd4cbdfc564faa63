// The rows of rollout_controller: the record from which the next holder goes on, and the status.

#include "base/log_event.h"
#include "delivery/rollout_controller.h"

#include <algorithm>
#include <utility>

namespace ivypier::delivery {

namespace {

std::string recordKey(const std::string &service)
{
    return "rollout/" + service;
}

void logFailure(std::string_view event, const std::string &service, const error &failure)
{
    log_event(log_level::info, event).with("service", service).with("reason", failure.message).write();
}

} // namespace

rollout_record rollout_controller::recordOf(const rollout &current) const
{
    rollout_record result;
    result.orderVersion = current.order.rowVersion;
    result.targetVersion = current.order.targetVersion;
    result.state = current.state;
    result.share = current.share;
    result.elapsed = milliseconds(m_tasks.now() - current.startedAt);
    result.writtenAt = m_tasks.wallMilliseconds();
    result.tenure = m_tenure.value_or(0);
    result.sequence = current.sequence;
    result.statusVersion = current.startedStatusVersion;
    result.reason = current.reason;
    return result;
}

void rollout_controller::updateRecord(rollout &current)
{
    const time_point now = m_tasks.now();
    if (current.isRecordBusy || now < current.nextRecordCall)
        return;
    if (!current.isRecordKnown) {
        readRecord(current);
        return;
    }
    if (current.record) {
        const rollout_record next = recordOf(current);
        const rollout_record &last = *current.record;
        const bool isEnded = current.state != rollout_state::in_progress;
        const bool isSame = last.state == next.state && last.tenure == next.tenure
            && last.statusVersion == next.statusVersion && last.share == next.share;
        if (isSame && (isEnded || next.elapsed - last.elapsed < milliseconds(record_interval)))
            return;
    }
    writeRecord(current);
}

void rollout_controller::readRecord(rollout &current)
{
    current.isRecordBusy = true;
    current.nextRecordCall = m_tasks.now() + retry_interval;
    m_table.read(recordKey(current.order.service),
                 [this, service = current.order.service, order = current.order.rowVersion,
                  tenure = *m_tenure](const outcome<std::optional<cloud::table_row>> &read) {
                     rollout *const found = find(service, order, tenure);
                     if (found == nullptr)
                         return;
                     found->isRecordBusy = false;
                     if (read)
                         takeRecord(*found, read.value());
                     else
                         logFailure("rollout.read_failed", service, read.error());
                 });
}

void rollout_controller::takeRecord(rollout &current, const std::optional<cloud::table_row> &row)
{
    current.isRecordKnown = true;
    current.recordVersion = row ? row->version : 0;
    const outcome<rollout_record> decoded
        = row ? rollout_record::decode(row->value) : outcome<rollout_record>(rollout_record());
    if (!decoded)
        logFailure("rollout.unreadable", current.order.service, decoded.error());
    const rollout_record record = decoded ? decoded.value() : rollout_record();
    if (record.tenure > *m_tenure) {
        m_isSuperseded = true;
        return;
    }
    if (std::exchange(current.isRecordTaken, true))
        return;
#ifdef IVYPIER_MUTANT_ROLLOUT_RESTART
    return;
#endif
    if (record.orderVersion != current.order.rowVersion)
        return;
    // Clocks of two nodes may differ, so the time that the record states itself is a lower bound, and what
    // the clocks state counts only if it is later and within the rollout.
    const duration elapsed = std::chrono::milliseconds(record.elapsed);
    const duration byClock
        = elapsed + std::chrono::milliseconds(m_tasks.wallMilliseconds() - record.writtenAt);
    const bool isClockUsed = byClock > elapsed && byClock < current.order.length;
    current.startedAt = std::min(current.startedAt, m_tasks.now() - (isClockUsed ? byClock : elapsed));
    current.startedStatusVersion = record.statusVersion;
    if (current.state != rollout_state::in_progress)
        return;
    current.share = record.share;
    current.shareSince = m_tasks.now();
    current.reason = record.reason;
    if (record.state != rollout_state::in_progress)
        setEnded(current, record.state, record.reason);
}

void rollout_controller::writeRecord(rollout &current)
{
    current.isRecordBusy = true;
    current.nextRecordCall = m_tasks.now() + retry_interval;
    const rollout_record next = recordOf(current);
    m_table.write(recordKey(current.order.service), current.recordVersion, next.encode(),
                  [this, next, service = current.order.service, order = current.order.rowVersion,
                   tenure = *m_tenure](const outcome<cloud::table_row> &written) {
                      rollout *const found = find(service, order, tenure);
                      if (found == nullptr)
                          return;
                      found->isRecordBusy = false;
                      if (written) {
                          found->record = next;
                          found->recordVersion = written.value().version;
                          return;
                      }
                      // It may have taken effect, so the row is read before it is written again.
                      found->isRecordKnown = false;
                      logFailure("rollout.write_failed", service, written.error());
                  });
}

void rollout_controller::updateStatus(rollout &current)
{
    const rollout_state wanted = current.isCompleting ? rollout_state::completed : current.state;
    const rollout_status_row row{wanted, current.order.targetVersion, 0};
    const bool isWritten = current.status && current.status->state == row.state
        && current.status->targetVersion == row.targetVersion
        && (current.startedStatusVersion != 0 || wanted != rollout_state::in_progress);
    if (isWritten && current.isCompleting)
        setEnded(current, rollout_state::completed, current.reason);
    if (isWritten || current.isStatusBusy || m_tasks.now() < current.nextStatusCall)
        return;
    // The next holder recognizes the completion by the version that the record names.
    const bool isRecordDue = wanted == rollout_state::completed && current.startedStatusVersion != 0
        && (!current.record || current.record->statusVersion != current.startedStatusVersion);
    if (isRecordDue)
        return;
    if (!current.isStatusKnown)
        readStatus(current);
    else
        writeStatus(current, row);
}

void rollout_controller::readStatus(rollout &current)
{
    current.isStatusBusy = true;
    current.nextStatusCall = m_tasks.now() + retry_interval;
    m_statusTable.readStatus(current.order.service,
                             [this, service = current.order.service, order = current.order.rowVersion,
                              tenure = *m_tenure](const outcome<std::optional<rollout_status_row>> &read) {
                                 rollout *const found = find(service, order, tenure);
                                 if (found == nullptr)
                                     return;
                                 found->isStatusBusy = false;
                                 if (!read) {
                                     logFailure("rollout.status_read_failed", service, read.error());
                                     return;
                                 }
                                 takeStatus(*found, read.value());
                                 updateStatus(*found);
                             });
}

void rollout_controller::takeStatus(rollout &current, const std::optional<rollout_status_row> &row)
{
    current.isStatusKnown = true;
    current.mayBeCompleted = false;
    current.statusVersion = row ? row->rowVersion : 0;
    current.status = row;
    const bool isOfThisOrder = row && row->targetVersion == current.order.targetVersion
        && current.startedStatusVersion != 0 && row->rowVersion > current.startedStatusVersion;
    if (!isOfThisOrder || current.state != rollout_state::in_progress
        || row->state == rollout_state::in_progress)
        return;
    // A write whose response was lost, or one of the holder before.
    setEnded(current, row->state, current.isCompleting ? current.reason : "as the status row states");
}

void rollout_controller::writeStatus(rollout &current, const rollout_status_row &row)
{
    current.isStatusBusy = true;
    current.nextStatusCall = m_tasks.now() + retry_interval;
    current.mayBeCompleted = row.state == rollout_state::completed;
    m_statusTable.writeStatus(current.order.service, current.statusVersion, row,
                              [this, row, service = current.order.service, order = current.order.rowVersion,
                               tenure = *m_tenure](const outcome<rollout_status_row> &written) {
                                  rollout *const found = find(service, order, tenure);
                                  if (found == nullptr)
                                      return;
                                  found->isStatusBusy = false;
                                  if (!written) {
                                      found->isStatusKnown = false;
                                      logFailure("rollout.status_write_failed", service, written.error());
                                      return;
                                  }
                                  found->status = row;
                                  found->statusVersion = written.value().rowVersion;
                                  if (row.state == rollout_state::in_progress)
                                      found->startedStatusVersion = found->statusVersion;
                                  if (row.state == rollout_state::completed
                                      && found->state == rollout_state::in_progress)
                                      setEnded(*found, rollout_state::completed, found->reason);
                              });
}

} // namespace ivypier::delivery
