/* An entry of another writer under servers/, which can't be read, and which no worker's address can
 * be taken from. */
#include "stage.h"

#include <string.h>

#define JOBS      20
#define NESTING   20000
#define FINISH_MS 20000 /* more than finish_s */
#define NODES     3
#define JOB                                                                                        \
  "{\"spec\":\"book a "                                                                            \
  "lane\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":1000},"                \
  "{\"count\":4,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":1000,\"after\":[0]}]}"

static void
_put_stranger (void *data)
{
  g_autofree char *open = g_strnfill (NESTING, '[');
  g_autofree char *close = g_strnfill (NESTING, ']');
  g_autofree char *text = g_strdup_printf ("{\"service\":%s%s,\"address\":7}", open, close);

  (void)data;
  soak_store_put (stage_store (), "servers/printer-7", text);
  stage_note ("trouble: another writer puts servers/printer-7, %zu bytes, its service is a list",
              strlen (text));
}

static StageWork
_work (const char *task, uint32_t run, const char *spec)
{
  (void)task;
  (void)run;
  (void)spec;
  return (StageWork){ .work_ms = 1000 };
}

typedef struct {
  uint32_t number;
  bool is_completed;
} Question;

static void
_job_id (uint32_t number, char id[17])
{
  g_snprintf (id, 17, "%016x", 0x1000 + number);
}

/* Asks for the state of one job. */
static gpointer
_ask (gpointer data)
{
  Question *question = data;
  char id[17], state[16];

  _job_id (question->number, id);
  question->is_completed = stage_query ("/book/", id, question->number, state) == 200
                           && strcmp (state, "completed") == 0;
  return NULL;
}

/* Returns the number of jobs that aren't known, have no answer in time or aren't completed. */
static uint32_t
_count_lost (void)
{
  Question questions[JOBS] = { 0 };
  GThread *threads[JOBS];
  uint32_t count = 0;

  for (uint32_t i = 0; i < JOBS; i++) {
    questions[i].number = i;
    threads[i] = g_thread_new ("caller", _ask, &questions[i]);
  }
  for (uint32_t i = 0; i < JOBS; i++) {
    g_thread_join (threads[i]);
    count += questions[i].is_completed ? 0 : 1;
  }
  return count;
}

static int
_scenario (void)
{
  uint32_t lost_count;
  char id[17];

  stage_put_config (3, "[{\"name\":\"book\",\"host\":\"" STAGE_HOST "\",\"prefix\":\"/book/\","
                       "\"service\":\"desk\",\"priority\":0,\"max_attempts\":2,\"stretch\":1.5,"
                       "\"target_latency_ms\":250}]");
  if (!stage_wait_ready ())
    return 2;
  for (uint32_t i = 0; i < JOBS; i++) {
    _job_id (i, id);
    if (stage_submit ("/book/", id, JOB, i % NODES) != 200)
      return 2;
  }
  if (stage_has_trouble ())
    stage_do (_put_stranger, NULL);
  stage_sleep_ms (FINISH_MS);
  lost_count = _count_lost ();
  for (uint32_t i = 0; i < NODES; i++)
    stage_note ("Fault: node-%u ended by itself %u times", i, stage_own_exits (i));
  stage_note ("LOST: of %d accepted jobs, %u have no answer in time or aren't completed", JOBS,
              lost_count);
  return lost_count > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  stage_setup (
      &(StageDesc){
          .node_count = NODES, .worker_count = 6, .worker_cpu = 16000, .worker_mem_mb = 32768 },
      argc, argv);
  stage_workers_set_work (_work);
  stage_run (_scenario);
}
