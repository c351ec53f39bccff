/* Shared by the files of the ledger: vp-ledger.c (puts, commits, notices), vp-ledger-open.c
 * (recovery) and vp-ledger-compact.c (expiry, copying forward, deleting).
 *
 * Segment n+1 is created only after the last write of segment n was confirmed, with one write in
 * flight at a time. So a new owner that seals the last existing segment and then creates the one
 * after it has made every write of an earlier owner conflict: that write is for the sealed segment
 * or for the creation of the next one. If the creation conflicts, the earlier owner's segment is
 * read, sealed too, and the step is repeated.
 */
#pragma once

#include "vp-ledger.h"
#include "vp-msg.h"

/* Up to this rate of puts and of starts the store can take a write every VP_LEDGER_COMMIT_MIN_MS
 * from each owner; from the higher one on, commits are spaced so that six owners together stay
 * within 60 writes per 1,000 starts. */
#define VP_LEDGER_COMMIT_MIN_MS 50
#define VP_LEDGER_RATE_LOW      25
#define VP_LEDGER_RATE_HIGH     40
#define VP_LEDGER_RATE_SPAN_MIN_MS                                                                 \
  100 /* the rate of a window that has just begun counts over this */
#define VP_LEDGER_RETRY_MS          200
#define VP_LEDGER_WITHDRAW_AFTER_MS 2000 /* a new intent that could not be sent is withdrawn */
#define VP_LEDGER_COMMIT_BYTES      (256 * 1024) /* of one group commit; values are at most 1 MiB */
#define VP_LEDGER_READS_MAX         8            /* reads in flight during recovery */
#define VP_LEDGER_TRIM_BATCH        8            /* segments that one write of the index drops */

typedef struct {
  VpLedgerRecord record; /* latest version */
  uint64_t seq;          /* of the latest version */
  uint64_t sent_seq;     /* in the write in flight */
  uint64_t durable_seq;
  uint64_t segment; /* that holds the durable version; 0: none is durable */
  size_t size;      /* of the durable version */
  bool is_dirty;    /* waits in the dirty queue */
  bool is_in_flight;
  bool is_expiring; /* waits in the expiry queue */
} VpLedgerEntry;

typedef struct {
  VpTaskId task;
  VpTaskState state;
  uint64_t seq;
  int64_t put_ms;
} VpLedgerPut;

typedef struct {
  uint64_t number;
  uint64_t version;
  size_t bytes;
  uint32_t live_count; /* entries whose durable version is here */
  bool is_copied;      /* its entries were queued to be written again */
  GArray *tasks;       /* VpTaskId, of every record that was written here */
} VpLedgerSegment;

/* A segment that no longer counts and has to be deleted. */
typedef struct {
  uint64_t number;
  uint64_t version; /* 0: not known */
} VpLedgerDeletion;

/* One write of the current segment; sent again with the same bytes until it is resolved. */
typedef struct {
  uint64_t token; /* 0: not in flight */
  uint64_t number;
  uint64_t base_version; /* version that it replaces; 0: creates the segment */
  GBytes *value;         /* NULL: there is no write */
  VpMsgSegment content;
  GArray *tasks;     /* VpTaskId, the batch */
  bool is_uncertain; /* an earlier try may have taken effect */
  int64_t retry_ms;
} VpLedgerWrite;

typedef struct {
  uint64_t number;
  uint64_t version; /* 0: it does not exist */
  uint64_t token;   /* of the read in flight */
  bool is_known;
  size_t bytes;
  VpMsgSegment content;
} VpLedgerSegmentRead;

typedef enum {
  VP_LEDGER_READ_INDEX,
  VP_LEDGER_RAISE_EPOCH,
  VP_LEDGER_READ_SEGMENTS,
  VP_LEDGER_SEAL_LAST,
  VP_LEDGER_CREATE_SEGMENT,
  VP_LEDGER_VERIFY_VERSIONS, /* reads segments again that a stale read returned */
} VpLedgerPhase;

typedef struct {
  VpLedgerPhase phase;
  uint64_t token;     /* of the operation of the phase */
  GBytes *sent_value; /* value of the CAS of the phase */
  int64_t retry_ms;
  GPtrArray *reads; /* VpLedgerSegmentRead, consecutive numbers */
} VpLedgerOpening;

struct _VpLedger {
  VpLedgerDesc desc;
  VpLedgerState state;
  char prefix[VP_STORE_KEY_MAX];
  VpMsgIndex index;
  uint64_t index_version;
  VpLedgerOpening opening;

  GHashTable *entries;  /* VpTaskId* (in the entry) -> VpLedgerEntry* */
  GQueue dirty;         /* VpTaskId* (owned) */
  GQueue puts;          /* VpLedgerPut* (owned), in order */
  GQueue expiring;      /* VpTaskId* (owned) of final records */
  GArray *notices;      /* VpLedgerNotice */
  GPtrArray *segments;  /* VpLedgerSegment, oldest first; the last one is the current one */
  VpMsgSegment current; /* durable content of the current segment */
  VpLedgerWrite write;
  int64_t opened_ms;
  int64_t next_commit_ms;
  int64_t rate_window_ms; /* start of the window in which puts and starts are counted */
  uint32_t put_count, start_count;
  uint32_t puts_per_s, starts_per_s; /* of the last full window */
  int64_t next_withdraw_ms;          /* when the next put has waited too long; INT64_MAX: none */
  uint32_t failure_count;            /* store failures in a row */

  size_t total_bytes;
  size_t live_bytes;
  GArray *deletions;     /* VpLedgerDeletion */
  uint64_t trim_token; /* of the operation in flight */
  GBytes *trim_value;  /* index being written */
  uint64_t trim_first; /* its first segment */
  int64_t trim_retry_ms;

  uint64_t next_token;
  uint64_t next_seq;
  uint64_t commit_count, record_count, byte_count;
};

VpStoreOp *
_vp_ledger_store_op (VpLedger *ledger,
                     VpStoreKind kind,
                     const char *name, /* of the key below the prefix; NULL: segment @number */
                     uint64_t number,
                     VpEffects *effects);
/* Another owner wrote: notices for what is not settled, and no more writes. */
void _vp_ledger_fence (VpLedger *ledger, VpEffects *effects);
VpLedgerEntry *_vp_ledger_find_entry (const VpLedger *ledger, VpTaskId task);
void _vp_ledger_mark_dirty (VpLedger *ledger, VpLedgerEntry *entry);
VpLedgerSegment *
_vp_ledger_add_segment (VpLedger *ledger, uint64_t number, uint64_t version, size_t bytes);
VpLedgerSegment *_vp_ledger_find_segment (const VpLedger *ledger, uint64_t number);
/* The durable version of @entry is now in @segment; NULL: in none. */
void _vp_ledger_set_location (VpLedger *ledger,
                              VpLedgerEntry *entry,
                              VpLedgerSegment *segment,
                              size_t size);
/* Queues a final record for expiry. */
void _vp_ledger_schedule_expiry (VpLedger *ledger, VpLedgerEntry *entry);

void _vp_ledger_opening_clear (VpLedger *ledger);
void _vp_ledger_opening_tick (VpLedger *ledger, int64_t now_ms, VpEffects *effects);
void _vp_ledger_opening_result (VpLedger *ledger,
                                const VpStoreResult *result,
                                int64_t now_ms,
                                VpEffects *effects);

void _vp_ledger_compact_tick (VpLedger *ledger, int64_t now_ms, VpEffects *effects);
void _vp_ledger_compact_result (VpLedger *ledger,
                                const VpStoreResult *result,
                                int64_t now_ms,
                                VpEffects *effects);
