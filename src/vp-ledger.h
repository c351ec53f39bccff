/* Durable intents and outcomes of requests that may not be repeated and of accepted jobs.
 *
 *   VpLedger *ledger = vp_ledger_setup (&(VpLedgerDesc){ .dc = "nadi", .member = "nadi-1" });
 *   vp_ledger_open (ledger, now_ms, effects);              // after ownership was acquired
 *   while (vp_ledger_state (ledger) != VP_LEDGER_OPEN) ...  // feed store results
 *   vp_ledger_put (ledger, &record, now_ms, effects);      // durable when noticed
 *   vp_ledger_take_notices (ledger, notices);              // GArray of VpLedgerNotice
 *
 * Store keys: ledger/<dc>/index {epoch, first, last}, ledger/<dc>/<n> segments. Opening raises the
 * epoch in the index by CAS, seals the last segment and creates the next one, after which a write
 * of an earlier owner conflicts. One commit is in flight at a time; a lost answer is resolved by
 * the same CAS again, whose conflict returns what stands there. Close the ledger as soon as
 * ownership ends: an opening that goes on would raise the epoch over the next owner's.
 */
#pragma once

#include "vp-event.h"
#include "vp-types.h"

typedef struct _VpLedger VpLedger;

typedef enum {
  VP_LEDGER_CLOSED,
  VP_LEDGER_OPENING,
  VP_LEDGER_OPEN,
  VP_LEDGER_FENCED, /* another owner raised the epoch; reopen after ownership is held again */
} VpLedgerState;

typedef struct {
  const char *dc;
  const char *member;
  int64_t commit_ms;     /* time between commits under load, shorter with few records; 0: 300 */
  int64_t segment_bytes; /* 0: 32,768 */
  uint32_t segments_max; /* 0: 256; full beyond that */
  int64_t retention_ms;  /* of final records; 0: 86,400,000 */
} VpLedgerDesc;

/* Reference counted by the ledger; put copies, find returns a borrowed pointer. */
typedef struct {
  VpTaskId task;
  VpTaskState state; /* QUEUED, STARTING, DONE, FAILED, CANCELLED, REFUSED, UNKNOWN, LOST */
  VpReason reason;
  uint64_t digest; /* vp_request_digest() */
  uint32_t attempt;
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  char worker[VP_NAME_MAX];
  uint64_t worker_boot; /* STARTING: of the worker when the attempt was decided; 0: not known */
  VpResources size;
  uint32_t task_count;
  bool is_repeatable;
  int64_t arrived_ms;
  int64_t start_by_ms;
  int64_t run_time_ms;
  int64_t ended_ms;
  GBytes *payload;    /* dropped once the record is final; may be NULL */
  GBytes *answer;     /* at most VP_LEDGER_ANSWER_MAX bytes; may be NULL */
  bool is_answer_cut; /* the answer was longer than that and is not kept */
} VpLedgerRecord;

#define VP_LEDGER_ANSWER_MAX 4096
#define VP_LEDGER_RECORD_MAX 65536 /* bytes of an encoded record */

typedef struct {
  VpTaskId task;
  VpTaskState state; /* the state that was put */
  VpReason reason;   /* NONE: durable; STORE_DOWN or LEDGER_FULL: certainly not written;
                        OWNER_LOST: fenced, it may or may not have been written. A fenced ledger
                        notices STORE_DOWN for new records that were never sent. */
} VpLedgerNotice;

VpLedger *vp_ledger_setup (const VpLedgerDesc *desc);
void vp_ledger_shutdown (VpLedger *ledger);
void vp_ledger_open (VpLedger *ledger, int64_t now_ms, VpEffects *effects);
/* Forgets everything read; the state is CLOSED. Unsettled puts get no notice. */
void vp_ledger_close (VpLedger *ledger);
VpLedgerState vp_ledger_state (const VpLedger *ledger);
uint64_t vp_ledger_epoch (const VpLedger *ledger);

/* Queues a new version of a record. NONE if queued; STORE_DOWN while the store does not answer and
 * the record is new; LEDGER_FULL; TOO_LARGE; NO_OWNER if not open. A final record is always queued
 * if the ledger is open. A new record that is not final and can't be sent for 2 s is withdrawn,
 * forgotten, and noticed with STORE_DOWN. */
VpReason
vp_ledger_put (VpLedger *ledger, const VpLedgerRecord *record, int64_t now_ms, VpEffects *effects);
/* Latest version put or read, durable or not; NULL if unknown. */
const VpLedgerRecord *vp_ledger_find (const VpLedger *ledger, VpTaskId task);
/* True if the latest version of the record is durable. */
bool vp_ledger_is_durable (const VpLedger *ledger, VpTaskId task);
void vp_ledger_foreach (const VpLedger *ledger,
                        void (*visit) (const VpLedgerRecord *record, void *data),
                        void *data);

/* A task was started, durable or not: the rate of starts bounds the rate of commits. */
void vp_ledger_note_start (VpLedger *ledger, int64_t now_ms);

void vp_ledger_tick (VpLedger *ledger, int64_t now_ms, VpEffects *effects);
void vp_ledger_store_result (VpLedger *ledger,
                             const VpStoreResult *result,
                             int64_t now_ms,
                             VpEffects *effects);
/* Moves the notices that are due to @notices (VpLedgerNotice). */
void vp_ledger_take_notices (VpLedger *ledger, GArray *notices);
/* True if nothing waits to be written. */
bool vp_ledger_is_idle (const VpLedger *ledger);
int64_t vp_ledger_next_ms (const VpLedger *ledger);
/* Counters since setup: commits, records and bytes written; segments that exist now. */
void vp_ledger_counts (const VpLedger *ledger,
                       uint64_t *commits,
                       uint64_t *records,
                       uint64_t *bytes,
                       uint32_t *segments);
