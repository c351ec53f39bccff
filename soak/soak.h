/* Shared state of a soak run: jobs, workers, settings, the lock.
 *
 * The loop of fake-http.h runs the stand-ins, the links and the faults; callers run on threads of
 * their own. Both hold @lock while they use @jobs.
 */
#pragma once

#include "fake-forward.h"
#include "store.h"
#include "world-jobs.h"

#define SOAK_WORKERS_MAX 64
#define SOAK_HOST        "soak.example"
#define SOAK_KEY         "soak-key"

typedef struct {
  uint32_t seed;
  uint32_t node_count;
  uint32_t worker_count;
  uint32_t caller_count;
  int64_t fault_duration_ms;     /* faults come for this long */
  int64_t completion_timeout_ms; /* then everything that was accepted must end within this */
  int64_t faults_ended_ms;       /* when the faults ended; 0: not yet */
  char address_prefix[16];       /* first three numbers of the addresses of this run */
  const char *log_dir;
  GMutex lock;
  WorldJobs jobs;
  SoakStore *store;
  FakeMap *caller_links[SOAK_NODES_MAX]; /* links of callers to the nodes */
  uint32_t accepted_count;
  uint32_t completed_count;
  uint32_t refused_count;
  uint32_t uncertain_count;
  bool is_stopping; /* callers end */
  void (*kill_processes) (
      void); /* ends the processes under test; called before a failed run exits */
} Soak;

/* Prints the line with the seed and ends the run as failed. */
void soak_fail (const Soak *soak, const char *format, ...) G_GNUC_PRINTF (2, 3) G_GNUC_NORETURN;
