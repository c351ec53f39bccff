#include "vp-log.h"
#include "vp-metrics.h"
#include "vp-relay-private.h"

#include <string.h>

/* CPU share, in thousandths of a core, that a process should have for each worker that it calls. */
#define VP_RELAY_CPU_MILLI_PER_WORKER 4
/* A command whose result hasn't arrived after this time is uncertain. A call to a silent worker
 * times out earlier, but commands for one worker may have to wait for each other. */
#define VP_RELAY_OVERDUE_MS 1600
/* The same for HOLD commands, which may wait at the worker. */
#define VP_RELAY_OVERDUE_HOLD_MS 3600
/* A relay that has answered no command since an overdue one is slow if another relay has answered
 * commands that were sent this much later. If none has, the leader itself is behind. */
#define VP_RELAY_LAG_MS 800
/* Time added to a command's if no relay has answered lately. */
#define VP_RELAY_BEHIND_MS 1600
/* A relay is avoided if neither results nor pings of it have arrived for this long while results
 * are outstanding, as it may have died: two pings are missing then. */
#define VP_RELAY_SILENT_MS 800
/* A leader that has not looked at its relays for this long was stopped or very busy. It has their
 * pings and results still to receive, so their silence counts from then on only. */
#define VP_RELAY_STALLED_MS 300
/* A result that arrives up to this long after its command was given up is still reported. */
#define VP_RELAY_LATE_MS 15000
/* Interval at which older ones are forgotten. */
#define VP_RELAY_LATE_CHECK_MS 1000
/* Time for which a slow relay is avoided. */
#define VP_RELAY_AVOID_MS 2000
/* Interval at which outstanding results are checked. */
#define VP_RELAY_CHECK_MS 100
/* Minimum interval between batches to a relay. Commands that come sooner after a batch wait for
 * each other; the first command after a pause doesn't wait. */
#define VP_RELAY_BATCH_INTERVAL_MS 12
/* A relay has restarted if its start time changes by more than this. */
#define VP_RELAY_RESTART_MS 300
/* A leader relies on a relay to have the text of a job for this long after its last use. */
#define VP_RELAY_TEXT_KNOWN_MS 20000

/* A process that sends commands, and the batch that is being built for it. */
typedef struct {
  char *name;
  char *dc;
  uint32_t cpu_milli;
  uint32_t form;          /* see VP_RELAY_FORM */
  int64_t heard_ms;       /* time of the last results or ping, or of the first command after it had
                             none */
  int64_t answered_ms;    /* latest time at which a command was sent that a worker has answered */
  int64_t avoid_until_ms; /* it gets no commands before this time */
  uint32_t pending_count; /* commands without a result */
  GHashTable *workers;    /* identity of a worker in the batch -> index + 1 */
  GHashTable *texts;      /* job -> VpRelayText: texts that it has or that are in the batch */
  guint text_count;       /* texts in the batch */
  int64_t started_ms;     /* start time of the process */
  int64_t batch_due_ms;   /* earliest time of the next batch */
  GVariantBuilder worker_builder;
  GVariantBuilder text_builder;
  GByteArray *commands; /* packed commands in the batch */
  uint64_t batch;       /* number of the batch that is being built */
  uint32_t batch_count;
  int64_t batch_began_ms; /* time of the first command in the batch */
} VpRelayProcess;

/* A text that the relay has. */
typedef struct {
  uint64_t batch;  /* batch that included it */
  guint index;     /* its index in that batch */
  int64_t used_ms; /* time of the last command that needed it */
} VpRelayText;

/* A command without a result. */
typedef struct {
  VpCommandResult result; /* the result if none arrives */
  VpRelayProcess *process;
  int64_t due_ms; /* the command is overdue after this time, or forgotten if it was given up */
} VpRelayPending;

struct _VpRelay {
  VpRelayDesc desc;
  GHashTable *processes; /* name -> VpRelayProcess, never removed */
  GHashTable *by_worker; /* identity of a worker -> VpRelayProcess */
  GHashTable *pending;   /* serial -> VpRelayPending */
  GHashTable *given_up;  /* the same for commands that were reported as uncertain */
  int64_t late_check_next_ms;
  uint32_t last_serial;
  uint64_t signature; /* of the members and workers that @by_worker was made for */
  int64_t check_next_ms;
  int64_t called_ms;   /* time of the last call of vp_relay_expire() */
  int64_t resumed_ms;  /* time at which this process was found to have been stopped; 0: never */
  int64_t answered_ms; /* the latest of all relays */
};

static void
_vp_relay_begin_batch (VpRelayProcess *process)
{
  g_hash_table_remove_all (process->workers);
  process->batch++;
  process->text_count = 0;
  g_variant_builder_init (&process->worker_builder, G_VARIANT_TYPE ("a(ss)"));
  g_variant_builder_init (&process->text_builder, G_VARIANT_TYPE ("as"));
  g_byte_array_set_size (process->commands, 0);
  process->batch_count = 0;
}

static void
_vp_relay_process_free (gpointer data)
{
  VpRelayProcess *process = data;

  g_hash_table_unref (process->workers);
  g_hash_table_unref (process->texts);
  g_variant_builder_clear (&process->worker_builder);
  g_variant_builder_clear (&process->text_builder);
  g_byte_array_unref (process->commands);
  g_free (process->name);
  g_free (process->dc);
  g_free (process);
}

static void
_vp_relay_pending_free (gpointer data)
{
  VpRelayPending *pending = data;

  vp_command_result_clear (&pending->result);
  g_free (pending);
}

VpRelay *
vp_relay_setup (const VpRelayDesc *desc)
{
  VpRelay *relay = g_new0 (VpRelay, 1);

  relay->desc = *desc;
  relay->processes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _vp_relay_process_free);
  relay->by_worker = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  relay->pending = g_hash_table_new_full (NULL, NULL, NULL, _vp_relay_pending_free);
  relay->given_up = g_hash_table_new_full (NULL, NULL, NULL, _vp_relay_pending_free);
  return relay;
}

void
vp_relay_shutdown (VpRelay *relay)
{
  if (relay == NULL)
    return;
  g_hash_table_unref (relay->by_worker);
  g_hash_table_unref (relay->pending);
  g_hash_table_unref (relay->given_up);
  g_hash_table_unref (relay->processes);
  g_free (relay);
}

/* Choice of relays. */

static VpRelayProcess *
_vp_relay_get_process (VpRelay *relay, const VpMemberState *member)
{
  VpRelayProcess *process = g_hash_table_lookup (relay->processes, member->name);

  if (process == NULL) {
    process = g_new0 (VpRelayProcess, 1);
    process->name = g_strdup (member->name);
    process->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    process->texts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
    process->commands = g_byte_array_new ();
    _vp_relay_begin_batch (process);
    g_hash_table_insert (relay->processes, process->name, process);
  }
  vp_text_set (&process->dc, member->dc);
  process->cpu_milli = member->cpu_milli;
  process->form = member->relay_form;
  process->heard_ms = MAX (process->heard_ms, member->ping_received_ms);
  /* The start time is computed from the age in a ping, whose delay varies. */
  if (ABS (member->started_ms - process->started_ms) > VP_RELAY_RESTART_MS)
    g_hash_table_remove_all (process->texts);
  process->started_ms = member->started_ms;
  return process;
}

static guint
_vp_relay_pair_hash (const char *process, const char *worker)
{
  guint hash = g_str_hash (process) * 31 + g_str_hash (worker);

  /* Similar names must not lead to similar values. */
  hash ^= hash >> 16;
  hash *= 0x7feb352dU;
  hash ^= hash >> 15;
  hash *= 0x846ca68bU;
  return hash ^ hash >> 16;
}

/* Returns the process for the worker, or NULL. Rendezvous hashing keeps most choices when processes
 * come and go. */
static VpRelayProcess *
_vp_relay_choose (const GPtrArray *processes, const VpCellWorker *worker)
{
  VpRelayProcess *best = NULL;
  guint best_hash = 0;

  for (guint i = 0; i < processes->len; i++) {
    VpRelayProcess *process = processes->pdata[i];
    guint hash = _vp_relay_pair_hash (process->name, worker->entry.id);
    if (best == NULL || hash > best_hash) {
      best = process;
      best_hash = hash;
    }
  }
  return best;
}

/* The workers of a DC and the processes that are relays for them. */
typedef struct {
  uint32_t worker_count;
  GPtrArray *processes; /* VpRelayProcess */
} VpRelayDc;

static void
_vp_relay_dc_free (gpointer data)
{
  VpRelayDc *dc = data;

  g_ptr_array_unref (dc->processes);
  g_free (dc);
}

static gint
_vp_relay_compare_strength (gconstpointer a, gconstpointer b)
{
  const VpRelayProcess *one = *(VpRelayProcess *const *)a;
  const VpRelayProcess *two = *(VpRelayProcess *const *)b;

  return one->cpu_milli == two->cpu_milli  ? strcmp (one->name, two->name)
         : one->cpu_milli > two->cpu_milli ? -1
                                           : 1;
}

/* Chooses the relays of a DC: the strongest processes, and no more than its workers need. Each one
 * needs the texts of most jobs, so more of them would use more of the leader's link. If the DC has
 * no usable process, processes of other DCs are taken. @processes are sorted by strength. */
static void
_vp_relay_select (const GPtrArray *processes, const char *name, VpRelayDc *dc)
{
  uint32_t cpu_milli = 0;

  for (guint i = 0;
       i < processes->len && cpu_milli < dc->worker_count * VP_RELAY_CPU_MILLI_PER_WORKER; i++) {
    VpRelayProcess *process = processes->pdata[i];
    if (name != NULL && !vp_text_equal (process->dc, name))
      continue;
    g_ptr_array_add (dc->processes, process);
    cpu_milli += process->cpu_milli;
  }
  if (name != NULL && dc->processes->len == 0)
    _vp_relay_select (processes, NULL, dc);
}

/* Returns the processes that can be relays, strongest first. */
static GPtrArray *
_vp_relay_usable_processes (VpRelay *relay, GHashTable *members, int64_t now_ms)
{
  GPtrArray *processes = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpMemberState *member = value;
    VpRelayProcess *process;
    if (!vp_member_is_reachable (member, now_ms) || !vp_member_has_address (member)
        || member->is_stopping)
      continue;
    process = _vp_relay_get_process (relay, member);
    if (now_ms >= process->avoid_until_ms)
      g_ptr_array_add (processes, process);
  }
  g_ptr_array_sort (processes, _vp_relay_compare_strength);
  return processes;
}

/* Returns a number that changes if the choice of relays has to be made again. */
static uint64_t
_vp_relay_signature (const GPtrArray *processes, const VpWorkerList *worker_list)
{
  uint64_t signature = worker_list->workers->len;

  for (guint i = 0; i < processes->len; i++)
    signature
        = signature * 1099511628211U + g_str_hash (((VpRelayProcess *)processes->pdata[i])->name);
  for (guint i = 0; i < worker_list->workers->len; i++)
    signature += (uint64_t)g_str_hash (((VpCellWorker *)worker_list->workers->pdata[i])->entry.id)
                 * 0x9e3779b97f4a7c15U;
  return signature;
}

/* Returns a table of name of a DC -> VpRelayDc, with the relays chosen among @processes. */
static GHashTable *
_vp_relay_choose_dcs (const GPtrArray *processes, const VpWorkerList *worker_list)
{
  GHashTable *dcs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _vp_relay_dc_free);
  GHashTableIter iter;
  gpointer name, value;

  for (guint i = 0; i < worker_list->workers->len; i++) {
    const VpCellWorker *worker = worker_list->workers->pdata[i];
    VpRelayDc *dc = g_hash_table_lookup (dcs, worker->entry.dc);
    if (dc == NULL) {
      dc = g_new0 (VpRelayDc, 1);
      dc->processes = g_ptr_array_new ();
      g_hash_table_insert (dcs, (gpointer)worker->entry.dc, dc);
    }
    dc->worker_count++;
  }
  g_hash_table_iter_init (&iter, dcs);
  while (g_hash_table_iter_next (&iter, &name, &value))
    _vp_relay_select (processes, name, value);
  return dcs;
}

void
vp_relay_update (VpRelay *relay,
                 GHashTable *members,
                 const VpWorkerList *worker_list,
                 int64_t now_ms)
{
  g_autoptr (GPtrArray) processes = NULL;
  g_autoptr (GHashTable) dcs = NULL;
  uint64_t signature;

  if (now_ms < relay->check_next_ms)
    return;
  relay->check_next_ms = now_ms + VP_RELAY_CHECK_MS;
  if (worker_list->workers->len * VP_RELAY_CPU_MILLI_PER_WORKER <= relay->desc.cpu_milli) {
    g_hash_table_remove_all (relay->by_worker);
    relay->signature = 0;
    return;
  }
  processes = _vp_relay_usable_processes (relay, members, now_ms);
  signature = _vp_relay_signature (processes, worker_list);
  if (signature == relay->signature)
    return;
  relay->signature = signature;
  g_hash_table_remove_all (relay->by_worker);
  dcs = _vp_relay_choose_dcs (processes, worker_list);
  for (guint i = 0; i < worker_list->workers->len; i++) {
    const VpCellWorker *worker = worker_list->workers->pdata[i];
    const VpRelayDc *dc = g_hash_table_lookup (dcs, worker->entry.dc);
    VpRelayProcess *process = _vp_relay_choose (dc->processes, worker);
    if (process != NULL)
      g_hash_table_insert (relay->by_worker, g_strdup (worker->entry.id), process);
  }
  vp_log (now_ms, "relays", "usable=%u workers=%u", processes->len, worker_list->workers->len);
}

/* Commands. */

static uint32_t
_vp_relay_worker_index (VpRelayProcess *process, const VpCommand *command)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (process->workers, command->worker));

  if (index == 0) {
    index = g_hash_table_size (process->workers) + 1;
    g_hash_table_insert (process->workers, g_strdup (command->worker), GUINT_TO_POINTER (index));
    g_variant_builder_add (&process->worker_builder, "(ss)", command->worker, command->address);
  }
  return index - 1;
}

/* Returns the index of the command's text in the batch, or VP_RELAY_KNOWN_TEXT if the relay has it
 * from an earlier batch. */
static uint32_t
_vp_relay_text_index (VpRelayProcess *process, const VpCommand *command, int64_t now_ms)
{
  VpRelayText *text;

  if (command->text == NULL)
    return VP_RELAY_NO_TEXT;
  text = g_hash_table_lookup (process->texts, &command->task.job);
  if (text == NULL) {
    text = g_new0 (VpRelayText, 1);
    g_hash_table_insert (process->texts, g_memdup2 (&command->task.job, sizeof (uint64_t)), text);
  } else if (text->batch == process->batch) {
    text->used_ms = now_ms;
    return text->index;
  } else if (now_ms - text->used_ms < VP_RELAY_TEXT_KNOWN_MS) {
    text->used_ms = now_ms;
    return VP_RELAY_KNOWN_TEXT;
  }
  *text = (VpRelayText){ .batch = process->batch, .index = process->text_count, .used_ms = now_ms };
  process->text_count++;
  g_variant_builder_add (&process->text_builder, "s", command->text);
  return text->index;
}

static gboolean
_vp_relay_is_text_unknown (gpointer job, gpointer text, gpointer now_ms)
{
  (void)job;
  return *(const int64_t *)now_ms - ((const VpRelayText *)text)->used_ms >= VP_RELAY_TEXT_KNOWN_MS;
}

/* Returns true if the command has a text that form 0 can't hold. */
static bool
_vp_relay_has_long_text (const VpCommand *command)
{
  return strlen (vp_text (command->checkpoint)) > VP_RELAY_SHORT_TEXT_MAX
         || strlen (vp_text (command->ticket)) > VP_RELAY_SHORT_TEXT_MAX
         || strlen (vp_text (command->worker)) > VP_RELAY_SHORT_NAME_MAX;
}

bool
vp_relay_add (VpRelay *relay, VpCommand *command, int64_t now_ms)
{
  VpRelayProcess *process = g_hash_table_lookup (relay->by_worker, command->worker);
  VpRelayPending *pending;
  uint32_t serial;

  if (process == NULL || (process->form == 0 && _vp_relay_has_long_text (command)))
    return false;
  serial = ++relay->last_serial;
  vp_relay_pack_command (process->commands, command, serial,
                         _vp_relay_worker_index (process, command),
                         _vp_relay_text_index (process, command, now_ms));
  if (process->batch_count++ == 0)
    process->batch_began_ms = now_ms;
  pending = g_new0 (VpRelayPending, 1);
  pending->process = process;
  pending->due_ms
      = now_ms
        + (command->kind == VP_COMMAND_HOLD ? VP_RELAY_OVERDUE_HOLD_MS : VP_RELAY_OVERDUE_MS);
  pending->result = (VpCommandResult){ .kind = command->kind,
                                       .task = command->task,
                                       .run = command->run,
                                       .hold = command->hold,
                                       .outcome = VP_COMMAND_UNCERTAIN,
                                       .fence = command->fence,
                                       .sent_ms = now_ms };
  vp_text_set (&pending->result.worker, command->worker);
  g_hash_table_insert (relay->pending, GUINT_TO_POINTER (serial), pending);
  if (process->pending_count++ == 0)
    process->heard_ms = now_ms;
  vp_command_clear (command);
  return true;
}

/* Moves the batch of the process to @out and begins another one. */
static void
_vp_relay_take_batch (const VpRelay *relay, VpRelayProcess *process, VpRelayMessage *out)
{
  memset (out, 0, sizeof *out);
  out->to = g_strdup (process->name);
  out->message.kind = VP_NODEMSG_COMMANDS;
  out->message.term = relay->desc.term;
  /* The leader may have been stopped since it gave the commands. */
  out->message.sent_ms = process->batch_began_ms;
  out->message.body
      = g_variant_new ("(a(ss)as@ay)", &process->worker_builder, &process->text_builder,
                       g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, process->commands->data,
                                                  process->commands->len, 1));
  _vp_relay_begin_batch (process);
}

void
vp_relay_flush (VpRelay *relay, int64_t now_ms, GArray *messages)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, relay->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpRelayProcess *process = value;
    if (process->batch_count == 0 || now_ms < process->batch_due_ms)
      continue;
    process->batch_due_ms = now_ms + VP_RELAY_BATCH_INTERVAL_MS;
    g_hash_table_foreach_remove (process->texts, _vp_relay_is_text_unknown, &now_ms);
    g_array_set_size (messages, messages->len + 1);
    _vp_relay_take_batch (relay, process,
                          &g_array_index (messages, VpRelayMessage, messages->len - 1));
  }
}

/* Results. */

/* Takes the command with the serial out of the table of pending commands or that of given-up ones.
 * Returns NULL if it is in none of them. */
static VpRelayPending *
_vp_relay_take_pending (VpRelay *relay, uint32_t serial)
{
  gpointer pending = NULL;

  if (g_hash_table_steal_extended (relay->pending, GUINT_TO_POINTER (serial), NULL, &pending))
    ((VpRelayPending *)pending)->process->pending_count--;
  else
    g_hash_table_steal_extended (relay->given_up, GUINT_TO_POINTER (serial), NULL, &pending);
  return pending;
}

/* Completes the result @from of a command with what the leader knows of the command, and appends it
 * to @results. */
static void
_vp_relay_accept_result (VpRelay *relay,
                         VpRelayProcess *process,
                         VpCommandResult *from,
                         int64_t now_ms,
                         GArray *results)
{
  g_autofree VpRelayPending *pending = _vp_relay_take_pending (relay, from->serial);
  VpCommandResult result;

  if (pending == NULL) {
    vp_command_result_clear (from);
    return;
  }
  /* The worker's name passes to the result. */
  result = pending->result;
  result.outcome = from->outcome;
  result.is_repeated = from->is_repeated;
  result.received_ms = now_ms;
  result.clock_ms = from->clock_ms;
  result.booted_ms = from->booted_ms;
  result.running = from->running;
  result.ended = from->ended;
  if (result.clock_ms > 0) {
    process->answered_ms = MAX (process->answered_ms, result.sent_ms);
    relay->answered_ms = MAX (relay->answered_ms, result.sent_ms);
  }
  /* The relay may lack a text that it should have. */
  if (result.kind == VP_COMMAND_START && result.outcome == VP_COMMAND_LATE)
    g_hash_table_remove_all (process->texts);
  g_array_append_val (results, result);
}

void
vp_relay_handle_results (VpRelay *relay, const VpNodeMsg *message, int64_t now_ms, GArray *results)
{
  VpRelayProcess *process = g_hash_table_lookup (relay->processes, message->from);
  VpCommandResult result = { 0 };
  const uint8_t *data;
  gsize size, offset = 0;

  if (process == NULL || message->term != relay->desc.term || message->body == NULL
      || !g_variant_is_of_type (message->body, G_VARIANT_TYPE (VP_RELAY_RESULTS_TYPE)))
    return;
  process->heard_ms = now_ms;
  data = g_variant_get_fixed_array (message->body, &size, 1);
  while (offset < size && vp_relay_unpack_result (data, size, &offset, process->form, &result))
    _vp_relay_accept_result (relay, process, &result, now_ms, results);
}

/* Avoids the relay of the command. */
static void
_vp_relay_avoid (VpRelay *relay, const VpRelayPending *pending, int64_t now_ms)
{
  VpRelayProcess *process = pending->process;

  if (now_ms >= process->avoid_until_ms)
    vp_log (now_ms, "relay-avoided",
            "relay=%s worker=%s silent_ms=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
            process->name, pending->result.worker, now_ms - process->heard_ms,
            now_ms - pending->result.sent_ms);
  process->avoid_until_ms = now_ms + VP_RELAY_AVOID_MS;
  relay->check_next_ms = now_ms;
}

/* Returns true if the command shows that its relay, and not only its worker, doesn't answer. */
static bool
_vp_relay_is_unresponsive (const VpRelay *relay, const VpRelayPending *pending, int64_t now_ms)
{
  const VpRelayProcess *process = pending->process;
  int64_t sent_ms = pending->result.sent_ms;

  /* A HOLD may wait at the worker, so only other commands tell whether the relay is silent. */
  if (pending->result.kind != VP_COMMAND_HOLD
      && now_ms - MAX (MAX (process->heard_ms, sent_ms), relay->resumed_ms) > VP_RELAY_SILENT_MS)
    return true;
  /* If a later command has been answered through the relay, this one waits for its worker. */
  return now_ms >= pending->due_ms && process->answered_ms < sent_ms
         && relay->answered_ms >= sent_ms + VP_RELAY_LAG_MS;
}

/* Returns true if the command's result isn't waited for any longer, although its relay answers. */
static bool
_vp_relay_is_overdue (const VpRelay *relay, const VpRelayPending *pending, int64_t now_ms)
{
  bool is_behind = relay->answered_ms < pending->result.sent_ms + VP_RELAY_LAG_MS;

  /* Results that wait to be received would be dropped, and their commands repeated for nothing. */
  return now_ms >= pending->due_ms + (is_behind ? VP_RELAY_BEHIND_MS : 0);
}

/* Reports the command as uncertain. Its result is reported as well if it arrives later. */
static void
_vp_relay_give_up (VpRelay *relay,
                   gpointer serial,
                   VpRelayPending *pending,
                   int64_t now_ms,
                   GArray *results)
{
  VpCommandResult *result;

  pending->process->pending_count--;
  pending->result.received_ms = now_ms;
  g_array_append_val (results, pending->result);
  result = &g_array_index (results, VpCommandResult, results->len - 1);
  result->worker = g_strdup (pending->result.worker);
  result->is_given_up = true;
  pending->result.is_late = true;
  pending->due_ms = now_ms + VP_RELAY_LATE_MS;
  g_hash_table_insert (relay->given_up, serial, pending);
}

static gboolean
_vp_relay_is_too_late (gpointer serial, gpointer pending, gpointer now_ms)
{
  (void)serial;
  return *(const int64_t *)now_ms >= ((const VpRelayPending *)pending)->due_ms;
}

void
vp_relay_expire (VpRelay *relay, int64_t now_ms, GArray *results)
{
  GHashTableIter iter;
  gpointer serial, value;

  if (now_ms - relay->called_ms > VP_RELAY_STALLED_MS)
    relay->resumed_ms = now_ms;
  relay->called_ms = now_ms;
  if (now_ms < relay->check_next_ms)
    return;
  if (now_ms >= relay->late_check_next_ms) {
    relay->late_check_next_ms = now_ms + VP_RELAY_LATE_CHECK_MS;
    g_hash_table_foreach_remove (relay->given_up, _vp_relay_is_too_late, &now_ms);
  }
  g_hash_table_iter_init (&iter, relay->pending);
  while (g_hash_table_iter_next (&iter, &serial, &value)) {
    VpRelayPending *pending = value;
    if (_vp_relay_is_unresponsive (relay, pending, now_ms))
      _vp_relay_avoid (relay, pending, now_ms);
    else if (!_vp_relay_is_overdue (relay, pending, now_ms)
             && now_ms >= pending->process->avoid_until_ms)
      continue;
    g_hash_table_iter_steal (&iter);
    _vp_relay_give_up (relay, serial, pending, now_ms, results);
  }
}

int64_t
vp_relay_next_ms (const VpRelay *relay)
{
  int64_t next_ms = g_hash_table_size (relay->pending) == 0 ? INT64_MAX : relay->check_next_ms;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, relay->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpRelayProcess *process = value;
    if (process->batch_count > 0)
      next_ms = MIN (next_ms, process->batch_due_ms);
  }
  return next_ms;
}
