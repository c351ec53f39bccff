#include "vp-front.h"
#include "vp-log.h"
#include "vp-metrics.h"

#include <string.h>

/* Callers that don't tell how long they wait are taken to wait this long. */
#define VP_FRONT_WAIT_MS 3000
/* The last answer leaves this long before the caller stops waiting. */
#define VP_FRONT_MARGIN_MS 150
/* Longest wait for a leader, a little over the time of a take-over. */
#define VP_FRONT_LEADER_WAIT_MS 1800
/* A request without an answer is sent again after this. */
#define VP_FRONT_RESEND_MS 600
/* The leader is not ready yet: ask again after this. */
#define VP_FRONT_AGAIN_MS 60
/* When to come back if no leader was found in time. */
#define VP_FRONT_RETRY_MS 1000
/* Where this node is cut off or stops, the balancer sends callers to other nodes after two looks, a
 * second apart. */
#define VP_FRONT_CUT_RETRY_MS     2000
#define VP_FRONT_CUT_RETRY_MIN_MS 1000

typedef struct {
  VpCall call;
  VpNodeMsgKind kind;
  uint64_t serial;
  uint64_t job;
  char queue[VP_NAME_MAX];
  int64_t arrived_ms;
  int64_t deadline_ms;
  int64_t next_send_ms;
  uint64_t sent_term; /* 0: never sent */
} VpFrontCall;

struct _VpFront {
  char name[VP_NAME_MAX];
  GHashTable *calls;   /* serial -> VpFrontCall */
  GHashTable *handles; /* handle -> VpFrontCall */
  uint64_t last_serial;
  int64_t next_ms;
};

static void
_vp_front_call_free (gpointer data)
{
  VpFrontCall *pending = data;

  g_clear_pointer (&pending->call.spec, vp_jobspec_unref);
  g_free (pending);
}

VpFront *
vp_front_setup (const char *name)
{
  VpFront *front = g_new0 (VpFront, 1);

  g_strlcpy (front->name, name, sizeof front->name);
  front->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, _vp_front_call_free);
  front->handles = g_hash_table_new (g_int64_hash, g_int64_equal);
  /* Serials of two lives of a process must differ, as the leader remembers them. */
  front->last_serial = (uint64_t)g_random_int () << 32;
  front->next_ms = INT64_MAX;
  return front;
}

void
vp_front_shutdown (VpFront *front)
{
  g_hash_table_unref (front->handles);
  g_hash_table_unref (front->calls);
  g_free (front);
}

uint32_t
vp_front_open_count (const VpFront *front)
{
  return g_hash_table_size (front->calls);
}

int64_t
vp_front_next_ms (const VpFront *front)
{
  return g_hash_table_size (front->calls) == 0 ? INT64_MAX : front->next_ms;
}

static VpReply *
_vp_front_reply (uint64_t handle, VpReplyKind kind, VpNodeEffects *effects)
{
  VpReply *reply = &vp_node_effects_add (effects, VP_NODE_REPLY)->reply;

  reply->handle = handle;
  reply->kind = kind;
  vp_metrics_add (kind == VP_REPLY_REJECTED ? VP_COUNTER_REFUSED_NOT_RUN : VP_COUNTER_ANSWERED, 1);
  return reply;
}

static void
_vp_front_drop (VpFront *front, VpFrontCall *pending)
{
  g_hash_table_remove (front->handles, &pending->call.handle);
  g_hash_table_remove (front->calls, &pending->serial);
}

static void
_vp_front_reject (const VpCall *call,
                  const char *why,
                  uint32_t retry_after_ms,
                  int64_t now_ms,
                  VpNodeEffects *effects)
{
  vp_log (now_ms, "reject", "path=%s why=%s", call->path, why);
  _vp_front_reply (call->handle, VP_REPLY_REJECTED, effects)->retry_after_ms = retry_after_ms;
}

/* What kind of request it is; false if it was replied to. */
static bool
_vp_front_classify (VpFrontCall *pending, const char *rest, VpNodeEffects *effects)
{
  VpCall *call = &pending->call;

  if (call->kind == VP_CALL_UNKNOWN) {
    _vp_front_reply (call->handle, VP_REPLY_BAD_METHOD, effects);
    return false;
  }
  if (call->kind == VP_CALL_QUERY && rest[0] == '\0') {
    pending->kind = VP_NODEMSG_PENDING;
    return true;
  }
  if (!vp_job_id_parse (rest, &pending->job)) {
    _vp_front_reply (call->handle,
                     call->kind == VP_CALL_SUBMIT ? VP_REPLY_MALFORMED : VP_REPLY_GONE, effects);
    return false;
  }
  if (call->kind == VP_CALL_SUBMIT && call->spec == NULL) {
    _vp_front_reply (call->handle, VP_REPLY_MALFORMED, effects);
    return false;
  }
  pending->kind = call->kind == VP_CALL_SUBMIT   ? VP_NODEMSG_SUBMIT
                  : call->kind == VP_CALL_CANCEL ? VP_NODEMSG_CANCEL
                                                 : VP_NODEMSG_QUERY;
  return true;
}

/* Finds the queue and the team; false if the call was replied to. */
static bool
_vp_front_admit (VpFrontCall *pending,
                 const VpCellConf *conf,
                 int64_t now_ms,
                 VpNodeEffects *effects)
{
  VpCall *call = &pending->call;
  const VpQueueConf *queue;
  const VpTeamConf *team;
  const char *rest;

  if (conf == NULL) {
    _vp_front_reject (call, "no-configuration", VP_FRONT_RETRY_MS, now_ms, effects);
    return false;
  }
  queue = vp_cellconf_route (conf, call->host, call->path, &rest);
  if (queue == NULL) {
    vp_log (now_ms, "no-queue", "path=%s conf=%" G_GUINT64_FORMAT, call->path, conf->version);
    _vp_front_reply (call->handle, VP_REPLY_NO_QUEUE, effects);
    return false;
  }
  team = vp_cellconf_team_of_key (conf, call->key);
  if (team == NULL && !queue->is_public) {
    vp_log (now_ms, "bad-key", "path=%s conf=%" G_GUINT64_FORMAT, call->path, conf->version);
    vp_metrics_add (VP_COUNTER_BAD_KEY, 1);
    _vp_front_reply (call->handle, VP_REPLY_BAD_KEY, effects);
    return false;
  }
  if (!_vp_front_classify (pending, rest, effects))
    return false;
  g_strlcpy (pending->queue, queue->name, sizeof pending->queue);
  if (call->spec != NULL) {
    call->spec->id = pending->job;
    g_strlcpy (call->spec->queue, queue->name, sizeof call->spec->queue);
    g_strlcpy (call->spec->team, team == NULL ? "" : team->name, sizeof call->spec->team);
  }
  return true;
}

void
vp_front_call (VpFront *front,
               VpCall *call,
               const VpCellConf *conf,
               int64_t now_ms,
               VpNodeEffects *effects)
{
  VpFrontCall *pending = g_new0 (VpFrontCall, 1);

  vp_metrics_add (VP_COUNTER_REQUESTS, 1);
  pending->call = *call;
  call->spec = NULL;
  pending->arrived_ms = pending->next_send_ms = now_ms;
  pending->deadline_ms
      = now_ms + (call->wait_ms > 0 ? call->wait_ms : VP_FRONT_WAIT_MS) - VP_FRONT_MARGIN_MS;
  if (!_vp_front_admit (pending, conf, now_ms, effects)) {
    _vp_front_call_free (pending);
    return;
  }
  pending->serial = ++front->last_serial;
  g_hash_table_insert (front->calls, &pending->serial, pending);
  g_hash_table_insert (front->handles, &pending->call.handle, pending);
  front->next_ms = now_ms;
}

void
vp_front_gone (VpFront *front, uint64_t handle)
{
  VpFrontCall *pending = g_hash_table_lookup (front->handles, &handle);

  /* A job that was sent stays with the leader: its caller may ask for it later. */
  if (pending != NULL)
    _vp_front_drop (front, pending);
}

/* A leader of an earlier term can't tell that the one after it hasn't accepted the job. */
static bool
_vp_front_is_outdated (const VpFrontCall *pending, const VpNodeMsg *message)
{
  return (message->answer == VP_ANSWER_REJECTED || message->answer == VP_ANSWER_GONE)
         && message->term != pending->sent_term;
}

void
vp_front_answer (VpFront *front, const VpNodeMsg *message, int64_t now_ms, VpNodeEffects *effects)
{
  VpFrontCall *pending = g_hash_table_lookup (front->calls, &message->serial);
  VpReply *reply;

  if (pending == NULL || _vp_front_is_outdated (pending, message)) {
    vp_metrics_add (VP_COUNTER_LATE_ANSWERS, 1);
    return;
  }
  switch (message->answer) {
  case VP_ANSWER_NOT_LEADER:
    pending->next_send_ms = now_ms + VP_FRONT_AGAIN_MS;
    front->next_ms = MIN (front->next_ms, pending->next_send_ms);
    return;
  case VP_ANSWER_ACCEPTED:
    _vp_front_reply (pending->call.handle,
                     pending->kind == VP_NODEMSG_CANCEL ? VP_REPLY_CANCELLED : VP_REPLY_ACCEPTED,
                     effects);
    break;
  case VP_ANSWER_STATE:
    reply = _vp_front_reply (pending->call.handle, VP_REPLY_STATE, effects);
    reply->state = (VpJobState)MIN (message->state, VP_JOB_CANCELLED);
    break;
  case VP_ANSWER_COUNT:
    _vp_front_reply (pending->call.handle, VP_REPLY_COUNT, effects)->count = message->count;
    break;
  case VP_ANSWER_GONE:
    _vp_front_reply (pending->call.handle, VP_REPLY_GONE, effects);
    break;
  case VP_ANSWER_UNKNOWN:
    _vp_front_reply (pending->call.handle, VP_REPLY_NO_ANSWER, effects);
    break;
  default:
    reply = _vp_front_reply (pending->call.handle, VP_REPLY_REJECTED, effects);
    reply->retry_after_ms = message->retry_after_ms;
    break;
  }
  _vp_front_drop (front, pending);
}

static void
_vp_front_send (VpFront *front,
                VpFrontCall *pending,
                uint64_t term,
                int64_t now_ms,
                GArray *requests)
{
  VpNodeMsg message = { .kind = pending->kind, .serial = pending->serial, .job = pending->job };

  g_strlcpy (message.from, front->name, sizeof message.from);
  g_strlcpy (message.queue, pending->queue, sizeof message.queue);
  if (pending->kind == VP_NODEMSG_SUBMIT)
    message.body = vp_jobspec_encode (pending->call.spec);
  g_array_append_val (requests, message);
  pending->sent_term = term;
  pending->next_send_ms = now_ms + VP_FRONT_RESEND_MS;
}

/* When callers meet another node. */
static uint32_t
_vp_front_cut_retry_ms (int64_t unready_ms)
{
  return (uint32_t)MAX (VP_FRONT_CUT_RETRY_MS - unready_ms, VP_FRONT_CUT_RETRY_MIN_MS);
}

/* The request can't be answered any more; true if it was replied to. */
static bool
_vp_front_expire (VpFrontCall *pending,
                  bool is_led,
                  int64_t unready_ms,
                  int64_t now_ms,
                  VpNodeEffects *effects)
{
  bool is_hopeless = unready_ms >= 0;
  bool is_read = pending->kind == VP_NODEMSG_QUERY || pending->kind == VP_NODEMSG_PENDING;
  bool is_leaderless = !is_led && pending->sent_term == 0
                       && now_ms - pending->arrived_ms > VP_FRONT_LEADER_WAIT_MS;

  if (now_ms < pending->deadline_ms && !is_leaderless && !is_hopeless)
    return false;
  if (pending->sent_term == 0 || is_read) {
    _vp_front_reject (&pending->call, is_hopeless ? "cut-off-or-stopping" : "no-leader",
                      is_hopeless ? _vp_front_cut_retry_ms (unready_ms) : VP_FRONT_RETRY_MS, now_ms,
                      effects);
  } else {
    vp_log (now_ms, "no-answer", "path=%s term=%" G_GUINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
            pending->call.path, pending->sent_term, now_ms - pending->arrived_ms);
    _vp_front_reply (pending->call.handle, VP_REPLY_NO_ANSWER, effects);
  }
  return true;
}

void
vp_front_tick (VpFront *front,
               const char *leader,
               uint64_t term,
               int64_t unready_ms,
               int64_t now_ms,
               GArray *requests,
               VpNodeEffects *effects)
{
  GHashTableIter iter;
  gpointer value;

  front->next_ms = INT64_MAX;
  g_hash_table_iter_init (&iter, front->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpFrontCall *pending = value;
    if (_vp_front_expire (pending, leader != NULL, unready_ms, now_ms, effects)) {
      g_hash_table_remove (front->handles, &pending->call.handle);
      g_hash_table_iter_remove (&iter);
      continue;
    }
    if (leader != NULL
        && (now_ms >= pending->next_send_ms
            || (pending->sent_term != 0 && pending->sent_term != term)))
      _vp_front_send (front, pending, term, now_ms, requests);
    front->next_ms
        = MIN (front->next_ms,
               MIN (pending->deadline_ms, MAX (pending->next_send_ms, now_ms + VP_FRONT_AGAIN_MS)));
  }
}
