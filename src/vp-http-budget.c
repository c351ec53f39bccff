#include "vp-http-budget.h"

#include <string.h>

/* Defaults. The bodies of requests get an eighth of the memory: 15 MiB of 120 MiB, where the other
 * parts of the process use 13 MB and connections may use a quarter. */
#define VP_HTTP_BUDGET_BYTES_SHARE 8
#define VP_HTTP_BUDGET_BYTES_MIN   ((uint64_t)1024 * 1024)
#define VP_HTTP_BUDGET_BYTES_MAX   ((uint64_t)64 * 1024 * 1024)
#define VP_HTTP_BUDGET_SMALL_BYTES 16384
/* Memory of a connection: 8 KiB of libmicrohttpd, its descriptor, and what the kernel holds. */
#define VP_HTTP_BUDGET_CONNECTION_BYTES    ((uint64_t)24 * 1024)
#define VP_HTTP_BUDGET_CONNECTION_SHARE    4
#define VP_HTTP_BUDGET_DESCRIPTORS_RESERVE 200 /* not for sockets */
#define VP_HTTP_BUDGET_CONNECTIONS_MIN     8
#define VP_HTTP_BUDGET_CONNECTIONS_MAX     4096
/* Callers wait 3 s for an answer, and the largest body has 262,144 bytes. */
#define VP_HTTP_BUDGET_RECEIVE_BYTES_PER_S 1024
#define VP_HTTP_BUDGET_TIMEOUT_MS          20000
#define VP_HTTP_BUDGET_SEND_TIMEOUT_MS     10000

/* Number of bytes that count as progress. The time limit for them follows from the minimum rate. */
#define VP_HTTP_BUDGET_PROGRESS_BYTES 4096
/* Part of the bytes that is reserved for small bodies. */
#define VP_HTTP_BUDGET_RESERVE_SHARE 4
/* Time without progress before a body may be given up for another one. */
#define VP_HTTP_BUDGET_STALL_MS 250
/* Time without progress before a connection may be closed for a new one. It is longer than the
 * pauses between the requests of a busy caller. */
#define VP_HTTP_BUDGET_IDLE_MS 500
/* The same while an answer is sent, which is delivered even when late. */
#define VP_HTTP_BUDGET_UNREAD_MS 2000
/* Longest time without progress while a body is discarded. */
#define VP_HTTP_BUDGET_DISCARD_MS 2000

#define VP_HTTP_BUDGET_REPORT_MS 5000
/* Giving memory back takes some milliseconds, in which other threads can't allocate, so it is done
 * after a flood and not on calm days. */
#define VP_HTTP_BUDGET_TRIM_MS    5000
#define VP_HTTP_BUDGET_TRIM_BYTES ((uint64_t)4 * 1024 * 1024)

static const char *const vp_http_cause_names[VP_HTTP_CAUSE_COUNT] = {
  "none", "length", "unwanted", "bytes", "connections", "address", "idle", "receive", "send",
};

static uint32_t
_vp_http_limits_connections (uint64_t memory_bytes, uint64_t descriptors_max, uint32_t percent)
{
  uint64_t count = VP_HTTP_BUDGET_CONNECTIONS_MAX;
  uint64_t reserve = MIN (descriptors_max, VP_HTTP_BUDGET_DESCRIPTORS_RESERVE);

  if (memory_bytes > 0)
    count = MIN (count,
                 memory_bytes / VP_HTTP_BUDGET_CONNECTION_SHARE / VP_HTTP_BUDGET_CONNECTION_BYTES);
  if (descriptors_max > 0)
    count = MIN (count, (descriptors_max - reserve) * percent / 100);
  return (uint32_t)MAX (count, VP_HTTP_BUDGET_CONNECTIONS_MIN);
}

void
vp_http_limits_complete (VpHttpLimits *limits,
                         uint64_t memory_bytes,
                         uint64_t descriptors_max,
                         uint32_t percent)
{
  if (limits->bytes_max == 0)
    limits->bytes_max = memory_bytes == 0
                            ? VP_HTTP_BUDGET_BYTES_MAX
                            : CLAMP (memory_bytes / VP_HTTP_BUDGET_BYTES_SHARE,
                                     VP_HTTP_BUDGET_BYTES_MIN, VP_HTTP_BUDGET_BYTES_MAX);
  if (limits->small_bytes == 0)
    limits->small_bytes = VP_HTTP_BUDGET_SMALL_BYTES;
  if (limits->connections_max == 0)
    limits->connections_max = _vp_http_limits_connections (memory_bytes, descriptors_max, percent);
  if (limits->receive_bytes_per_s_min == 0)
    limits->receive_bytes_per_s_min = VP_HTTP_BUDGET_RECEIVE_BYTES_PER_S;
  if (limits->receive_timeout_ms == 0)
    limits->receive_timeout_ms = VP_HTTP_BUDGET_TIMEOUT_MS;
  if (limits->send_timeout_ms == 0)
    limits->send_timeout_ms = VP_HTTP_BUDGET_SEND_TIMEOUT_MS;
  if (limits->idle_timeout_ms == 0)
    limits->idle_timeout_ms = VP_HTTP_BUDGET_TIMEOUT_MS;
}

void
vp_http_budget_setup (VpHttpBudget *budget, const VpHttpLimits *limits)
{
  memset (budget, 0, sizeof *budget);
  budget->limits = *limits;
  vp_http_limits_complete (&budget->limits, 0, 0, 100);
  for (int i = 0; i < VP_HTTP_PHASE_COUNT; i++)
    g_queue_init (&budget->phases[i]);
  g_queue_init (&budget->requests);
  if (limits->per_address_max > 0)
    budget->addresses = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
vp_http_budget_clear (VpHttpBudget *budget)
{
  g_clear_pointer (&budget->addresses, g_hash_table_unref);
}

/* Counts a connection of @address. Returns false if it has too many. */
static bool
_vp_http_budget_add_address (VpHttpBudget *budget, uint64_t address)
{
  guint count;

  if (budget->addresses == NULL)
    return true;
  count = GPOINTER_TO_UINT (g_hash_table_lookup (budget->addresses, &address));
  if (count >= budget->limits.per_address_max)
    return false;
  g_hash_table_replace (budget->addresses, g_memdup2 (&address, sizeof address),
                        GUINT_TO_POINTER (count + 1));
  return true;
}

static void
_vp_http_budget_remove_address (VpHttpBudget *budget, uint64_t address)
{
  guint count;

  if (budget->addresses == NULL)
    return;
  count = GPOINTER_TO_UINT (g_hash_table_lookup (budget->addresses, &address));
  if (count > 1)
    g_hash_table_replace (budget->addresses, g_memdup2 (&address, sizeof address),
                          GUINT_TO_POINTER (count - 1));
  else
    g_hash_table_remove (budget->addresses, &address);
}

static void
_vp_http_budget_end_request (VpHttpBudget *budget, VpHttpBudgetEntry *entry)
{
  if (entry->is_requesting)
    g_queue_unlink (&budget->requests, &entry->request_link);
  entry->is_requesting = false;
}

/* Appends the entry to the queue of @phase. */
static void
_vp_http_budget_set_phase (VpHttpBudget *budget,
                           VpHttpBudgetEntry *entry,
                           VpHttpPhase phase,
                           int64_t now_ms)
{
  if (entry->phase != VP_HTTP_PHASE_NONE)
    g_queue_unlink (&budget->phases[entry->phase], &entry->link);
  if (entry->phase == VP_HTTP_PHASE_LARGE)
    budget->large_bytes -= entry->charged_bytes;
  if (phase == VP_HTTP_PHASE_LARGE)
    budget->large_bytes += entry->charged_bytes;
  entry->phase = phase;
  entry->progress_ms = now_ms;
  entry->progress_bytes = entry->received_bytes;
  if (phase != VP_HTTP_PHASE_NONE)
    g_queue_push_tail_link (&budget->phases[phase], &entry->link);
}

static void
_vp_http_budget_release (VpHttpBudget *budget, VpHttpBudgetEntry *entry)
{
  if (entry->phase == VP_HTTP_PHASE_LARGE)
    budget->large_bytes -= entry->charged_bytes;
  budget->charged_bytes -= entry->charged_bytes;
  entry->charged_bytes = 0;
}

static uint64_t
_vp_http_budget_held_bytes (const VpHttpBudget *budget)
{
  return budget->charged_bytes + budget->connection_count * VP_HTTP_BUDGET_CONNECTION_BYTES;
}

static void
_vp_http_budget_note_peak (VpHttpBudget *budget)
{
  budget->peak_bytes = MAX (budget->peak_bytes, _vp_http_budget_held_bytes (budget));
}

/* Returns true if enough memory was freed to give it back to the system. */
static bool
_vp_http_budget_has_freed (const VpHttpBudget *budget)
{
  return budget->peak_bytes >= _vp_http_budget_held_bytes (budget) + VP_HTTP_BUDGET_TRIM_BYTES;
}

static VpHttpBudgetEntry *
_vp_http_budget_head (const VpHttpBudget *budget, VpHttpPhase phase)
{
  const GList *head = budget->phases[phase].head;

  return head == NULL ? NULL : head->data;
}

/* Returns the one of @phases that has made no progress for the longest time, if that is at least
 * @stall_ms; otherwise NULL. */
static VpHttpBudgetEntry *
_vp_http_budget_slowest (const VpHttpBudget *budget,
                         const VpHttpPhase *phases,
                         uint32_t count,
                         int64_t stall_ms,
                         int64_t now_ms)
{
  VpHttpBudgetEntry *slowest = NULL;

  for (uint32_t i = 0; i < count; i++) {
    VpHttpBudgetEntry *head = _vp_http_budget_head (budget, phases[i]);
    if (head != NULL && now_ms - head->progress_ms >= stall_ms
        && (slowest == NULL || head->progress_ms < slowest->progress_ms))
      slowest = head;
  }
  return slowest;
}

bool
vp_http_budget_has_room (VpHttpBudget *budget, int64_t now_ms, VpHttpBudgetEntry **victim)
{
  static const VpHttpPhase idle[] = { VP_HTTP_PHASE_IDLE };
  static const VpHttpPhase receiving[]
      = { VP_HTTP_PHASE_HEADERS, VP_HTTP_PHASE_SMALL, VP_HTTP_PHASE_LARGE, VP_HTTP_PHASE_DISCARD };
  static const VpHttpPhase sending[] = { VP_HTTP_PHASE_SENDING };

  *victim = NULL;
  if (budget->connection_count < budget->limits.connections_max)
    return true;
  *victim = _vp_http_budget_slowest (budget, idle, 1, VP_HTTP_BUDGET_IDLE_MS, now_ms);
  if (*victim == NULL)
    *victim = _vp_http_budget_slowest (budget, receiving, G_N_ELEMENTS (receiving),
                                       VP_HTTP_BUDGET_IDLE_MS, now_ms);
  if (*victim == NULL)
    *victim = _vp_http_budget_slowest (budget, sending, 1, VP_HTTP_BUDGET_UNREAD_MS, now_ms);
  return false;
}

bool
vp_http_budget_open (VpHttpBudget *budget,
                     VpHttpBudgetEntry *entry,
                     uint64_t address,
                     int64_t now_ms)
{
  if (!_vp_http_budget_add_address (budget, address)) {
    budget->refused[VP_HTTP_CAUSE_ADDRESS]++;
    return false;
  }
  entry->link.data = entry->request_link.data = entry;
  entry->address = address;
  budget->connection_count++;
  _vp_http_budget_note_peak (budget);
  vp_http_budget_idle (budget, entry, now_ms);
  return true;
}

void
vp_http_budget_begin (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms)
{
  if (entry->phase == VP_HTTP_PHASE_CLOSING)
    return;
  _vp_http_budget_end_request (budget, entry);
  entry->received_bytes = 0;
  entry->began_ms = now_ms;
  entry->is_requesting = true;
  g_queue_push_tail_link (&budget->requests, &entry->request_link);
  _vp_http_budget_set_phase (budget, entry, VP_HTTP_PHASE_HEADERS, now_ms);
}

void
vp_http_budget_begin_body (VpHttpBudget *budget,
                           VpHttpBudgetEntry *entry,
                           uint64_t size,
                           bool is_kept,
                           int64_t now_ms)
{
  bool is_small = size == UINT64_MAX || size <= budget->limits.small_bytes;

  if (entry->phase == VP_HTTP_PHASE_CLOSING)
    return;
  _vp_http_budget_set_phase (budget, entry,
                             !is_kept   ? VP_HTTP_PHASE_DISCARD
                             : is_small ? VP_HTTP_PHASE_SMALL
                                        : VP_HTTP_PHASE_LARGE,
                             now_ms);
}

void
vp_http_budget_receive (VpHttpBudget *budget,
                        VpHttpBudgetEntry *entry,
                        uint64_t size,
                        int64_t now_ms)
{
  if (entry->phase == VP_HTTP_PHASE_CLOSING)
    return;
  entry->received_bytes += size;
  if (entry->phase == VP_HTTP_PHASE_SMALL && entry->received_bytes > budget->limits.small_bytes)
    _vp_http_budget_set_phase (budget, entry, VP_HTTP_PHASE_LARGE, now_ms);
  else if (entry->received_bytes - entry->progress_bytes >= VP_HTTP_BUDGET_PROGRESS_BYTES)
    _vp_http_budget_set_phase (budget, entry, entry->phase, now_ms);
}

VpHttpCharge
vp_http_budget_charge (VpHttpBudget *budget,
                       VpHttpBudgetEntry *entry,
                       uint64_t bytes,
                       int64_t now_ms,
                       VpHttpBudgetEntry **victim)
{
  static const VpHttpPhase phases[] = { VP_HTTP_PHASE_LARGE, VP_HTTP_PHASE_SMALL };
  uint64_t bytes_max = budget->limits.bytes_max;
  uint64_t reserve = bytes_max / VP_HTTP_BUDGET_RESERVE_SHARE;
  bool is_large = entry->phase == VP_HTTP_PHASE_LARGE;
  bool is_large_full = is_large && budget->large_bytes + bytes > bytes_max - reserve;

  *victim = NULL;
  if (!is_large_full && budget->charged_bytes + bytes <= bytes_max) {
    budget->charged_bytes += bytes;
    budget->large_bytes += is_large ? bytes : 0;
    entry->charged_bytes += bytes;
    _vp_http_budget_note_peak (budget);
    return VP_HTTP_CHARGE_GRANTED;
  }
  *victim = _vp_http_budget_slowest (budget, phases, is_large_full ? 1 : G_N_ELEMENTS (phases),
                                     VP_HTTP_BUDGET_STALL_MS, now_ms);
  if (*victim == entry)
    *victim = NULL;
  return *victim == NULL ? VP_HTTP_CHARGE_REFUSED : VP_HTTP_CHARGE_CLOSE;
}

void
vp_http_budget_refuse (VpHttpBudget *budget,
                       VpHttpBudgetEntry *entry,
                       VpHttpCause cause,
                       int64_t now_ms)
{
  budget->refused[cause]++;
  if (entry->phase == VP_HTTP_PHASE_CLOSING)
    return;
  _vp_http_budget_release (budget, entry);
  _vp_http_budget_set_phase (budget, entry, VP_HTTP_PHASE_DISCARD, now_ms);
}

void
vp_http_budget_wait (VpHttpBudget *budget, VpHttpBudgetEntry *entry)
{
  if (entry->phase == VP_HTTP_PHASE_CLOSING)
    return;
  _vp_http_budget_release (budget, entry);
  _vp_http_budget_end_request (budget, entry);
  _vp_http_budget_set_phase (budget, entry, VP_HTTP_PHASE_WAITING, 0);
}

void
vp_http_budget_send (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms)
{
  if (entry->phase == VP_HTTP_PHASE_CLOSING)
    return;
  _vp_http_budget_release (budget, entry);
  _vp_http_budget_end_request (budget, entry);
  _vp_http_budget_set_phase (budget, entry, VP_HTTP_PHASE_SENDING, now_ms);
}

void
vp_http_budget_idle (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms)
{
  if (entry->phase == VP_HTTP_PHASE_CLOSING)
    return;
  _vp_http_budget_release (budget, entry);
  _vp_http_budget_end_request (budget, entry);
  entry->received_bytes = 0;
  entry->began_ms = now_ms;
  _vp_http_budget_set_phase (budget, entry, VP_HTTP_PHASE_IDLE, now_ms);
}

void
vp_http_budget_touch (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms)
{
  if (entry->phase != VP_HTTP_PHASE_CLOSING)
    _vp_http_budget_set_phase (budget, entry, entry->phase, now_ms);
}

void
vp_http_budget_close (VpHttpBudget *budget, VpHttpBudgetEntry *entry, VpHttpCause cause)
{
  if (entry->phase == VP_HTTP_PHASE_CLOSING)
    return;
  budget->closed[cause]++;
  budget->connection_count--;
  _vp_http_budget_release (budget, entry);
  _vp_http_budget_end_request (budget, entry);
  _vp_http_budget_set_phase (budget, entry, VP_HTTP_PHASE_CLOSING, 0);
}

void
vp_http_budget_remove (VpHttpBudget *budget, VpHttpBudgetEntry *entry)
{
  if (entry->phase == VP_HTTP_PHASE_NONE)
    return;
  if (entry->phase != VP_HTTP_PHASE_CLOSING)
    budget->connection_count--;
  _vp_http_budget_release (budget, entry);
  _vp_http_budget_end_request (budget, entry);
  _vp_http_budget_set_phase (budget, entry, VP_HTTP_PHASE_NONE, 0);
  _vp_http_budget_remove_address (budget, entry->address);
}

/* Longest time without progress in @phase; INT64_MAX: not limited. */
static int64_t
_vp_http_budget_stall_max (const VpHttpBudget *budget, VpHttpPhase phase)
{
  const VpHttpLimits *limits = &budget->limits;
  int64_t slow_ms
      = (int64_t)(VP_HTTP_BUDGET_PROGRESS_BYTES * 1000 / limits->receive_bytes_per_s_min);

  switch (phase) {
  case VP_HTTP_PHASE_IDLE:
    return limits->idle_timeout_ms;
  case VP_HTTP_PHASE_SMALL:
  case VP_HTTP_PHASE_LARGE:
    return slow_ms;
  case VP_HTTP_PHASE_DISCARD:
    return MIN (slow_ms, VP_HTTP_BUDGET_DISCARD_MS);
  case VP_HTTP_PHASE_SENDING:
    return limits->send_timeout_ms;
  case VP_HTTP_PHASE_HEADERS: /* covered by the limit for the request */
  case VP_HTTP_PHASE_WAITING:
  case VP_HTTP_PHASE_CLOSING:
  case VP_HTTP_PHASE_NONE:
  case VP_HTTP_PHASE_COUNT:
    break;
  }
  return INT64_MAX;
}

/* Time at which the head of the phase's queue expires; INT64_MAX: none. */
static int64_t
_vp_http_budget_phase_end_ms (const VpHttpBudget *budget, VpHttpPhase phase)
{
  const VpHttpBudgetEntry *head = _vp_http_budget_head (budget, phase);
  int64_t stall_ms = _vp_http_budget_stall_max (budget, phase);

  return head == NULL || stall_ms == INT64_MAX ? INT64_MAX : head->progress_ms + stall_ms;
}

static int64_t
_vp_http_budget_request_end_ms (const VpHttpBudget *budget)
{
  const GList *head = budget->requests.head;
  const VpHttpBudgetEntry *entry = head == NULL ? NULL : head->data;

  return entry == NULL ? INT64_MAX : entry->began_ms + budget->limits.receive_timeout_ms;
}

VpHttpBudgetEntry *
vp_http_budget_expired (VpHttpBudget *budget, int64_t now_ms, VpHttpCause *cause)
{
  *cause = VP_HTTP_CAUSE_RECEIVE;
  if (_vp_http_budget_request_end_ms (budget) <= now_ms)
    return g_queue_peek_head (&budget->requests);
  for (int i = 0; i < VP_HTTP_PHASE_COUNT; i++) {
    if (_vp_http_budget_phase_end_ms (budget, (VpHttpPhase)i) > now_ms)
      continue;
    if (i == VP_HTTP_PHASE_IDLE)
      *cause = VP_HTTP_CAUSE_IDLE;
    else if (i == VP_HTTP_PHASE_SENDING)
      *cause = VP_HTTP_CAUSE_SEND;
    return _vp_http_budget_head (budget, (VpHttpPhase)i);
  }
  return NULL;
}

int64_t
vp_http_budget_next_ms (const VpHttpBudget *budget)
{
  int64_t next_ms = _vp_http_budget_request_end_ms (budget);

  for (int i = 0; i < VP_HTTP_PHASE_COUNT; i++)
    next_ms = MIN (next_ms, _vp_http_budget_phase_end_ms (budget, (VpHttpPhase)i));
  if (_vp_http_budget_has_freed (budget))
    next_ms = MIN (next_ms, budget->trim_next_ms);
  return next_ms;
}

/* Appends the counts that have changed. */
static bool
_vp_http_budget_report_counts (const char *name,
                               const uint64_t *counts,
                               uint64_t *reported,
                               GString *text)
{
  bool is_changed = false;

  for (int i = 0; i < VP_HTTP_CAUSE_COUNT; i++) {
    if (counts[i] == reported[i] || i == VP_HTTP_CAUSE_IDLE)
      continue;
    g_string_append_printf (text, "%s%s_%s=%" G_GUINT64_FORMAT, text->len > 0 ? " " : "", name,
                            vp_http_cause_names[i], counts[i] - reported[i]);
    reported[i] = counts[i];
    is_changed = true;
  }
  return is_changed;
}

bool
vp_http_budget_report (VpHttpBudget *budget, int64_t now_ms, char *out, size_t size)
{
  g_autoptr (GString) text = NULL;
  bool is_refused, is_closed;

  if (now_ms < budget->report_next_ms)
    return false;
  text = g_string_new (NULL);
  is_refused
      = _vp_http_budget_report_counts ("refused", budget->refused, budget->reported[0], text);
  is_closed = _vp_http_budget_report_counts ("closed", budget->closed, budget->reported[1], text);
  if (!is_refused && !is_closed)
    return false;
  budget->report_next_ms = now_ms + VP_HTTP_BUDGET_REPORT_MS;
  g_string_append_printf (text, " connections=%u bytes=%" G_GUINT64_FORMAT,
                          budget->connection_count, budget->charged_bytes);
  g_strlcpy (out, text->str, size);
  return true;
}

bool
vp_http_budget_is_trim_due (VpHttpBudget *budget, int64_t now_ms)
{
  if (!_vp_http_budget_has_freed (budget) || now_ms < budget->trim_next_ms)
    return false;
  budget->peak_bytes = _vp_http_budget_held_bytes (budget);
  budget->trim_next_ms = now_ms + VP_HTTP_BUDGET_TRIM_MS;
  return true;
}
