/* Counters, gauges and log-linear histograms of this process, and their text exposition.
 *
 *   vp_metrics_add (VP_COUNTER_STARTS, 1);
 *   vp_metrics_observe (VP_HIST_WAIT_MS, waited_ms);
 *   GString *text = vp_metrics_expose ();       // Prometheus text format
 *
 * All metrics are process-wide and updated atomically, from any thread.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum {
  VP_COUNTER_REQUESTS,
  VP_COUNTER_ACCEPTED,
  VP_COUNTER_ANSWERED,
  VP_COUNTER_REFUSED_NOT_RUN,
  VP_COUNTER_REFUSED_UNKNOWN,
  VP_COUNTER_BAD_KEY,
  VP_COUNTER_DUPLICATE_IDENTITY,
  VP_COUNTER_STARTS,
  VP_COUNTER_START_REFUSED,
  VP_COUNTER_STARTS_EXPIRED, /* not sent, since the ownership expired after the decision */
  VP_COUNTER_ENDED,
  VP_COUNTER_PREEMPTED,
  VP_COUNTER_RETRIES,
  VP_COUNTER_LATE_ANSWERS, /* answers for which no request is open */
  VP_COUNTER_FORWARDED,
  VP_COUNTER_OWNER_ACQUIRED,
  VP_COUNTER_OWNER_LAPSED,
  VP_COUNTER_LEDGER_COMMITS,
  VP_COUNTER_LEDGER_RECORDS,
  VP_COUNTER_STORE_READS,
  VP_COUNTER_STORE_WRITES,
  VP_COUNTER_STORE_WATCHES,
  VP_COUNTER_STORE_UNAVAILABLE,
  VP_COUNTER_STORE_UNKNOWN,
  VP_COUNTER_PEER_SENT,
  VP_COUNTER_PEER_RECEIVED,
  VP_COUNTER_PEER_BYTES_SENT,
  VP_COUNTER_PEER_MALFORMED,
  VP_COUNTER_WORKER_CALLS,
  VP_COUNTER_WORKER_UNREACHABLE,
  VP_COUNTER_CONFIG_CHANGES,
  VP_COUNTER_EVENTS,
  VP_COUNTER_WORKERS_GIVEN_UP,
  VP_COUNTER_TASKS_GIVEN_UP,
  VP_COUNTER_INHERITED_STARTS,
  VP_COUNTER_HOLDS,
  VP_COUNTER_HOLDS_EXTRA,        /* sent while an earlier one to the worker wasn't answered */
  VP_COUNTER_URGENT_STARTS,      /* of tasks of queues of priority 0, first starts of each run */
  VP_COUNTER_URGENT_STARTS_SLOW, /* those on workers that are known to be slow */
  VP_COUNTER_FAST_WAITS,         /* decisions in which an urgent task waited for a fast worker */
  VP_COUNTER_HOLDS_UNANSWERED,   /* not answered within their wait and a grace time */
  VP_COUNTER_FORECASTS,          /* runs started with an expected duration */
  VP_COUNTER_FORECASTS_ENDED,    /* those whose duration was recorded */
  VP_COUNTER_FORECASTS_IN_P50,   /* those that ended within the p50 stated at the start */
  VP_COUNTER_FORECASTS_IN_P90,
  VP_COUNTER_ADMISSION_ACCEPTED,
  VP_COUNTER_ADMISSION_OVERLOAD, /* rejected: work of higher ranks takes the capacity */
  VP_COUNTER_ADMISSION_TEAM_CAP, /* rejected: the team's running tasks take its cap */
  VP_COUNTER_ADMISSION_RETURNED, /* decisions on callers that were rejected before */
  VP_COUNTER_ADMISSION_ENDED,    /* completed jobs for which an end was expected */
  VP_COUNTER_ADMISSION_IN_TIME,  /* those that ended by then */
  VP_COUNTER_ADMISSION_TOO_SOON, /* those that ended before their earliest possible end */
  VP_COUNTER_INTAKE_REFUSED_LENGTH,
  VP_COUNTER_INTAKE_REFUSED_UNWANTED,
  VP_COUNTER_INTAKE_REFUSED_BYTES,
  VP_COUNTER_INTAKE_REFUSED_ADDRESS,
  VP_COUNTER_INTAKE_REFUSED_NODES,
  VP_COUNTER_INTAKE_CLOSED_BYTES,
  VP_COUNTER_INTAKE_CLOSED_CONNECTIONS,
  VP_COUNTER_INTAKE_CLOSED_IDLE,
  VP_COUNTER_INTAKE_CLOSED_RECEIVE,
  VP_COUNTER_INTAKE_CLOSED_SEND,
  VP_COUNTER_ENTRIES_LOST, /* times that this process's entry in the store was gone or replaced */
  VP_COUNTER_LAST,
} VpCounter;

typedef enum {
  VP_GAUGE_CONFIG_REVISION,
  VP_GAUGE_CONFIG_FAULTS,
  VP_GAUGE_OWNER_EPOCH, /* 0 if this process is not the owner */
  VP_GAUGE_PENDING,     /* requests held open */
  VP_GAUGE_QUEUED,
  VP_GAUGE_RUNNING,
  VP_GAUGE_WORKERS,
  VP_GAUGE_KEYS_TRUSTED,
  VP_GAUGE_WORKERS_UNKNOWN,
  VP_GAUGE_COMMIT_AGE_MS,
  VP_GAUGE_EVACUATED_DCS,
  VP_GAUGE_KEPT_QUEUES,               /* queues of accepted jobs that the configuration lacks */
  VP_GAUGE_ADMISSION_CERTAINTY_MILLI, /* share of the known work that counts as certain */
  VP_GAUGE_INTAKE_CONNECTIONS,
  VP_GAUGE_INTAKE_BYTES,
  VP_GAUGE_LAST,
} VpGauge;

typedef enum {
  VP_HIST_WAIT_MS,   /* time from arrival to start */
  VP_HIST_CALL_US,   /* time from an HTTP request to its reply */
  VP_HIST_DECIDE_US, /* time in which the reducer applies one event */
  VP_HIST_LAST,
} VpHist;

void vp_metrics_add (VpCounter counter, uint64_t amount);
uint64_t vp_metrics_get (VpCounter counter);
void vp_metrics_set (VpGauge gauge, int64_t value);
void vp_metrics_observe (VpHist hist, int64_t value);
/* Returns the value that @permille of the observations don't exceed, or 0 without observations. The
 * value may be too high by up to 1/16. */
int64_t vp_metrics_quantile (VpHist hist, uint32_t permille);
/* Returns all metrics in the Prometheus text format. The caller frees the text. */
GString *vp_metrics_expose (void);
/* Sets all metrics to 0, for tests. */
void vp_metrics_reset (void);
