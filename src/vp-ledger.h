/* Durable log of the tasks that this DC accepted: intents to start them and their outcomes. It
 * covers accepted jobs and requests that must not be repeated.
 *
 *   VpLedger *ledger = vp_ledger_setup (&(VpLedgerDesc){ .dc = "nadi", .member = "nadi-1" });
 *   vp_ledger_open (ledger, now_ms, effects);              // after ownership was acquired
 *   while (vp_ledger_state (ledger) != VP_LEDGER_OPEN) ...  // pass on the store's results
 *   vp_ledger_put (ledger, &record, now_ms, effects);      // durable once a notice says so
 *   vp_ledger_take_notices (ledger, notices);              // GArray of VpLedgerNotice
 *
 * The store key ledger/<dc>/index holds the epoch and the first and last segment; the keys
 * ledger/<dc>/<n> hold the segments. Opening raises the epoch in the index by CAS, seals the last
 * segment and creates the next one, after which each write of an earlier owner conflicts. One
 * commit is in flight at a time. After a lost response the same CAS is sent again; if it conflicts,
 * it returns the value in the store, which shows whether the first one took effect.
 *
 * The caller must close the ledger as soon as its ownership ends. An opening that went on would
 * raise the epoch above the epoch of the next owner.
 */
#pragma once

#include "vp-event.h"
#include "vp-types.h"

typedef struct _VpLedger VpLedger;

typedef enum {
  VP_LEDGER_CLOSED,
  VP_LEDGER_OPENING,
  VP_LEDGER_OPEN,
  VP_LEDGER_FENCED, /* another owner raised the epoch; to be reopened with a new ownership */
} VpLedgerState;

typedef struct {
  const char *dc;
  const char *member;
  int64_t commit_ms;     /* interval of commits under load, shorter with few records; 0: 300 */
  int64_t segment_bytes; /* size from which a new segment is started; 0: 32,768 */
  uint32_t segments_max; /* segments with which the ledger is full; 0: 256 */
  int64_t retention_ms;  /* how long final records are kept; 0: 86,400,000 */
} VpLedgerDesc;

/* State of a task. vp_ledger_put() copies the record; vp_ledger_find() returns a borrowed pointer.
 */
typedef struct {
  VpTaskId task;
  VpTaskState state; /* QUEUED, STARTING, DONE, FAILED, CANCELLED, REFUSED, UNKNOWN, LOST */
  VpReason reason;
  uint64_t digest; /* vp_request_digest() */
  uint32_t attempt;
  char team[VP_NAME_MAX];
  char profile[VP_NAME_MAX];
  char worker[VP_NAME_MAX];
  uint64_t worker_boot; /* STARTING: boot of @worker when the start was decided; 0: not known */
  VpResources size;
  uint32_t task_count;
  bool is_repeatable;
  int64_t arrived_ms;
  int64_t start_by_ms;
  int64_t run_time_ms;
  int64_t ended_ms;
  GBytes *payload;    /* dropped when the record becomes final; may be NULL */
  GBytes *answer;     /* at most VP_LEDGER_ANSWER_MAX bytes; may be NULL */
  bool is_answer_cut; /* the answer was longer than VP_LEDGER_ANSWER_MAX and is not kept */
} VpLedgerRecord;

#define VP_LEDGER_ANSWER_MAX 4096
#define VP_LEDGER_RECORD_MAX 65536 /* largest size of an encoded record in bytes */

typedef struct {
  VpTaskId task;
  VpTaskState state; /* state in the record that was put */
  VpReason reason;   /* NONE: durable; STORE_DOWN or LEDGER_FULL: certainly not written;
                        OWNER_LOST: the ledger was fenced and the record may or may not have been
                        written. A fenced ledger gives STORE_DOWN for new records that it never
                        sent. */
} VpLedgerNotice;

VpLedger *vp_ledger_setup (const VpLedgerDesc *desc);
void vp_ledger_shutdown (VpLedger *ledger);
void vp_ledger_open (VpLedger *ledger, int64_t now_ms, VpEffects *effects);
/* Forgets all records; the state is CLOSED then. Puts whose result is unknown get no notice. */
void vp_ledger_close (VpLedger *ledger);
VpLedgerState vp_ledger_state (const VpLedger *ledger);
uint64_t vp_ledger_epoch (const VpLedger *ledger);

/* Queues a new version of a record. Returns NONE if it is queued, NO_OWNER if the ledger is not
 * open, and for a new record also STORE_DOWN while the store does not respond, LEDGER_FULL or
 * TOO_LARGE. A final record is always queued if the ledger is open. A new record that is not final
 * and can't be sent for 2 s is withdrawn: it is forgotten and gets a notice with STORE_DOWN. */
VpReason
vp_ledger_put (VpLedger *ledger, const VpLedgerRecord *record, int64_t now_ms, VpEffects *effects);
/* Latest version that was put or read, durable or not; NULL if the task is unknown. */
const VpLedgerRecord *vp_ledger_find (const VpLedger *ledger, VpTaskId task);
/* True if the latest version of the record is durable. */
bool vp_ledger_is_durable (const VpLedger *ledger, VpTaskId task);
void vp_ledger_foreach (const VpLedger *ledger,
                        void (*visit) (const VpLedgerRecord *record, void *data),
                        void *data);

/* Counts the start of a task, in the ledger or not: the rate of starts determines the interval of
 * commits. */
void vp_ledger_note_start (VpLedger *ledger, int64_t now_ms);

void vp_ledger_tick (VpLedger *ledger, int64_t now_ms, VpEffects *effects);
void vp_ledger_store_result (VpLedger *ledger,
                             const VpStoreResult *result,
                             int64_t now_ms,
                             VpEffects *effects);
/* Moves the notices that are due to the end of @notices (VpLedgerNotice). */
void vp_ledger_take_notices (VpLedger *ledger, GArray *notices);
/* True if no record waits to be written or for its result. */
bool vp_ledger_is_idle (const VpLedger *ledger);
int64_t vp_ledger_next_ms (const VpLedger *ledger);
/* Number of commits, records and bytes written since the setup, and of segments that exist now. */
void vp_ledger_counts (const VpLedger *ledger,
                       uint64_t *commits,
                       uint64_t *records,
                       uint64_t *bytes,
                       uint32_t *segments);
