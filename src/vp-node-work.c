#include "vp-log.h"
#include "vp-node-private.h"

#define VP_NODE_ADVICE_REQUEST_TYPE "(tuuxas)"
#define VP_NODE_ADVICE_ROWS_TYPE    "a(ssx)"

/* Advice requests. The leader passes each one to the process whose advice calls will be done first,
 * which may be the leader itself. */

static void
_vp_node_request_advice (VpAdviceRequest *advice_request,
                         const char *requester,
                         VpNodeEffects *effects)
{
  VpNodeEffect *effect = vp_node_effects_add (effects, VP_NODE_EFFECT_REQUEST_ADVICE);

  effect->advice.request = *advice_request;
  effect->advice.request.workers = g_ptr_array_ref (advice_request->workers);
  effect->advice.requester = g_strdup (requester);
}

void
_vp_node_dispatch_advice_request (VpNode *node,
                                  VpAdviceRequest *advice_request,
                                  int64_t now_ms,
                                  VpNodeEffects *effects)
{
  int64_t own_ms = MAX (node->advice_until_ms, now_ms);
  VpMemberState *best = vp_members_least_busy (node->members, own_ms, now_ms);
  VpNodeMsg message = { .kind = VP_NODEMSG_ADVICE_REQUEST, .serial = advice_request->serial };
  GVariantBuilder ids;

  if (best == NULL) {
    node->advice_until_ms = own_ms + advice_request->expected_ms;
    _vp_node_request_advice (advice_request, node->name, effects);
    return;
  }
  best->advice_until_ms = MAX (best->advice_until_ms, now_ms) + advice_request->expected_ms;
  g_variant_builder_init (&ids, G_VARIANT_TYPE ("as"));
  for (guint i = 0; i < advice_request->workers->len; i++)
    g_variant_builder_add (&ids, "s", (const char *)advice_request->workers->pdata[i]);
  message.body = g_variant_new (VP_NODE_ADVICE_REQUEST_TYPE, advice_request->step.job,
                                advice_request->step.occurrence, advice_request->step.step,
                                advice_request->expected_ms, &ids);
  _vp_node_send (node, best->name, &message, effects);
}

void
_vp_node_handle_advice_request (const VpNodeMsg *message, VpNodeEffects *effects)
{
  VpAdviceRequest advice_request = { .serial = message->serial };
  g_autoptr (GVariantIter) ids = NULL;
  const char *id;

  if (message->body == NULL
      || !g_variant_is_of_type (message->body, G_VARIANT_TYPE (VP_NODE_ADVICE_REQUEST_TYPE)))
    return;
  g_variant_get (message->body, VP_NODE_ADVICE_REQUEST_TYPE, &advice_request.step.job,
                 &advice_request.step.occurrence, &advice_request.step.step,
                 &advice_request.expected_ms, &ids);
  advice_request.workers = g_ptr_array_new_with_free_func (g_free);
  while (g_variant_iter_next (ids, "&s", &id))
    g_ptr_array_add (advice_request.workers, g_strdup (id));
  _vp_node_request_advice (&advice_request, message->from, effects);
  g_ptr_array_unref (advice_request.workers);
}

void
_vp_node_send_advice_result (VpNode *node,
                             const char *to,
                             uint64_t serial,
                             const GArray *rows,
                             int64_t now_ms,
                             VpNodeEffects *effects)
{
  VpNodeMsg message = { .kind = VP_NODEMSG_ADVICE_RESULT, .serial = serial };
  GVariantBuilder builder;

  if (rows != NULL) {
    g_variant_builder_init (&builder, G_VARIANT_TYPE (VP_NODE_ADVICE_ROWS_TYPE));
    for (guint i = 0; i < rows->len; i++) {
      const VpAdviceRow *row = &g_array_index (rows, VpAdviceRow, i);
      g_variant_builder_add (&builder, "(ssx)", vp_text (row->worker), vp_text (row->ticket),
                             row->valid_until_ms - now_ms);
    }
    message.body = g_variant_builder_end (&builder);
  }
  _vp_node_send (node, to, &message, effects);
}

void
_vp_node_handle_remote_advice_result (VpNode *node, const VpNodeMsg *message, int64_t now_ms)
{
  g_autoptr (GArray) rows = NULL;
  GVariantIter iter;
  const char *worker, *ticket;
  int64_t left_ms;

  if (node->cell == NULL)
    return;
  if (message->body != NULL
      && g_variant_is_of_type (message->body, G_VARIANT_TYPE (VP_NODE_ADVICE_ROWS_TYPE))) {
    rows = vp_advice_rows_new ();
    g_variant_iter_init (&iter, message->body);
    while (g_variant_iter_next (&iter, "(&s&sx)", &worker, &ticket, &left_ms)) {
      VpAdviceRow row = { .valid_until_ms = now_ms + left_ms };
      vp_text_set (&row.worker, worker);
      vp_text_set (&row.ticket, ticket);
      g_array_append_val (rows, row);
    }
  }
  vp_cell_advice_result (node->cell, message->serial, rows, now_ms);
}

/* Commands to workers. A leader of many workers has them sent by other processes. */

static void
_vp_node_send_relay_message (VpNode *node, VpRelayMessage *out, VpNodeEffects *effects)
{
  _vp_node_send (node, out->to, &out->message, effects);
  vp_text_clear (&out->to);
}

/* Collects a result for the leader that gave the command. */
static void
_vp_node_add_relay_result (VpNode *node,
                           const VpCommandResult *result,
                           int64_t now_ms,
                           VpNodeEffects *effects)
{
  const VpMemberState *leader = g_hash_table_lookup (node->members, result->requester);
  VpRelayMessage full;
  char name[VP_TASK_NAME_MAX];

  if (result->outcome == VP_COMMAND_EXPIRED) {
    vp_task_name_format (&result->task, name);
    vp_log (now_ms, "start-expired",
            "task=%s run=%u worker=%s leader=%s term=%" G_GUINT64_FORMAT
            " newest_term=%" G_GUINT64_FORMAT,
            name, result->run, result->worker, result->requester, result->fence,
            node->election.term);
  }
  vp_relay_agent_add_result (&node->relay_agent, result, leader == NULL ? 0 : leader->relay_form,
                             now_ms, &full);
  if (full.to != NULL)
    _vp_node_send_relay_message (node, &full, effects);
}

/* Returns the time after which the starts in a leader's message aren't sent to workers. Those of a
 * leader that has been replaced have expired. */
static int64_t
_vp_node_starts_expire_ms (const VpNode *node, const VpNodeMsg *message, int64_t now_ms)
{
  const VpMemberState *leader = g_hash_table_lookup (node->members, message->from);
  int64_t delay_ms = leader == NULL ? 0 : vp_member_delay_ms (leader, message->sent_ms, now_ms);

  if (message->term < node->election.term)
    return now_ms - 1;
  return now_ms - delay_ms + VP_COMMAND_START_EXPIRY_MS;
}

void
_vp_node_handle_commands (VpNode *node,
                          const VpNodeMsg *message,
                          int64_t now_ms,
                          VpNodeEffects *effects)
{
  g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (VpCommand));
  g_autoptr (GArray) results = g_array_new (FALSE, FALSE, sizeof (VpCommandResult));

  if (!vp_relay_agent_handle_commands (&node->relay_agent, message,
                                       _vp_node_starts_expire_ms (node, message, now_ms), now_ms,
                                       commands, results))
    vp_log (now_ms, "commands-malformed", "from=%s", message->from);
  for (guint i = 0; i < commands->len; i++)
    vp_node_effects_add (effects, VP_NODE_EFFECT_COMMAND)->command
        = g_array_index (commands, VpCommand, i);
  for (guint i = 0; i < results->len; i++) {
    VpCommandResult *result = &g_array_index (results, VpCommandResult, i);
    _vp_node_add_relay_result (node, result, now_ms, effects);
    vp_command_result_clear (result);
  }
}

void
_vp_node_handle_command_result (VpNode *node,
                                const VpCommandResult *result,
                                int64_t now_ms,
                                VpNodeEffects *effects)
{
  if (!vp_text_is_empty (result->requester))
    _vp_node_add_relay_result (node, result, now_ms, effects);
  else if (node->cell != NULL)
    vp_cell_command_result (node->cell, result, now_ms);
}

/* Passes results that came from relays to the scheduler and frees them. */
static void
_vp_node_take_relayed_results (VpNode *node, GArray *results, int64_t now_ms)
{
  for (guint i = 0; i < results->len; i++) {
    VpCommandResult *result = &g_array_index (results, VpCommandResult, i);
    vp_cell_command_result (node->cell, result, now_ms);
    vp_command_result_clear (result);
  }
}

void
_vp_node_handle_relayed_results (VpNode *node, const VpNodeMsg *message, int64_t now_ms)
{
  g_autoptr (GArray) results = g_array_new (FALSE, FALSE, sizeof (VpCommandResult));

  if (node->relay == NULL)
    return;
  vp_relay_handle_results (node->relay, message, now_ms, results);
  _vp_node_take_relayed_results (node, results, now_ms);
}

void
_vp_node_step_relay_results (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpRelayMessage out;

  if (now_ms >= vp_relay_agent_due_ms (&node->relay_agent)
      && vp_relay_agent_take (&node->relay_agent, now_ms, &out))
    _vp_node_send_relay_message (node, &out, effects);
}

void
_vp_node_step_relay (VpNode *node, int64_t now_ms)
{
  g_autoptr (GArray) results = g_array_new (FALSE, FALSE, sizeof (VpCommandResult));

  vp_relay_expire (node->relay, now_ms, results);
  _vp_node_take_relayed_results (node, results, now_ms);
  vp_relay_update (node->relay, node->members, vp_cell_workers (node->cell), now_ms);
}

void
_vp_node_send_relay_batches (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  g_autoptr (GArray) messages = g_array_new (FALSE, FALSE, sizeof (VpRelayMessage));

  vp_relay_flush (node->relay, now_ms, messages);
  for (guint i = 0; i < messages->len; i++)
    _vp_node_send_relay_message (node, &g_array_index (messages, VpRelayMessage, i), effects);
}
