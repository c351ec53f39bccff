#include "vp-nodemsg.h"
#include "vp-text.h"

#include <string.h>

#define VP_NODEMSG_TYPE    "(yysttbbbsuxxxxttsuuuumv)"
#define VP_NODEMSG_VERSION 6
/* Maximum size of a message, far more than a configuration of some hundred queues or a job of 64
 * steps needs. */
#define VP_NODEMSG_BYTES_MAX (4U * 1024 * 1024)

GBytes *
vp_nodemsg_encode (const VpNodeMsg *message)
{
  GVariant *body = message->body == NULL ? NULL : g_variant_new_variant (message->body);
  GVariant *value = g_variant_new (
      "(yysttbbbsuxxxxttsuuuu@mv)", (guchar)VP_NODEMSG_VERSION, (guchar)message->kind,
      message->from, message->serial, message->term, (gboolean)message->is_leader,
      (gboolean)message->hears_leader, (gboolean)message->is_stopping, vp_text (message->dc),
      message->cpu_milli, message->age_ms, message->sent_ms, message->echo_ms,
      message->store_failing_ms, message->config_version, message->job, vp_text (message->queue),
      (guint32)message->answer, message->state, message->count, message->retry_after_ms,
      g_variant_new_maybe (G_VARIANT_TYPE_VARIANT, body));
  GBytes *wire;

  g_variant_ref_sink (value);
  wire = g_variant_get_data_as_bytes (value);
  g_variant_unref (value);
  return wire;
}

bool
vp_nodemsg_decode (GBytes *wire, VpNodeMsg *out)
{
  g_autoptr (GVariant) value = NULL;
  g_autoptr (GVariant) maybe = NULL;
  g_autoptr (GVariant) boxed = NULL;
  guchar version, kind;
  guint32 answer;
  const char *from, *dc, *queue;
  gboolean is_leader, hears_leader, is_stopping;

  memset (out, 0, sizeof *out);
  if (g_bytes_get_size (wire) > VP_NODEMSG_BYTES_MAX)
    return false;
  value = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (VP_NODEMSG_TYPE), wire, FALSE));
  if (!g_variant_is_normal_form (value))
    return false;
  g_variant_get (value, "(yy&sttbbb&suxxxxtt&suuuu@mv)", &version, &kind, &from, &out->serial,
                 &out->term, &is_leader, &hears_leader, &is_stopping, &dc, &out->cpu_milli,
                 &out->age_ms, &out->sent_ms, &out->echo_ms, &out->store_failing_ms,
                 &out->config_version, &out->job, &queue, &answer, &out->state, &out->count,
                 &out->retry_after_ms, &maybe);
  if (version != VP_NODEMSG_VERSION || kind >= VP_NODEMSG_KIND_COUNT
      || answer >= VP_ANSWER_KIND_COUNT || !vp_name_copy (out->from, sizeof out->from, from))
    return false;
  out->kind = (VpNodeMsgKind)kind;
  out->answer = (VpAnswerKind)answer;
  out->is_leader = is_leader;
  out->hears_leader = hears_leader;
  out->is_stopping = is_stopping;
  boxed = g_variant_get_maybe (maybe);
  out->body = boxed == NULL ? NULL : g_variant_get_variant (boxed);
  out->dc = dc;
  out->queue = queue;
  out->value = g_steal_pointer (&value);
  return true;
}

void
vp_nodemsg_clear (VpNodeMsg *message)
{
  g_clear_pointer (&message->body, g_variant_unref);
  g_clear_pointer (&message->value, g_variant_unref);
}

const char *
vp_nodemsg_kind_token (VpNodeMsgKind kind)
{
  static const char *const tokens[]
      = { "ping",   "submit",   "query", "cancel",   "pending",  "answer", "ask",
          "advice", "conf-ask", "conf",  "handover", "commands", "results" };

  return tokens[kind];
}

const char *
vp_answer_kind_token (VpAnswerKind kind)
{
  static const char *const tokens[]
      = { "accepted", "state",           "pending-count", "no-such-job",
          "rejected", "outcome-unknown", "not-leader" };

  return tokens[kind];
}
