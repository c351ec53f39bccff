/* A cluster of daemons and stand-ins on loopback addresses, for integration tests and the demo.
 *
 *   const char *dcs[] = { "nadi", "ba", NULL };
 *   Cluster *cluster = cluster_start (&(ClusterDesc){ .base = 31, .dcs = dcs, .entries_per_dc = 2,
 *                                                     .worker_count = 6, .config = json });
 *   cluster_wait_owners (cluster);
 *   cluster_set_dc_fault (cluster, 0, CLUSTER_LINK_ALL, "cut", 0);
 *   cluster_signal_entry (cluster, 1, SIGKILL);
 *   cluster_stop (cluster);
 *
 * Addresses are 127.<base>.x.y, so tests with different bases run at the same time. Processes are
 * started from the thread that called cluster_start() only: they die with that thread. Waits have
 * deadlines and fail the test (g_error) when they pass.
 */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

#define CLUSTER_OPERATOR_KEY    "operator-key" /* of the operator "ops" in every settings file */
#define CLUSTER_WAIT_TIMEOUT_MS 30000 /* deadline of waits; far above what is ever needed */

typedef struct {
  uint8_t base;           /* second byte of all addresses */
  const char *const *dcs; /* NULL-terminated */
  uint32_t entries_per_dc;
  uint32_t worker_count; /* of all DCs, spread evenly, eight to a rack */
  uint32_t accel_every;  /* each n-th worker has an accelerator; 0: none */
  int64_t cpu_milli;     /* of a worker; 0: 16,000 */
  int64_t mem_mib;       /* 0: 32,768 */
  uint32_t slots;        /* 0: 8 */
  const char *settings;  /* more fields of the settings, as `"owner_ttl_ms":800`; NULL: none */
  const char *config;    /* the operators' configuration; NULL: config.json in @dir */
  const char *dir;       /* with files written before, if @is_direct; NULL: a temporary one */
  bool is_direct;        /* no proxies between the processes */
  const char *daemon;    /* file name in the build directory; NULL: verbenapulleyd */
} ClusterDesc;

typedef struct {
  char name[32], dc[32], http[32], peer[32];
  uint32_t dc_index;
  pid_t pid; /* 0: not running */
  bool is_paused;
} ClusterEntry;

typedef struct {
  char name[32], address[32]; /* not through a proxy */
  uint32_t dc_index;
  int64_t cpu_milli, mem_mib, accel_count;
} ClusterWorker;

typedef struct {
  ClusterDesc desc;
  char *dir, *log_dir, *bin_dir;
  char store[32], balancer[32], proxy[32];
  GArray *entries; /* ClusterEntry */
  GArray *workers; /* ClusterWorker */
  GArray *links;   /* private */
  GArray *pids;    /* of the stand-ins */
} Cluster;

/* Links from an entry process. */
typedef enum {
  CLUSTER_LINK_STORE = 1,
  CLUSTER_LINK_VMLIST = 2,
  CLUSTER_LINK_PEER = 4,
  CLUSTER_LINK_WORKER = 8,
  CLUSTER_LINK_ALL = 15,
} ClusterLinkKind;

/* Writes settings.json for each entry process, VM lists and config.json to @dir. */
Cluster *cluster_new (const ClusterDesc *desc, bool writes_files);
/* cluster_new() and starts everything; returns when all processes listen. */
Cluster *cluster_start (const ClusterDesc *desc);
void cluster_start_processes (Cluster *cluster);
void cluster_stop (Cluster *cluster);
/* Starts a program of the build directory and waits for "ready" on its stdout. @argv[0] is its
 * name. */
pid_t cluster_spawn (Cluster *cluster, const char *const *argv);

ClusterEntry *cluster_entry (Cluster *cluster, uint32_t index);
ClusterWorker *cluster_worker (Cluster *cluster, uint32_t index);
/* @signal_number SIGKILL and SIGTERM wait for its end; SIGSTOP and SIGCONT return at once. */
void cluster_signal_entry (Cluster *cluster, uint32_t index, int signal_number);
/* Starts it empty. @has_new_address: on another address, which the others must learn from itself. */
void cluster_restart_entry (Cluster *cluster, uint32_t index, bool has_new_address);
/* The entry process that says it owns the DC and knows its workers' tasks; -1: none. */
int cluster_owner (Cluster *cluster, uint32_t dc_index);
/* Until each DC with a running entry process has an owner. */
void cluster_wait_owners (Cluster *cluster);
/* Until an entry process other than @excluded_index owns the DC. */
uint32_t cluster_wait_owner (Cluster *cluster, uint32_t dc_index, int excluded_index);
/* Replaces the operators' configuration through entry process @index; waits until it is taken. */
void cluster_put_config (Cluster *cluster, uint32_t index, const char *config);

/* Faults on links, modes of fake-proxy. Of one entry process, to and from it: */
void cluster_set_entry_fault (Cluster *cluster,
                              uint32_t index,
                              unsigned kinds,
                              const char *mode,
                              int64_t delay_ms);
/* Between a DC and everything outside; its own workers and entry processes are reached. */
void cluster_set_dc_fault (Cluster *cluster,
                           uint32_t dc_index,
                           unsigned kinds,
                           const char *mode,
                           int64_t delay_ms);
/* Messages of one entry process to another; the way back is a link of its own. */
void cluster_set_peer_fault (Cluster *cluster,
                             uint32_t from,
                             uint32_t to,
                             const char *mode,
                             int64_t delay_ms);
/* From all entry processes to one worker. */
void
cluster_set_worker_fault (Cluster *cluster, uint32_t worker, const char *mode, int64_t delay_ms);
/* All links pass again. */
void cluster_clear_faults (Cluster *cluster);

/* An answer. @status 0: the connection broke and the request may have arrived; -1: it certainly
 * was not sent. */
typedef struct {
  int status;
  int64_t retry_after_s;
  GString *body;
} ClusterReply;

/* A kept-alive connection; fd -1: not connected. */
typedef struct {
  char address[32];
  int fd;
} ClusterClient;

void cluster_reply_clear (ClusterReply *reply);
/* @key and @body may be NULL. */
void cluster_client_call (ClusterClient *client,
                          const char *method,
                          const char *path,
                          const char *key,
                          const char *body,
                          int64_t timeout_ms,
                          ClusterReply *reply);
void cluster_client_close (ClusterClient *client);
/* One call on its own connection; returns the status. @out (may be NULL): the body as an object,
 * NULL if it is none. */
int cluster_http_call (const char *address,
                       const char *method,
                       const char *path,
                       const char *key,
                       const char *body,
                       JsonObject **out);
/* POST /control of a stand-in; fails the test unless it is taken. */
void cluster_post_control (const char *address, const char *body);

/* A request of the load generator and what became of it. */
typedef struct {
  char team[32], profile[32], identity[64], key[64];
  char *body;         /* of POST /v1/tasks */
  int64_t send_at_ms; /* after the start of the load */
  uint32_t members;   /* of a gang; 0: 1 */
  bool is_repeatable, is_waiting;
  int64_t sent_ms, answered_ms; /* of the first try; of the final outcome; monotonic */
  int status;                   /* of the last answer; 0, -1: none */
  uint32_t tries;
  uint32_t disconnect_count; /* tries whose connection ended without a whole answer */
  bool is_accepted;          /* 200, 202 or an outcome was seen for it */
  char task[33], state[16], reason[32], run[8];
  uint64_t answer_hash; /* g_str_hash() of "answer"; 0: none */
} ClusterRequest;

typedef struct {
  const char *address;
  ClusterRequest *requests; /* by send_at_ms */
  uint32_t count, thread_count;
  int64_t timeout_ms;     /* from the start of the load to the last outcome */
  uint32_t tries_max;     /* submissions of one request; 0: no bound */
  uint32_t sent, settled; /* atomic; progress */
  uint32_t next;          /* atomic */
  int64_t start_ms;
  GPtrArray *threads;
} ClusterLoad;

/* Sends each request at its time and follows it to its outcome: a broken connection, or a refusal
 * as not run that may pass, is sent again with the same identity; an accepted one is queried. */
void cluster_load_start (ClusterLoad *load);
void cluster_load_join (ClusterLoad *load);

bool cluster_request_is_final (const ClusterRequest *request);

/* Counters of all workers. */
typedef struct {
  GHashTable *runs; /* task as 32 hex -> how often member 0 was started */
  int64_t started;
  uint32_t overcommitted; /* workers that ran more than they have */
} ClusterWorkerCounts;

void cluster_worker_counts_read (Cluster *cluster, ClusterWorkerCounts *counts);
void cluster_worker_counts_clear (ClusterWorkerCounts *counts);
/* "<attempt>@<worker index>" -> cpu_milli of all that ran at one and the same moment, as the
 * workers report it: what stands in two successive passes over them. Free with
 * g_hash_table_unref(). */
GHashTable *cluster_running_attempts (Cluster *cluster);
/* @lost: accepted requests without a final outcome, with outcome "lost", or with one that the
 * workers' counts or the answer contradict; refusals as not run of requests that ran. @twice:
 * requests that may not be repeated and ran more than once. The answer of each member must be the
 * identity. Each fault is named on stderr. */
void cluster_check_outcomes (const ClusterRequest *requests,
                             uint32_t count,
                             const ClusterWorkerCounts *counts,
                             uint32_t *lost,
                             uint32_t *twice);
