#include "vp-log.h"
#include "vp-metrics.h"
#include "vp-node-private.h"

#include <string.h>

/* This long after its start a process has received pings of all processes that it can reach. */
#define VP_NODE_STARTUP_LISTEN_MS 1000
/* A leader that has failed to write for this long can't serve if it also can't reach most of the
 * other processes. */
#define VP_NODE_ISOLATED_LEADER_MS 1000
/* Delay before reading all jobs is retried. */
#define VP_NODE_LOAD_RETRY_MS 200
/* A leader hands over to a stronger VM once that VM has been up, and the leader itself has led, for
 * this long. It normally waits until it knows all tasks that run. */
#define VP_NODE_YIELD_UPTIME_MS 1500
/* A leader that after this time still doesn't know what runs on more than half of the workers is
 * considered too weak and hands over anyway. With fewer such workers it stays leader: they may be
 * cut off, and a new leader would have to wait for them from the beginning. */
#define VP_NODE_YIELD_UNINFORMED_MS 4000
/* Minimum interval between handovers to a stronger VM. A stronger VM whose writes the store rejects
 * can't become leader, and without the interval it would be tried again and again. */
#define VP_NODE_YIELD_INTERVAL_MS 15000
/* A leader that stops or yields hands over after this time even if the outcome of its last commit
 * is unknown. */
#define VP_NODE_HANDOVER_TIMEOUT_MS 1500
/* A stopping process serves open connections for this share of its grace period. */
#define VP_NODE_STOP_GRACE_SHARE 0.8
/* During this time before its exit a process rejects open and new requests at once, so that callers
 * can retry elsewhere. */
#define VP_NODE_CLOSING_MS 1200
/* A stopping process stays up for at least this long, since the platform's balancer sends new
 * connections until two probes in succession, a second apart, have failed. */
#define VP_NODE_STOP_MIN_MS 2500

VpNode *
vp_node_setup (const VpNodeDesc *desc, int64_t now_ms)
{
  VpNode *node = g_new0 (VpNode, 1);

  node->desc = *desc;
  g_strlcpy (node->name, desc->name, sizeof node->name);
  node->desc.name = node->name;
  node->dc = g_strdup (vp_text (desc->dc));
  node->desc.dc = node->dc;
  node->started_ms = node->unready_since_ms = now_ms;
  vp_election_setup (&node->election, node->name, desc->cpu_milli, now_ms);
  node->frontend = vp_frontend_setup (node->name);
  node->members = vp_members_new ();
  node->answers = g_array_new (FALSE, FALSE, sizeof (VpJobServiceAnswer));
  return node;
}

static void
_vp_node_free_cell (VpNode *node)
{
  vp_jobservice_shutdown (node->service);
  vp_committer_shutdown (node->committer);
  vp_cell_shutdown (node->cell);
  vp_relay_shutdown (node->relay);
  node->relay = NULL;
  node->service = NULL;
  node->committer = NULL;
  node->cell = NULL;
  node->handover_began_ms = 0;
}

void
vp_node_shutdown (VpNode *node)
{
  vp_relay_agent_clear (&node->relay_agent);
  _vp_node_free_cell (node);
  vp_frontend_shutdown (node->frontend);
  g_hash_table_unref (node->members);
  g_array_unref (node->answers);
  g_clear_pointer (&node->config, vp_cellconfig_unref);
  g_clear_pointer (&node->config_text, g_bytes_unref);
  g_clear_pointer (&node->evacuated_dcs, g_ptr_array_unref);
  g_free (node->dc);
  g_free (node);
}

bool
vp_node_is_leading (const VpNode *node)
{
  return node->cell != NULL && node->load_serial == 0;
}

VpCell *
vp_node_cell (VpNode *node)
{
  return node->cell;
}

/* Start and end of this process's terms as leader. */

static void
_vp_node_begin_term (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpCellDesc desc
      = { .fence = node->election.term,
          .hold_max_ms = node->desc.hold_max_ms,
          .relist_ms = node->election.store_unavailable_ms + node->desc.relist_ms - now_ms,
          .stores_workers = true,
          .is_clean = node->election.is_predecessor_clean,
          .awaits_evacuations = node->desc.has_evacuations };

  node->cell = vp_cell_setup (&desc, now_ms);
  node->committer
      = vp_committer_setup (&(VpCommitterDesc){ .election = &node->election,
                                                .cell = node->cell,
                                                .link_kbps = node->desc.link_kbps,
                                                .retention_ms = node->desc.retention_ms },
                            now_ms);
  node->service = vp_jobservice_setup (node->cell, node->committer, node->election.term);
  node->relay = vp_relay_setup (
      &(VpRelayDesc){ .term = node->election.term, .cpu_milli = node->desc.cpu_milli });
  if (node->config != NULL)
    vp_cell_set_config (node->cell, node->config);
  if (node->evacuated_dcs != NULL)
    vp_cell_set_evacuated_dcs (node->cell, node->evacuated_dcs);
  node->load_serial = node->election.term;
  node->load_next_ms = node->term_began_ms = now_ms;
  node->is_loading = node->is_leasing_suspended = false;
  node->ping_next_ms = now_ms;
  vp_node_effects_add (effects, VP_NODE_EFFECT_WATCH_WORKERS)->is_on = true;
  vp_log (now_ms, "became-leader",
          "term=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT " clean=%d", node->election.term,
          node->election.record_revision, node->election.is_predecessor_clean);
  vp_metrics_add (VP_COUNTER_OWNER_ACQUIRED, 1);
  vp_metrics_set (VP_GAUGE_OWNER_EPOCH, (int64_t)node->election.term);
}

static void
_vp_node_end_term (VpNode *node, const char *why, int64_t now_ms, VpNodeEffects *effects)
{
  if (node->cell == NULL)
    return;
  vp_log (now_ms, "ended-term", "why=%s term=%" G_GUINT64_FORMAT " leader=%s", why,
          node->election.term, node->election.leader[0] == '\0' ? "-" : node->election.leader);
  _vp_node_free_cell (node);
  vp_node_effects_add (effects, VP_NODE_EFFECT_WATCH_WORKERS)->is_on = false;
  vp_metrics_add (VP_COUNTER_OWNER_LAPSED, 1);
  vp_metrics_set (VP_GAUGE_OWNER_EPOCH, 0);
}

static void
_vp_node_step_down (VpNode *node, const char *why, int64_t now_ms, VpNodeEffects *effects)
{
  vp_election_step_down (&node->election, now_ms);
  _vp_node_end_term (node, why, now_ms, effects);
}

static void
_vp_node_handle_jobs_loaded (VpNode *node, const VpStoreLoadResult *loaded, int64_t now_ms)
{
  uint32_t bad_count;

  if (node->cell == NULL || node->load_serial == 0 || loaded->serial != node->load_serial)
    return;
  node->is_loading = false;
  node->load_next_ms = now_ms + VP_NODE_LOAD_RETRY_MS;
  if (!loaded->is_ok)
    return;
  bad_count = vp_committer_load (node->committer, loaded, now_ms);
  node->load_serial = 0;
  vp_log (now_ms, "loaded", "jobs=%u ended=%u unreadable=%u took_ms=%" G_GINT64_FORMAT,
          loaded->jobs->len, loaded->ended->len, bad_count, now_ms - node->term_began_ms);
}

static void
_vp_node_handle_worker_list (VpNode *node, const GArray *entries, int64_t now_ms)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  const VpWorkerList *worker_list;

  if (node->cell == NULL)
    return;
  for (guint i = 0; i < entries->len; i++) {
    const VpWorkerEntry *entry = &g_array_index (entries, VpWorkerEntry, i);
    g_hash_table_add (listed, (gpointer)entry->id);
    vp_cell_worker_listed (node->cell, entry, now_ms);
  }
  worker_list = vp_cell_workers (node->cell);
  for (guint i = 0; i < worker_list->workers->len; i++) {
    const VpCellWorker *worker = worker_list->workers->pdata[i];
    if (!g_hash_table_contains (listed, worker->entry.id))
      vp_cell_worker_unlisted (node->cell, worker->entry.id, now_ms);
  }
  vp_cell_worker_list_complete (node->cell);
}

static void
_vp_node_handle_job_request (VpNode *node, const VpNodeMsg *message, int64_t now_ms)
{
  VpJobServiceAnswer answer = { .message = { .kind = VP_NODEMSG_ANSWER,
                                             .serial = message->serial,
                                             .answer = VP_ANSWER_NOT_LEADER } };

  /* A submission that was sent to this process as leader of an earlier term may have been rejected
   * by another leader in the meantime. */
  if (vp_node_is_leading (node)
      && (message->kind != VP_NODEMSG_SUBMIT || message->term == node->election.term)) {
    vp_jobservice_request (node->service, message, now_ms, node->answers);
    return;
  }
  g_strlcpy (answer.to, message->from, sizeof answer.to);
  g_array_append_val (node->answers, answer);
}

/* Delivers the answers of the job service to the nodes that sent the requests. */
static void
_vp_node_deliver_answers (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  for (guint i = 0; i < node->answers->len; i++) {
    VpJobServiceAnswer *answer = &g_array_index (node->answers, VpJobServiceAnswer, i);
    if (strcmp (answer->to, node->name) == 0)
      vp_frontend_answer (node->frontend, &answer->message, now_ms, effects);
    else
      _vp_node_send (node, answer->to, &answer->message, effects);
  }
  g_array_set_size (node->answers, 0);
}

static void
_vp_node_handle_write_result (VpNode *node,
                              const VpStoreWriteResult *written,
                              int64_t now_ms,
                              VpNodeEffects *effects)
{
  g_autoptr (GArray) durable = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  /* A claim of leadership has the serial 0; serials of commits start above 0. */
  if (written->serial == 0) {
    vp_election_handle_claim (&node->election, written->outcome == VP_WRITE_OK, written->revision,
                              now_ms);
    return;
  }
  if (node->committer == NULL)
    return;
  if (!vp_committer_handle_write_result (node->committer, written, durable, now_ms)) {
    _vp_node_step_down (node, "record-claimed", now_ms, effects);
    return;
  }
  vp_jobservice_handle_durable (node->service, durable, now_ms, node->answers);
}

static void
_vp_node_handle_record_read (VpNode *node, const VpRecordReadResult *read, int64_t now_ms)
{
  g_autoptr (GVariant) value = vp_node_variant_from_bytes (read->record, VP_ELECTION_RECORD_TYPE);
  VpElectionRecord record;
  bool has_record = value != NULL && vp_election_record_decode (value, &record);

  vp_election_handle_read (&node->election, read->is_ok, read->revision,
                           has_record ? &record : NULL, now_ms);
}

/* Stops starting tasks and accepting jobs, and makes the committer finish. */
static void
_vp_node_begin_handover (VpNode *node, int64_t now_ms)
{
  node->handover_began_ms = now_ms;
  vp_cell_pause (node->cell);
  vp_jobservice_pause (node->service);
  vp_committer_finish (node->committer);
}

static void
_vp_node_stop (VpNode *node, int64_t now_ms)
{
  if (node->is_stopping)
    return;
  node->is_stopping = true;
  node->stop_began_ms = now_ms;
  /* Pings carry @is_stopping, so the next ping is sent at once. */
  node->ping_next_ms = now_ms;
  vp_log (now_ms, "stop", "open=%u leading=%d", vp_frontend_open_count (node->frontend),
          vp_node_is_leading (node));
  if (node->cell != NULL && node->handover_began_ms == 0)
    _vp_node_begin_handover (node, now_ms);
}

static void
_vp_node_handle_message (VpNode *node, VpNodeMsg *message, int64_t now_ms, VpNodeEffects *effects)
{
  switch (message->kind) {
  case VP_NODEMSG_PING:
    _vp_node_handle_ping (node, message, now_ms, effects);
    break;
  case VP_NODEMSG_SUBMIT:
  case VP_NODEMSG_QUERY:
  case VP_NODEMSG_CANCEL:
  case VP_NODEMSG_PENDING_COUNT:
    _vp_node_handle_job_request (node, message, now_ms);
    break;
  case VP_NODEMSG_ANSWER:
    vp_frontend_answer (node->frontend, message, now_ms, effects);
    break;
  case VP_NODEMSG_ADVICE_REQUEST:
    _vp_node_handle_advice_request (message, effects);
    break;
  case VP_NODEMSG_ADVICE_RESULT:
    _vp_node_handle_remote_advice_result (node, message, now_ms);
    break;
  case VP_NODEMSG_CONFIG_REQUEST:
    _vp_node_send_config (node, message->from, effects);
    break;
  case VP_NODEMSG_CONFIG:
    _vp_node_decode_config (node, message, effects);
    break;
  case VP_NODEMSG_COMMANDS:
    _vp_node_handle_commands (node, message, now_ms, effects);
    break;
  case VP_NODEMSG_RESULTS:
    _vp_node_handle_relayed_results (node, message, now_ms);
    break;
  case VP_NODEMSG_HANDOVER:
    if (!node->is_stopping)
      vp_election_handle_handover (&node->election, message->term, now_ms);
    break;
  default:
    break;
  }
}

static void
_vp_node_handle_advice_result (VpNode *node,
                               const VpNodeEvent *event,
                               int64_t now_ms,
                               VpNodeEffects *effects)
{
  if (!vp_text_equal (event->advice.requester, node->name))
    _vp_node_send_advice_result (node, event->advice.requester, event->advice.serial,
                                 event->advice.rows, now_ms, effects);
  else if (node->cell != NULL)
    vp_cell_advice_result (node->cell, event->advice.serial, event->advice.rows, now_ms);
}

void
vp_node_apply (VpNode *node, VpNodeEvent *event, int64_t now_ms, VpNodeEffects *effects)
{
  switch (event->kind) {
  case VP_NODE_EVENT_TICK:
    break;
  case VP_NODE_EVENT_REQUEST:
    vp_frontend_request (node->frontend, &event->request, node->config, now_ms, effects);
    break;
  case VP_NODE_EVENT_CALLER_GONE:
    vp_frontend_caller_gone (node->frontend, event->handle);
    break;
  case VP_NODE_EVENT_MESSAGE:
    _vp_node_handle_message (node, &event->message, now_ms, effects);
    break;
  case VP_NODE_EVENT_WRITE_RESULT:
    _vp_node_handle_write_result (node, &event->written, now_ms, effects);
    break;
  case VP_NODE_EVENT_RECORD_READ:
    _vp_node_handle_record_read (node, &event->record, now_ms);
    break;
  case VP_NODE_EVENT_JOBS_LOADED:
    _vp_node_handle_jobs_loaded (node, &event->loaded, now_ms);
    break;
  case VP_NODE_EVENT_COMMAND_RESULT:
    _vp_node_handle_command_result (node, &event->command, now_ms, effects);
    break;
  case VP_NODE_EVENT_ADVICE_RESULT:
    _vp_node_handle_advice_result (node, event, now_ms, effects);
    break;
  case VP_NODE_EVENT_CONFIG:
    _vp_node_handle_config (node, event->config.config, event->config.text, now_ms);
    break;
  case VP_NODE_EVENT_EVACUATIONS:
    _vp_node_handle_evacuations (node, event->evacuated_dcs, now_ms);
    break;
  case VP_NODE_EVENT_MEMBER:
    _vp_node_handle_member_entry (node, event->member.name, event->member.address, now_ms, effects);
    break;
  case VP_NODE_EVENT_WORKER_LIST:
    _vp_node_handle_worker_list (node, event->workers, now_ms);
    break;
  case VP_NODE_EVENT_WORKER:
    if (node->cell != NULL)
      vp_cell_worker_listed (node->cell, &event->worker, now_ms);
    break;
  case VP_NODE_EVENT_WORKER_GONE:
    if (node->cell != NULL)
      vp_cell_worker_unlisted (node->cell, event->worker_id, now_ms);
    break;
  case VP_NODE_EVENT_STOP:
    _vp_node_stop (node, now_ms);
    break;
  }
}

/* Actions of vp_node_step(). */

/* Writes the claim of this process to the leader record. */
static void
_vp_node_claim_leadership (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpStoreWrite *write = &vp_node_effects_add (effects, VP_NODE_EFFECT_WRITE)->write;

  vp_log (now_ms, "claim",
          "term=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
          " previous=%s silent_ms=%" G_GINT64_FORMAT " store_failing_ms=%" G_GINT64_FORMAT
          " unchanged_ms=%" G_GINT64_FORMAT,
          node->election.claim.term, node->election.record_revision,
          node->election.record.leader[0] == '\0' ? "-" : node->election.record.leader,
          now_ms - node->election.leader_ping_ms, node->election.store_failing_ms,
          now_ms - node->election.record_unchanged_since_ms);
  write->record_revision = node->election.record_revision;
  write->keys = g_ptr_array_new_with_free_func (g_free);
  write->values = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  write->removed = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (write->keys, g_strdup ("lead"));
  g_ptr_array_add (write->values,
                   vp_node_variant_to_bytes (vp_election_record_encode (&node->election.claim)));
}

static void
_vp_node_step_election (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpElectionView view;

  if (node->election.state != VP_ELECTION_LEADER)
    _vp_node_end_term (node, "other-leader", now_ms, effects);
  _vp_node_update_electable (node, now_ms);
  /* A stopping process doesn't claim leadership. */
  if (!node->is_stopping && node->is_electable && node->election.state == VP_ELECTION_FOLLOWER) {
    vp_members_view (node->members, now_ms, &view);
    switch (vp_election_tick (&node->election, &view, now_ms)) {
    case VP_ELECTION_READ:
      vp_node_effects_add (effects, VP_NODE_EFFECT_READ_RECORD);
      break;
    case VP_ELECTION_CLAIM:
      _vp_node_claim_leadership (node, now_ms, effects);
      break;
    case VP_ELECTION_NOTHING:
      break;
    }
  }
  if (node->election.state == VP_ELECTION_LEADER && node->cell == NULL)
    _vp_node_begin_term (node, now_ms, effects);
}

static void
_vp_node_dispatch_cell_effects (VpNode *node,
                                GArray *cell_effects,
                                int64_t now_ms,
                                VpNodeEffects *effects)
{
  for (guint i = 0; i < cell_effects->len; i++) {
    VpCellEffect *effect = &g_array_index (cell_effects, VpCellEffect, i);
    if (effect->kind == VP_CELL_COMMAND) {
      if (vp_relay_add (node->relay, &effect->command, now_ms))
        continue;
      vp_node_effects_add (effects, VP_NODE_EFFECT_COMMAND)->command = effect->command;
      continue;
    }
    _vp_node_dispatch_advice_request (node, &effect->advice_request, now_ms, effects);
    vp_cell_effect_clear (effect);
  }
  _vp_node_send_relay_batches (node, now_ms, effects);
}

/* Asks the best successor to take over and steps down, once the last commit is done or has taken
 * too long. */
static void
_vp_node_finish_handover (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpNodeMsg message = { .kind = VP_NODEMSG_HANDOVER, .term = node->election.term };
  const VpMemberState *best;

  if (!vp_committer_is_finished (node->committer)
      && now_ms - node->handover_began_ms < VP_NODE_HANDOVER_TIMEOUT_MS)
    return;
  best = vp_members_successor (node->members, now_ms);
  vp_log (now_ms, "hand-over", "to=%s clean=%d", best == NULL ? "-" : best->name,
          vp_committer_is_finished (node->committer));
  if (best != NULL)
    _vp_node_send (node, best->name, &message, effects);
  _vp_node_step_down (node, node->is_stopping ? "stopping" : "weaker-vm", now_ms, effects);
}

/* Returns true if this leader has led for some time and still doesn't know what runs on more than
 * half of the workers. */
static bool
_vp_node_is_uninformed (const VpNode *node, int64_t now_ms)
{
  return now_ms - node->term_began_ms >= VP_NODE_YIELD_UNINFORMED_MS
         && 2 * vp_cell_unverified_count (node->cell, now_ms)
                > vp_cell_workers (node->cell)->workers->len;
}

/* Begins a handover to a stronger VM if there is one, or to one that has a configuration if this
 * process has none. */
static void
_vp_node_yield (VpNode *node, int64_t now_ms)
{
  const VpMemberState *best = vp_members_successor (node->members, now_ms);

  /* A leader without a configuration yields to any process that has one. */
  if (node->handover_began_ms != 0 || now_ms < node->yield_next_ms || best == NULL
      || (best->cpu_milli <= node->desc.cpu_milli && node->config != NULL)
      || now_ms - best->started_ms < VP_NODE_YIELD_UPTIME_MS
      || now_ms - node->term_began_ms < VP_NODE_YIELD_UPTIME_MS
      || (!vp_cell_has_complete_state (node->cell) && !_vp_node_is_uninformed (node, now_ms)))
    return;
  vp_log (now_ms, "yield", "to=%s cpu_milli=%u own_milli=%u", best->name, best->cpu_milli,
          node->desc.cpu_milli);
  node->yield_next_ms = now_ms + VP_NODE_YIELD_INTERVAL_MS;
  _vp_node_begin_handover (node, now_ms);
}

/* Returns the latest time at which certainly no other process had become leader: a claim or commit
 * that was sent then has succeeded, or all members have answered pings that were sent then or
 * later, and none of them reported a later term. */
static int64_t
_vp_node_confirmed_ms (const VpNode *node, int64_t now_ms)
{
  int64_t confirmed_ms
      = MAX (node->election.claimed_ms, vp_committer_confirmed_ms (node->committer));

  if (!node->has_own_entry)
    return confirmed_ms;
  return MAX (confirmed_ms, vp_members_oldest_echo_ms (node->members, now_ms));
}

/* A leader that may have been replaced grants no leases, since the next leader waits for the end of
 * all leases granted before. */
static void
_vp_node_limit_leases (VpNode *node, int64_t now_ms)
{
  int64_t confirmed_ms = _vp_node_confirmed_ms (node, now_ms);
  bool is_leasing_suspended = now_ms > confirmed_ms + VP_WORKERLIST_UNCONFIRMED_MS;

  vp_cell_limit_commands (node->cell, confirmed_ms + VP_WORKERLIST_UNCONFIRMED_MS);
  if (is_leasing_suspended == node->is_leasing_suspended)
    return;
  node->is_leasing_suspended = is_leasing_suspended;
  vp_log (now_ms, is_leasing_suspended ? "leases-suspended" : "leases-resumed",
          "term=%" G_GUINT64_FORMAT " unconfirmed_ms=%" G_GINT64_FORMAT
          " commit_age_ms=%" G_GINT64_FORMAT,
          node->election.term, now_ms - confirmed_ms,
          vp_committer_last_commit_age_ms (node->committer, now_ms));
}

static void
_vp_node_step_cell (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  g_autoptr (GArray) cell_effects = NULL;
  VpElectionView view;

  if (node->cell != NULL && vp_cell_is_fenced (node->cell))
    _vp_node_step_down (node, "fenced", now_ms, effects);
  if (node->cell == NULL)
    return;
  if (node->load_serial != 0) {
    if (!node->is_loading && now_ms >= node->load_next_ms) {
      node->is_loading = true;
      vp_node_effects_add (effects, VP_NODE_EFFECT_LOAD_JOBS)->serial = node->load_serial;
    }
    return;
  }
  vp_members_view (node->members, now_ms, &view);
  vp_cell_set_advice_client_count (node->cell, view.reachable_count + 1);
  cell_effects = g_array_new (FALSE, FALSE, sizeof (VpCellEffect));
  _vp_node_step_relay (node, now_ms);
  _vp_node_yield (node, now_ms);
  _vp_node_limit_leases (node, now_ms);
  if (node->handover_began_ms == 0)
    vp_cell_decide (node->cell, now_ms, cell_effects);
  _vp_node_dispatch_cell_effects (node, cell_effects, now_ms, effects);
  vp_jobservice_set_short_texts (node->service, vp_members_have_short_texts (node->members));
  vp_jobservice_tick (node->service, now_ms, node->answers);
  vp_committer_step (node->committer, now_ms, effects);
  if (node->handover_began_ms != 0)
    _vp_node_finish_handover (node, now_ms, effects);
}

/* Returns true if this process reaches fewer than half of the processes. */
static bool
_vp_node_is_cut_off (const VpNode *node, int64_t now_ms)
{
  return now_ms - node->started_ms >= VP_NODE_STARTUP_LISTEN_MS
         && vp_members_is_cut_off (node->members, now_ms);
}

/* Returns true if requests can be sent to the leader. The record and the leader's pings tell its
 * name only. */
static bool
_vp_node_reaches_leader (const VpNode *node)
{
  const VpMemberState *leader = g_hash_table_lookup (node->members, node->election.leader);

  return node->election.state == VP_ELECTION_LEADER
         || (leader != NULL && vp_member_has_address (leader));
}

/* Returns true if a leader is known that may be able to serve. A leader that can't write and is cut
 * off from most processes together with this one can't serve. */
static bool
_vp_node_has_usable_leader (const VpNode *node, int64_t now_ms)
{
  int64_t store_failing_ms = node->cell == NULL ? node->election.store_failing_ms
                                                : _vp_node_store_failing_ms (node, now_ms);

  return vp_election_knows_leader (&node->election, now_ms) && _vp_node_reaches_leader (node)
         && (store_failing_ms < VP_NODE_ISOLATED_LEADER_MS || !_vp_node_is_cut_off (node, now_ms));
}

static void
_vp_node_step_frontend (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  g_autoptr (GArray) requests = g_array_new (FALSE, FALSE, sizeof (VpNodeMsg));
  bool has_leader = _vp_node_has_usable_leader (node, now_ms);
  bool is_unserviceable = node->is_closing || (!has_leader && _vp_node_is_cut_off (node, now_ms));

  vp_frontend_tick (node->frontend, has_leader ? node->election.leader : NULL, node->election.term,
                    is_unserviceable ? now_ms - node->unready_since_ms : -1, now_ms, requests,
                    effects);
  for (guint i = 0; i < requests->len; i++) {
    VpNodeMsg *request = &g_array_index (requests, VpNodeMsg, i);
    if (strcmp (node->election.leader, node->name) != 0) {
      _vp_node_send (node, node->election.leader, request, effects);
      continue;
    }
    if (request->body != NULL)
      g_variant_ref_sink (request->body);
    _vp_node_handle_job_request (node, request, now_ms);
    vp_nodemsg_clear (request);
  }
}

static void
_vp_node_step_ready (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  bool is_ready
      = node->config != NULL && !node->is_stopping && _vp_node_has_usable_leader (node, now_ms);

  if (is_ready == node->is_ready)
    return;
  node->is_ready = is_ready;
  node->unready_since_ms = now_ms;
  vp_log (now_ms, "ready", "is_ready=%d config=%d leader=%s reaches_leader=%d stopping=%d",
          is_ready, node->config != NULL,
          node->election.leader[0] == '\0' ? "-" : node->election.leader,
          _vp_node_reaches_leader (node), node->is_stopping);
  vp_node_effects_add (effects, VP_NODE_EFFECT_SET_READY)->is_on = is_ready;
}

/* Returns the time at which a stopping process exits. */
static int64_t
_vp_node_exit_ms (const VpNode *node)
{
  return node->stop_began_ms
         + MAX (VP_NODE_STOP_MIN_MS,
                (int64_t)((double)node->desc.grace_ms * VP_NODE_STOP_GRACE_SHARE));
}

void
vp_node_step (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  _vp_node_step_election (node, now_ms, effects);
  _vp_node_step_ready (node, now_ms, effects);
  _vp_node_step_frontend (node, now_ms, effects);
  _vp_node_step_cell (node, now_ms, effects);
  _vp_node_deliver_answers (node, now_ms, effects);
  _vp_node_step_relay_results (node, now_ms, effects);
  _vp_node_send_pings (node, now_ms, effects);
  if (node->is_stopping && !node->is_closing
      && now_ms >= _vp_node_exit_ms (node) - VP_NODE_CLOSING_MS) {
    node->is_closing = true;
    vp_node_effects_add (effects, VP_NODE_EFFECT_CLOSE);
  }
  if (node->is_stopping && !node->is_exiting && node->cell == NULL
      && now_ms >= _vp_node_exit_ms (node)) {
    node->is_exiting = true;
    vp_log (now_ms, "exit", "open=%u", vp_frontend_open_count (node->frontend));
    vp_node_effects_add (effects, VP_NODE_EFFECT_EXIT);
  }
}

int64_t
vp_node_next_ms (const VpNode *node, int64_t now_ms)
{
  int64_t next_ms = MIN (node->ping_next_ms, vp_frontend_next_ms (node->frontend));

  next_ms = MIN (next_ms, vp_relay_agent_due_ms (&node->relay_agent));
  next_ms = MIN (next_ms, node->is_electable ? vp_election_next_ms (&node->election, now_ms)
                                             : _vp_node_electable_ms (node));
  if (node->is_stopping)
    next_ms = MIN (next_ms, _vp_node_exit_ms (node) - (node->is_closing ? 0 : VP_NODE_CLOSING_MS));
  if (node->cell == NULL)
    return next_ms;
  if (node->load_serial != 0)
    return node->is_loading ? next_ms : MIN (next_ms, node->load_next_ms);
  next_ms = MIN (next_ms, vp_committer_next_ms (node->committer, now_ms));
  next_ms = MIN (next_ms, vp_relay_next_ms (node->relay));
  return node->handover_began_ms != 0 ? next_ms
                                      : MIN (next_ms, vp_cell_next_ms (node->cell, now_ms));
}
