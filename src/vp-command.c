#include "vp-command.h"
#include "vp-jobspec.h"

#include <string.h>

void
vp_task_name_format (const VpTaskName *name, char out[VP_TASK_NAME_MAX])
{
  g_snprintf (out, VP_TASK_NAME_MAX, "%016" G_GINT64_MODIFIER "x.%u.%u.%u", name->job,
              name->occurrence, name->step, name->index);
}

/* Parses ".NUMBER" at *@text and advances *@text past it. */
static bool
_vp_task_name_number (const char **text, uint32_t *out)
{
  char *end;
  guint64 value;

  if ((*text)[0] != '.' || !g_ascii_isdigit ((*text)[1]))
    return false;
  value = g_ascii_strtoull (*text + 1, &end, 10);
  *text = end;
  *out = (uint32_t)value;
  return value <= UINT32_MAX;
}

bool
vp_task_name_parse (const char *text, VpTaskName *out)
{
  char id[17];
  const char *rest = text + 16;

  if (strlen (text) < 16 || strlen (text) >= VP_TASK_NAME_MAX)
    return false;
  memcpy (id, text, 16);
  id[16] = '\0';
  return vp_job_id_parse (id, &out->job) && _vp_task_name_number (&rest, &out->occurrence)
         && _vp_task_name_number (&rest, &out->step) && _vp_task_name_number (&rest, &out->index)
         && *rest == '\0';
}

bool
vp_command_is_expired (const VpCommand *command, int64_t now_ms)
{
  return command->expires_ms != 0 && now_ms > command->expires_ms;
}

void
vp_command_result_begin (VpCommandResult *result, const VpCommand *command, int64_t sent_ms)
{
  result->kind = command->kind;
  result->task = command->task;
  result->run = command->run;
  result->hold = command->hold;
  result->fence = command->fence;
  result->serial = command->serial;
  result->sent_ms = sent_ms;
  vp_text_set (&result->worker, command->worker);
  vp_text_set (&result->requester, command->requester);
}

void
vp_command_clear (VpCommand *command)
{
  vp_text_clear (&command->requester);
  vp_text_clear (&command->worker);
  vp_text_clear (&command->text);
  vp_text_clear (&command->checkpoint);
  vp_text_clear (&command->ticket);
}

static void
_vp_command_running_entry_clear (gpointer data)
{
  vp_text_clear (&((VpRunningEntry *)data)->checkpoint);
}

static void
_vp_command_ended_entry_clear (gpointer data)
{
  vp_text_clear (&((VpEndedEntry *)data)->checkpoint);
}

GArray *
vp_command_running_new (void)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (VpRunningEntry));

  g_array_set_clear_func (entries, _vp_command_running_entry_clear);
  return entries;
}

GArray *
vp_command_ended_new (void)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (VpEndedEntry));

  g_array_set_clear_func (entries, _vp_command_ended_entry_clear);
  return entries;
}

void
vp_command_result_clear_lists (VpCommandResult *result)
{
  g_clear_pointer (&result->running, g_array_unref);
  g_clear_pointer (&result->ended, g_array_unref);
}

void
vp_command_result_clear (VpCommandResult *result)
{
  vp_command_result_clear_lists (result);
  vp_text_clear (&result->requester);
  vp_text_clear (&result->worker);
}

const char *
vp_command_outcome_token (VpCommandOutcome outcome)
{
  static const char *const tokens[]
      = { "ok",          "fenced",      "superseded",      "late",
          "no-capacity", "bad-ticket",  "worker-replaced", "refused",
          "invalid",     "unreachable", "uncertain",       "expired" };

  return tokens[outcome];
}

const char *
vp_run_end_token (VpRunEnd end)
{
  static const char *const tokens[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone", "other" };

  return tokens[end];
}
