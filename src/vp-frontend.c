#include "vp-frontend.h"
#include "vp-log.h"
#include "vp-metrics.h"

#include <string.h>

/* How long a caller is assumed to wait if it doesn't say how long. */
#define VP_FRONTEND_CALLER_TIMEOUT_MS 3000
/* A reply leaves at the latest this long before the caller stops waiting. */
#define VP_FRONTEND_DEADLINE_MARGIN_MS 150
/* Maximum wait for a leader, slightly longer than a takeover lasts. */
#define VP_FRONTEND_LEADER_WAIT_MS 1800
/* Delay before a request without an answer is sent again. */
#define VP_FRONTEND_RESEND_MS 600
/* Delay before a request is sent again to a process that doesn't lead yet. */
#define VP_FRONTEND_NOT_LEADER_RETRY_MS 60
/* Retry-after time of callers if no leader was found in time. */
#define VP_FRONTEND_NO_LEADER_RETRY_AFTER_MS 1000
/* Retry-after time of callers when this node has just been cut off or begins to stop. It decreases
 * with time, as the balancer sends callers to other nodes after two failed probes, a second apart.
 */
#define VP_FRONTEND_CUT_OFF_RETRY_AFTER_MS 2000
/* Minimum retry-after time of callers if this node is cut off or stops. */
#define VP_FRONTEND_CUT_OFF_RETRY_AFTER_MIN_MS 1000

/* A request that wasn't replied to yet. */
typedef struct {
  VpCallerRequest request;
  VpNodeMsgKind kind; /* kind of the message to the leader */
  uint64_t serial;
  uint64_t job;
  char *queue;
  int64_t arrived_ms;
  int64_t deadline_ms;
  int64_t next_send_ms;
  uint64_t sent_term; /* term of the leader that the request was last sent to; 0: never sent */
} VpFrontendRequest;

struct _VpFrontend {
  char name[VP_PROCESS_NAME_MAX];
  GHashTable *requests; /* serial -> VpFrontendRequest */
  GHashTable *handles;  /* handle -> VpFrontendRequest */
  uint64_t last_serial;
  int64_t next_ms;
};

static void
_vp_frontend_request_free (gpointer data)
{
  VpFrontendRequest *pending = data;

  vp_caller_request_clear (&pending->request);
  g_free (pending->queue);
  g_free (pending);
}

VpFrontend *
vp_frontend_setup (const char *name)
{
  VpFrontend *frontend = g_new0 (VpFrontend, 1);

  g_strlcpy (frontend->name, name, sizeof frontend->name);
  frontend->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, _vp_frontend_request_free);
  frontend->handles = g_hash_table_new (g_int64_hash, g_int64_equal);
  /* Serials must differ from those before a restart of the process, since the leader remembers
   * them. */
  frontend->last_serial = (uint64_t)g_random_int () << 32;
  frontend->next_ms = INT64_MAX;
  return frontend;
}

void
vp_frontend_shutdown (VpFrontend *frontend)
{
  g_hash_table_unref (frontend->handles);
  g_hash_table_unref (frontend->requests);
  g_free (frontend);
}

uint32_t
vp_frontend_open_count (const VpFrontend *frontend)
{
  return g_hash_table_size (frontend->requests);
}

int64_t
vp_frontend_next_ms (const VpFrontend *frontend)
{
  return g_hash_table_size (frontend->requests) == 0 ? INT64_MAX : frontend->next_ms;
}

static VpReply *
_vp_frontend_reply (uint64_t handle, VpReplyKind kind, VpNodeEffects *effects)
{
  VpReply *reply = &vp_node_effects_add (effects, VP_NODE_EFFECT_REPLY)->reply;

  reply->handle = handle;
  reply->kind = kind;
  vp_metrics_add (kind == VP_REPLY_REJECTED ? VP_COUNTER_REFUSED_NOT_RUN : VP_COUNTER_ANSWERED, 1);
  return reply;
}

static void
_vp_frontend_drop (VpFrontend *frontend, VpFrontendRequest *pending)
{
  g_hash_table_remove (frontend->handles, &pending->request.handle);
  g_hash_table_remove (frontend->requests, &pending->serial);
}

static void
_vp_frontend_reject (const VpCallerRequest *request,
                     const char *why,
                     uint32_t retry_after_ms,
                     int64_t now_ms,
                     VpNodeEffects *effects)
{
  vp_log (now_ms, "reject", "path=%s why=%s", request->path, why);
  _vp_frontend_reply (request->handle, VP_REPLY_REJECTED, effects)->retry_after_ms = retry_after_ms;
}

/* Determines the kind of the request. @rest is the path after the queue's prefix. Returns false if
 * the request was replied to at once. */
static bool
_vp_frontend_classify (VpFrontendRequest *pending,
                       const char *rest,
                       int64_t now_ms,
                       VpNodeEffects *effects)
{
  VpCallerRequest *request = &pending->request;

  if (request->kind == VP_CALLER_REQUEST_UNKNOWN) {
    _vp_frontend_reply (request->handle, VP_REPLY_BAD_METHOD, effects);
    return false;
  }
  if (request->kind == VP_CALLER_REQUEST_QUERY && rest[0] == '\0') {
    pending->kind = VP_NODEMSG_PENDING_COUNT;
    return true;
  }
  if (!vp_job_id_parse (rest, &pending->job)) {
    _vp_frontend_reply (request->handle,
                        request->kind == VP_CALLER_REQUEST_SUBMIT ? VP_REPLY_MALFORMED
                                                                  : VP_REPLY_NO_SUCH_JOB,
                        effects);
    return false;
  }
  if (request->kind == VP_CALLER_REQUEST_SUBMIT && request->is_body_skipped) {
    /* The configuration has changed since its headers arrived. */
    _vp_frontend_reject (request, "body-skipped", VP_FRONTEND_NO_LEADER_RETRY_AFTER_MS, now_ms,
                         effects);
    return false;
  }
  if (request->kind == VP_CALLER_REQUEST_SUBMIT && request->spec == NULL) {
    _vp_frontend_reply (request->handle, VP_REPLY_MALFORMED, effects);
    return false;
  }
  pending->kind = request->kind == VP_CALLER_REQUEST_SUBMIT   ? VP_NODEMSG_SUBMIT
                  : request->kind == VP_CALLER_REQUEST_CANCEL ? VP_NODEMSG_CANCEL
                                                              : VP_NODEMSG_QUERY;
  return true;
}

/* Determines the queue and the team. Returns false if the request was replied to at once. */
static bool
_vp_frontend_admit (VpFrontendRequest *pending,
                    const VpCellConfig *config,
                    int64_t now_ms,
                    VpNodeEffects *effects)
{
  VpCallerRequest *request = &pending->request;
  const VpQueueConfig *queue;
  const VpTeamConfig *team;
  const char *rest;

  if (config == NULL) {
    _vp_frontend_reject (request, "no-configuration", VP_FRONTEND_NO_LEADER_RETRY_AFTER_MS, now_ms,
                         effects);
    return false;
  }
  queue = vp_cellconfig_route (config, vp_text (request->host), vp_text (request->path), &rest);
  if (queue == NULL) {
    vp_log (now_ms, "no-queue", "path=%s config=%" G_GUINT64_FORMAT, request->path,
            config->version);
    _vp_frontend_reply (request->handle, VP_REPLY_NO_QUEUE, effects);
    return false;
  }
  team = vp_cellconfig_team_of_key (config, vp_text (request->key));
  if (team == NULL && !queue->is_public) {
    vp_log (now_ms, "bad-key", "path=%s config=%" G_GUINT64_FORMAT, request->path, config->version);
    vp_metrics_add (VP_COUNTER_BAD_KEY, 1);
    _vp_frontend_reply (request->handle, VP_REPLY_BAD_KEY, effects);
    return false;
  }
  if (!_vp_frontend_classify (pending, rest, now_ms, effects))
    return false;
  pending->queue = g_strdup (queue->name);
  if (request->spec != NULL) {
    request->spec->id = pending->job;
    request->spec->queue = vp_jobspec_add_text (request->spec, queue->name);
    request->spec->team = vp_jobspec_add_text (request->spec, team == NULL ? "" : team->name);
  }
  return true;
}

void
vp_frontend_request (VpFrontend *frontend,
                     VpCallerRequest *request,
                     const VpCellConfig *config,
                     int64_t now_ms,
                     VpNodeEffects *effects)
{
  VpFrontendRequest *pending = g_new0 (VpFrontendRequest, 1);

  vp_metrics_add (VP_COUNTER_REQUESTS, 1);
  pending->request = *request;
  request->host = request->path = request->key = NULL;
  request->spec = NULL;
  pending->arrived_ms = pending->next_send_ms = now_ms;
  pending->deadline_ms = now_ms
                         + (request->wait_ms > 0 ? request->wait_ms : VP_FRONTEND_CALLER_TIMEOUT_MS)
                         - VP_FRONTEND_DEADLINE_MARGIN_MS;
  if (!_vp_frontend_admit (pending, config, now_ms, effects)) {
    _vp_frontend_request_free (pending);
    return;
  }
  pending->serial = ++frontend->last_serial;
  g_hash_table_insert (frontend->requests, &pending->serial, pending);
  g_hash_table_insert (frontend->handles, &pending->request.handle, pending);
  frontend->next_ms = now_ms;
}

void
vp_frontend_caller_gone (VpFrontend *frontend, uint64_t handle)
{
  VpFrontendRequest *pending = g_hash_table_lookup (frontend->handles, &handle);

  /* A job that was sent stays with the leader, since the caller may query it later. */
  if (pending != NULL)
    _vp_frontend_drop (frontend, pending);
}

/* Returns true for a negative answer of a leader other than the one that the request was last sent
 * to. An earlier leader can't tell whether its successor has accepted the job. */
static bool
_vp_frontend_is_outdated (const VpFrontendRequest *pending, const VpNodeMsg *message)
{
  return (message->answer == VP_ANSWER_REJECTED || message->answer == VP_ANSWER_NO_SUCH_JOB)
         && message->term != pending->sent_term;
}

void
vp_frontend_answer (VpFrontend *frontend,
                    const VpNodeMsg *message,
                    int64_t now_ms,
                    VpNodeEffects *effects)
{
  VpFrontendRequest *pending = g_hash_table_lookup (frontend->requests, &message->serial);
  VpReply *reply;

  if (pending == NULL || _vp_frontend_is_outdated (pending, message)) {
    vp_metrics_add (VP_COUNTER_LATE_ANSWERS, 1);
    return;
  }
  if (pending->kind == VP_NODEMSG_CANCEL)
    vp_log (now_ms, "cancel-answered",
            "job=%016" G_GINT64_MODIFIER "x answer=%s term=%" G_GUINT64_FORMAT
            " waited_ms=%" G_GINT64_FORMAT,
            pending->job, vp_answer_kind_token (message->answer), message->term,
            now_ms - pending->arrived_ms);
  switch (message->answer) {
  case VP_ANSWER_NOT_LEADER:
    pending->next_send_ms = now_ms + VP_FRONTEND_NOT_LEADER_RETRY_MS;
    frontend->next_ms = MIN (frontend->next_ms, pending->next_send_ms);
    return;
  case VP_ANSWER_ACCEPTED:
    _vp_frontend_reply (pending->request.handle,
                        pending->kind == VP_NODEMSG_CANCEL ? VP_REPLY_CANCELLED : VP_REPLY_ACCEPTED,
                        effects);
    break;
  case VP_ANSWER_STATE:
    reply = _vp_frontend_reply (pending->request.handle, VP_REPLY_STATE, effects);
    reply->state = (VpJobState)MIN (message->state, VP_JOB_CANCELLED);
    break;
  case VP_ANSWER_PENDING_COUNT:
    _vp_frontend_reply (pending->request.handle, VP_REPLY_PENDING_COUNT, effects)->count
        = message->count;
    break;
  case VP_ANSWER_NO_SUCH_JOB:
    _vp_frontend_reply (pending->request.handle, VP_REPLY_NO_SUCH_JOB, effects);
    break;
  case VP_ANSWER_OUTCOME_UNKNOWN:
    _vp_frontend_reply (pending->request.handle, VP_REPLY_OUTCOME_UNKNOWN, effects);
    break;
  default:
    reply = _vp_frontend_reply (pending->request.handle, VP_REPLY_REJECTED, effects);
    reply->retry_after_ms = message->retry_after_ms;
    break;
  }
  _vp_frontend_drop (frontend, pending);
}

static void
_vp_frontend_send (VpFrontend *frontend,
                   VpFrontendRequest *pending,
                   uint64_t term,
                   int64_t now_ms,
                   GArray *requests)
{
  VpNodeMsg message
      = { .kind = pending->kind, .serial = pending->serial, .term = term, .job = pending->job };

  g_strlcpy (message.from, frontend->name, sizeof message.from);
  message.queue = pending->queue;
  if (pending->kind == VP_NODEMSG_SUBMIT)
    message.body = vp_jobspec_encode (pending->request.spec);
  g_array_append_val (requests, message);
  pending->sent_term = term;
  pending->next_send_ms = now_ms + VP_FRONTEND_RESEND_MS;
}

/* Returns the time until the balancer sends callers to another node, of which @unready_ms have
 * passed. */
static uint32_t
_vp_frontend_cut_off_retry_after_ms (int64_t unready_ms)
{
  return (uint32_t)MAX (VP_FRONTEND_CUT_OFF_RETRY_AFTER_MS - unready_ms,
                        VP_FRONTEND_CUT_OFF_RETRY_AFTER_MIN_MS);
}

/* Replies to a request that can't be answered in time. Returns false if there is still time. */
static bool
_vp_frontend_expire (VpFrontendRequest *pending,
                     bool has_leader,
                     int64_t unready_ms,
                     int64_t now_ms,
                     VpNodeEffects *effects)
{
  bool is_unserviceable = unready_ms >= 0;
  bool is_read_only
      = pending->kind == VP_NODEMSG_QUERY || pending->kind == VP_NODEMSG_PENDING_COUNT;
  bool is_leaderless = !has_leader && pending->sent_term == 0
                       && now_ms - pending->arrived_ms > VP_FRONTEND_LEADER_WAIT_MS;

  if (now_ms < pending->deadline_ms && !is_leaderless && !is_unserviceable)
    return false;
  if (pending->sent_term == 0 || is_read_only) {
    _vp_frontend_reject (&pending->request, is_unserviceable ? "cut-off-or-stopping" : "no-leader",
                         is_unserviceable ? _vp_frontend_cut_off_retry_after_ms (unready_ms)
                                          : VP_FRONTEND_NO_LEADER_RETRY_AFTER_MS,
                         now_ms, effects);
  } else {
    vp_log (now_ms, "no-answer", "path=%s term=%" G_GUINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
            pending->request.path, pending->sent_term, now_ms - pending->arrived_ms);
    _vp_frontend_reply (pending->request.handle, VP_REPLY_OUTCOME_UNKNOWN, effects);
  }
  return true;
}

void
vp_frontend_tick (VpFrontend *frontend,
                  const char *leader,
                  uint64_t term,
                  int64_t unready_ms,
                  int64_t now_ms,
                  GArray *requests,
                  VpNodeEffects *effects)
{
  GHashTableIter iter;
  gpointer value;

  frontend->next_ms = INT64_MAX;
  g_hash_table_iter_init (&iter, frontend->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    VpFrontendRequest *pending = value;
    if (_vp_frontend_expire (pending, leader != NULL, unready_ms, now_ms, effects)) {
      g_hash_table_remove (frontend->handles, &pending->request.handle);
      g_hash_table_iter_remove (&iter);
      continue;
    }
    if (leader != NULL
        && (now_ms >= pending->next_send_ms
            || (pending->sent_term != 0 && pending->sent_term != term)))
      _vp_frontend_send (frontend, pending, term, now_ms, requests);
    frontend->next_ms
        = MIN (frontend->next_ms,
               MIN (pending->deadline_ms,
                    MAX (pending->next_send_ms, now_ms + VP_FRONTEND_NOT_LEADER_RETRY_MS)));
  }
}
