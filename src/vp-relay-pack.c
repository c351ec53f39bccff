#include "vp-relay-private.h"

#include <string.h>

/* Integers are little-endian. A string is its length and its bytes. The length is one byte, or the
 * byte VP_RELAY_LONG_STRING and four more, which only form 1 has. */
#define VP_RELAY_LONG_STRING 255

static void
_vp_relay_put (GByteArray *out, uint64_t value, guint size)
{
  uint64_t encoded = GUINT64_TO_LE (value);

  g_byte_array_append (out, (const guint8 *)&encoded, size);
}

static void
_vp_relay_put_string (GByteArray *out, const char *text)
{
  guint size = (guint)strlen (vp_text (text));

  _vp_relay_put (out, MIN (size, VP_RELAY_LONG_STRING), 1);
  if (size >= VP_RELAY_LONG_STRING)
    _vp_relay_put (out, size, 4);
  g_byte_array_append (out, (const guint8 *)vp_text (text), size);
}

void
vp_relay_pack_command (GByteArray *out,
                       const VpCommand *command,
                       uint32_t serial,
                       uint32_t worker,
                       uint32_t text)
{
  _vp_relay_put (out, serial, 4);
  _vp_relay_put (out, (uint64_t)command->kind, 1);
  _vp_relay_put (out, worker, 4);
  _vp_relay_put (out, text, 4);
  _vp_relay_put (out, command->task.job, 8);
  _vp_relay_put (out, command->task.occurrence, 4);
  _vp_relay_put (out, command->task.step, 4);
  _vp_relay_put (out, command->task.index, 4);
  _vp_relay_put (out, command->run, 4);
  _vp_relay_put (out, (uint64_t)command->lease_end_ms, 8);
  _vp_relay_put_string (out, command->checkpoint);
  _vp_relay_put_string (out, command->ticket);
  _vp_relay_put (out, command->acked_end, 8);
  _vp_relay_put (out, (uint64_t)command->booted_ms, 8);
  _vp_relay_put (out, (uint64_t)command->wait_ms, 4);
  _vp_relay_put (out, command->percent, 4);
}

/* The bytes that are left of a batch. @is_short: more were read than there are. */
typedef struct {
  const uint8_t *data;
  gsize size;
  bool is_short;
} VpRelayReader;

static uint64_t
_vp_relay_get (VpRelayReader *reader, guint size)
{
  uint64_t value = 0;

  reader->is_short = reader->is_short || reader->size < size;
  if (reader->is_short)
    return 0;
  memcpy (&value, reader->data, size);
  reader->data += size;
  reader->size -= size;
  return GUINT64_FROM_LE (value);
}

/* Returns a string, to be freed by the caller, or NULL if it is empty or there is none. */
static char *
_vp_relay_get_string (VpRelayReader *reader)
{
  gsize size = _vp_relay_get (reader, 1);
  char *text;

  if (size == VP_RELAY_LONG_STRING)
    size = _vp_relay_get (reader, 4);
  reader->is_short
      = reader->is_short || reader->size < size || memchr (reader->data, 0, size) != NULL;
  if (reader->is_short || size == 0)
    return NULL;
  text = g_strndup ((const char *)reader->data, size);
  reader->data += size;
  reader->size -= size;
  return text;
}

bool
vp_relay_unpack_command (const uint8_t *data, gsize size, gsize *offset, VpRelayPacked *out)
{
  VpRelayReader reader = { .data = data + *offset, .size = size - *offset };
  VpCommand *command = &out->command;
  uint64_t kind;

  command->serial = (uint32_t)_vp_relay_get (&reader, 4);
  kind = _vp_relay_get (&reader, 1);
  out->worker = (uint32_t)_vp_relay_get (&reader, 4);
  out->text = (uint32_t)_vp_relay_get (&reader, 4);
  command->task.job = _vp_relay_get (&reader, 8);
  command->task.occurrence = (uint32_t)_vp_relay_get (&reader, 4);
  command->task.step = (uint32_t)_vp_relay_get (&reader, 4);
  command->task.index = (uint32_t)_vp_relay_get (&reader, 4);
  command->run = (uint32_t)_vp_relay_get (&reader, 4);
  command->lease_end_ms = (int64_t)_vp_relay_get (&reader, 8);
  command->checkpoint = _vp_relay_get_string (&reader);
  command->ticket = _vp_relay_get_string (&reader);
  command->acked_end = _vp_relay_get (&reader, 8);
  command->booted_ms = (int64_t)_vp_relay_get (&reader, 8);
  command->wait_ms = (int64_t)_vp_relay_get (&reader, 4);
  command->percent = (uint32_t)_vp_relay_get (&reader, 4);
  if (reader.is_short || kind > VP_COMMAND_THROTTLE) {
    vp_text_clear (&command->checkpoint);
    vp_text_clear (&command->ticket);
    return false;
  }
  command->kind = (VpCommandKind)kind;
  *offset = size - reader.size;
  return true;
}

static void
_vp_relay_put_task (GByteArray *out, const VpTaskName *task, bool is_task)
{
  _vp_relay_put (out, task->job, 8);
  _vp_relay_put (out, task->occurrence, 4);
  _vp_relay_put (out, task->step, 4);
  _vp_relay_put (out, task->index, 4);
  _vp_relay_put (out, is_task ? 1 : 0, 1);
}

static void
_vp_relay_get_task (VpRelayReader *reader, VpTaskName *task, bool *is_task)
{
  task->job = _vp_relay_get (reader, 8);
  task->occurrence = (uint32_t)_vp_relay_get (reader, 4);
  task->step = (uint32_t)_vp_relay_get (reader, 4);
  task->index = (uint32_t)_vp_relay_get (reader, 4);
  *is_task = _vp_relay_get (reader, 1) != 0;
}

/* A leader of form 0 refuses the whole batch if it has a longer checkpoint than it can hold. */
static void
_vp_relay_put_checkpoint (GByteArray *out, const char *checkpoint, uint32_t form)
{
  bool is_too_long = form == 0 && strlen (vp_text (checkpoint)) > VP_RELAY_SHORT_TEXT_MAX;

  _vp_relay_put_string (out, is_too_long ? NULL : checkpoint);
}

/* A relay of form 0 has cut a checkpoint that is as long as it can hold, or not. */
static char *
_vp_relay_get_checkpoint (VpRelayReader *reader, uint32_t form)
{
  char *checkpoint = _vp_relay_get_string (reader);

  if (form == 0 && strlen (vp_text (checkpoint)) >= VP_RELAY_SHORT_TEXT_MAX)
    vp_text_clear (&checkpoint);
  return checkpoint;
}

void
vp_relay_pack_result (GByteArray *out, const VpCommandResult *result, uint32_t form)
{
  guint running_count = result->running == NULL ? 0 : result->running->len;
  guint ended_count = result->ended == NULL ? 0 : result->ended->len;

  _vp_relay_put (out, result->serial, 4);
  _vp_relay_put (out, (uint64_t)result->outcome, 1);
  _vp_relay_put (out, result->is_repeated ? 1 : 0, 1);
  _vp_relay_put (out, (uint64_t)result->clock_ms, 8);
  _vp_relay_put (out, (uint64_t)result->booted_ms, 8);
  _vp_relay_put (out, running_count, 4);
  for (guint i = 0; i < running_count; i++) {
    const VpRunningEntry *entry = &g_array_index (result->running, VpRunningEntry, i);
    _vp_relay_put_task (out, &entry->task, entry->is_task);
    _vp_relay_put (out, entry->run, 4);
    _vp_relay_put_checkpoint (out, entry->checkpoint, form);
    _vp_relay_put (out, entry->percent, 4);
    _vp_relay_put (out, (uint64_t)entry->gauge, 8);
  }
  _vp_relay_put (out, ended_count, 4);
  for (guint i = 0; i < ended_count; i++) {
    const VpEndedEntry *entry = &g_array_index (result->ended, VpEndedEntry, i);
    _vp_relay_put (out, entry->number, 8);
    _vp_relay_put_task (out, &entry->task, entry->is_task);
    _vp_relay_put (out, entry->run, 4);
    _vp_relay_put (out, (uint64_t)entry->end, 1);
    _vp_relay_put_checkpoint (out, entry->checkpoint, form);
  }
}

static void
_vp_relay_get_running (VpRelayReader *reader, uint32_t form, GArray *running)
{
  for (uint64_t count = _vp_relay_get (reader, 4); count > 0 && !reader->is_short; count--) {
    VpRunningEntry entry = { 0 };
    _vp_relay_get_task (reader, &entry.task, &entry.is_task);
    entry.run = (uint32_t)_vp_relay_get (reader, 4);
    entry.checkpoint = _vp_relay_get_checkpoint (reader, form);
    entry.percent = (uint32_t)_vp_relay_get (reader, 4);
    entry.gauge = (int64_t)_vp_relay_get (reader, 8);
    g_array_append_val (running, entry);
  }
}

static void
_vp_relay_get_ended (VpRelayReader *reader, uint32_t form, GArray *ended)
{
  for (uint64_t count = _vp_relay_get (reader, 4); count > 0 && !reader->is_short; count--) {
    VpEndedEntry entry = { 0 };
    uint64_t end;
    entry.number = _vp_relay_get (reader, 8);
    _vp_relay_get_task (reader, &entry.task, &entry.is_task);
    entry.run = (uint32_t)_vp_relay_get (reader, 4);
    end = _vp_relay_get (reader, 1);
    entry.end = (VpRunEnd)MIN (end, VP_RUN_OTHER);
    entry.checkpoint = _vp_relay_get_checkpoint (reader, form);
    g_array_append_val (ended, entry);
  }
}

bool
vp_relay_unpack_result (const uint8_t *data,
                        gsize size,
                        gsize *offset,
                        uint32_t form,
                        VpCommandResult *out)
{
  VpRelayReader reader = { .data = data + *offset, .size = size - *offset };
  uint64_t outcome;

  out->serial = (uint32_t)_vp_relay_get (&reader, 4);
  outcome = _vp_relay_get (&reader, 1);
  out->is_repeated = _vp_relay_get (&reader, 1) != 0;
  out->clock_ms = (int64_t)_vp_relay_get (&reader, 8);
  out->booted_ms = (int64_t)_vp_relay_get (&reader, 8);
  out->running = vp_command_running_new ();
  out->ended = vp_command_ended_new ();
  _vp_relay_get_running (&reader, form, out->running);
  _vp_relay_get_ended (&reader, form, out->ended);
  if (reader.is_short || outcome > VP_COMMAND_EXPIRED) {
    vp_command_result_clear (out);
    return false;
  }
  out->outcome = (VpCommandOutcome)outcome;
  *offset = size - reader.size;
  return true;
}
