#include "vp-metrics.h"

#include <stdatomic.h>
#include <string.h>

/* Log-linear histogram: values below VP_HIST_SUB_BUCKETS have a bucket each. Above that, the range
 * between two powers of two is divided into VP_HIST_SUB_BUCKETS buckets, so that the width of a
 * bucket is at most 1/16 of its lower bound. */
enum {
  VP_HIST_SUB_BITS = 4,
  VP_HIST_SUB_BUCKETS = 1 << VP_HIST_SUB_BITS,
  VP_HIST_BUCKETS = VP_HIST_SUB_BUCKETS * (64 - VP_HIST_SUB_BITS),
  /* Highest k of the exposed bucket bounds 2^k - 1. 2^27 microseconds are about two minutes. */
  VP_HIST_EXPOSED_BITS = 27,
};

typedef struct {
  _Atomic uint64_t buckets[VP_HIST_BUCKETS];
  _Atomic int64_t sum;
} VpHistogram;

typedef struct {
  const char *name;
  const char *help;
} VpMetricText;

static const VpMetricText vp_counter_texts[VP_COUNTER_LAST] = {
  [VP_COUNTER_REQUESTS] = { "requests", "Requests received" },
  [VP_COUNTER_ACCEPTED] = { "accepted", "Tasks accepted" },
  [VP_COUNTER_ANSWERED] = { "answered", "Requests answered with an outcome" },
  [VP_COUNTER_REFUSED_NOT_RUN] = { "refused_not_run", "Requests refused as not run" },
  [VP_COUNTER_REFUSED_UNKNOWN]
  = { "refused_unknown", "Requests ended without knowing whether they ran" },
  [VP_COUNTER_BAD_KEY] = { "bad_key", "Requests refused for their key" },
  [VP_COUNTER_DUPLICATE_IDENTITY]
  = { "duplicate_identity", "Requests whose identity was known already" },
  [VP_COUNTER_STARTS] = { "starts", "Start commands sent to workers" },
  [VP_COUNTER_START_REFUSED] = { "start_refused", "Start commands that a worker refused" },
  [VP_COUNTER_STARTS_EXPIRED]
  = { "starts_expired", "Start commands not sent because ownership lapsed after the decision" },
  [VP_COUNTER_ENDED] = { "ended", "Attempts that ended" },
  [VP_COUNTER_PREEMPTED] = { "preempted", "Attempts preempted" },
  [VP_COUNTER_RETRIES] = { "retries", "Attempts after the first" },
  [VP_COUNTER_LATE_ANSWERS] = { "late_answers", "Answers for no open request" },
  [VP_COUNTER_FORWARDED] = { "forwarded", "Requests handed to an owner" },
  [VP_COUNTER_OWNER_ACQUIRED] = { "owner_acquired", "Times ownership was acquired" },
  [VP_COUNTER_OWNER_LAPSED] = { "owner_lapsed", "Times ownership lapsed" },
  [VP_COUNTER_LEDGER_COMMITS] = { "ledger_commits", "Ledger commits" },
  [VP_COUNTER_LEDGER_RECORDS] = { "ledger_records", "Ledger records written" },
  [VP_COUNTER_STORE_READS] = { "store_reads", "Reads of the store" },
  [VP_COUNTER_STORE_WRITES] = { "store_writes", "Writes to the store" },
  [VP_COUNTER_STORE_WATCHES] = { "store_watches", "Watches of the store" },
  [VP_COUNTER_STORE_UNAVAILABLE]
  = { "store_unavailable", "Store operations that certainly had no effect" },
  [VP_COUNTER_STORE_UNKNOWN] = { "store_unknown", "Store operations whose answer was lost" },
  [VP_COUNTER_PEER_SENT] = { "peer_sent", "Messages sent to entry processes" },
  [VP_COUNTER_PEER_RECEIVED] = { "peer_received", "Messages received from entry processes" },
  [VP_COUNTER_PEER_BYTES_SENT] = { "peer_bytes_sent", "Bytes sent to entry processes" },
  [VP_COUNTER_PEER_MALFORMED] = { "peer_malformed", "Malformed messages dropped" },
  [VP_COUNTER_WORKER_CALLS] = { "worker_calls", "Calls to workers" },
  [VP_COUNTER_WORKER_UNREACHABLE] = { "worker_unreachable", "Calls that did not reach a worker" },
  [VP_COUNTER_CONFIG_CHANGES] = { "config_changes", "Configuration revisions taken over" },
  [VP_COUNTER_EVENTS] = { "events", "Events through the reducer" },
  [VP_COUNTER_WORKERS_GIVEN_UP]
  = { "workers_given_up", "Workers of an earlier leader taken as gone without an answer" },
  [VP_COUNTER_TASKS_GIVEN_UP]
  = { "tasks_given_up", "Tasks given up since workers crashed under them" },
  [VP_COUNTER_INHERITED_STARTS]
  = { "inherited_starts", "Starts of tasks that an earlier leader may have started" },
  [VP_COUNTER_HOLDS] = { "holds", "HOLD commands sent to workers" },
  [VP_COUNTER_HOLDS_EXTRA]
  = { "holds_extra", "HOLD commands sent while an earlier one to the worker was not answered" },
  [VP_COUNTER_URGENT_STARTS] = { "urgent_starts", "Runs of urgent tasks started" },
  [VP_COUNTER_URGENT_STARTS_SLOW]
  = { "urgent_starts_slow", "Runs of urgent tasks started on slow workers" },
  [VP_COUNTER_FAST_WAITS]
  = { "fast_waits", "Decisions in which an urgent task waited for a fast worker" },
  [VP_COUNTER_HOLDS_UNANSWERED]
  = { "holds_unanswered", "HOLD commands that a worker did not answer in time" },
  [VP_COUNTER_FORECASTS] = { "forecasts", "Runs started with an expected duration" },
  [VP_COUNTER_FORECASTS_ENDED]
  = { "forecasts_ended", "Runs with an expected duration whose duration was recorded" },
  [VP_COUNTER_FORECASTS_IN_P50]
  = { "forecasts_in_p50", "Recorded runs that ended within the stated p50" },
  [VP_COUNTER_FORECASTS_IN_P90]
  = { "forecasts_in_p90", "Recorded runs that ended within the stated p90" },
  [VP_COUNTER_ADMISSION_ACCEPTED] = { "admission_accepted", "Jobs that the admission accepted" },
  [VP_COUNTER_ADMISSION_OVERLOAD]
  = { "admission_overload",
      "Jobs refused since work that comes first takes the capacity too long" },
  [VP_COUNTER_ADMISSION_TEAM_CAP]
  = { "admission_team_cap", "Jobs refused since running tasks take the team's cap too long" },
  [VP_COUNTER_ADMISSION_RETURNED]
  = { "admission_returned", "Decisions on jobs that were refused before" },
  [VP_COUNTER_ADMISSION_ENDED] = { "admission_ended", "Completed jobs with an expected end" },
  [VP_COUNTER_ADMISSION_IN_TIME]
  = { "admission_in_time", "Completed jobs that ended by the expected end" },
  [VP_COUNTER_ADMISSION_TOO_SOON]
  = { "admission_too_soon", "Completed jobs that ended before their earliest possible end" },
  [VP_COUNTER_INTAKE_REFUSED_LENGTH]
  = { "intake_refused_length", "Requests refused for the length of their body" },
  [VP_COUNTER_INTAKE_REFUSED_UNWANTED]
  = { "intake_refused_unwanted", "Requests refused by their headers, whose body was discarded" },
  [VP_COUNTER_INTAKE_REFUSED_BYTES]
  = { "intake_refused_bytes", "Requests refused as no memory for bodies was left" },
  [VP_COUNTER_INTAKE_REFUSED_ADDRESS]
  = { "intake_refused_address", "Connections refused as their address had too many" },
  [VP_COUNTER_INTAKE_REFUSED_NODES]
  = { "intake_refused_nodes", "Bodies refused for the number of their JSON values" },
  [VP_COUNTER_INTAKE_CLOSED_BYTES]
  = { "intake_closed_bytes", "Connections closed to free the memory of their bodies" },
  [VP_COUNTER_INTAKE_CLOSED_CONNECTIONS]
  = { "intake_closed_connections", "Connections closed in favour of new ones" },
  [VP_COUNTER_INTAKE_CLOSED_IDLE]
  = { "intake_closed_idle", "Connections closed after a time without a request" },
  [VP_COUNTER_INTAKE_CLOSED_RECEIVE]
  = { "intake_closed_receive", "Connections closed as a request arrived too slowly" },
  [VP_COUNTER_INTAKE_CLOSED_SEND]
  = { "intake_closed_send", "Connections closed as an answer was read too slowly" },
  [VP_COUNTER_ENTRIES_LOST]
  = { "entries_lost", "Times that this process's entry in the store was gone or replaced" },
};

static const VpMetricText vp_gauge_texts[VP_GAUGE_LAST] = {
  [VP_GAUGE_CONFIG_REVISION] = { "config_revision", "Configuration revision in force" },
  [VP_GAUGE_CONFIG_FAULTS]
  = { "config_faults", "Entries of the last configuration that can't be read and are left out" },
  [VP_GAUGE_OWNER_EPOCH] = { "owner_epoch", "Epoch of the ownership held; 0 if not the owner" },
  [VP_GAUGE_PENDING] = { "pending", "Requests held open" },
  [VP_GAUGE_QUEUED] = { "queued", "Tasks waiting" },
  [VP_GAUGE_RUNNING] = { "running", "Tasks running" },
  [VP_GAUGE_WORKERS] = { "workers", "Workers reachable" },
  [VP_GAUGE_KEYS_TRUSTED] = { "keys_trusted", "1 while keyed work is accepted" },
  [VP_GAUGE_WORKERS_UNKNOWN]
  = { "workers_unknown", "Workers of an earlier leader that have not told what they run" },
  [VP_GAUGE_COMMIT_AGE_MS] = { "commit_age_ms", "Milliseconds since the leader's last commit" },
  [VP_GAUGE_EVACUATED_DCS] = { "evacuated_dcs", "Data centres under evacuation" },
  [VP_GAUGE_KEPT_QUEUES]
  = { "kept_queues", "Queues of accepted jobs that the configuration lacks" },
  [VP_GAUGE_ADMISSION_CERTAINTY_MILLI]
  = { "admission_certainty_milli", "Thousandths of the known work that count as certain" },
  [VP_GAUGE_INTAKE_CONNECTIONS] = { "intake_connections", "Connections of callers" },
  [VP_GAUGE_INTAKE_BYTES] = { "intake_bytes", "Bytes of bodies that are being received" },
};

static const VpMetricText vp_hist_texts[VP_HIST_LAST] = {
  [VP_HIST_WAIT_MS] = { "wait_ms", "Milliseconds from arrival to start" },
  [VP_HIST_CALL_US] = { "call_us", "Microseconds from HTTP request to reply" },
  [VP_HIST_DECIDE_US] = { "decide_us", "Microseconds of one event through the reducer" },
};

static _Atomic uint64_t vp_metrics_counters[VP_COUNTER_LAST];
static _Atomic int64_t vp_metrics_gauges[VP_GAUGE_LAST];
static VpHistogram vp_metrics_hists[VP_HIST_LAST];

void
vp_metrics_add (VpCounter counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&vp_metrics_counters[counter], amount, memory_order_relaxed);
}

uint64_t
vp_metrics_get (VpCounter counter)
{
  return atomic_load_explicit (&vp_metrics_counters[counter], memory_order_relaxed);
}

void
vp_metrics_set (VpGauge gauge, int64_t value)
{
  atomic_store_explicit (&vp_metrics_gauges[gauge], value, memory_order_relaxed);
}

static uint32_t
_vp_hist_bucket_index (uint64_t value)
{
  uint32_t bits;

  if (value < VP_HIST_SUB_BUCKETS)
    return (uint32_t)value;
  bits = 63 - (uint32_t)__builtin_clzll (value);
  return VP_HIST_SUB_BUCKETS * (bits - VP_HIST_SUB_BITS + 1)
         + (uint32_t)((value >> (bits - VP_HIST_SUB_BITS)) & (VP_HIST_SUB_BUCKETS - 1));
}

/* Returns the highest value that is counted in the bucket. */
static int64_t
_vp_hist_bucket_max (uint32_t index)
{
  uint32_t shift;

  if (index < VP_HIST_SUB_BUCKETS)
    return index;
  shift = index / VP_HIST_SUB_BUCKETS - 1;
  return (int64_t)(((uint64_t)(VP_HIST_SUB_BUCKETS + index % VP_HIST_SUB_BUCKETS + 1) << shift)
                   - 1);
}

void
vp_metrics_observe (VpHist hist, int64_t value)
{
  uint64_t clamped = value > 0 ? (uint64_t)value : 0;

  atomic_fetch_add_explicit (&vp_metrics_hists[hist].buckets[_vp_hist_bucket_index (clamped)], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&vp_metrics_hists[hist].sum, (int64_t)clamped, memory_order_relaxed);
}

static uint64_t
_vp_hist_bucket_count (VpHist hist, uint32_t index)
{
  return atomic_load_explicit (&vp_metrics_hists[hist].buckets[index], memory_order_relaxed);
}

int64_t
vp_metrics_quantile (VpHist hist, uint32_t permille)
{
  uint64_t total = 0;
  uint64_t rank;
  uint64_t below = 0;

  for (uint32_t i = 0; i < VP_HIST_BUCKETS; i++)
    total += _vp_hist_bucket_count (hist, i);
  if (total == 0)
    return 0;
  rank = MAX ((total * MIN (permille, 1000) + 999) / 1000, 1);
  for (uint32_t i = 0; i < VP_HIST_BUCKETS; i++) {
    below += _vp_hist_bucket_count (hist, i);
    if (below >= rank)
      return _vp_hist_bucket_max (i);
  }
  return INT64_MAX;
}

static void
_vp_metrics_append_header (GString *out,
                           const VpMetricText *text,
                           const char *suffix,
                           const char *type)
{
  g_string_append_printf (out, "# HELP verbenapulley_%s%s %s\n# TYPE verbenapulley_%s%s %s\n",
                          text->name, suffix, text->help, text->name, suffix, type);
}

static void
_vp_metrics_append_hist (GString *out, VpHist hist)
{
  const VpMetricText *text = &vp_hist_texts[hist];
  uint64_t below = 0;
  uint32_t index = 0;

  _vp_metrics_append_header (out, text, "", "histogram");
  for (uint32_t bits = 0; bits <= VP_HIST_EXPOSED_BITS; bits++) {
    int64_t bound = (INT64_C (1) << bits) - 1;
    for (; _vp_hist_bucket_max (index) <= bound; index++)
      below += _vp_hist_bucket_count (hist, index);
    g_string_append_printf (
        out, "verbenapulley_%s_bucket{le=\"%" G_GINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n",
        text->name, bound, below);
  }
  for (; index < VP_HIST_BUCKETS; index++)
    below += _vp_hist_bucket_count (hist, index);
  g_string_append_printf (out, "verbenapulley_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          text->name, below);
  g_string_append_printf (
      out,
      "verbenapulley_%s_sum %" G_GINT64_FORMAT "\nverbenapulley_%s_count %" G_GUINT64_FORMAT "\n",
      text->name, atomic_load_explicit (&vp_metrics_hists[hist].sum, memory_order_relaxed),
      text->name, below);
}

GString *
vp_metrics_expose (void)
{
  GString *out = g_string_new (NULL);

  for (int i = 0; i < VP_COUNTER_LAST; i++) {
    _vp_metrics_append_header (out, &vp_counter_texts[i], "_total", "counter");
    g_string_append_printf (out, "verbenapulley_%s_total %" G_GUINT64_FORMAT "\n",
                            vp_counter_texts[i].name, vp_metrics_get ((VpCounter)i));
  }
  for (int i = 0; i < VP_GAUGE_LAST; i++) {
    _vp_metrics_append_header (out, &vp_gauge_texts[i], "", "gauge");
    g_string_append_printf (out, "verbenapulley_%s %" G_GINT64_FORMAT "\n", vp_gauge_texts[i].name,
                            atomic_load_explicit (&vp_metrics_gauges[i], memory_order_relaxed));
  }
  for (int i = 0; i < VP_HIST_LAST; i++)
    _vp_metrics_append_hist (out, (VpHist)i);
  return out;
}

void
vp_metrics_reset (void)
{
  for (int i = 0; i < VP_COUNTER_LAST; i++)
    atomic_store_explicit (&vp_metrics_counters[i], 0, memory_order_relaxed);
  for (int i = 0; i < VP_GAUGE_LAST; i++)
    atomic_store_explicit (&vp_metrics_gauges[i], 0, memory_order_relaxed);
  for (int i = 0; i < VP_HIST_LAST; i++) {
    for (uint32_t j = 0; j < VP_HIST_BUCKETS; j++)
      atomic_store_explicit (&vp_metrics_hists[i].buckets[j], 0, memory_order_relaxed);
    atomic_store_explicit (&vp_metrics_hists[i].sum, 0, memory_order_relaxed);
  }
}
