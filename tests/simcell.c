#include "simcell.h"
#include "simcell-evacuations.h"
#include "simcell-store.h"
#include "vp-election.h"
#include "vp-log.h"

#include <string.h>

#define SIMCELL_BEGIN_MS 1000000
#define LINK_DELAY_MS    1
#define STORE_DELAY_MS   2
#define ADVICE_DELAY_MS  20
#define EXIT_DELAY_MS    10

/* A node's transport treats the outcome of a call without an answer as unknown after this time. */
#define ANSWER_TIMEOUT_MS 1000
#define CALLER_TIMEOUT_MS 3000
#define TICKET_VALID_MS   2000
#define NODE_CPU_MILLI    125

/* A waiting HOLD command checks for ended runs at this interval. */
#define HOLD_POLL_MS 10

/* Workers renew their entries in the store at this interval; an entry expires after three. */
#define HEARTBEAT_MS 1500
#define ENTRY_TTL_MS (3 * HEARTBEAT_MS)

/* A worker whose entry has expired writes it again within this time after it reaches the store. */
#define RELIST_DELAY_MAX_MS 2000

/* Time from the start of a task that crashes its worker to the crash, and from there to the
 * restart.
 */
#define CRASH_DELAY_MS 10
#define CRASH_DOWN_MS  3000

typedef enum { ACTION_NODE_EVENT, ACTION_COMMAND, ACTION_STORE_WRITE, ACTION_BOOT_NODE } ActionKind;

/* An entry of the queue of simulated time: an event for a node, a command to a worker, a write in
 * the store, or the start of a node. */
typedef struct {
  int64_t at_ms;
  uint64_t sequence;
  ActionKind kind;
  uint32_t node;
  uint32_t incarnation; /* incarnation of the node; events for an earlier one are dropped */
  VpNodeEvent event;
  VpCommand command;
  VpStoreWrite write;
  bool is_answered;  /* the node gets the result of the command or write */
  bool is_queued;    /* the event has waited for a slow process */
  int64_t booted_ms; /* late command: boot time of the worker process that it is for; else 0 */
} Action;

typedef struct {
  char name[VP_NAME_MAX];
  VpNode *node; /* NULL: down */
  uint32_t incarnation;
  int64_t paused_until_ms;
  int64_t partitioned_until_ms;
  int64_t store_down_until_ms;
  bool is_store_silent;
  bool is_ready;
  bool watches_workers;
  uint32_t dc;
  uint32_t sent_list_version; /* version of the list of workers that the node was sent; 0: none */
  uint32_t sent_evacuations_version; /* the same for the DCs under evacuation */
  int64_t in_touch_since_ms; /* last time at which it was down, paused or without the store */
  int64_t event_ms;          /* time that a slow process takes for each event */
  int64_t slow_until_ms;
  int64_t queue_end_ms; /* time at which a slow process has handled the events that wait */
  int64_t message_delay_ms;
  int64_t messages_delayed_until_ms;
} Node;

struct _SimCell {
  SimCellDesc desc;
  GRand *rand;
  int64_t now_ms;
  uint64_t last_sequence;
  uint64_t last_handle;
  uint64_t last_job;
  GSequence *actions; /* Action, by time */
  GArray *nodes;      /* Node */
  SimCellStore store;
  double lost_result_share;
  int64_t lost_results_until_ms;
  double late_command_share;
  int64_t late_commands_until_ms;
  int64_t store_down_until_ms;     /* end of the store's outage for the workers */
  GArray *dc_partitioned_until_ms; /* int64_t for each DC */
  GArray *message_arrivals_ms;     /* int64_t for each pair of nodes: arrival of the last message */
  uint32_t worker_list_version;    /* version of the list of workers in the store */
  SimCellEvacuations evacuations;
  GArray *dc_start_counts; /* uint32_t for each DC */
  SimCellJobs jobs;
  GHashTable *pending_calls; /* handle -> SimJob; submits and cancels that wait for a reply */
  VpCellConfig *config;
  bool is_config_hidden;
  uint32_t start_count;
  uint32_t advice_request_count;
};

/* The queue of actions. */

static gint
_compare_actions (gconstpointer a, gconstpointer b, gpointer data)
{
  const Action *one = a;
  const Action *two = b;

  (void)data;
  if (one->at_ms != two->at_ms)
    return one->at_ms < two->at_ms ? -1 : 1;
  return one->sequence < two->sequence ? -1 : 1;
}

static Action *
_schedule (SimCell *sim, ActionKind kind, int64_t delay_ms)
{
  Action *action = g_new0 (Action, 1);

  action->kind = kind;
  action->at_ms = sim->now_ms + delay_ms;
  action->sequence = ++sim->last_sequence;
  g_sequence_insert_sorted (sim->actions, action, _compare_actions, NULL);
  return action;
}

/* Removes and returns the first action that is due at @until_ms; NULL if there is none. */
static Action *
_take_due (SimCell *sim, int64_t until_ms)
{
  GSequenceIter *first = g_sequence_get_begin_iter (sim->actions);
  Action *action;

  if (g_sequence_iter_is_end (first))
    return NULL;
  action = g_sequence_get (first);
  if (action->at_ms > until_ms)
    return NULL;
  g_sequence_remove (first);
  return action;
}

static void
_action_free (Action *action)
{
  vp_node_event_clear (&action->event);
  vp_command_clear (&action->command);
  vp_store_write_clear (&action->write);
  g_free (action);
}

static Node *
_node (const SimCell *sim, uint32_t index)
{
  return &g_array_index (sim->nodes, Node, index);
}

/* Schedules an event for a node. The caller fills in the returned event, which is zero but for its
 * kind. */
static VpNodeEvent *
_post_node_event (SimCell *sim, uint32_t node, VpNodeEventKind kind, int64_t delay_ms)
{
  Action *action = _schedule (sim, ACTION_NODE_EVENT, delay_ms);

  action->node = node;
  action->incarnation = _node (sim, node)->incarnation;
  action->event.kind = kind;
  return &action->event;
}

static bool
_chance (SimCell *sim, double share)
{
  return share > 0 && g_rand_double (sim->rand) < share;
}

static bool
_is_dc_partitioned (const SimCell *sim, uint32_t dc)
{
  return sim->now_ms < g_array_index (sim->dc_partitioned_until_ms, int64_t, dc);
}

/* Whether two DCs can't reach each other. */
static bool
_are_partitioned (const SimCell *sim, uint32_t one, uint32_t other)
{
  return one != other && (_is_dc_partitioned (sim, one) || _is_dc_partitioned (sim, other));
}

/* The store. */

static bool
_is_store_down (const SimCell *sim, uint32_t node)
{
  return sim->now_ms < _node (sim, node)->store_down_until_ms
         || _is_dc_partitioned (sim, _node (sim, node)->dc);
}

static void
_send_store_write (SimCell *sim, uint32_t node, const VpStoreWrite *write)
{
  VpStoreWriteResult *written;
  Action *action;
  bool is_lossy = sim->now_ms < sim->lost_results_until_ms && _chance (sim, sim->lost_result_share);

  if (_is_store_down (sim, node)) {
    bool is_silent
        = _node (sim, node)->is_store_silent || _is_dc_partitioned (sim, _node (sim, node)->dc);
    written = &_post_node_event (sim, node, VP_NODE_EVENT_WRITE_RESULT,
                                 is_silent ? ANSWER_TIMEOUT_MS : STORE_DELAY_MS)
                   ->written;
    written->serial = write->serial;
    written->outcome = is_silent ? VP_WRITE_UNKNOWN : VP_WRITE_UNAVAILABLE;
    return;
  }
  action = _schedule (sim, ACTION_STORE_WRITE,
                      is_lossy && _chance (sim, 0.5) ? g_rand_int_range (sim->rand, 1000, 5000)
                                                     : STORE_DELAY_MS);
  action->node = node;
  action->is_answered = !is_lossy;
  action->incarnation = _node (sim, node)->incarnation;
  vp_store_write_copy (&action->write, write);
  if (!is_lossy)
    return;
  written = &_post_node_event (sim, node, VP_NODE_EVENT_WRITE_RESULT, ANSWER_TIMEOUT_MS)->written;
  written->serial = write->serial;
  written->outcome = VP_WRITE_UNKNOWN;
}

static void
_run_store_write (SimCell *sim, Action *action)
{
  VpStoreWriteResult written = { 0 };
  VpNodeEvent *event;

  simcell_store_write (&sim->store, &action->write, &written);
  if (!action->is_answered) {
    g_clear_pointer (&written.record, g_bytes_unref);
    return;
  }
  event = _post_node_event (sim, action->node, VP_NODE_EVENT_WRITE_RESULT, STORE_DELAY_MS);
  event->written = written;
}

static void
_read_record (SimCell *sim, uint32_t node)
{
  const SimCellValue *record = simcell_store_get (&sim->store, "lead");
  VpRecordReadResult *read
      = &_post_node_event (sim, node, VP_NODE_EVENT_RECORD_READ, 2 * STORE_DELAY_MS)->record;

  read->is_ok = !_is_store_down (sim, node);
  if (!read->is_ok || record == NULL)
    return;
  read->revision = record->revision;
  read->record = g_bytes_ref (record->value);
}

static void
_load_jobs (SimCell *sim, uint32_t node, uint64_t serial)
{
  VpStoreLoadResult *loaded
      = &_post_node_event (sim, node, VP_NODE_EVENT_JOBS_LOADED, 4 * STORE_DELAY_MS)->loaded;

  loaded->serial = serial;
  loaded->is_ok = !_is_store_down (sim, node);
  loaded->ended = simcell_store_values_with_prefix (&sim->store, "ended/");
  loaded->jobs = simcell_store_values_with_prefix (&sim->store, "job/");
  loaded->progress = simcell_store_values_with_prefix (&sim->store, "progress/");
  loaded->workers = simcell_store_values_with_prefix (&sim->store, "workers");
  loaded->config = simcell_store_values_with_prefix (&sim->store, "config");
}

/* Workers. */

static SimCellWorker *
_worker (const SimCell *sim, const char *id)
{
  for (guint i = 0; i < sim->jobs.workers->len; i++) {
    SimCellWorker *worker = sim->jobs.workers->pdata[i];
    if (strcmp (worker->entry.id, id) == 0)
      return worker;
  }
  return NULL;
}

static void
_send_worker_list (SimCell *sim, uint32_t node)
{
  VpNodeEvent *event = _post_node_event (sim, node, VP_NODE_EVENT_WORKER_LIST, 2 * STORE_DELAY_MS);

  event->workers = vp_worker_entries_new ();
  for (guint i = 0; i < sim->jobs.workers->len; i++) {
    const SimCellWorker *worker = sim->jobs.workers->pdata[i];
    VpWorkerEntry entry;
    if (!worker->is_up || !worker->is_listed)
      continue;
    simcell_worker_copy_entry (worker, &entry);
    g_array_append_val (event->workers, entry);
  }
  _node (sim, node)->sent_list_version = sim->worker_list_version;
}

static void
_send_changed_worker_lists (SimCell *sim)
{
  for (guint i = 0; i < sim->nodes->len; i++) {
    const Node *node = _node (sim, i);
    if (node->watches_workers && node->sent_list_version != sim->worker_list_version
        && !_is_store_down (sim, i))
      _send_worker_list (sim, i);
  }
}

/* Sends the DCs under evacuation to each node that reaches the store and doesn't know them. */
static void
_send_changed_evacuations (SimCell *sim)
{
  for (guint i = 0; sim->desc.has_evacuations && i < sim->nodes->len; i++) {
    Node *node = _node (sim, i);
    if (node->node == NULL || _is_store_down (sim, i)
        || node->sent_evacuations_version == sim->evacuations.version)
      continue;
    node->sent_evacuations_version = sim->evacuations.version;
    _post_node_event (sim, i, VP_NODE_EVENT_EVACUATIONS,
                      STORE_DELAY_MS + sim->desc.evacuations_delay_ms)
        ->evacuated_dcs
        = simcell_evacuations_list (&sim->evacuations);
  }
}

static void
_check_evacuation (SimCell *sim, const Action *action, const SimCellWorker *worker)
{
  const Node *node = _node (sim, action->node);
  char name[VP_TASK_NAME_MAX];

  vp_task_name_format (&action->command.task, name);
  if (sim->desc.has_evacuations
      && simcell_evacuations_forbid_start (&sim->evacuations, worker->entry.dc,
                                           node->in_touch_since_ms, sim->now_ms))
    g_error ("seed %u at %d ms: %s was started in %s, which is under evacuation", sim->desc.seed,
             (int)(sim->now_ms - SIMCELL_BEGIN_MS), name, worker->entry.dc);
}

/* Renews the worker's entry in the store. */
static void
_renew_worker_entry (SimCell *sim, SimCellWorker *worker)
{
  bool is_store_unreachable
      = sim->now_ms < sim->store_down_until_ms || _is_dc_partitioned (sim, worker->dc);
  bool was_listed = worker->is_listed;

  if (worker->is_up && !is_store_unreachable && sim->now_ms >= worker->entry_renewal_ms) {
    worker->is_listed = true;
    worker->entry_expires_ms = sim->now_ms + ENTRY_TTL_MS;
    worker->entry_renewal_ms = sim->now_ms + HEARTBEAT_MS;
  } else if (sim->now_ms >= worker->entry_expires_ms) {
    worker->is_listed = false;
    if (is_store_unreachable)
      worker->entry_renewal_ms
          = sim->now_ms
            + g_str_hash (worker->entry.id) * 997 % (RELIST_DELAY_MAX_MS - STORE_DELAY_MS);
  }
  if (worker->is_listed != was_listed)
    sim->worker_list_version++;
}

static void
_describe_run (SimCell *sim, const VpCommand *command, SimCellRunDesc *run_desc)
{
  const SimJob *job = simcell_jobs_find (&sim->jobs, command->task.job);

  run_desc->work_ms = job->desc.is_long_running ? INT64_MAX : job->desc.work_ms;
  run_desc->is_failing = _chance (sim, job->desc.failing_share);
  run_desc->size = job->spec->steps[command->task.step].size;
}

static void
_run_command (SimCell *sim, Action *action)
{
  SimCellWorker *worker = _worker (sim, action->command.worker);
  VpCommandResult result = { 0 };
  VpNodeEvent *event;
  SimCellRunDesc run_desc = { 0 };

  /* For a HOLD command that waits, event.handle holds the time at which the node sent it. */
  vp_command_result_begin (&result, &action->command,
                           action->event.handle == 0 ? sim->now_ms - LINK_DELAY_MS
                                                     : (int64_t)action->event.handle);
  /* A worker that restarts loses the commands that it had not carried out yet. */
  if (!worker->is_up || (action->booted_ms != 0 && action->booted_ms != worker->entry.booted_ms))
    result.outcome = VP_COMMAND_UNREACHABLE;
  else if (sim->now_ms < worker->partitioned_until_ms
           || _are_partitioned (sim, worker->dc, _node (sim, action->node)->dc))
    result.outcome = VP_COMMAND_UNCERTAIN;
  /* As the transport does, see VpCommand. */
  if (action->command.booted_ms != worker->entry.booted_ms)
    action->command.acked_end = 0;
  if (result.outcome == VP_COMMAND_OK) {
    simcell_jobs_advance_worker (&sim->jobs, sim->now_ms, worker);
    /* A HOLD command waits at the worker until a run ends; the run may have started meanwhile. */
    if (action->command.kind == VP_COMMAND_HOLD && action->command.wait_ms > 0
        && worker->ended->len == 0) {
      Action *later = _schedule (sim, ACTION_COMMAND, MIN (action->command.wait_ms, HOLD_POLL_MS));
      simcell_worker_apply_command (worker, &action->command, &run_desc, sim->now_ms, &result);
      simcell_jobs_check_acked_ends (&sim->jobs, sim->now_ms, worker);
      vp_command_result_clear (&result);
      later->command = action->command;
      later->command.wait_ms -= MIN (action->command.wait_ms, HOLD_POLL_MS);
      /* 0 leaves the lease unchanged: it was renewed when the command arrived. */
      later->command.lease_end_ms = 0;
      later->node = action->node;
      later->incarnation = action->incarnation;
      later->is_answered = action->is_answered;
      later->event.handle = (uint64_t)result.sent_ms;
      /* The later action has what it owned. */
      memset (&action->command, 0, sizeof action->command);
      return;
    }
    if (action->command.kind == VP_COMMAND_START)
      _describe_run (sim, &action->command, &run_desc);
    if (simcell_worker_apply_command (worker, &action->command, &run_desc, sim->now_ms, &result)) {
      SimJob *job = simcell_jobs_find (&sim->jobs, action->command.task.job);
      sim->start_count++;
      g_array_index (sim->dc_start_counts, uint32_t, worker->dc)++;
      if (job->desc.crashes_workers && action->command.task.index == 0) {
        job->crash_count++;
        worker->crash_ms = MIN (worker->crash_ms, sim->now_ms + CRASH_DELAY_MS);
      }
      simcell_jobs_check_start (&sim->jobs, sim->now_ms, worker, &action->command);
      if (action->booted_ms == 0) {
        simcell_jobs_check_cancelled (&sim->jobs, sim->now_ms, &action->command);
        _check_evacuation (sim, action, worker);
      }
      if (simcell_jobs_find (&sim->jobs, action->command.task.job)->desc.is_gang)
        simcell_jobs_start_gang_work (&sim->jobs, sim->now_ms, &action->command);
    }
    simcell_jobs_check_acked_ends (&sim->jobs, sim->now_ms, worker);
  }
  if (!action->is_answered || _node (sim, action->node)->incarnation != action->incarnation) {
    vp_command_result_clear (&result);
    return;
  }
  event = _post_node_event (sim, action->node, VP_NODE_EVENT_COMMAND_RESULT,
                            result.outcome == VP_COMMAND_UNCERTAIN ? ANSWER_TIMEOUT_MS
                                                                   : LINK_DELAY_MS);
  result.received_ms
      = sim->now_ms + (result.outcome == VP_COMMAND_UNCERTAIN ? ANSWER_TIMEOUT_MS : LINK_DELAY_MS);
  event->command = result;
}

static void
_send_command (SimCell *sim, uint32_t node, VpCommand *command)
{
  bool is_late = sim->now_ms < sim->late_commands_until_ms && command->kind != VP_COMMAND_HOLD
                 && _chance (sim, sim->late_command_share);
  Action *action = _schedule (sim, ACTION_COMMAND,
                              is_late ? g_rand_int_range (sim->rand, 2000, 12000) : LINK_DELAY_MS);
  VpCommandResult *result;

  action->command = *command;
  memset (command, 0, sizeof *command);
  action->node = node;
  action->incarnation = _node (sim, node)->incarnation;
  action->is_answered = !is_late;
  if (!is_late)
    return;
  action->booted_ms = _worker (sim, action->command.worker)->entry.booted_ms;
  result = &_post_node_event (sim, node, VP_NODE_EVENT_COMMAND_RESULT, ANSWER_TIMEOUT_MS)->command;
  *result = (VpCommandResult){ .outcome = VP_COMMAND_UNCERTAIN,
                               .received_ms = sim->now_ms + ANSWER_TIMEOUT_MS };
  vp_command_result_begin (result, &action->command, sim->now_ms);
}

static void
_answer_advice_request (SimCell *sim,
                        uint32_t node,
                        const VpAdviceRequest *advice_request,
                        const char *requester)
{
  VpNodeEvent *event = _post_node_event (sim, node, VP_NODE_EVENT_ADVICE_RESULT, ADVICE_DELAY_MS);

  sim->advice_request_count++;
  event->advice.serial = advice_request->serial;
  event->advice.requester = g_strdup (requester);
  event->advice.rows = vp_advice_rows_new ();
  for (guint i = 0; i < advice_request->workers->len; i++) {
    const char *worker = advice_request->workers->pdata[i];
    VpAdviceRow row = { .valid_until_ms = sim->now_ms + ADVICE_DELAY_MS + TICKET_VALID_MS };
    if ((g_str_hash (worker) ^ advice_request->step.job) % 10 >= 7)
      continue;
    vp_text_set (&row.worker, worker);
    vp_text_set (&row.ticket, "ticket");
    g_array_append_val (event->advice.rows, row);
  }
}

/* Nodes. */

/* Returns the time that a message to another node takes. Messages of one node to another keep their
 * order. */
static int64_t
_message_delay_ms (SimCell *sim, uint32_t from, uint32_t to)
{
  int64_t *arrival_ms
      = &g_array_index (sim->message_arrivals_ms, int64_t, from * sim->nodes->len + to);
  int64_t delay_ms = LINK_DELAY_MS;

  if (sim->now_ms < _node (sim, from)->messages_delayed_until_ms)
    delay_ms += g_rand_int_range (sim->rand, 0, (gint32)_node (sim, from)->message_delay_ms);
  if (sim->now_ms < _node (sim, to)->messages_delayed_until_ms)
    delay_ms += g_rand_int_range (sim->rand, 0, (gint32)_node (sim, to)->message_delay_ms);
  *arrival_ms = MAX (*arrival_ms, sim->now_ms + delay_ms);
  return *arrival_ms - sim->now_ms;
}

static void
_send_node_message (SimCell *sim, uint32_t from, const char *to, GBytes *wire)
{
  for (guint i = 0; i < sim->nodes->len; i++) {
    Node *node = _node (sim, i);
    VpNodeMsg message;
    if (strcmp (node->name, to) != 0 || node->node == NULL
        || sim->now_ms < node->partitioned_until_ms
        || sim->now_ms < _node (sim, from)->partitioned_until_ms
        || _are_partitioned (sim, node->dc, _node (sim, from)->dc))
      continue;
    g_assert_true (vp_nodemsg_decode (wire, &message));
    _post_node_event (sim, i, VP_NODE_EVENT_MESSAGE, _message_delay_ms (sim, from, i))->message
        = message;
  }
}

static void
_handle_cancel_reply (SimCell *sim, SimJob *job, const VpReply *reply)
{
  job->cancel_handle = 0;
  if (reply->kind != VP_REPLY_CANCELLED && reply->kind != VP_REPLY_NO_SUCH_JOB) {
    job->cancel_next_ms = sim->now_ms + reply->retry_after_ms;
    return;
  }
  job->cancel_next_ms = INT64_MAX;
  job->is_cancelled = true;
  if (job->cancelled_ms == 0)
    job->cancelled_ms = sim->now_ms;
}

static void
_handle_reply (SimCell *sim, const VpReply *reply)
{
  SimJob *job = g_hash_table_lookup (sim->pending_calls, &reply->handle);

  if (job == NULL)
    return;
  g_hash_table_remove (sim->pending_calls, &reply->handle);
  if (reply->handle == job->cancel_handle) {
    _handle_cancel_reply (sim, job, reply);
    return;
  }
  job->handle = 0;
  if (reply->kind == VP_REPLY_ACCEPTED)
    job->is_accepted = true;
  if (reply->kind == VP_REPLY_REJECTED && !job->is_accepted && !job->is_outcome_unknown)
    job->is_rejected = true;
  else if (reply->kind == VP_REPLY_REJECTED)
    job->next_attempt_ms = sim->now_ms + reply->retry_after_ms;
  if (reply->kind == VP_REPLY_OUTCOME_UNKNOWN) {
    job->is_outcome_unknown = true;
    job->next_attempt_ms = sim->now_ms;
  }
}

static void
_post_config (SimCell *sim, uint32_t index)
{
  VpNodeEvent *event = _post_node_event (sim, index, VP_NODE_EVENT_CONFIG, STORE_DELAY_MS);

  event->config.config = vp_cellconfig_ref (sim->config);
  event->config.text = g_bytes_new_static ("{}", 2);
}

static void
_boot_node (SimCell *sim, uint32_t index)
{
  Node *node = _node (sim, index);
  uint32_t cpu_milli = sim->desc.cpu_milli == 0 ? NODE_CPU_MILLI : sim->desc.cpu_milli;
  VpNodeEvent *event;
  char dc[VP_NAME_MAX];

  node->incarnation++;
  node->paused_until_ms = node->queue_end_ms = 0;
  node->sent_evacuations_version = 0;
  g_snprintf (dc, sizeof dc, "dc-%u", node->dc);
  node->node = vp_node_setup (
      &(VpNodeDesc){ .name = node->name,
                     .dc = dc,
                     .cpu_milli = index < sim->desc.high_cpu_count ? 4 * cpu_milli : cpu_milli,
                     .hold_max_ms = 6000,
                     .relist_ms = 2500,
                     .retention_ms = 120000,
                     .grace_ms = 4000,
                     .has_evacuations = sim->desc.has_evacuations },
      sim->now_ms);
  if (!sim->is_config_hidden)
    _post_config (sim, index);
  for (guint i = 0; i < sim->nodes->len; i++) {
    event = _post_node_event (sim, index, VP_NODE_EVENT_MEMBER, STORE_DELAY_MS);
    g_strlcpy (event->member.name, _node (sim, i)->name, sizeof event->member.name);
    g_snprintf (event->member.address, sizeof event->member.address, "127.0.0.%u:1", i + 1);
  }
  _post_node_event (sim, index, VP_NODE_EVENT_TICK, 0);
}

static void
_shut_down_node (SimCell *sim, uint32_t index, int64_t for_ms)
{
  Node *node = _node (sim, index);
  GHashTableIter iter;
  gpointer value;
  Action *boot;

  if (node->node == NULL)
    return;
  vp_node_shutdown (node->node);
  node->node = NULL;
  node->incarnation++;
  node->watches_workers = node->is_ready = false;
  boot = _schedule (sim, ACTION_BOOT_NODE, for_ms);
  boot->node = index;
  /* The connections of waiting callers end without an answer. */
  g_hash_table_iter_init (&iter, sim->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    SimJob *job = value;
    if (job->node != index)
      continue;
    job->handle = 0;
    job->is_outcome_unknown = true;
    job->next_attempt_ms = sim->now_ms;
    g_hash_table_iter_remove (&iter);
  }
}

static void
_apply_effect (SimCell *sim, uint32_t index, VpNodeEffect *effect)
{
  Node *node = _node (sim, index);

  switch (effect->kind) {
  case VP_NODE_EFFECT_REPLY:
    _handle_reply (sim, &effect->reply);
    break;
  case VP_NODE_EFFECT_SEND:
    _send_node_message (sim, index, effect->send.peer, effect->send.bytes);
    break;
  case VP_NODE_EFFECT_WRITE:
    _send_store_write (sim, index, &effect->write);
    break;
  case VP_NODE_EFFECT_READ_RECORD:
    _read_record (sim, index);
    break;
  case VP_NODE_EFFECT_LOAD_JOBS:
    _load_jobs (sim, index, effect->serial);
    break;
  case VP_NODE_EFFECT_COMMAND:
    _send_command (sim, index, &effect->command);
    break;
  case VP_NODE_EFFECT_REQUEST_ADVICE:
    _answer_advice_request (sim, index, &effect->advice.request, effect->advice.requester);
    break;
  case VP_NODE_EFFECT_WATCH_WORKERS:
    node->watches_workers = effect->is_on;
    if (effect->is_on && !_is_store_down (sim, index))
      _send_worker_list (sim, index);
    else
      node->sent_list_version = 0;
    break;
  case VP_NODE_EFFECT_SET_READY:
    node->is_ready = effect->is_on;
    break;
  case VP_NODE_EFFECT_EXIT:
    /* Makes _run_node_event() shut the node down after the remaining effects. */
    node->paused_until_ms = INT64_MAX;
    break;
  case VP_NODE_EFFECT_CONNECT:
  case VP_NODE_EFFECT_CLOSE:
  case VP_NODE_EFFECT_DECODE_CONFIG:
    break;
  }
}

/* Schedules the event of @action for the node after @delay_ms. */
static Action *
_postpone_node_event (SimCell *sim, Action *action, int64_t delay_ms)
{
  Action *later = _schedule (sim, ACTION_NODE_EVENT, delay_ms);

  later->node = action->node;
  later->incarnation = action->incarnation;
  later->event = action->event;
  action->event = (VpNodeEvent){ .kind = VP_NODE_EVENT_TICK };
  return later;
}

/* Returns true if the event has to wait until a slow process has handled those before it. */
static bool
_queue_node_event (SimCell *sim, Action *action)
{
  Node *node = _node (sim, action->node);
  int64_t begin_ms = MAX (sim->now_ms, node->queue_end_ms);

  if (action->is_queued || (sim->now_ms >= node->slow_until_ms && sim->now_ms > node->queue_end_ms))
    return false;
  node->queue_end_ms = begin_ms + (sim->now_ms < node->slow_until_ms ? node->event_ms : 0);
  _postpone_node_event (sim, action, begin_ms - sim->now_ms)->is_queued = true;
  return true;
}

static void
_run_node_event (SimCell *sim, Action *action)
{
  Node *node = _node (sim, action->node);
  VpNodeEffects effects = { 0 };
  bool is_exiting;

  if (node->node == NULL || node->incarnation != action->incarnation)
    return;
  if (sim->now_ms < node->paused_until_ms) {
    /* A paused process handles its events when it resumes. */
    _postpone_node_event (sim, action, node->paused_until_ms - sim->now_ms);
    return;
  }
  if (_queue_node_event (sim, action))
    return;
  vp_node_apply (node->node, &action->event, sim->now_ms, &effects);
  vp_node_step (node->node, sim->now_ms, &effects);
  if (vp_node_cell (node->node) != NULL)
    vp_cell_check (vp_node_cell (node->node));
  for (uint32_t i = 0; i < effects.count; i++)
    _apply_effect (sim, action->node, &effects.items[i]);
  vp_node_effects_free (&effects);
  is_exiting = node->paused_until_ms == INT64_MAX;
  if (is_exiting)
    _shut_down_node (sim, action->node, EXIT_DELAY_MS);
}

/* Each millisecond of simulated time, simcell_run() ticks nodes, workers and callers and then runs
 * the actions that are due. */

static void
_tick_workers (SimCell *sim)
{
  for (guint i = 0; i < sim->jobs.workers->len; i++) {
    SimCellWorker *worker = sim->jobs.workers->pdata[i];
    if (worker->is_up)
      simcell_jobs_advance_worker (&sim->jobs, sim->now_ms, worker);
    if (worker->is_up && sim->now_ms >= worker->crash_ms)
      simcell_worker_crash (worker, sim->now_ms + CRASH_DOWN_MS);
    if (worker->is_up && sim->now_ms >= worker->leaves_ms) {
      simcell_worker_crash (worker, INT64_MAX);
      worker->entry_expires_ms = sim->now_ms;
    } else if (!worker->is_up && sim->now_ms >= worker->restart_ms) {
      simcell_worker_restart (worker, sim->now_ms);
      worker->entry_renewal_ms = sim->now_ms;
      sim->worker_list_version++;
    }
    _renew_worker_entry (sim, worker);
  }
  _send_changed_worker_lists (sim);
}

/* Sends a request to the node after @node, if that is up. */
static VpNodeEvent *
_send_request (SimCell *sim,
               SimJob *job,
               VpCallerRequestKind kind,
               uint32_t *node,
               uint64_t *handle,
               int64_t *next_attempt_ms)
{
  VpNodeEvent *event;

  /* The caller has stopped waiting for the answer to its last request. */
  g_hash_table_remove (sim->pending_calls, handle);
  *handle = 0;
  *node = *node + 1 < sim->nodes->len ? *node + 1 : 0;
  *next_attempt_ms = sim->now_ms + CALLER_TIMEOUT_MS;
  if (_node (sim, *node)->node == NULL)
    return NULL;
  event = _post_node_event (sim, *node, VP_NODE_EVENT_REQUEST, LINK_DELAY_MS);
  event->request.handle = *handle = ++sim->last_handle;
  event->request.kind = kind;
  event->request.wait_ms = CALLER_TIMEOUT_MS;
  event->request.host = g_strdup ("host");
  event->request.key = g_strdup ("key");
  event->request.path = g_strdup_printf ("/q/%016" G_GINT64_MODIFIER "x", job->id);
  g_hash_table_insert (sim->pending_calls, g_memdup2 (handle, sizeof *handle), job);
  return event;
}

static void
_tick_submission (SimCell *sim, SimJob *job)
{
  VpNodeEvent *event;

  if (sim->now_ms < job->next_attempt_ms)
    return;
  job->next_attempt_ms = INT64_MAX;
  job->is_outcome_unknown |= job->handle != 0;
  if (job->is_accepted || job->is_rejected)
    return;
  event = _send_request (sim, job, VP_CALLER_REQUEST_SUBMIT, &job->node, &job->handle,
                         &job->next_attempt_ms);
  if (event != NULL)
    event->request.spec = vp_jobspec_ref (job->spec);
}

static void
_tick_callers (SimCell *sim)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->jobs.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    SimJob *job = value;
    _tick_submission (sim, job);
    if (sim->now_ms >= job->cancel_next_ms)
      _send_request (sim, job, VP_CALLER_REQUEST_CANCEL, &job->cancel_node, &job->cancel_handle,
                     &job->cancel_next_ms);
  }
}

static void
_run_action (SimCell *sim, Action *action)
{
  switch (action->kind) {
  case ACTION_NODE_EVENT:
    _run_node_event (sim, action);
    break;
  case ACTION_COMMAND:
    _run_command (sim, action);
    break;
  case ACTION_STORE_WRITE:
    _run_store_write (sim, action);
    break;
  case ACTION_BOOT_NODE:
    _boot_node (sim, action->node);
    break;
  }
  _action_free (action);
}

void
simcell_run (SimCell *sim, int64_t span_ms)
{
  int64_t end_ms = sim->now_ms + span_ms;
  Action *action;

  while (sim->now_ms < end_ms) {
    sim->now_ms++;
    _tick_workers (sim);
    _send_changed_evacuations (sim);
    _tick_callers (sim);
    for (guint i = 0; i < sim->nodes->len; i++) {
      Node *node = _node (sim, i);
      if (node->node == NULL || sim->now_ms < MAX (node->paused_until_ms, node->queue_end_ms)
          || _is_store_down (sim, i))
        node->in_touch_since_ms = sim->now_ms;
      if (node->node != NULL && sim->now_ms >= node->paused_until_ms
          && sim->now_ms >= node->queue_end_ms
          && vp_node_next_ms (node->node, sim->now_ms) <= sim->now_ms)
        _post_node_event (sim, i, VP_NODE_EVENT_TICK, 0);
    }
    while ((action = _take_due (sim, sim->now_ms)) != NULL)
      _run_action (sim, action);
    if (vp_log_pending () > 0)
      vp_log_flush ();
  }
}

/* Setup and the functions for tests. */

/* @attempts_max is 0 for a configuration without the queue. */
static VpCellConfig *
_conf_new (const SimCellDesc *desc, uint64_t version, uint32_t attempts_max)
{
  VpCellConfig *config = vp_cellconfig_new (version);
  VpQueueConfig queue = { .name = "q",
                          .host = "host",
                          .prefix = "/q/",
                          .service = "service",
                          .attempts_max = attempts_max,
                          .stretch = 2,
                          .latency_target_ms = 500,
                          .has_advice = desc->has_advice,
                          .advice_decide_ms = 20,
                          .advice_worker_ms = 0.5,
                          .advice_valid_ms = TICKET_VALID_MS };
  VpTeamConfig team = { .name = "team", .weight = 1 };

  if (attempts_max > 0)
    g_array_append_val (config->queues, queue);
  g_array_append_val (config->teams, team);
  vp_cellconfig_add_key (config, "key", 0);
  vp_cellconfig_seal (config);
  return config;
}

SimCell *
simcell_new (const SimCellDesc *desc)
{
  SimCell *sim = g_new0 (SimCell, 1);

  sim->desc = *desc;
  sim->rand = g_rand_new_with_seed (desc->seed);
  sim->now_ms = sim->jobs.begin_ms = SIMCELL_BEGIN_MS;
  sim->jobs.seed = desc->seed;
  sim->actions = g_sequence_new (NULL);
  sim->nodes = g_array_new (FALSE, TRUE, sizeof (Node));
  sim->jobs.workers = g_ptr_array_new_with_free_func ((GDestroyNotify)simcell_worker_free);
  simcell_store_setup (&sim->store);
  sim->jobs.by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, simcell_jobs_free);
  sim->pending_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  sim->config = _conf_new (desc, 1, desc->attempts_max == 0 ? 3 : desc->attempts_max);
  sim->desc.dc_count = MAX (desc->dc_count, 1);
  sim->dc_partitioned_until_ms = g_array_new (FALSE, TRUE, sizeof (int64_t));
  g_array_set_size (sim->dc_partitioned_until_ms, sim->desc.dc_count);
  sim->worker_list_version = 1;
  simcell_evacuations_setup (&sim->evacuations);
  sim->dc_start_counts = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  g_array_set_size (sim->dc_start_counts, sim->desc.dc_count);
  for (uint32_t i = 0; i < desc->worker_count; i++) {
    SimCellWorker *worker = simcell_worker_new (i, sim->now_ms);
    worker->dc = i % sim->desc.dc_count;
    worker->is_listed = true;
    worker->entry_expires_ms = sim->now_ms + ENTRY_TTL_MS;
    g_free (worker->entry.dc);
    worker->entry.dc = g_strdup_printf ("dc-%u", worker->dc);
    g_ptr_array_add (sim->jobs.workers, worker);
  }
  g_array_set_size (sim->nodes, desc->node_count);
  sim->message_arrivals_ms = g_array_new (FALSE, TRUE, sizeof (int64_t));
  g_array_set_size (sim->message_arrivals_ms, desc->node_count * desc->node_count);
  for (uint32_t i = 0; i < desc->node_count; i++) {
    g_snprintf (_node (sim, i)->name, VP_NAME_MAX, "node-%u", i);
    _node (sim, i)->dc = i % sim->desc.dc_count;
  }
  for (uint32_t i = 0; i < desc->node_count; i++)
    _boot_node (sim, i);
  return sim;
}

void
simcell_free (SimCell *sim)
{
  Action *action;

  for (guint i = 0; i < sim->nodes->len; i++) {
    if (_node (sim, i)->node != NULL)
      vp_node_shutdown (_node (sim, i)->node);
  }
  while ((action = _take_due (sim, INT64_MAX)) != NULL)
    _action_free (action);
  g_sequence_free (sim->actions);
  g_array_unref (sim->nodes);
  g_ptr_array_unref (sim->jobs.workers);
  g_array_unref (sim->dc_partitioned_until_ms);
  g_array_unref (sim->dc_start_counts);
  simcell_evacuations_shutdown (&sim->evacuations);
  g_array_unref (sim->message_arrivals_ms);
  simcell_store_shutdown (&sim->store);
  g_hash_table_unref (sim->pending_calls);
  g_hash_table_unref (sim->jobs.by_id);
  vp_cellconfig_unref (sim->config);
  g_rand_free (sim->rand);
  g_free (sim);
}

int64_t
simcell_now_ms (const SimCell *sim)
{
  return sim->now_ms;
}

GRand *
simcell_rand (SimCell *sim)
{
  return sim->rand;
}

uint64_t
simcell_submit (SimCell *sim, uint32_t node, const SimJobDesc *desc)
{
  SimJob *job = simcell_jobs_new (++sim->last_job * 0x9e3779b97f4a7c15U, desc);

  job->node = (node > 0 ? node : (uint32_t)sim->nodes->len) - 1;
  job->next_attempt_ms = sim->now_ms;
  g_hash_table_insert (sim->jobs.by_id, &job->id, job);
  return job->id;
}

void
simcell_cancel (SimCell *sim, uint64_t id, int64_t delay_ms)
{
  SimJob *job = simcell_jobs_find (&sim->jobs, id);

  job->is_cancel_requested = true;
  job->cancel_node = (job->node + 1) % sim->nodes->len;
  job->cancel_next_ms = sim->now_ms + delay_ms;
}

bool
simcell_is_job_cancelled (const SimCell *sim, uint64_t id)
{
  return simcell_jobs_find (&sim->jobs, id)->is_cancelled;
}

uint32_t
simcell_running_count (const SimCell *sim, uint64_t id)
{
  return simcell_jobs_running_count (&sim->jobs, id);
}

bool
simcell_is_job_accepted (const SimCell *sim, uint64_t id)
{
  return simcell_jobs_find (&sim->jobs, id)->is_accepted;
}

bool
simcell_is_node_ready (const SimCell *sim, uint32_t node)
{
  return g_array_index (sim->nodes, Node, node).is_ready;
}

uint32_t
simcell_node_dc (const SimCell *sim, uint32_t node)
{
  return _node (sim, node)->dc;
}

bool
simcell_has_leader (const SimCell *sim)
{
  for (guint i = 0; i < sim->nodes->len; i++) {
    if (_node (sim, i)->node != NULL && vp_node_is_leading (_node (sim, i)->node))
      return true;
  }
  return false;
}

uint32_t
simcell_leader (const SimCell *sim)
{
  const SimCellValue *value = simcell_store_get (&sim->store, "lead");
  g_autoptr (GVariant) parsed
      = value == NULL ? NULL : vp_node_variant_from_bytes (value->value, VP_ELECTION_RECORD_TYPE);
  VpElectionRecord record;

  if (parsed == NULL || !vp_election_record_decode (parsed, &record))
    return 0;
  for (guint i = 0; i < sim->nodes->len; i++) {
    if (strcmp (_node (sim, i)->name, record.leader) == 0)
      return i;
  }
  return 0;
}

VpJobState
simcell_job_state (SimCell *sim, uint64_t id)
{
  const Node *node = _node (sim, simcell_leader (sim));
  const VpJob *job;

  if (node->node == NULL || !vp_node_is_leading (node->node))
    return VP_JOB_QUEUED;
  job = vp_joblist_find (vp_cell_jobs (vp_node_cell (node->node)), id);
  return job == NULL ? VP_JOB_QUEUED : job->state;
}

void
simcell_kill_node (SimCell *sim, uint32_t node, int64_t for_ms)
{
  _shut_down_node (sim, node, for_ms);
}

void
simcell_pause_node (SimCell *sim, uint32_t node, int64_t for_ms)
{
  _node (sim, node)->paused_until_ms = sim->now_ms + for_ms;
}

void
simcell_stop_node (SimCell *sim, uint32_t node, int64_t for_ms)
{
  (void)for_ms;
  _post_node_event (sim, node, VP_NODE_EVENT_STOP, 0);
}

void
simcell_partition_node (SimCell *sim, uint32_t node, int64_t for_ms)
{
  _node (sim, node)->partitioned_until_ms = sim->now_ms + for_ms;
}

void
simcell_partition_dc (SimCell *sim, uint32_t dc, int64_t for_ms)
{
  g_array_index (sim->dc_partitioned_until_ms, int64_t, dc) = sim->now_ms + for_ms;
}

void
simcell_disconnect_store (SimCell *sim, int32_t node, bool is_silent, int64_t for_ms)
{
  if (node < 0)
    sim->store_down_until_ms = sim->now_ms + for_ms;
  for (guint i = 0; i < sim->nodes->len; i++) {
    if (node >= 0 && (guint)node != i)
      continue;
    _node (sim, i)->store_down_until_ms = sim->now_ms + for_ms;
    _node (sim, i)->is_store_silent = is_silent;
  }
}

void
simcell_slow_node (SimCell *sim, uint32_t node, int64_t event_ms, int64_t for_ms)
{
  _node (sim, node)->event_ms = event_ms;
  _node (sim, node)->slow_until_ms = sim->now_ms + for_ms;
}

void
simcell_delay_messages (SimCell *sim, uint32_t node, int64_t delay_ms, int64_t for_ms)
{
  _node (sim, node)->message_delay_ms = delay_ms;
  _node (sim, node)->messages_delayed_until_ms = sim->now_ms + for_ms;
}

void
simcell_expire_members (SimCell *sim, uint32_t node)
{
  for (guint i = 0; i < sim->nodes->len; i++) {
    VpNodeEvent *event;
    if (i == node)
      continue;
    event = _post_node_event (sim, node, VP_NODE_EVENT_MEMBER, STORE_DELAY_MS);
    g_strlcpy (event->member.name, _node (sim, i)->name, sizeof event->member.name);
  }
}

void
simcell_hide_config (SimCell *sim, bool is_hidden)
{
  sim->is_config_hidden = is_hidden;
  for (guint i = 0; !is_hidden && i < sim->nodes->len; i++)
    simcell_give_config (sim, i);
}

void
simcell_set_queue (SimCell *sim, uint32_t attempts_max)
{
  VpCellConfig *config = _conf_new (&sim->desc, sim->config->version + 1, attempts_max);

  vp_cellconfig_unref (sim->config);
  sim->config = config;
  for (guint i = 0; i < sim->nodes->len; i++)
    simcell_give_config (sim, i);
}

void
simcell_give_config (SimCell *sim, uint32_t node)
{
  if (_node (sim, node)->node != NULL)
    _post_config (sim, node);
}

void
simcell_lose_write_results (SimCell *sim, double share, int64_t for_ms)
{
  sim->lost_result_share = share;
  sim->lost_results_until_ms = sim->now_ms + for_ms;
}

void
simcell_crash_worker (SimCell *sim, uint32_t worker, int64_t for_ms)
{
  simcell_worker_crash (sim->jobs.workers->pdata[worker], sim->now_ms + for_ms);
}

void
simcell_partition_worker (SimCell *sim, uint32_t worker, int64_t for_ms)
{
  ((SimCellWorker *)sim->jobs.workers->pdata[worker])->partitioned_until_ms = sim->now_ms + for_ms;
}

void
simcell_drain_worker (SimCell *sim, uint32_t worker, int64_t for_ms)
{
  SimCellWorker *fake = sim->jobs.workers->pdata[worker];

  fake->entry.is_draining = true;
  fake->leaves_ms = sim->now_ms + for_ms;
  sim->worker_list_version++;
}

void
simcell_delay_commands (SimCell *sim, double share, int64_t for_ms)
{
  sim->late_command_share = share;
  sim->late_commands_until_ms = sim->now_ms + for_ms;
}

void
simcell_evacuate_dc (SimCell *sim, uint32_t dc, bool is_on)
{
  char name[VP_NAME_MAX];

  g_snprintf (name, sizeof name, "dc-%u", dc);
  simcell_evacuations_set (&sim->evacuations, name, is_on, sim->now_ms);
}

uint32_t
simcell_dc_start_count (const SimCell *sim, uint32_t dc)
{
  return g_array_index (sim->dc_start_counts, uint32_t, dc);
}

uint32_t
simcell_dc_running_count (const SimCell *sim, uint32_t dc)
{
  uint32_t count = 0;

  for (guint i = 0; i < sim->jobs.workers->len; i++) {
    const SimCellWorker *worker = sim->jobs.workers->pdata[i];
    count += worker->is_up && worker->dc == dc ? worker->runs->len : 0;
  }
  return count;
}

uint32_t
simcell_start_count (const SimCell *sim)
{
  return sim->start_count;
}

uint32_t
simcell_advice_request_count (const SimCell *sim)
{
  return sim->advice_request_count;
}
