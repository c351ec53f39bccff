/* State shared by the parts of a soak run: options, jobs, store, links and counters.
 *
 * The event loop of fake-http.h runs the stand-ins, the links and the faults. Callers run on their
 * own threads. Both hold @lock while they use @jobs or the counters.
 */
#pragma once

#include "fake-forward.h"
#include "simcell-evacuations.h"
#include "simcell-jobs.h"
#include "store.h"

#define SOAK_WORKERS_MAX 64
#define SOAK_CONTACT_MS  3000 /* the platform's contact_ms */
#define SOAK_DCS         2    /* nodes and workers are spread over them by their numbers */
#define SOAK_HOST        "soak.example"
#define SOAK_KEY         "soak-key"

typedef struct {
  uint32_t seed;
  uint32_t node_count;
  uint32_t worker_count;
  uint32_t caller_count;
  int64_t fault_duration_ms;     /* length of the phase with faults */
  int64_t completion_timeout_ms; /* for accepted jobs, from the end of the faults */
  int64_t faults_ended_ms;       /* 0 while faults are active; atomic */
  char address_prefix[16];       /* first three bytes of this run's IPv4 addresses */
  const char
      *long_text; /* part of names, labels, tickets and checkpoints; empty in every other run */
  const char *log_dir;
  GMutex lock;
  SimCellJobs jobs;
  SoakStore *store;
  FakeMapping *caller_links[SOAK_NODES_MAX]; /* links from the callers to each node */
  uint32_t accepted_count;
  uint32_t completed_count;
  uint32_t refused_count;
  uint32_t uncertain_count;
  uint32_t cancelled_count;       /* confirmed cancellations */
  GHashTable *cancel_unknown;     /* ids of jobs whose cancellation was answered 410 */
  uint32_t measured_count;        /* jobs of a measurement; 0: faults are injected */
  int64_t paused_until_ms;        /* a paused process is in touch again after this time */
  int64_t queue_missing_ms;       /* until then a node may not have the queue "plain"; atomic */
  SimCellEvacuations evacuations; /* used by the event loop only */
  int64_t store_outage_ms;        /* latest time at which a node didn't reach the store */
  bool is_stopping;               /* tells the callers to return; atomic */
  void (*kill_processes) (void);  /* kills the processes under test before a failed run exits */
} Soak;

/* Prints a line with the time since the begin of the run. */
void soak_log (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Prints the seed and the message to stderr, kills the processes under test and exits with a
 * failure. */
void soak_fail (const Soak *soak, const char *format, ...) G_GNUC_PRINTF (2, 3) G_GNUC_NORETURN;
