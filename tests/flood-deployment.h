/* Deployments of the real daemons for the floods of test-client-flood.c, and samples of what their
 * processes use.
 *
 *   FloodDeployment deployment;
 *   flood_deployment_start_cell (&deployment, settings);  // or flood_deployment_start_entries()
 *   flood_deployment_sample (&deployment);                // again and again during the flood
 *   ... check deployment.processes ...
 *   flood_deployment_stop (&deployment);
 *
 * The cell is verbenapulley-celld with stand-ins of the platform's store and workers, which run in
 * a process of their own: main() of the test passes on to flood_stand_ins_main(). The entries are
 * verbenapulleyd with the stand-ins of cluster.h. All functions use the thread of main(), since the
 * processes are killed when the thread that started them ends.
 */
#pragma once

#include "cluster.h"
#include "soak.h"

#include <gio/gio.h>

#define FLOOD_NODE_COUNT    3
#define FLOOD_PROCESSES_MAX 8
#define FLOOD_JOB_COUNT     10 /* jobs that the stand-ins know */
#define FLOOD_STAND_INS     "--stand-ins"
#define FLOOD_ENTRY_KEY     "red-key"
#define FLOOD_CALLERS_PORT  7100
#define FLOOD_READY_PORT    7110
#define FLOOD_PEER_PORT     7120
#define FLOOD_WAIT_MS       60000 /* until something must have happened that takes seconds */
#define FLOOD_POLL_US       50000

typedef struct {
  char name[32];
  GPid pid;
  GSubprocess *subprocess; /* NULL: a process of @cluster */
  uint64_t calm_kib;       /* peak of resident memory before the flood */
  uint64_t peak_kib;
  uint32_t peak_descriptors;
  bool is_alive;
  bool is_stand_in;
} FloodProcess;

typedef struct {
  FloodProcess processes[FLOOD_PROCESSES_MAX];
  uint32_t process_count;
  char prefix[16];  /* first three bytes of the addresses; the first node is PREFIX.1 */
  char *dir;        /* settings and logs of the nodes */
  Cluster *cluster; /* NULL: a cell */
} FloodDeployment;

/* Starts the processes and waits until all of them serve. @settings are additional fields of the
 * settings of each. */
void flood_deployment_start_cell (FloodDeployment *deployment, const char *settings);
void flood_deployment_start_entries (FloodDeployment *deployment, const char *settings);
/* Keeps the logs if the test has failed. */
void flood_deployment_stop (FloodDeployment *deployment);
/* Updates the peaks of all processes. Returns false if one has ended. */
bool flood_deployment_sample (FloodDeployment *deployment);
/* Makes one ordinary request to node @host, and asks whether it is ready; of entries always to the
 * first one. May be called on any thread. */
bool flood_deployment_is_serving (const FloodDeployment *deployment, uint32_t host);
/* Repeats that until it succeeds, as a process may refuse some requests until it has recovered.
 * Returns false after FLOOD_WAIT_MS, or if a process has ended. */
bool flood_deployment_wait_serving (FloodDeployment *deployment, uint32_t host);
/* Job @number below FLOOD_JOB_COUNT. */
SimJob *flood_job_new (uint32_t number);
/* Runs the stand-ins; @prefix is that of the deployment. */
int flood_stand_ins_main (const char *prefix);
