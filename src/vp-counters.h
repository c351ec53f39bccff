/* Counters, gauges and log-linear histograms of this process, and their text exposition.
 *
 *   vp_counters_add (VP_COUNT_STARTS, 1);
 *   vp_counters_observe (VP_HIST_WAIT_MS, waited_ms);
 *   GString *text = vp_counters_expose ();       // Prometheus text format
 *
 * Atomic, process-wide; the reducer only counts. Names and help stand in one table.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum {
  VP_COUNT_REQUESTS,
  VP_COUNT_ACCEPTED,
  VP_COUNT_ANSWERED,
  VP_COUNT_REFUSED_NOT_RUN,
  VP_COUNT_REFUSED_UNKNOWN,
  VP_COUNT_BAD_KEY,
  VP_COUNT_DUPLICATE_IDENTITY,
  VP_COUNT_STARTS,
  VP_COUNT_START_REFUSED,
  VP_COUNT_STARTS_EXPIRED, /* not sent: ownership lapsed between decision and sending */
  VP_COUNT_ENDED,
  VP_COUNT_PREEMPTED,
  VP_COUNT_RETRIES,
  VP_COUNT_LATE_ANSWERS, /* for no open request */
  VP_COUNT_FORWARDED,
  VP_COUNT_OWNER_ACQUIRED,
  VP_COUNT_OWNER_LAPSED,
  VP_COUNT_LEDGER_COMMITS,
  VP_COUNT_LEDGER_RECORDS,
  VP_COUNT_STORE_READS,
  VP_COUNT_STORE_WRITES,
  VP_COUNT_STORE_WATCHES,
  VP_COUNT_STORE_UNAVAILABLE,
  VP_COUNT_STORE_UNKNOWN,
  VP_COUNT_PEER_SENT,
  VP_COUNT_PEER_RECEIVED,
  VP_COUNT_PEER_BYTES_SENT,
  VP_COUNT_PEER_MALFORMED,
  VP_COUNT_WORKER_CALLS,
  VP_COUNT_WORKER_UNREACHABLE,
  VP_COUNT_CONFIG_CHANGES,
  VP_COUNT_EVENTS,
  VP_COUNT_WORKERS_GIVEN_UP,
  VP_COUNT_INHERITED_STARTS,
  VP_COUNT_LAST,
} VpCount;

typedef enum {
  VP_GAUGE_CONFIG_REVISION,
  VP_GAUGE_OWNER_EPOCH, /* 0: not the owner */
  VP_GAUGE_PENDING,     /* requests held open */
  VP_GAUGE_QUEUED,
  VP_GAUGE_RUNNING,
  VP_GAUGE_WORKERS,
  VP_GAUGE_KEYS_TRUSTED,
  VP_GAUGE_WORKERS_UNKNOWN,
  VP_GAUGE_COMMIT_AGE_MS,
  VP_GAUGE_LAST,
} VpGauge;

typedef enum {
  VP_HIST_WAIT_MS,   /* arrival to start */
  VP_HIST_CALL_US,   /* HTTP request to reply */
  VP_HIST_DECIDE_US, /* one event through the reducer */
  VP_HIST_LAST,
} VpHist;

void vp_counters_add (VpCount count, uint64_t amount);
uint64_t vp_counters_get (VpCount count);
void vp_counters_set (VpGauge gauge, int64_t value);
void vp_counters_observe (VpHist hist, int64_t value);
/* Value below which @permille of the observations lie; relative error at most 1/16. */
int64_t vp_counters_quantile (VpHist hist, uint32_t permille);
GString *vp_counters_expose (void);
void vp_counters_reset (void);
