#include "vp-log.h"
#include "vp-metrics.h"
#include "vp-node-private.h"

#include <string.h>

/* Interval between pings of the leader, which show that it is alive. */
#define VP_NODE_LEADER_PING_INTERVAL_MS 200
/* Interval between pings of other processes, which tell whether the leader's pings arrive there. */
#define VP_NODE_PING_INTERVAL_MS 400
/* A commit that takes longer than this counts as failed. */
#define VP_NODE_COMMIT_OVERDUE_MS 2000
/* Interval between requests for a newer configuration from another process. */
#define VP_NODE_CONFIG_RETRY_MS 300

/* A process without a configuration takes part in the election this long after its start. Most have
 * one within some hundred milliseconds. One that doesn't may never get one that it can read, and if
 * it never led, jobs that were accepted would be lost with their leases. */
#define VP_NODE_CONFIG_WAIT_MS 1000

/* Messages and members. */

void
_vp_node_send (VpNode *node, const char *to, VpNodeMsg *message, VpNodeEffects *effects)
{
  VpNodeEffect *effect = vp_node_effects_add (effects, VP_NODE_EFFECT_SEND);

  g_strlcpy (message->from, node->name, sizeof message->from);
  g_strlcpy (effect->send.peer, to, sizeof effect->send.peer);
  effect->send.bytes = vp_nodemsg_encode (message);
}

static void
_vp_node_set_gauges (const VpNode *node, int64_t now_ms)
{
  const VpJobList *jobs = node->cell == NULL ? NULL : vp_cell_jobs (node->cell);
  int64_t assigned_count = 0;

  for (guint i = 0; jobs != NULL && i < jobs->ready_steps->len; i++)
    assigned_count += ((VpJobStep *)jobs->ready_steps->pdata[i])->assigned_count;
  vp_metrics_set (VP_GAUGE_PENDING, vp_frontend_open_count (node->frontend));
  vp_metrics_set (VP_GAUGE_QUEUED, jobs == NULL ? 0 : jobs->unfinished_count);
  vp_metrics_set (VP_GAUGE_RUNNING, assigned_count);
  vp_metrics_set (VP_GAUGE_KEPT_QUEUES,
                  node->cell == NULL ? 0 : vp_cell_kept_queue_count (node->cell));
  vp_metrics_set (VP_GAUGE_WORKERS,
                  node->cell == NULL ? 0 : vp_cell_workers (node->cell)->workers->len);
  vp_metrics_set (VP_GAUGE_WORKERS_UNKNOWN,
                  node->cell == NULL ? 0 : vp_cell_unverified_count (node->cell, now_ms));
  vp_metrics_set (
      VP_GAUGE_COMMIT_AGE_MS,
      node->committer == NULL ? 0 : vp_committer_last_commit_age_ms (node->committer, now_ms));
}

int64_t
_vp_node_store_failing_ms (const VpNode *node, int64_t now_ms)
{
  int64_t age_ms
      = node->committer == NULL ? 0 : vp_committer_last_commit_age_ms (node->committer, now_ms);

  if (node->committer == NULL
      || (!vp_committer_is_failing (node->committer) && age_ms < VP_NODE_COMMIT_OVERDUE_MS))
    return 0;
  return age_ms;
}

void
_vp_node_send_pings (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  GHashTableIter iter;
  gpointer value;
  bool is_leader = node->election.state == VP_ELECTION_LEADER;

  if (now_ms < node->ping_next_ms)
    return;
  _vp_node_set_gauges (node, now_ms);
  node->ping_next_ms
      = now_ms + (is_leader ? VP_NODE_LEADER_PING_INTERVAL_MS : VP_NODE_PING_INTERVAL_MS);
  /* A leader that can't write must not remove silent members: one of them may have become leader.
   */
  if (_vp_node_store_failing_ms (node, now_ms) == 0
      && vp_members_remove_stale (node->members, now_ms))
    vp_members_choose_ping_partners (node->members, node->name);
  g_hash_table_iter_init (&iter, node->members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpMemberState *member = value;
    VpNodeMsg ping;
    if (!is_leader && !member->is_ping_partner && strcmp (member->name, node->election.leader) != 0)
      continue;
    ping = (VpNodeMsg){ .kind = VP_NODEMSG_PING,
                        .term = node->election.term,
                        .is_leader = is_leader,
                        .hears_leader = vp_election_hears_leader (&node->election, now_ms),
                        .is_stopping = node->is_stopping,
                        .cpu_milli = node->desc.cpu_milli,
                        .count = VP_RELAY_FORM,
                        .age_ms = now_ms - node->started_ms,
                        .sent_ms = now_ms,
                        .echo_ms = member->sent_ms,
                        .config_version = node->config == NULL ? 0 : node->config->version };
    ping.dc = node->dc;
    ping.store_failing_ms = _vp_node_store_failing_ms (node, now_ms);
    _vp_node_send (node, member->name, &ping, effects);
  }
}

/* Returns the member, and adds it if it is new. */
static VpMemberState *
_vp_node_get_member (VpNode *node, const char *name)
{
  guint before = g_hash_table_size (node->members);
  VpMemberState *member = vp_members_get (node->members, name);

  if (g_hash_table_size (node->members) != before)
    vp_members_choose_ping_partners (node->members, node->name);
  return member;
}

void
_vp_node_handle_member_entry (VpNode *node,
                              const char *name,
                              const char *address,
                              int64_t now_ms,
                              VpNodeEffects *effects)
{
  VpMemberState *member;
  VpNodeEffect *effect;

  if (strcmp (name, node->name) == 0) {
    node->has_own_entry = true;
    return;
  }
  member = _vp_node_get_member (node, name);
  member->is_listed = address[0] != '\0';
  if (!member->is_listed || strcmp (member->address, address) == 0)
    return;
  vp_log (now_ms, "member", "name=%s address=%s", name, address);
  g_strlcpy (member->address, address, sizeof member->address);
  effect = vp_node_effects_add (effects, VP_NODE_EFFECT_CONNECT);
  g_strlcpy (effect->send.peer, name, sizeof effect->send.peer);
  g_strlcpy (effect->send.address, address, sizeof effect->send.address);
  node->ping_next_ms = now_ms;
}

void
_vp_node_handle_ping (VpNode *node, const VpNodeMsg *ping, int64_t now_ms, VpNodeEffects *effects)
{
  VpNodeMsg request = { .kind = VP_NODEMSG_CONFIG_REQUEST };

  vp_member_handle_ping (_vp_node_get_member (node, ping->from), ping, now_ms);
  if (ping->is_leader)
    vp_election_handle_leader_ping (&node->election, ping->from, ping->term, ping->store_failing_ms,
                                    now_ms);
  else
    vp_election_observe_term (&node->election, ping->term, now_ms);
  if (now_ms >= node->config_request_next_ms
      && ping->config_version > (node->config == NULL ? 0 : node->config->version)) {
    node->config_request_next_ms = now_ms + VP_NODE_CONFIG_RETRY_MS;
    _vp_node_send (node, ping->from, &request, effects);
  }
}

/* Evacuations. */

static bool
_vp_node_contains_dc (const GPtrArray *dcs, const char *dc)
{
  return dcs != NULL && g_ptr_array_find_with_equal_func ((GPtrArray *)dcs, dc, g_str_equal, NULL);
}

/* Logs each DC of @dcs that isn't in @others. */
static void
_vp_node_log_evacuations (const VpNode *node,
                          const GPtrArray *dcs,
                          const GPtrArray *others,
                          bool is_on,
                          int64_t now_ms)
{
  for (guint i = 0; dcs != NULL && i < dcs->len; i++) {
    const char *dc = dcs->pdata[i];
    uint32_t worker_count
        = node->cell == NULL ? 0 : vp_workerlist_count_in_dc (vp_cell_workers (node->cell), dc);
    if (!_vp_node_contains_dc (others, dc))
      vp_log (now_ms, "evacuation", "dc=%s is_on=%d leading=%d workers=%u", dc, is_on,
              node->cell != NULL, worker_count);
  }
}

void
_vp_node_handle_evacuations (VpNode *node, GPtrArray *dcs, int64_t now_ms)
{
  _vp_node_log_evacuations (node, dcs, node->evacuated_dcs, true, now_ms);
  _vp_node_log_evacuations (node, node->evacuated_dcs, dcs, false, now_ms);
  g_clear_pointer (&node->evacuated_dcs, g_ptr_array_unref);
  node->evacuated_dcs = g_ptr_array_ref (dcs);
  if (node->cell != NULL)
    vp_cell_set_evacuated_dcs (node->cell, dcs);
  vp_metrics_set (VP_GAUGE_EVACUATED_DCS, dcs->len);
}

/* Configuration. */

void
_vp_node_handle_config (VpNode *node, VpCellConfig *config, GBytes *text, int64_t now_ms)
{
  if (node->config != NULL && config->version <= node->config->version)
    return;
  vp_log (now_ms, "config",
          "version=%" G_GUINT64_FORMAT " previous=%" G_GUINT64_FORMAT " queues=%u teams=%u",
          config->version, node->config == NULL ? 0 : node->config->version, config->queues->len,
          config->teams->len);
  g_clear_pointer (&node->config, vp_cellconfig_unref);
  g_clear_pointer (&node->config_text, g_bytes_unref);
  node->config = vp_cellconfig_ref (config);
  node->config_text = g_bytes_ref (text);
  if (node->cell != NULL)
    vp_cell_set_config (node->cell, config);
  vp_metrics_set (VP_GAUGE_CONFIG_REVISION, (int64_t)config->version);
}

int64_t
_vp_node_electable_ms (const VpNode *node)
{
  return node->started_ms + VP_NODE_CONFIG_WAIT_MS;
}

void
_vp_node_update_electable (VpNode *node, int64_t now_ms)
{
  bool has_config = node->config != NULL;

  node->election.cpu_milli = has_config ? node->desc.cpu_milli : 0;
  if (node->is_electable || (!has_config && now_ms < _vp_node_electable_ms (node)))
    return;
  node->is_electable = true;
  /* It didn't notice before whether the store was available, so it assumes an outage until now. */
  node->election.store_unavailable_ms = now_ms;
  if (!has_config)
    vp_log (now_ms, "no-configuration", "waited_ms=%" G_GINT64_FORMAT, now_ms - node->started_ms);
}

void
_vp_node_send_config (VpNode *node, const char *to, VpNodeEffects *effects)
{
  VpNodeMsg message = { .kind = VP_NODEMSG_CONFIG };

  if (node->config_text == NULL)
    return;
  message.config_version = node->config->version;
  message.body = g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, node->config_text, TRUE);
  _vp_node_send (node, to, &message, effects);
}

void
_vp_node_decode_config (const VpNode *node, const VpNodeMsg *message, VpNodeEffects *effects)
{
  if (message->body == NULL || !g_variant_is_of_type (message->body, G_VARIANT_TYPE_BYTESTRING)
      || (node->config != NULL && message->config_version <= node->config->version))
    return;
  vp_node_effects_add (effects, VP_NODE_EFFECT_DECODE_CONFIG)->send.bytes
      = g_variant_get_data_as_bytes (message->body);
}
