/* Cases of review 2: main CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
 * case couldn't run. */
#include "cell.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIB       (1024 * 1024)
#define ACK_MS    4000  /* bound ack_ms */
#define FINISH_MS 14000 /* bound finish_s */
#define QUERY_MS  6000
#define CANCELS   6
#define CALM_JOBS 8
#define IDLE_MS   3000
#define SAMPLE_MS 100
#define WINDOW_MS 12000

#define QUEUE(name, prefix)                                                                        \
  "{\"name\":\"" name "\",\"host\":\"nony24.example\",\"prefix\":\"" prefix                        \
  "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":2500,\"priority\":1,"  \
  "\"service\":\"desk\",\"max_attempts\":3,\"stretch\":2.2,\"public\":false}"
#define QUEUE_A QUEUE ("r-cpihhac", "/lohu930/")
#define QUEUE_B QUEUE ("r-ruddede", "/pufi791/")

static bool _has_trouble;

static Job *
_submit_simple (Cell *cell, const char *text, int cpu_milli)
{
  g_autofree char *body
      = g_strdup_printf ("{\"spec\":\"%s\",\"steps\":[{\"count\":1,\"cpu\":%d,\"mem_mb\":64,"
                         "\"estimate_ms\":500}]}",
                         text, cpu_milli);

  return job_submit (cell, "/lohu930/", KEY_A, body);
}

/* A job of @steps steps, one after the other, that repeats @repeats times from @first_ms on. */
static char *
_repeated_job (guint steps, guint count, guint repeats, int64_t first_ms, int64_t interval_ms)
{
  GString *body = g_string_new (NULL);

  g_string_printf (body,
                   "{\"spec\":\"ms=300\",\"repeats\":%u,\"first_ms\":%" G_GINT64_FORMAT
                   ",\"interval_ms\":%" G_GINT64_FORMAT ",\"steps\":[",
                   repeats, first_ms, interval_ms);
  for (guint i = 0; i < steps; i++) {
    g_string_append_printf (body, "%s{\"count\":%u,\"cpu\":4000,\"mem_mb\":64,\"estimate_ms\":2000",
                            i == 0 ? "" : ",", count);
    if (i > 0)
      g_string_append_printf (body, ",\"after\":[%u]", i - 1);
    g_string_append (body, "}");
  }
  g_string_append (body, "]}");
  return g_string_free (body, FALSE);
}

/* Counts the jobs of @key that were accepted and not cancelled, and aren't shown as completed. */
static guint
_count_uncompleted (Cell *cell, const char *key, guint *accepted)
{
  GPtrArray *jobs = cell_jobs (cell);
  guint count = 0;

  *accepted = 0;
  for (guint i = 0; i < jobs->len; i++) {
    const Job *job = jobs->pdata[i];
    if (job->result != JOB_ACCEPTED || job->is_cancelled || strcmp (job->key, key) != 0)
      continue;
    ++*accepted;
    count += strcmp (job->shown, "completed") == 0 ? 0 : 1;
  }
  return count;
}

/* Counts the jobs of @key that no attempt could hand in. */
static guint
_count_not_accepted (Cell *cell, const char *key)
{
  GPtrArray *jobs = cell_jobs (cell);
  guint count = 0;

  for (guint i = 0; i < jobs->len; i++) {
    const Job *job = jobs->pdata[i];
    count += job->result != JOB_ACCEPTED && strcmp (job->key, key) == 0 ? 1 : 0;
  }
  return count;
}

static guint
_count_unseen_ends (Cell *cell, guint workers, int64_t age_ms)
{
  guint count = 0;

  for (guint i = 0; i < workers; i++)
    count += worker_unseen_ends (cell_worker (cell, i), age_ms);
  return count;
}

static int
_report (Cell *cell, const char *rule, bool is_broken)
{
  fprintf (cell_record (cell), "result: %s %s\n", rule, is_broken ? "broken" : "held");
  printf ("%s %s\n", rule, is_broken ? "broken" : "held");
  return is_broken ? 1 : 0;
}

/* Returns true if an accepted job of the first tenant that isn't done has nothing running for 3 s
 * on end, at some time of the next seconds. */
static bool
_has_idle_job (Cell *cell, guint workers)
{
  GPtrArray *jobs = cell_jobs (cell);
  g_autofree int64_t *idle_ms = g_new0 (int64_t, jobs->len);
  int64_t longest_ms = 0, highest_milli = 0;

  for (int at_ms = 0; at_ms < WINDOW_MS && longest_ms < IDLE_MS; at_ms += SAMPLE_MS) {
    int64_t used_milli = 0;
    cell_wait (SAMPLE_MS);
    for (guint i = 0; i < jobs->len; i++) {
      const Job *job = jobs->pdata[i];
      for (guint w = 0; w < workers; w++)
        used_milli += worker_running_count (cell_worker (cell, w), job->id) * job->cpu_milli;
    }
    highest_milli = MAX (highest_milli, used_milli);
    for (guint i = 0; i < jobs->len; i++) {
      const Job *job = jobs->pdata[i];
      guint running = 0;
      for (guint w = 0; w < workers; w++)
        running += worker_running_count (cell_worker (cell, w), job->id);
      if (running > 0 || 2 * used_milli >= (int64_t)workers * CELL_CPU_MILLI
          || job->result != JOB_ACCEPTED || job->is_cancelled || strcmp (job->key, KEY_A) != 0
          || worker_done_tasks (job->id) >= job->tasks)
        idle_ms[i] = 0;
      else
        idle_ms[i] += SAMPLE_MS;
      longest_ms = MAX (longest_ms, idle_ms[i]);
    }
  }
  fprintf (cell_record (cell),
           "result: longest idle time=%" G_GINT64_FORMAT " ms; at most %" G_GINT64_FORMAT
           " of %u thousandths of a core in use\n",
           longest_ms, highest_milli, workers * CELL_CPU_MILLI);
  return longest_ms >= IDLE_MS;
}

/* One job whose stored progress becomes longer than a value of the store may be. */
static int
_case_backlog (Cell *cell)
{
  enum { WORKERS = 3, TASKS = 4000, BATCH_MS = 35000 };
  enum { REPEATS = 1024, INTERVAL_MS = 60000 };
  /* All its times have passed. */
  g_autofree char *body
      = _repeated_job (40, 4, _has_trouble ? REPEATS : 1,
                       unix_now_ms () - (int64_t)REPEATS * INTERVAL_MS, INTERVAL_MS);
  g_autofree char *batch_body
      = g_strdup_printf ("{\"spec\":\"ms=1000\",\"steps\":[{\"count\":%d,\"cpu\":200,\"mem_mb\":16,"
                         "\"estimate_ms\":1000},{\"count\":1,\"cpu\":100,\"mem_mb\":16,"
                         "\"estimate_ms\":100,\"after\":[0]}]}",
                         TASKS);
  Job *cancelled[CANCELS];
  Job *backlog;
  Job *batch, *second;
  guint accepted, uncompleted, unacked = 0;
  uint32_t left;
  bool is_idle;

  for (guint i = 0; i < CALM_JOBS; i++)
    _submit_simple (cell, "ms=6000", 500);
  for (guint i = 0; i < CANCELS; i++)
    cancelled[i] = _submit_simple (cell, "ms=90000", 500);
  cell_wait (1500);
  batch = job_submit (cell, "/lohu930/", KEY_A, batch_body);
  second = job_submit (cell, "/lohu930/", KEY_A, batch_body);
  batch->tasks = second->tasks = TASKS + 1;
  batch->cpu_milli = second->cpu_milli = 200;
  cell_wait (500);
  backlog = job_submit (cell, "/pufi791/", KEY_B, body);
  backlog->cpu_milli = 4000;
  cell_wait (5000);
  for (guint i = 0; i < CANCELS; i++)
    job_cancel (cancelled[i]);
  for (guint i = 0; i < CALM_JOBS; i++) {
    _submit_simple (cell, "ms=300", 500);
    cell_wait (500);
  }
  cell_wait (BATCH_MS + FINISH_MS);
  is_idle = _has_idle_job (cell, WORKERS);
  left = 2 * (TASKS + 1) - worker_done_tasks (batch->id) - worker_done_tasks (second->id);
  cell_query_all (cell, QUERY_MS);
  uncompleted = _count_uncompleted (cell, KEY_A, &accepted);
  for (guint i = 0; i < CANCELS; i++)
    unacked += cancelled[i]->cancel_acked_ms == 0
                       || cancelled[i]->cancel_acked_ms - cancelled[i]->cancel_sent_ms > ACK_MS
                   ? 1
                   : 0;
  fprintf (
      cell_record (cell),
      "result: backlog accepted=%d; changes refused by the store=%u longest value=%zu\n"
      "result: batches accepted=%d shown=%s %s tasks left=%u of %d; a job was idle for 3 s=%d\n"
      "result: jobs of the other tenant accepted=%u not shown as completed=%u not accepted=%u\n"
      "result: cancels not answered in time=%u of %d; ends=%u not taken note of=%u\n",
      backlog->result == JOB_ACCEPTED, store_refused_count (cell_store (cell)),
      store_longest (cell_store (cell)),
      batch->result == JOB_ACCEPTED && second->result == JOB_ACCEPTED, batch->shown, second->shown,
      left, 2 * (TASKS + 1), is_idle, accepted, uncompleted, _count_not_accepted (cell, KEY_A),
      unacked, CANCELS, worker_counts ()->done, _count_unseen_ends (cell, WORKERS, ACK_MS));
  if (batch->result != JOB_ACCEPTED || second->result != JOB_ACCEPTED
      || backlog->result != JOB_ACCEPTED)
    return 2;
  return _report (cell, "LOST", is_idle);
}

/* One job whose tasks need more memory than a machine has. */
static int
_case_memory (Cell *cell)
{
  enum { WORKERS = 6, REPEATS = 100, INTERVAL_MS = 100 };
  g_autofree char *body
      = _repeated_job (4, _has_trouble ? 4096 : 4, REPEATS, unix_now_ms (), INTERVAL_MS);
  Job *large;
  guint accepted, uncompleted;
  bool is_idle;

  for (guint i = 0; i < CALM_JOBS; i++)
    _submit_simple (cell, "ms=20000", 500);
  cell_wait (2000);
  large = job_submit (cell, "/pufi791/", KEY_B, body);
  large->cpu_milli = 4000;
  cell_wait (45000);
  is_idle = _has_idle_job (cell, WORKERS);
  cell_query_all (cell, QUERY_MS);
  uncompleted = _count_uncompleted (cell, KEY_A, &accepted);
  for (guint i = 0; i < CELL_NODES; i++) {
    fprintf (cell_record (cell), "result: node %u killed for its memory=%u other ends=%u\n", i,
             cell_memory_kills (cell, i), cell_own_ends (cell, i));
  }
  fprintf (
      cell_record (cell),
      "result: large job accepted=%d; other jobs accepted=%u not shown as completed=%u; a job was"
      " idle for 3 s=%d\n",
      large->result == JOB_ACCEPTED, accepted, uncompleted, is_idle);
  if (accepted == 0)
    return 2;
  return _report (cell, "LOST", is_idle);
}

/* The only worker that may run a job goes down and up for a while. */
static int
_case_flap (Cell *cell)
{
  enum { PERIOD_MS = 1400, FLAP_MS = 6500, FLAPS = 1, PAUSE_MS = 3000 };
  const Job *job
      = job_submit (cell, "/lohu930/", KEY_A,
                    "{\"spec\":\"ms=1500\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,"
                    "\"estimate_ms\":1500,\"requirements\":\"b\"}]}");

  cell_wait (1000);
  for (int i = 0; _has_trouble && i < FLAPS; i++) {
    for (int at_ms = 0; at_ms + PERIOD_MS <= FLAP_MS; at_ms += PERIOD_MS) {
      worker_crash (cell_worker (cell, 0), PERIOD_MS / 2);
      cell_wait (PERIOD_MS);
    }
    cell_wait (i + 1 < FLAPS ? 1 : PAUSE_MS);
  }
  cell_wait (FINISH_MS);
  cell_query_all (cell, QUERY_MS);
  fprintf (cell_record (cell), "result: state=%s runs=%u runs that ended failed=%u of 3\n",
           job->shown, worker_started_runs (job->id), worker_failed_runs (job->id));
  if (job->result != JOB_ACCEPTED)
    return 2;
  return _report (cell, "LOST",
                  strcmp (job->shown, "failed") == 0 && worker_failed_runs (job->id) < 3);
}

/* A worker with a task that writes checkpoints crashes. */
static int
_case_checkpoint (Cell *cell)
{
  const Job *job = job_submit (cell, "/lohu930/", KEY_A,
                               "{\"spec\":\"ms=6000 save=100\",\"steps\":[{\"count\":1,\"cpu\":500,"
                               "\"mem_mb\":64,\"estimate_ms\":6000,\"checkpointing\":true}]}");

  cell_wait (3500);
  for (guint i = 0; _has_trouble && i < 7; i++) {
    if (worker_running_count (cell_worker (cell, i), NULL) > 0)
      worker_crash (cell_worker (cell, i), 4500);
  }
  cell_wait (16000);
  cell_query_all (cell, QUERY_MS);
  fprintf (cell_record (cell), "result: state=%s runs=%u starts with another checkpoint=%u\n",
           job->shown, worker_started_runs (job->id), worker_counts ()->wrong_checkpoints);
  if (job->result != JOB_ACCEPTED)
    return 2;
  return _report (cell, "UNASKED", worker_counts ()->wrong_checkpoints > 0);
}

/* The operator removes a queue and adds it again. */
static int
_case_route (Cell *cell)
{
  const Job *job = _submit_simple (cell, "ms=2500 fails=1", 500);

  cell_wait (1000);
  if (_has_trouble)
    cell_configure (cell, QUEUE_B, NULL);
  cell_wait (3000);
  if (_has_trouble)
    cell_configure (cell, QUEUE_A "," QUEUE_B, NULL);
  cell_wait (FINISH_MS);
  cell_query_all (cell, QUERY_MS);
  fprintf (cell_record (cell), "result: state=%s runs=%u runs that ended failed=%u of 3\n",
           job->shown, worker_started_runs (job->id), worker_failed_runs (job->id));
  if (job->result != JOB_ACCEPTED)
    return 2;
  return _report (cell, "LOST",
                  strcmp (job->shown, "failed") == 0 && worker_failed_runs (job->id) < 3);
}

/* All workers of the rack of a step with same_rack are lost for good. */
static int
_case_rack (Cell *cell)
{
  enum { WORKERS = 14 };
  Job *job = job_submit (cell, "/lohu930/", KEY_A,
                         "{\"spec\":\"ms=6000\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,"
                         "\"estimate_ms\":6000,\"same_rack\":true}]}");
  guint lost = 0;
  bool is_idle;

  job->tasks = 2;
  cell_wait (3000);
  for (guint i = 0; _has_trouble && i < WORKERS; i++) {
    if (worker_running_count (cell_worker (cell, i), job->id) == 0)
      continue;
    for (guint w = i / 2 * 2; w < i / 2 * 2 + 2; w++) {
      worker_crash (cell_worker (cell, w), 0);
      lost++;
    }
    break;
  }
  cell_wait (2 * FINISH_MS);
  is_idle = _has_idle_job (cell, WORKERS);
  cell_query_all (cell, QUERY_MS);
  fprintf (cell_record (cell),
           "result: workers lost=%u of %d; state=%s runs=%u tasks done=%u of 2 idle for 3 s=%d\n",
           lost, WORKERS, job->shown, worker_started_runs (job->id), worker_done_tasks (job->id),
           is_idle);
  if (job->result != JOB_ACCEPTED || (_has_trouble && lost == 0))
    return 2;
  return _report (cell, "LOST", is_idle);
}

/* All processes are killed right after a configuration was acknowledged. */
static int
_case_tenant (Cell *cell)
{
  enum { RECOVERY_MS = 12000, RESTART_MS = 1000, TRAFFIC_MS = 8000 };
  const char *tenant = g_getenv ("TENANT") == NULL
                           ? "container-tracker-scheduling-at-southern-ports-itajai"
                           : g_getenv ("TENANT");
  guint before, accepted, uncompleted, late = 0, late_served = 0;

  for (guint i = 0; i < CALM_JOBS; i++) {
    _submit_simple (cell, "ms=8000", 500);
    cell_wait (250);
  }
  _count_uncompleted (cell, KEY_A, &before);
  if (_has_trouble) {
    cell_configure (cell, QUEUE_A "," QUEUE_B, tenant);
    cell_wait (100);
    cell_kill_all (cell);
  }
  cell_wait (RESTART_MS + RECOVERY_MS);
  for (int at_ms = 0; at_ms < TRAFFIC_MS; at_ms += 500) {
    _submit_simple (cell, "ms=300", 500);
    cell_wait (500);
  }
  cell_wait (FINISH_MS);
  cell_query_all (cell, QUERY_MS);
  for (guint i = CALM_JOBS; i < cell_jobs (cell)->len; i++) {
    const Job *job = cell_jobs (cell)->pdata[i];
    late++;
    late_served += job->result == JOB_ACCEPTED ? 1 : 0;
  }
  uncompleted = _count_uncompleted (cell, KEY_A, &accepted);
  fprintf (
      cell_record (cell),
      "result: accepted before=%u of %d; after the recovery time=%u of %u; accepted in all=%u not"
      " shown as completed=%u\n",
      before, CALM_JOBS, late_served, late, accepted, uncompleted);
  if (before * 4 < CALM_JOBS)
    return 2;
  return _report (cell, "RECOVER", late_served * 4 < late);
}

/* The leader is killed while many runs end. */
static int
_case_ends (Cell *cell)
{
  enum { TASKS = 620 }; /* of 25 thousandths: 15.5 of the 16 cores of each of three workers */
  enum { JOBS = 3, START_MS = 12000, LEAD_MS = 100 };
  int64_t until_ms = unix_now_ms () + START_MS;
  g_autofree char *body
      = g_strdup_printf ("{\"spec\":\"until=%" G_GINT64_FORMAT "\",\"steps\":[{\"count\":%d,"
                         "\"cpu\":25,\"mem_mb\":16,\"estimate_ms\":%d}]}",
                         until_ms, TASKS, START_MS);
  guint accepted, uncompleted, started;
  uint32_t twice;

  for (int i = 0; i < JOBS; i++)
    job_submit (cell, "/lohu930/", KEY_A, body);
  cell_wait (until_ms - unix_now_ms () - LEAD_MS);
  started = worker_counts ()->started;
  if (_has_trouble)
    cell_kill_leader (cell);
  cell_wait (FINISH_MS);
  cell_query_all (cell, QUERY_MS);
  uncompleted = _count_uncompleted (cell, KEY_A, &accepted);
  twice = worker_starts_after_done ();
  fprintf (
      cell_record (cell),
      "result: tasks=%d started before=%u done=%u; starts after an end as done that is taken note"
      " of=%u; jobs accepted=%u not shown as completed=%u\n",
      TASKS * JOBS, started, worker_counts ()->done, twice, accepted, uncompleted);
  if (accepted < JOBS)
    return 2;
  return _report (cell, "TWICE", twice > 0);
}

typedef struct {
  const char *name;
  CellDesc desc;
  int (*run) (Cell *cell);
} Case;

int
main (int argc, char **argv)
{
  static const Case cases[] = { { "backlog", { 3, 1 }, _case_backlog },
                                { "memory", { 6, 2 }, _case_memory },
                                { "tenant", { 6, 2 }, _case_tenant },
                                { "rack", { 14, 2 }, _case_rack },
                                { "ends", { 3, 1 }, _case_ends },
                                { "flap", { 10, 2 }, _case_flap },
                                { "checkpoint", { 7, 2 }, _case_checkpoint },
                                { "route", { 6, 2 }, _case_route } };
  const Case *found = NULL;
  Cell *cell;
  int result = 2;

  for (guint i = 0; argc == 3 && i < G_N_ELEMENTS (cases); i++)
    found = strcmp (argv[1], cases[i].name) == 0 ? &cases[i] : found;
  if (found == NULL) {
    fprintf (stderr, "usage: main CASE FOLDER\n");
    return 2;
  }
  _has_trouble = g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
  cell = cell_start (argv[2], &found->desc);
  cell_configure (cell, QUEUE_A "," QUEUE_B, NULL);
  if (cell_wait_ready (cell)) {
    cell_wait (2000);
    result = found->run (cell);
  } else {
    fprintf (stderr, "the processes aren't ready\n");
  }
  cell_stop (cell);
  return result;
}
