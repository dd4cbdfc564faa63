#include "origin_metrics.h"

namespace ivypier::edge {

void setOriginMetrics(metrics_registry &metrics, const fleet::origin_recorder &recorder)
{
    const fleet::origin_counters &counts = recorder.counters();
    metrics.set("ivypier_stored_origins_pending", {}, static_cast<double>(recorder.pendingCount()));
    metrics.set("ivypier_stored_origin_datagrams", {}, static_cast<double>(counts.sent));
    metrics.set("ivypier_stored_origins_received", {}, static_cast<double>(counts.received));
    metrics.set("ivypier_stored_origins_written", {}, static_cast<double>(counts.written));
    metrics.set("ivypier_stored_origins_dropped", {}, static_cast<double>(counts.dropped));
    metrics.set("ivypier_stored_origin_writes", {}, static_cast<double>(counts.writes));
    metrics.set("ivypier_stored_origin_bytes_written", {}, static_cast<double>(counts.bytesWritten));
    metrics.set("ivypier_stored_origin_failures", {}, static_cast<double>(counts.failures));
    metrics.set("ivypier_stored_origin_lookups", {}, static_cast<double>(counts.lookups));
    metrics.set("ivypier_stored_origin_lookups_found", {}, static_cast<double>(counts.found));
    metrics.set("ivypier_stored_origin_reads", {}, static_cast<double>(counts.reads));
    metrics.set("ivypier_stored_origin_bytes_read", {}, static_cast<double>(counts.bytesRead));
}

} // namespace ivypier::edge
