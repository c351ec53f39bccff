#include "vp-relay-private.h"

#include <string.h>

/* A relay keeps the text of a job for this long after its last use. */
#define VP_RELAY_TEXT_KEPT_MS 30000
/* Interval between removals of old texts. */
#define VP_RELAY_TEXT_PURGE_MS 5000
/* Maximum number of results in a batch. */
#define VP_RELAY_RESULTS_MAX 64
/* Minimum interval between batches of results that aren't full. The first result after a pause
 * doesn't wait. The leader receives messages of all processes in turn, one of each, so a relay that
 * sends more of them than others is the first whose messages wait if the leader is busy. */
#define VP_RELAY_RESULTS_INTERVAL_MS 40

/* A text that the relay keeps. */
typedef struct {
  char *text;
  int64_t used_ms;
} VpRelayKeptText;

static void
_vp_relay_kept_text_free (gpointer data)
{
  VpRelayKeptText *kept = data;

  g_free (kept->text);
  g_free (kept);
}

static gboolean
_vp_relay_is_text_old (gpointer job, gpointer kept, gpointer now_ms)
{
  (void)job;
  return *(const int64_t *)now_ms - ((const VpRelayKeptText *)kept)->used_ms
         >= VP_RELAY_TEXT_KEPT_MS;
}

void
vp_relay_agent_clear (VpRelayAgent *agent)
{
  VpRelayMessage out;

  if (vp_relay_agent_take (agent, 0, &out)) {
    g_variant_unref (g_variant_ref_sink (out.message.body));
    g_free (out.to);
  }
  g_clear_pointer (&agent->texts, g_hash_table_unref);
  vp_text_clear (&agent->leader);
}

/* Sets the text of the command from the message or from an earlier one. Returns false if an earlier
 * one should have had it, but it isn't there. */
static bool
_vp_relay_agent_set_text (VpRelayAgent *agent,
                          VpCommand *command,
                          GVariant *texts,
                          uint32_t index,
                          int64_t now_ms)
{
  VpRelayKeptText *kept;

  if (index == VP_RELAY_NO_TEXT)
    return true;
  if (agent->texts == NULL)
    agent->texts
        = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, _vp_relay_kept_text_free);
  kept = g_hash_table_lookup (agent->texts, &command->task.job);
  if (kept == NULL && index == VP_RELAY_KNOWN_TEXT)
    return false;
  if (kept == NULL) {
    kept = g_new0 (VpRelayKeptText, 1);
    g_variant_get_child (texts, index, "s", &kept->text);
    g_hash_table_insert (agent->texts, g_memdup2 (&command->task.job, sizeof (uint64_t)), kept);
  }
  kept->used_ms = now_ms;
  command->text = g_strdup (kept->text);
  return true;
}

/* Appends the result of a command that isn't sent. */
static void
_vp_relay_agent_fail_command (const VpCommand *command,
                              VpCommandOutcome outcome,
                              int64_t now_ms,
                              GArray *results)
{
  VpCommandResult result = { .outcome = outcome, .received_ms = now_ms };

  vp_command_result_begin (&result, command, now_ms);
  g_array_append_val (results, result);
}

/* Sets the worker of the command to the one at @index in the message. Returns false if there is
 * none. */
static bool
_vp_relay_agent_set_worker (VpCommand *command, GVariant *workers, uint32_t index)
{
  const char *id, *address;

  if (index >= g_variant_n_children (workers))
    return false;
  g_variant_get_child (workers, index, "(&s&s)", &id, &address);
  vp_text_set (&command->worker, id);
  return vp_name_copy (command->address, sizeof command->address, address);
}

bool
vp_relay_agent_handle_commands (VpRelayAgent *agent,
                                const VpNodeMsg *message,
                                int64_t starts_expire_ms,
                                int64_t now_ms,
                                GArray *commands,
                                GArray *results)
{
  g_autoptr (GVariant) workers = NULL;
  g_autoptr (GVariant) texts = NULL;
  g_autoptr (GVariant) packed = NULL;
  VpRelayPacked item;
  const uint8_t *data;
  gsize size, offset = 0;

  if (message->body == NULL
      || !g_variant_is_of_type (message->body, G_VARIANT_TYPE (VP_RELAY_COMMANDS_TYPE)))
    return false;
  if (agent->texts != NULL && now_ms >= agent->purge_next_ms) {
    agent->purge_next_ms = now_ms + VP_RELAY_TEXT_PURGE_MS;
    g_hash_table_foreach_remove (agent->texts, _vp_relay_is_text_old, &now_ms);
  }
  g_variant_get (message->body, "(@a(ss)@as@ay)", &workers, &texts, &packed);
  data = g_variant_get_fixed_array (packed, &size, 1);
  while (offset < size) {
    VpCommand *command = &item.command;
    item = (VpRelayPacked){ .command = { .fence = message->term } };
    if (!vp_relay_unpack_command (data, size, &offset, &item))
      return false;
    if (!_vp_relay_agent_set_worker (command, workers, item.worker)
        || (item.text < VP_RELAY_KNOWN_TEXT && item.text >= g_variant_n_children (texts))) {
      vp_command_clear (command);
      return false;
    }
    vp_text_set (&command->requester, message->from);
    command->expires_ms = command->kind == VP_COMMAND_START ? starts_expire_ms : 0;
    if (!_vp_relay_agent_set_text (agent, command, texts, item.text, now_ms)) {
      _vp_relay_agent_fail_command (command, VP_COMMAND_LATE, now_ms, results);
    } else if (vp_command_is_expired (command, now_ms)) {
      _vp_relay_agent_fail_command (command, VP_COMMAND_EXPIRED, now_ms, results);
    } else {
      g_array_append_val (commands, *command);
      continue;
    }
    vp_command_clear (command);
  }
  return true;
}

void
vp_relay_agent_add_result (VpRelayAgent *agent,
                           const VpCommandResult *result,
                           uint32_t form,
                           int64_t now_ms,
                           VpRelayMessage *full)
{
  memset (full, 0, sizeof *full);
  if (agent->count >= VP_RELAY_RESULTS_MAX
      || (agent->count > 0
          && (!vp_text_equal (agent->leader, result->requester) || agent->term != result->fence)))
    vp_relay_agent_take (agent, now_ms, full);
  if (agent->count == 0) {
    vp_text_set (&agent->leader, result->requester);
    agent->term = result->fence;
    agent->packed = g_byte_array_new ();
  }
  agent->count++;
  vp_relay_pack_result (agent->packed, result, form);
}

int64_t
vp_relay_agent_due_ms (const VpRelayAgent *agent)
{
  return agent->count == 0 ? INT64_MAX : agent->due_ms;
}

bool
vp_relay_agent_take (VpRelayAgent *agent, int64_t now_ms, VpRelayMessage *out)
{
  memset (out, 0, sizeof *out);
  if (agent->count == 0)
    return false;
  out->to = g_strdup (vp_text (agent->leader));
  out->message.kind = VP_NODEMSG_RESULTS;
  out->message.term = agent->term;
  out->message.body
      = g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, agent->packed->data, agent->packed->len, 1);
  g_clear_pointer (&agent->packed, g_byte_array_unref);
  agent->count = 0;
  agent->due_ms = now_ms + VP_RELAY_RESULTS_INTERVAL_MS;
  return true;
}
