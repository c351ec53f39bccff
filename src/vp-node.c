#include "vp-node.h"
#include "vp-broker.h"
#include "vp-front.h"
#include "vp-keeper.h"
#include "vp-lead.h"
#include "vp-log.h"
#include "vp-members.h"
#include "vp-metrics.h"

#include <string.h>

/* The leader's pings tell that it lives; those of the others carry what they hear. */
#define VP_NODE_PING_LEADER_MS 200
#define VP_NODE_PING_MS        400
/* A commit that is under way for longer counts as failed. */
#define VP_NODE_STORE_SLOW_MS 2000
/* A process that has been up for this long has heard those in its reach. */
#define VP_NODE_LISTEN_MS 1000
/* Where most others are out of reach, a leader that could not write for this long can't serve. */
#define VP_NODE_VAIN_MS 1000
/* The configuration is asked for again from a process with a newer one after this. */
#define VP_NODE_CONF_ASK_MS 300
/* Reading all jobs is tried again after this. */
#define VP_NODE_LOAD_RETRY_MS 200
/* A leader gives its place to a stronger VM that has been up for this long, after leading for as
 * long itself; and, if it does not know all that runs by then, ... */
#define VP_NODE_YIELD_MS 1500
/* ... after this, if it knows of less than half of the workers: it is too weak. Else those that it
 * doesn't know of may be cut off, and the next leader would wait for them anew. */
#define VP_NODE_YIELD_BLIND_MS 4000
/* It does so once in this time: a stronger VM that the store turns away can't take the place. */
#define VP_NODE_YIELD_AGAIN_MS 15000
/* A leader that stops hands over after this even if its last commit is not known. */
#define VP_NODE_HANDOVER_MS 1500
/* A stopping process serves open connections for this part of its grace time. */
#define VP_NODE_STOP_SHARE 0.8
/* Before it exits, it gives back what is open, and new requests, for this long. */
#define VP_NODE_CLOSE_MS 1200
/* The platform sends no new connections after two looks a second apart. */
#define VP_NODE_STOP_MIN_MS 2500

#define VP_NODE_ASK_TYPE  "(tuuxas)"
#define VP_NODE_ROWS_TYPE "a(ssx)"

struct _VpNode {
  VpNodeDesc desc;
  char name[VP_NAME_MAX];
  VpLead lead;
  VpFront *front;
  VpCellConf *conf;
  GBytes *conf_text;
  GHashTable *members; /* see vp-members.h */
  bool has_members;    /* it was told of its own entry, so of the others' too */
  int64_t ping_next_ms;
  int64_t conf_ask_next_ms;
  int64_t busy_until_ms; /* own advice calls */
  int64_t started_ms;
  bool is_ready;
  int64_t unready_ms; /* it is not ready since */
  bool is_stopping;
  bool is_closing; /* it gives back at once what it can't finish */
  bool is_exiting;
  int64_t stop_ms;
  /* While it leads. */
  VpCell *cell;
  VpKeeper *keeper;
  VpBroker *broker;
  uint64_t load_serial; /* 0: loaded */
  int64_t load_next_ms;
  int64_t led_ms;
  int64_t hand_over_ms;  /* it gives its place up since; 0: it does not */
  int64_t yield_next_ms; /* it does so for a stronger VM no earlier */
  bool is_load_out;
  bool is_limited; /* it gives no leases, as another process may lead */
  GArray *answers; /* VpBrokerAnswer */
};

VpNode *
vp_node_setup (const VpNodeDesc *desc, int64_t now_ms)
{
  VpNode *node = g_new0 (VpNode, 1);

  node->desc = *desc;
  g_strlcpy (node->name, desc->name, sizeof node->name);
  node->desc.name = node->name;
  node->started_ms = node->unready_ms = now_ms;
  vp_lead_setup (&node->lead, node->name, desc->cpu_milli, now_ms);
  node->front = vp_front_setup (node->name);
  node->members = vp_members_new ();
  node->answers = g_array_new (FALSE, FALSE, sizeof (VpBrokerAnswer));
  return node;
}

static void
_vp_node_drop_cell (VpNode *node)
{
  vp_broker_shutdown (node->broker);
  vp_keeper_shutdown (node->keeper);
  vp_cell_shutdown (node->cell);
  node->broker = NULL;
  node->keeper = NULL;
  node->cell = NULL;
  node->hand_over_ms = 0;
}

void
vp_node_shutdown (VpNode *node)
{
  _vp_node_drop_cell (node);
  vp_front_shutdown (node->front);
  g_hash_table_unref (node->members);
  g_array_unref (node->answers);
  g_clear_pointer (&node->conf, vp_cellconf_unref);
  g_clear_pointer (&node->conf_text, g_bytes_unref);
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

/* Messages. */

static void
_vp_node_send (VpNode *node, const char *to, VpNodeMsg *message, VpNodeEffects *effects)
{
  VpNodeEffect *effect = vp_node_effects_add (effects, VP_NODE_SEND);

  g_strlcpy (message->from, node->name, sizeof message->from);
  g_strlcpy (effect->send.peer, to, sizeof effect->send.peer);
  effect->send.bytes = vp_nodemsg_encode (message);
}

static void
_vp_node_set_gauges (const VpNode *node, int64_t now_ms)
{
  const VpJobList *jobs = node->cell == NULL ? NULL : vp_cell_jobs (node->cell);
  int64_t out_count = 0;

  for (guint i = 0; jobs != NULL && i < jobs->open_steps->len; i++)
    out_count += ((VpJobStep *)jobs->open_steps->pdata[i])->out_count;
  vp_metrics_set (VP_GAUGE_PENDING, vp_front_open_count (node->front));
  vp_metrics_set (VP_GAUGE_QUEUED, jobs == NULL ? 0 : jobs->live_count);
  vp_metrics_set (VP_GAUGE_RUNNING, out_count);
  vp_metrics_set (VP_GAUGE_WORKERS,
                  node->cell == NULL ? 0 : vp_cell_roster (node->cell)->workers->len);
  vp_metrics_set (VP_GAUGE_WORKERS_UNKNOWN,
                  node->cell == NULL ? 0 : vp_cell_unknown_count (node->cell, now_ms));
  vp_metrics_set (VP_GAUGE_COMMIT_AGE_MS,
                  node->keeper == NULL ? 0 : vp_keeper_age_ms (node->keeper, now_ms));
}

/* How long the leader has not been able to write; 0 while it may only be waiting for a slow store.
 */
static int64_t
_vp_node_store_age_ms (const VpNode *node, int64_t now_ms)
{
  int64_t age_ms = node->keeper == NULL ? 0 : vp_keeper_age_ms (node->keeper, now_ms);

  if (node->keeper == NULL
      || (!vp_keeper_is_failing (node->keeper) && age_ms < VP_NODE_STORE_SLOW_MS))
    return 0;
  return age_ms;
}

static void
_vp_node_ping (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  GHashTableIter iter;
  gpointer value;
  bool is_leader = node->lead.state == VP_LEAD_LEADING;

  if (now_ms < node->ping_next_ms)
    return;
  _vp_node_set_gauges (node, now_ms);
  node->ping_next_ms = now_ms + (is_leader ? VP_NODE_PING_LEADER_MS : VP_NODE_PING_MS);
  /* A leader that can't write must not take silent processes as gone: one of them may lead. */
  if (_vp_node_store_age_ms (node, now_ms) == 0 && vp_members_forget (node->members, now_ms))
    vp_members_choose_partners (node->members, node->name);
  g_hash_table_iter_init (&iter, node->members);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    const VpMemberState *member = value;
    VpNodeMsg ping;
    if (!is_leader && !member->is_partner && strcmp (member->name, node->lead.leader) != 0)
      continue;
    ping = (VpNodeMsg){ .kind = VP_NODEMSG_PING,
                        .term = node->lead.term,
                        .is_leader = is_leader,
                        .hears_leader = vp_lead_is_heard (&node->lead, now_ms),
                        .is_stopping = node->is_stopping,
                        .cpu_milli = node->desc.cpu_milli,
                        .age_ms = now_ms - node->started_ms,
                        .sent_ms = now_ms,
                        .echo_ms = member->sent_ms,
                        .conf_version = node->conf == NULL ? 0 : node->conf->version };
    ping.store_age_ms = _vp_node_store_age_ms (node, now_ms);
    _vp_node_send (node, member->name, &ping, effects);
  }
}

static VpMemberState *
_vp_node_member (VpNode *node, const char *name)
{
  guint before = g_hash_table_size (node->members);
  VpMemberState *member = vp_members_get (node->members, name);

  if (g_hash_table_size (node->members) != before)
    vp_members_choose_partners (node->members, node->name);
  return member;
}

static void
_vp_node_take_member (VpNode *node,
                      const char *name,
                      const char *address,
                      int64_t now_ms,
                      VpNodeEffects *effects)
{
  VpMemberState *member;
  VpNodeEffect *effect;

  if (strcmp (name, node->name) == 0) {
    node->has_members = true;
    return;
  }
  member = _vp_node_member (node, name);
  member->is_listed = address[0] != '\0';
  if (!member->is_listed || strcmp (member->address, address) == 0)
    return;
  vp_log (now_ms, "member", "name=%s address=%s", name, address);
  g_strlcpy (member->address, address, sizeof member->address);
  effect = vp_node_effects_add (effects, VP_NODE_CONNECT);
  g_strlcpy (effect->send.peer, name, sizeof effect->send.peer);
  g_strlcpy (effect->send.address, address, sizeof effect->send.address);
  node->ping_next_ms = now_ms;
}

static void
_vp_node_take_ping (VpNode *node, const VpNodeMsg *ping, int64_t now_ms, VpNodeEffects *effects)
{
  VpNodeMsg ask = { .kind = VP_NODEMSG_CONF_ASK };

  vp_member_heard (_vp_node_member (node, ping->from), ping, now_ms);
  if (ping->is_leader)
    vp_lead_heard (&node->lead, ping->from, ping->term, ping->store_age_ms, now_ms);
  else
    vp_lead_learn_term (&node->lead, ping->term);
  if (now_ms >= node->conf_ask_next_ms
      && ping->conf_version > (node->conf == NULL ? 0 : node->conf->version)) {
    node->conf_ask_next_ms = now_ms + VP_NODE_CONF_ASK_MS;
    _vp_node_send (node, ping->from, &ask, effects);
  }
}

/* Configuration. */

static void
_vp_node_take_conf (VpNode *node, VpCellConf *conf, GBytes *text, int64_t now_ms)
{
  if (node->conf != NULL && conf->version <= node->conf->version)
    return;
  vp_log (now_ms, "conf",
          "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT " queues=%u teams=%u",
          conf->version, node->conf == NULL ? 0 : node->conf->version, conf->queues->len,
          conf->teams->len);
  /* Until the first one came, this process did not look whether the store was there. */
  if (node->conf == NULL)
    node->lead.store_away_ms = now_ms;
  g_clear_pointer (&node->conf, vp_cellconf_unref);
  g_clear_pointer (&node->conf_text, g_bytes_unref);
  node->conf = vp_cellconf_ref (conf);
  node->conf_text = g_bytes_ref (text);
  if (node->cell != NULL)
    vp_cell_set_conf (node->cell, conf);
  vp_metrics_set (VP_GAUGE_CONFIG_REVISION, (int64_t)conf->version);
}

static void
_vp_node_send_conf (VpNode *node, const char *to, VpNodeEffects *effects)
{
  VpNodeMsg message = { .kind = VP_NODEMSG_CONF };

  if (node->conf_text == NULL)
    return;
  message.conf_version = node->conf->version;
  message.body = g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, node->conf_text, TRUE);
  _vp_node_send (node, to, &message, effects);
}

static void
_vp_node_decode_conf (const VpNode *node, const VpNodeMsg *message, VpNodeEffects *effects)
{
  if (message->body == NULL || !g_variant_is_of_type (message->body, G_VARIANT_TYPE_BYTESTRING)
      || (node->conf != NULL && message->conf_version <= node->conf->version))
    return;
  vp_node_effects_add (effects, VP_NODE_DECODE_CONF)->send.bytes
      = g_variant_get_data_as_bytes (message->body);
}

/* Advice calls, made by whichever process is least busy with them. */

static void
_vp_node_call_advice (VpNode *node, VpAdviceAsk *ask, const char *asker, VpNodeEffects *effects)
{
  VpNodeEffect *effect = vp_node_effects_add (effects, VP_NODE_ASK);

  (void)node;
  effect->ask.ask = *ask;
  effect->ask.ask.workers = g_ptr_array_ref (ask->workers);
  g_strlcpy (effect->ask.asker, asker, sizeof effect->ask.asker);
}

static void
_vp_node_pass_ask (VpNode *node, VpAdviceAsk *ask, int64_t now_ms, VpNodeEffects *effects)
{
  int64_t own_ms = MAX (node->busy_until_ms, now_ms);
  VpMemberState *best = vp_members_least_busy (node->members, own_ms, now_ms);
  VpNodeMsg message = { .kind = VP_NODEMSG_ASK, .serial = ask->serial };
  GVariantBuilder ids;

  if (best == NULL) {
    node->busy_until_ms = own_ms + ask->expected_ms;
    _vp_node_call_advice (node, ask, node->name, effects);
    return;
  }
  best->busy_until_ms = MAX (best->busy_until_ms, now_ms) + ask->expected_ms;
  g_variant_builder_init (&ids, G_VARIANT_TYPE ("as"));
  for (guint i = 0; i < ask->workers->len; i++)
    g_variant_builder_add (&ids, "s", (const char *)ask->workers->pdata[i]);
  message.body = g_variant_new (VP_NODE_ASK_TYPE, ask->step.job, ask->step.occurrence,
                                ask->step.step, ask->expected_ms, &ids);
  _vp_node_send (node, best->name, &message, effects);
}

static void
_vp_node_take_ask (VpNode *node, const VpNodeMsg *message, VpNodeEffects *effects)
{
  VpAdviceAsk ask = { .serial = message->serial };
  g_autoptr (GVariantIter) ids = NULL;
  const char *id;

  if (message->body == NULL
      || !g_variant_is_of_type (message->body, G_VARIANT_TYPE (VP_NODE_ASK_TYPE)))
    return;
  g_variant_get (message->body, VP_NODE_ASK_TYPE, &ask.step.job, &ask.step.occurrence,
                 &ask.step.step, &ask.expected_ms, &ids);
  ask.workers = g_ptr_array_new_with_free_func (g_free);
  while (g_variant_iter_next (ids, "&s", &id))
    g_ptr_array_add (ask.workers, g_strdup (id));
  _vp_node_call_advice (node, &ask, message->from, effects);
  g_ptr_array_unref (ask.workers);
}

static void
_vp_node_send_advice (VpNode *node,
                      const char *to,
                      uint64_t serial,
                      const GArray *rows,
                      int64_t now_ms,
                      VpNodeEffects *effects)
{
  VpNodeMsg message = { .kind = VP_NODEMSG_ADVICE, .serial = serial };
  GVariantBuilder builder;

  if (rows != NULL) {
    g_variant_builder_init (&builder, G_VARIANT_TYPE (VP_NODE_ROWS_TYPE));
    for (guint i = 0; i < rows->len; i++) {
      const VpAdviceRow *row = &g_array_index (rows, VpAdviceRow, i);
      g_variant_builder_add (&builder, "(ssx)", row->worker, row->ticket,
                             row->valid_until_ms - now_ms);
    }
    message.body = g_variant_builder_end (&builder);
  }
  _vp_node_send (node, to, &message, effects);
}

static void
_vp_node_take_rows (VpNode *node, const VpNodeMsg *message, int64_t now_ms)
{
  g_autoptr (GArray) rows = NULL;
  GVariantIter iter;
  const char *worker, *ticket;
  int64_t left_ms;

  if (node->cell == NULL)
    return;
  if (message->body != NULL
      && g_variant_is_of_type (message->body, G_VARIANT_TYPE (VP_NODE_ROWS_TYPE))) {
    rows = g_array_new (FALSE, FALSE, sizeof (VpAdviceRow));
    g_variant_iter_init (&iter, message->body);
    while (g_variant_iter_next (&iter, "(&s&sx)", &worker, &ticket, &left_ms)) {
      VpAdviceRow row = { .valid_until_ms = now_ms + left_ms };
      g_strlcpy (row.worker, worker, sizeof row.worker);
      g_strlcpy (row.ticket, ticket, sizeof row.ticket);
      g_array_append_val (rows, row);
    }
  }
  vp_cell_advice (node->cell, message->serial, rows, now_ms);
}

/* Leading. */

static void
_vp_node_begin_term (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpCellDesc desc = { .fence = node->lead.term,
                      .hold_max_ms = node->desc.hold_max_ms,
                      .relist_ms = node->lead.store_away_ms + node->desc.relist_ms - now_ms,
                      .keeps_roster = true,
                      .is_clean = node->lead.is_after_clean };

  node->cell = vp_cell_setup (&desc, now_ms);
  node->keeper = vp_keeper_setup (&(VpKeeperDesc){ .lead = &node->lead,
                                                   .cell = node->cell,
                                                   .retention_ms = node->desc.retention_ms },
                                  now_ms);
  node->broker = vp_broker_setup (node->cell, node->keeper, node->lead.term);
  if (node->conf != NULL)
    vp_cell_set_conf (node->cell, node->conf);
  node->load_serial = node->lead.term;
  node->load_next_ms = node->led_ms = now_ms;
  node->is_load_out = node->is_limited = false;
  node->ping_next_ms = now_ms;
  vp_node_effects_add (effects, VP_NODE_WATCH_WORKERS)->is_on = true;
  vp_log (now_ms, "lead", "term=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT " clean=%d",
          node->lead.term, node->lead.record_revision, node->lead.is_after_clean);
  vp_metrics_add (VP_COUNTER_OWNER_ACQUIRED, 1);
  vp_metrics_set (VP_GAUGE_OWNER_EPOCH, (int64_t)node->lead.term);
}

static void
_vp_node_end_term (VpNode *node, const char *why, int64_t now_ms, VpNodeEffects *effects)
{
  if (node->cell == NULL)
    return;
  vp_log (now_ms, "follow", "why=%s term=%" G_GUINT64_FORMAT " leader=%s", why, node->lead.term,
          node->lead.leader[0] == '\0' ? "-" : node->lead.leader);
  _vp_node_drop_cell (node);
  vp_node_effects_add (effects, VP_NODE_WATCH_WORKERS)->is_on = false;
  vp_metrics_add (VP_COUNTER_OWNER_LAPSED, 1);
  vp_metrics_set (VP_GAUGE_OWNER_EPOCH, 0);
}

static void
_vp_node_step_down (VpNode *node, const char *why, int64_t now_ms, VpNodeEffects *effects)
{
  vp_lead_step_down (&node->lead, now_ms);
  _vp_node_end_term (node, why, now_ms, effects);
}

static void
_vp_node_take_loaded (VpNode *node, const VpStoreLoaded *loaded, int64_t now_ms)
{
  uint32_t bad_count;

  if (node->cell == NULL || node->load_serial == 0 || loaded->serial != node->load_serial)
    return;
  node->is_load_out = false;
  node->load_next_ms = now_ms + VP_NODE_LOAD_RETRY_MS;
  if (!loaded->is_ok)
    return;
  bad_count = vp_keeper_load (node->keeper, loaded, now_ms);
  node->load_serial = 0;
  vp_log (now_ms, "loaded", "jobs=%u ended=%u unreadable=%u took_ms=%" G_GINT64_FORMAT,
          loaded->jobs->len, loaded->ended->len, bad_count, now_ms - node->led_ms);
}

static void
_vp_node_take_workers (VpNode *node, const GArray *entries, int64_t now_ms)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  const VpRoster *roster;

  if (node->cell == NULL)
    return;
  for (guint i = 0; i < entries->len; i++) {
    const VpWorkerEntry *entry = &g_array_index (entries, VpWorkerEntry, i);
    g_hash_table_add (listed, (gpointer)entry->id);
    vp_cell_worker (node->cell, entry, now_ms);
  }
  roster = vp_cell_roster (node->cell);
  for (guint i = 0; i < roster->workers->len; i++) {
    const VpRosterWorker *worker = roster->workers->pdata[i];
    if (!g_hash_table_contains (listed, worker->entry.id))
      vp_cell_worker_gone (node->cell, worker->entry.id, now_ms);
  }
  vp_cell_list_complete (node->cell);
}

static void
_vp_node_request (VpNode *node, const VpNodeMsg *message, int64_t now_ms)
{
  VpBrokerAnswer answer = { .message = { .kind = VP_NODEMSG_ANSWER,
                                         .serial = message->serial,
                                         .answer = VP_ANSWER_NOT_LEADER } };

  if (vp_node_is_leading (node)) {
    vp_broker_request (node->broker, message, now_ms, node->answers);
    return;
  }
  g_strlcpy (answer.to, message->from, sizeof answer.to);
  g_array_append_val (node->answers, answer);
}

static void
_vp_node_deliver_answers (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  for (guint i = 0; i < node->answers->len; i++) {
    VpBrokerAnswer *answer = &g_array_index (node->answers, VpBrokerAnswer, i);
    if (strcmp (answer->to, node->name) == 0)
      vp_front_answer (node->front, &answer->message, now_ms, effects);
    else
      _vp_node_send (node, answer->to, &answer->message, effects);
  }
  g_array_set_size (node->answers, 0);
}

static void
_vp_node_take_written (VpNode *node,
                       const VpStoreWritten *written,
                       int64_t now_ms,
                       VpNodeEffects *effects)
{
  g_autoptr (GArray) kept = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  /* Claims have the serial 0, commits count from 1. */
  if (written->serial == 0) {
    vp_lead_claimed (&node->lead, written->outcome == VP_WRITE_OK, written->revision, now_ms);
    return;
  }
  if (node->keeper == NULL)
    return;
  if (!vp_keeper_written (node->keeper, written, kept, now_ms)) {
    _vp_node_step_down (node, "record-claimed", now_ms, effects);
    return;
  }
  vp_broker_kept (node->broker, kept, now_ms, node->answers);
}

static void
_vp_node_take_record (VpNode *node, const VpRecordRead *read, int64_t now_ms)
{
  g_autoptr (GVariant) value = vp_node_parse (read->record, VP_LEAD_RECORD_TYPE);
  VpLeadRecord record;
  bool has_record = value != NULL && vp_lead_record_decode (value, &record);

  vp_lead_read (&node->lead, read->is_ok, read->revision, has_record ? &record : NULL, now_ms);
}

/* Nothing new is begun; once all is kept, another process is invited. */
static void
_vp_node_begin_hand_over (VpNode *node, int64_t now_ms)
{
  node->hand_over_ms = now_ms;
  vp_cell_pause (node->cell);
  vp_broker_pause (node->broker);
  vp_keeper_finish (node->keeper);
}

static void
_vp_node_stop (VpNode *node, int64_t now_ms)
{
  if (node->is_stopping)
    return;
  node->is_stopping = true;
  node->stop_ms = now_ms;
  /* The others are told at once. */
  node->ping_next_ms = now_ms;
  vp_log (now_ms, "stop", "open=%u leading=%d", vp_front_open_count (node->front),
          vp_node_is_leading (node));
  if (node->cell != NULL && node->hand_over_ms == 0)
    _vp_node_begin_hand_over (node, now_ms);
}

static void
_vp_node_take_message (VpNode *node, VpNodeMsg *message, int64_t now_ms, VpNodeEffects *effects)
{
  switch (message->kind) {
  case VP_NODEMSG_PING:
    _vp_node_take_ping (node, message, now_ms, effects);
    break;
  case VP_NODEMSG_SUBMIT:
  case VP_NODEMSG_QUERY:
  case VP_NODEMSG_CANCEL:
  case VP_NODEMSG_PENDING:
    _vp_node_request (node, message, now_ms);
    break;
  case VP_NODEMSG_ANSWER:
    vp_front_answer (node->front, message, now_ms, effects);
    break;
  case VP_NODEMSG_ASK:
    _vp_node_take_ask (node, message, effects);
    break;
  case VP_NODEMSG_ADVICE:
    _vp_node_take_rows (node, message, now_ms);
    break;
  case VP_NODEMSG_CONF_ASK:
    _vp_node_send_conf (node, message->from, effects);
    break;
  case VP_NODEMSG_CONF:
    _vp_node_decode_conf (node, message, effects);
    break;
  case VP_NODEMSG_HANDOVER:
    if (!node->is_stopping)
      vp_lead_invite (&node->lead, message->term, now_ms);
    break;
  default:
    break;
  }
}

static void
_vp_node_take_advice (VpNode *node,
                      const VpNodeEvent *event,
                      int64_t now_ms,
                      VpNodeEffects *effects)
{
  if (strcmp (event->advice.asker, node->name) != 0)
    _vp_node_send_advice (node, event->advice.asker, event->advice.serial, event->advice.rows,
                          now_ms, effects);
  else if (node->cell != NULL)
    vp_cell_advice (node->cell, event->advice.serial, event->advice.rows, now_ms);
}

void
vp_node_apply (VpNode *node, VpNodeEvent *event, int64_t now_ms, VpNodeEffects *effects)
{
  switch (event->kind) {
  case VP_NODE_TICK:
    break;
  case VP_NODE_CALL:
    vp_front_call (node->front, &event->call, node->conf, now_ms, effects);
    break;
  case VP_NODE_CALL_GONE:
    vp_front_gone (node->front, event->handle);
    break;
  case VP_NODE_MESSAGE:
    _vp_node_take_message (node, &event->message, now_ms, effects);
    break;
  case VP_NODE_WRITTEN:
    _vp_node_take_written (node, &event->written, now_ms, effects);
    break;
  case VP_NODE_RECORD:
    _vp_node_take_record (node, &event->record, now_ms);
    break;
  case VP_NODE_LOADED:
    _vp_node_take_loaded (node, &event->loaded, now_ms);
    break;
  case VP_NODE_ORDER_RESULT:
    if (node->cell != NULL)
      vp_cell_order_result (node->cell, &event->order, now_ms);
    break;
  case VP_NODE_ADVICE:
    _vp_node_take_advice (node, event, now_ms, effects);
    break;
  case VP_NODE_CONF:
    _vp_node_take_conf (node, event->conf.conf, event->conf.text, now_ms);
    break;
  case VP_NODE_MEMBER:
    _vp_node_take_member (node, event->member.name, event->member.address, now_ms, effects);
    break;
  case VP_NODE_WORKERS:
    _vp_node_take_workers (node, event->workers, now_ms);
    break;
  case VP_NODE_WORKER:
    if (node->cell != NULL)
      vp_cell_worker (node->cell, &event->worker, now_ms);
    break;
  case VP_NODE_WORKER_GONE:
    if (node->cell != NULL)
      vp_cell_worker_gone (node->cell, event->worker_id, now_ms);
    break;
  case VP_NODE_STOP:
    _vp_node_stop (node, now_ms);
    break;
  }
}

/* Steps. */

static void
_vp_node_claim (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpStoreWrite *write = &vp_node_effects_add (effects, VP_NODE_WRITE)->write;

  vp_log (now_ms, "claim",
          "term=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
          " before=%s silent_ms=%" G_GINT64_FORMAT " store_age_ms=%" G_GINT64_FORMAT
          " still_ms=%" G_GINT64_FORMAT,
          node->lead.claim.term, node->lead.record_revision,
          node->lead.record.leader[0] == '\0' ? "-" : node->lead.record.leader,
          now_ms - node->lead.heard_ms, node->lead.store_age_ms,
          now_ms - node->lead.still_since_ms);
  write->record_revision = node->lead.record_revision;
  write->keys = g_ptr_array_new_with_free_func (g_free);
  write->values = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  write->removed = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (write->keys, g_strdup ("lead"));
  g_ptr_array_add (write->values, vp_node_serialise (vp_lead_record_encode (&node->lead.claim)));
}

static void
_vp_node_step_lead (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpLeadView view;

  if (node->lead.state != VP_LEAD_LEADING)
    _vp_node_end_term (node, "other-leader", now_ms, effects);
  /* A stopping process does not take the place, nor one that does not know the queues yet: it could
   * not tell which failed runs end a job. */
  if (!node->is_stopping && node->conf != NULL && node->lead.state == VP_LEAD_FOLLOWING) {
    vp_members_view (node->members, now_ms, &view);
    switch (vp_lead_tick (&node->lead, &view, now_ms)) {
    case VP_LEAD_READ:
      vp_node_effects_add (effects, VP_NODE_READ_RECORD);
      break;
    case VP_LEAD_CLAIM:
      _vp_node_claim (node, now_ms, effects);
      break;
    case VP_LEAD_NOTHING:
      break;
    }
  }
  if (node->lead.state == VP_LEAD_LEADING && node->cell == NULL)
    _vp_node_begin_term (node, now_ms, effects);
}

static void
_vp_node_pass_cell_effects (VpNode *node,
                            GArray *cell_effects,
                            int64_t now_ms,
                            VpNodeEffects *effects)
{
  for (guint i = 0; i < cell_effects->len; i++) {
    VpCellEffect *effect = &g_array_index (cell_effects, VpCellEffect, i);
    if (effect->kind == VP_CELL_ORDER) {
      vp_node_effects_add (effects, VP_NODE_ORDER)->order = effect->order;
      continue;
    }
    _vp_node_pass_ask (node, &effect->ask, now_ms, effects);
    vp_cell_effect_clear (effect);
  }
}

static void
_vp_node_hand_over (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  VpNodeMsg message = { .kind = VP_NODEMSG_HANDOVER, .term = node->lead.term };
  const VpMemberState *best;

  if (!vp_keeper_is_finished (node->keeper) && now_ms - node->hand_over_ms < VP_NODE_HANDOVER_MS)
    return;
  best = vp_members_successor (node->members, now_ms);
  vp_log (now_ms, "hand-over", "to=%s clean=%d", best == NULL ? "-" : best->name,
          vp_keeper_is_finished (node->keeper));
  if (best != NULL)
    _vp_node_send (node, best->name, &message, effects);
  _vp_node_step_down (node, node->is_stopping ? "stopping" : "weaker", now_ms, effects);
}

/* Whether the leader would be better placed on a stronger VM although it doesn't know all that
 * runs. */
static bool
_vp_node_is_blind (const VpNode *node, int64_t now_ms)
{
  return now_ms - node->led_ms >= VP_NODE_YIELD_BLIND_MS
         && 2 * vp_cell_unknown_count (node->cell, now_ms)
                > vp_cell_roster (node->cell)->workers->len;
}

/* Hands over to a stronger VM. */
static void
_vp_node_yield (VpNode *node, int64_t now_ms)
{
  const VpMemberState *best = vp_members_successor (node->members, now_ms);

  if (node->hand_over_ms != 0 || now_ms < node->yield_next_ms || best == NULL
      || best->cpu_milli <= node->desc.cpu_milli || now_ms - best->started_ms < VP_NODE_YIELD_MS
      || now_ms - node->led_ms < VP_NODE_YIELD_MS
      || (!vp_cell_is_exact (node->cell) && !_vp_node_is_blind (node, now_ms)))
    return;
  vp_log (now_ms, "yield", "to=%s cpu_milli=%u own_milli=%u", best->name, best->cpu_milli,
          node->desc.cpu_milli);
  node->yield_next_ms = now_ms + VP_NODE_YIELD_AGAIN_MS;
  _vp_node_begin_hand_over (node, now_ms);
}

/* When no later leader had begun its term for certain: the store said so, or all others have
 * answered to pings since then and none follows one. */
static int64_t
_vp_node_confirmed_ms (const VpNode *node, int64_t now_ms)
{
  int64_t confirmed_ms = MAX (node->lead.claimed_ms, vp_keeper_confirmed_ms (node->keeper));

  if (!node->has_members)
    return confirmed_ms;
  return MAX (confirmed_ms, vp_members_echo_ms (node->members, now_ms));
}

/* A leader that may have been replaced gives no leases: the next one waits for their end. */
static void
_vp_node_limit_orders (VpNode *node, int64_t now_ms)
{
  int64_t confirmed_ms = _vp_node_confirmed_ms (node, now_ms);
  bool is_limited = now_ms > confirmed_ms + VP_ROSTER_UNCONFIRMED_MS;

  vp_cell_limit_orders (node->cell, confirmed_ms + VP_ROSTER_UNCONFIRMED_MS);
  if (is_limited == node->is_limited)
    return;
  node->is_limited = is_limited;
  vp_log (now_ms, is_limited ? "orders-held" : "orders-again",
          "term=%" G_GUINT64_FORMAT " unconfirmed_ms=%" G_GINT64_FORMAT
          " commit_age_ms=%" G_GINT64_FORMAT,
          node->lead.term, now_ms - confirmed_ms, vp_keeper_age_ms (node->keeper, now_ms));
}

static void
_vp_node_step_cell (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  g_autoptr (GArray) cell_effects = NULL;
  VpLeadView view;

  if (node->cell != NULL && vp_cell_is_fenced (node->cell))
    _vp_node_step_down (node, "fenced", now_ms, effects);
  if (node->cell == NULL)
    return;
  if (node->load_serial != 0) {
    if (!node->is_load_out && now_ms >= node->load_next_ms) {
      node->is_load_out = true;
      vp_node_effects_add (effects, VP_NODE_LOAD)->serial = node->load_serial;
    }
    return;
  }
  vp_members_view (node->members, now_ms, &view);
  vp_cell_set_askers (node->cell, view.heard_count + 1);
  cell_effects = g_array_new (FALSE, FALSE, sizeof (VpCellEffect));
  _vp_node_yield (node, now_ms);
  _vp_node_limit_orders (node, now_ms);
  if (node->hand_over_ms == 0)
    vp_cell_decide (node->cell, now_ms, cell_effects);
  _vp_node_pass_cell_effects (node, cell_effects, now_ms, effects);
  vp_broker_tick (node->broker, now_ms, node->answers);
  vp_keeper_decide (node->keeper, now_ms, effects);
  if (node->hand_over_ms != 0)
    _vp_node_hand_over (node, now_ms, effects);
}

static bool
_vp_node_is_cut_off (const VpNode *node, int64_t now_ms)
{
  return now_ms - node->started_ms >= VP_NODE_LISTEN_MS
         && vp_members_is_cut_off (node->members, now_ms);
}

/* True if a leader is known that may still serve. One that is cut off together with this process,
 * from the store and from most others, does not. */
static bool
_vp_node_is_led (const VpNode *node, int64_t now_ms)
{
  int64_t store_age_ms
      = node->cell == NULL ? node->lead.store_age_ms : _vp_node_store_age_ms (node, now_ms);

  return vp_lead_is_known (&node->lead, now_ms)
         && (store_age_ms < VP_NODE_VAIN_MS || !_vp_node_is_cut_off (node, now_ms));
}

static void
_vp_node_step_front (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  g_autoptr (GArray) requests = g_array_new (FALSE, FALSE, sizeof (VpNodeMsg));
  bool is_known = _vp_node_is_led (node, now_ms);
  bool is_hopeless = node->is_closing || (!is_known && _vp_node_is_cut_off (node, now_ms));

  vp_front_tick (node->front, is_known ? node->lead.leader : NULL, node->lead.term,
                 is_hopeless ? now_ms - node->unready_ms : -1, now_ms, requests, effects);
  for (guint i = 0; i < requests->len; i++) {
    VpNodeMsg *request = &g_array_index (requests, VpNodeMsg, i);
    if (strcmp (node->lead.leader, node->name) != 0) {
      _vp_node_send (node, node->lead.leader, request, effects);
      continue;
    }
    if (request->body != NULL)
      g_variant_ref_sink (request->body);
    _vp_node_request (node, request, now_ms);
    vp_nodemsg_clear (request);
  }
}

static void
_vp_node_step_ready (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  bool is_ready = node->conf != NULL && !node->is_stopping && _vp_node_is_led (node, now_ms);

  if (is_ready == node->is_ready)
    return;
  node->is_ready = is_ready;
  node->unready_ms = now_ms;
  vp_log (now_ms, "ready", "is_ready=%d conf=%d leader=%s stopping=%d", is_ready,
          node->conf != NULL, node->lead.leader[0] == '\0' ? "-" : node->lead.leader,
          node->is_stopping);
  vp_node_effects_add (effects, VP_NODE_READY)->is_on = is_ready;
}

static int64_t
_vp_node_exit_ms (const VpNode *node)
{
  return node->stop_ms
         + MAX (VP_NODE_STOP_MIN_MS, (int64_t)((double)node->desc.grace_ms * VP_NODE_STOP_SHARE));
}

void
vp_node_step (VpNode *node, int64_t now_ms, VpNodeEffects *effects)
{
  _vp_node_step_lead (node, now_ms, effects);
  _vp_node_step_ready (node, now_ms, effects);
  _vp_node_step_front (node, now_ms, effects);
  _vp_node_step_cell (node, now_ms, effects);
  _vp_node_deliver_answers (node, now_ms, effects);
  _vp_node_ping (node, now_ms, effects);
  if (node->is_stopping && !node->is_closing
      && now_ms >= _vp_node_exit_ms (node) - VP_NODE_CLOSE_MS) {
    node->is_closing = true;
    vp_node_effects_add (effects, VP_NODE_CLOSE);
  }
  if (node->is_stopping && !node->is_exiting && node->cell == NULL
      && now_ms >= _vp_node_exit_ms (node)) {
    node->is_exiting = true;
    vp_log (now_ms, "exit", "open=%u", vp_front_open_count (node->front));
    vp_node_effects_add (effects, VP_NODE_EXIT);
  }
}

int64_t
vp_node_next_ms (const VpNode *node, int64_t now_ms)
{
  int64_t next_ms = MIN (node->ping_next_ms, vp_front_next_ms (node->front));

  if (node->conf != NULL)
    next_ms = MIN (next_ms, vp_lead_next_ms (&node->lead, now_ms));
  if (node->is_stopping)
    next_ms = MIN (next_ms, _vp_node_exit_ms (node) - (node->is_closing ? 0 : VP_NODE_CLOSE_MS));
  if (node->cell == NULL)
    return next_ms;
  if (node->load_serial != 0)
    return node->is_load_out ? next_ms : MIN (next_ms, node->load_next_ms);
  next_ms = MIN (next_ms, vp_keeper_next_ms (node->keeper, now_ms));
  return node->hand_over_ms != 0 ? next_ms : MIN (next_ms, vp_cell_next_ms (node->cell, now_ms));
}
