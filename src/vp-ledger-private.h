/* Shared by the files of the ledger:
 *  - vp-ledger.c: puts, commits, notices
 *  - vp-ledger-open.c: opening, which reads the segments and fences earlier owners
 *  - vp-ledger-compact.c: expiry of records, copying of live records, deletion of segments
 *
 * One write is in flight at a time, and segment n+1 is created only after the last write of segment
 * n was confirmed. A write of an earlier owner is therefore either for the last existing segment or
 * for the creation of the next one. A new owner makes both conflict by sealing the last segment and
 * creating the next one. If the creation conflicts, the new owner takes the segment that the
 * earlier owner created, seals it too, and repeats the step.
 */
#pragma once

#include "vp-ledger.h"
#include "vp-msg.h"

/* Up to VP_LEDGER_RATE_LOW puts or starts a second, each owner may write every
 * VP_LEDGER_COMMIT_MIN_MS, which the store can take. The interval grows with the rate up to
 * VP_LEDGER_RATE_HIGH, from which on six owners together stay within 60 writes per 1,000 starts. */
#define VP_LEDGER_COMMIT_MIN_MS 50
#define VP_LEDGER_RATE_LOW      25
#define VP_LEDGER_RATE_HIGH     40
/* Shortest time over which the rate of a new window is computed. */
#define VP_LEDGER_RATE_SPAN_MIN_MS 100
/* Delay before a store operation that failed is sent again. */
#define VP_LEDGER_RETRY_MS 200
/* A new record that could not be sent for this time is withdrawn. */
#define VP_LEDGER_WITHDRAW_AFTER_MS 2000
/* Size from which a commit takes no further records; store values are at most 1 MiB. */
#define VP_LEDGER_COMMIT_BYTES (256 * 1024)
/* Reads in flight while the ledger opens. */
#define VP_LEDGER_READS_MAX 8
/* Number of unused segments that are worth a write of the index. */
#define VP_LEDGER_TRIM_BATCH 8

typedef struct {
  VpLedgerRecord record; /* latest version */
  uint64_t seq;          /* sequence number of the latest version */
  uint64_t sent_seq;     /* sequence number of the version in the write in flight */
  uint64_t durable_seq;  /* sequence number of the durable version */
  uint64_t segment;      /* segment with the durable version; 0: no version is durable */
  size_t size;           /* bytes of the durable version */
  bool is_dirty;         /* waits in the dirty queue */
  bool is_in_flight;     /* a version is in the write in flight */
  bool is_expiring;      /* waits in the expiry queue */
} VpLedgerEntry;

/* A put that has not got its notice yet. */
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
  uint32_t live_count; /* entries whose durable version is in this segment */
  bool is_copied;      /* its entries were queued to be written again */
  GArray *tasks;       /* VpTaskId of each record that was written to this segment */
} VpLedgerSegment;

/* A segment that the index no longer names and that has to be deleted. */
typedef struct {
  uint64_t number;
  uint64_t version; /* 0: not known yet */
} VpLedgerDeletion;

/* One write of the current segment. It is sent again with the same bytes until its result is known.
 */
typedef struct {
  uint64_t token;        /* 0: not in flight */
  uint64_t number;       /* number of the segment */
  uint64_t base_version; /* version that the write replaces; 0: it creates the segment */
  GBytes *value;         /* NULL: there is no write */
  VpMsgSegment content;  /* decoded @value */
  GArray *tasks;         /* VpTaskId of the records in this commit */
  bool is_uncertain;     /* an earlier try may have taken effect */
  int64_t retry_ms;
} VpLedgerWrite;

/* A segment that is read while the ledger opens. */
typedef struct {
  uint64_t number;
  uint64_t version; /* 0: the segment does not exist */
  uint64_t token;   /* read in flight; 0: none */
  bool is_known;    /* version and content were read or written */
  size_t bytes;
  VpMsgSegment content;
} VpLedgerSegmentRead;

typedef enum {
  VP_LEDGER_READ_INDEX,
  VP_LEDGER_RAISE_EPOCH,
  VP_LEDGER_READ_SEGMENTS,
  VP_LEDGER_SEAL_LAST,
  VP_LEDGER_CREATE_SEGMENT,
  VP_LEDGER_VERIFY_VERSIONS, /* reads segments again for which a read was stale */
} VpLedgerPhase;

typedef struct {
  VpLedgerPhase phase;
  uint64_t token;     /* operation of the phase; 0: none in flight */
  GBytes *sent_value; /* value of the CAS of the phase */
  int64_t retry_ms;
  GPtrArray *reads; /* VpLedgerSegmentRead* with consecutive numbers */
} VpLedgerOpening;

struct _VpLedger {
  VpLedgerDesc desc;
  VpLedgerState state;
  char prefix[VP_STORE_KEY_MAX];
  VpMsgIndex index;
  uint64_t index_version;
  VpLedgerOpening opening;

  GHashTable *entries;  /* VpTaskId* in the entry -> VpLedgerEntry* */
  GQueue dirty;         /* VpTaskId* (owned) */
  GQueue puts;          /* VpLedgerPut* (owned), oldest first */
  GQueue expiring;      /* VpTaskId* (owned) of final records, to be expired */
  GArray *notices;      /* VpLedgerNotice */
  GPtrArray *segments;  /* VpLedgerSegment, oldest first; the last one is the current one */
  VpMsgSegment current; /* durable content of the current segment */
  VpLedgerWrite write;
  int64_t opened_ms;
  int64_t next_commit_ms;
  int64_t rate_window_ms; /* start of the window that counts puts and starts */
  uint32_t put_count, start_count;
  uint32_t puts_per_s, starts_per_s; /* rates of the last full window */
  int64_t next_withdraw_ms;          /* when the next put is withdrawn; INT64_MAX: never */
  uint32_t failure_count;            /* store failures in a row */

  size_t total_bytes;  /* of all segments */
  size_t live_bytes;   /* of the durable versions of all entries */
  GArray *deletions;   /* VpLedgerDeletion */
  uint64_t trim_token; /* index write, read or deletion in flight; 0: none */
  GBytes *trim_value;  /* index that is being written; NULL: none */
  uint64_t trim_first; /* first segment in @trim_value */
  int64_t trim_retry_ms;

  uint64_t next_token;
  uint64_t next_seq;
  uint64_t commit_count, record_count, byte_count;
};

/* Adds a store operation with a new token. */
VpStoreOp *
_vp_ledger_store_op (VpLedger *ledger,
                     VpStoreKind kind,
                     const char *name, /* key without the prefix; NULL: segment @number */
                     uint64_t number,
                     VpEffects *effects);
/* Ends writing because another owner wrote. All waiting puts get a notice. */
void _vp_ledger_fence (VpLedger *ledger, VpEffects *effects);
VpLedgerEntry *_vp_ledger_find_entry (const VpLedger *ledger, VpTaskId task);
void _vp_ledger_mark_dirty (VpLedger *ledger, VpLedgerEntry *entry);
VpLedgerSegment *
_vp_ledger_add_segment (VpLedger *ledger, uint64_t number, uint64_t version, size_t bytes);
VpLedgerSegment *_vp_ledger_find_segment (const VpLedger *ledger, uint64_t number);
/* Records that @segment holds the durable version of @entry with @size bytes; NULL: none does. */
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
