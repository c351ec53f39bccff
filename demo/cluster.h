/* Deployment of daemons and stand-ins on loopback addresses, for integration tests, benchmarks and
 * the demo.
 *
 *   const char *dcs[] = { "nadi", "ba", NULL };
 *   Cluster *cluster = cluster_start (&(ClusterDesc){ .base = 31, .dcs = dcs, .entries_per_dc = 2,
 *                                                     .worker_count = 6, .config = json });
 *   cluster_wait_owners (cluster);
 *   cluster_set_dc_fault (cluster, 0, CLUSTER_LINK_ALL, "cut", 0);
 *   cluster_signal_entry (cluster, 1, SIGKILL);
 *   cluster_stop (cluster);
 *
 * Addresses are 127.<base>.x.y, so tests with different bases can run concurrently. Call all
 * functions that start processes from the thread that called cluster_start(): the processes are
 * killed when the thread that started them ends. Functions that wait have a timeout and abort with
 * g_error() when it expires.
 */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

#define CLUSTER_OPERATOR_KEY    "operator-key" /* of the operator "ops" in every settings file */
#define CLUSTER_WAIT_TIMEOUT_MS 30000 /* timeout of waits; far above the time that they need */

typedef struct {
  uint8_t base;           /* second byte of all addresses */
  const char *const *dcs; /* NULL-terminated */
  uint32_t entries_per_dc;
  uint32_t worker_count; /* in total; spread evenly over the DCs, eight to a rack */
  uint32_t accel_every;  /* every n-th worker has an accelerator; 0: none */
  int64_t cpu_milli;     /* per worker; 0: 16,000 */
  int64_t mem_mib;       /* per worker; 0: 32,768 */
  uint32_t slots;        /* per worker; 0: 8 */
  /* Additional fields of the settings, such as `"owner_ttl_ms":800`; NULL: none. */
  const char *settings;
  const char *config; /* the operators' configuration; NULL: config.json in @dir */
  const char *dir;    /* existing files, only with @is_direct; NULL: a temporary directory */
  bool is_direct;     /* no proxies between the processes */
  const char *daemon; /* file name in the build directory; NULL: verbenapulleyd */
} ClusterDesc;

typedef struct {
  char name[32], dc[32], http[32], peer[32];
  uint32_t dc_index;
  pid_t pid; /* 0 if not running */
  bool is_paused;
} ClusterEntry;

typedef struct {
  char name[32], address[32]; /* direct address, not through a proxy */
  uint32_t dc_index;
  int64_t cpu_milli, mem_mib, accel_count;
} ClusterWorker;

typedef struct {
  ClusterDesc desc;
  char *dir, *log_dir, *bin_dir;
  char store[32], balancer[32], proxy[32];
  GArray *entries; /* ClusterEntry */
  GArray *workers; /* ClusterWorker */
  GArray *links;   /* private to cluster.c */
  GArray *pids;    /* pid_t of the stand-ins */
} Cluster;

/* Kinds of links from an entry process, as bits. */
typedef enum {
  CLUSTER_LINK_STORE = 1,
  CLUSTER_LINK_VMLIST = 2,
  CLUSTER_LINK_PEER = 4,
  CLUSTER_LINK_WORKER = 8,
  CLUSTER_LINK_ALL = 15,
} ClusterLinkKind;

/* Creates the description of a cluster without starting processes. With @writes_files it writes the
 * settings of each entry process and the VM lists to the directory. Free with cluster_stop(). */
Cluster *cluster_new (const ClusterDesc *desc, bool writes_files);
/* Creates a cluster, starts all processes, waits until they listen, and submits @desc->config. */
Cluster *cluster_start (const ClusterDesc *desc);
/* Starts all processes of the cluster; returns when they listen. */
void cluster_start_processes (Cluster *cluster);
/* Ends all processes, removes the log directory and frees the cluster. */
void cluster_stop (Cluster *cluster);
/* Starts the stand-in with the file name @argv[0] and waits until it prints "ready". */
pid_t cluster_spawn (Cluster *cluster, const char *const *argv);

ClusterEntry *cluster_entry (Cluster *cluster, uint32_t index);
ClusterWorker *cluster_worker (Cluster *cluster, uint32_t index);
/* Sends the signal to the entry process. Waits for its exit after SIGKILL and SIGTERM; kills it if
 * it doesn't exit in time after SIGTERM. */
void cluster_signal_entry (Cluster *cluster, uint32_t index, int signal_number);
/* Restarts the entry process without state; kills it first if it is running. With @has_new_address
 * it listens on another address, which the other processes learn from its messages. */
void cluster_restart_entry (Cluster *cluster, uint32_t index, bool has_new_address);
/* Returns the index of the entry process that reports to own the DC and to know the tasks of all
 * workers, or -1 if there is none. */
int cluster_owner (Cluster *cluster, uint32_t dc_index);
/* Waits until each DC with a running entry process has an owner. */
void cluster_wait_owners (Cluster *cluster);
/* Waits until an entry process other than @excluded_index owns the DC, and returns its index. */
uint32_t cluster_wait_owner (Cluster *cluster, uint32_t dc_index, int excluded_index);
/* Replaces the operators' configuration through entry process @index and retries until it is
 * accepted. */
void cluster_put_config (Cluster *cluster, uint32_t index, const char *config);

/* The following functions set a mode of fake-proxy on links whose kind is in @kinds. This one sets
 * it on all links to and from one entry process. */
void cluster_set_entry_fault (Cluster *cluster,
                              uint32_t index,
                              unsigned kinds,
                              const char *mode,
                              int64_t delay_ms);
/* Sets the mode on links from a DC to the store, the VM list and other DCs. Links within the DC are
 * not affected. */
void cluster_set_dc_fault (Cluster *cluster,
                           uint32_t dc_index,
                           unsigned kinds,
                           const char *mode,
                           int64_t delay_ms);
/* Sets the mode on the link from one entry process to another. The opposite direction is a separate
 * link. */
void cluster_set_peer_fault (Cluster *cluster,
                             uint32_t from,
                             uint32_t to,
                             const char *mode,
                             int64_t delay_ms);
/* Sets the mode on the links from all entry processes to one worker. */
void
cluster_set_worker_fault (Cluster *cluster, uint32_t worker, const char *mode, int64_t delay_ms);
/* Resets all links to normal forwarding. */
void cluster_clear_faults (Cluster *cluster);

/* A reply. The status is 0 if the connection broke, so that the request may have arrived, and -1 if
 * the request was not sent. */
typedef struct {
  int status;
  int64_t retry_after_s;
  GString *body;
} ClusterReply;

/* A keep-alive connection. The fd is -1 while it is not connected. */
typedef struct {
  char address[32];
  int fd;
} ClusterClient;

void cluster_reply_clear (ClusterReply *reply);
/* Sends a request and waits for its reply; connects first if necessary. @key and @body may be NULL.
 * Clear the reply with cluster_reply_clear(). */
void cluster_client_call (ClusterClient *client,
                          const char *method,
                          const char *path,
                          const char *key,
                          const char *body,
                          int64_t timeout_ms,
                          ClusterReply *reply);
void cluster_client_close (ClusterClient *client);
/* Makes one call on a new connection and returns the status. If @out isn't NULL, it receives the
 * body as a JSON object, or NULL if the body isn't one. The caller owns the object. */
int cluster_http_call (const char *address,
                       const char *method,
                       const char *path,
                       const char *key,
                       const char *body,
                       JsonObject **out);
/* Calls POST /control of a stand-in; aborts with g_error() unless the status is 200. */
void cluster_post_control (const char *address, const char *body);

/* A request of the load generator and its outcome. */
typedef struct {
  char team[32], profile[32], identity[64], key[64];
  char *body;         /* body of POST /v1/tasks */
  int64_t send_at_ms; /* relative to the start of the load */
  uint32_t members;   /* members of a gang; 0 means 1 */
  bool is_repeatable, is_waiting;
  int64_t sent_ms, answered_ms; /* first try and last reply; monotonic time */
  int status;                   /* last status, as in ClusterReply */
  uint32_t tries;
  uint32_t disconnect_count; /* tries that ended without a complete reply */
  bool is_accepted;          /* status 200, 202 or an outcome was received */
  char task[33], state[16], reason[32], run[8];
  uint64_t answer_hash; /* g_str_hash() of the field "answer"; 0 without one */
} ClusterRequest;

typedef struct {
  const char *address;
  ClusterRequest *requests; /* sorted by send_at_ms */
  uint32_t count, thread_count;
  int64_t timeout_ms;     /* from the start of the load to the last outcome */
  uint32_t tries_max;     /* submissions of one request; 0: unlimited */
  uint32_t sent, settled; /* requests sent; requests no longer followed; atomic */
  uint32_t next;          /* index of the next request to send; atomic */
  int64_t start_ms;
  GPtrArray *threads;
} ClusterLoad;

/* Starts threads that send each request at its time and follow it to its outcome. A request is sent
 * again with the same identity if the connection failed, if the status is 429 or 503, or if the
 * reply says that it is unknown whether the task has run. The state of an accepted request is
 * polled. */
void cluster_load_start (ClusterLoad *load);
void cluster_load_join (ClusterLoad *load);

bool cluster_request_is_final (const ClusterRequest *request);

/* Counters of all workers together. */
typedef struct {
  GHashTable *runs; /* task as 32 hex digits -> number of starts of member 0 */
  int64_t started;
  uint32_t overcommitted; /* number of workers that ran more than their capacity */
} ClusterWorkerCounts;

void cluster_worker_counts_read (Cluster *cluster, ClusterWorkerCounts *counts);
void cluster_worker_counts_clear (ClusterWorkerCounts *counts);
/* Returns the attempts that run at the same moment: "<attempt>@<worker index>" -> cpu_milli. All
 * workers are asked twice, one after the other, and only attempts that both passes show are
 * returned. Free with g_hash_table_unref(). */
GHashTable *cluster_running_attempts (Cluster *cluster);
/* Checks the outcome of each request against the workers' counts and prints each fault to stderr.
 * @lost counts accepted requests without a final outcome, with the outcome "lost", or with an
 * outcome that the counts or the answer contradict, and requests that ran but were refused as not
 * run. @twice counts requests that are not repeatable but ran more than once. The expected answer
 * of each member is the identity of the request. */
void cluster_check_outcomes (const ClusterRequest *requests,
                             uint32_t count,
                             const ClusterWorkerCounts *counts,
                             uint32_t *lost,
                             uint32_t *twice);
