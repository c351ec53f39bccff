#include "vp-relay-private.h"

#include <string.h>

/* Integers are little-endian. A string is its length in one byte and its bytes. */

static void
_vp_relay_put (GByteArray *out, uint64_t value, guint size)
{
  uint64_t encoded = GUINT64_TO_LE (value);

  g_byte_array_append (out, (const guint8 *)&encoded, size);
}

static void
_vp_relay_put_string (GByteArray *out, const char *text)
{
  guint size = (guint)strlen (text);

  _vp_relay_put (out, size, 1);
  g_byte_array_append (out, (const guint8 *)text, size);
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

/* Reads a string into @out of @room bytes. */
static void
_vp_relay_get_string (VpRelayReader *reader, char *out, gsize room)
{
  gsize size = _vp_relay_get (reader, 1);

  reader->is_short = reader->is_short || reader->size < size || size >= room
                     || memchr (reader->data, 0, size) != NULL;
  if (reader->is_short)
    return;
  memcpy (out, reader->data, size);
  out[size] = '\0';
  reader->data += size;
  reader->size -= size;
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
  _vp_relay_get_string (&reader, command->checkpoint, sizeof command->checkpoint);
  _vp_relay_get_string (&reader, command->ticket, sizeof command->ticket);
  command->acked_end = _vp_relay_get (&reader, 8);
  command->booted_ms = (int64_t)_vp_relay_get (&reader, 8);
  command->wait_ms = (int64_t)_vp_relay_get (&reader, 4);
  command->percent = (uint32_t)_vp_relay_get (&reader, 4);
  if (reader.is_short || kind > VP_COMMAND_THROTTLE)
    return false;
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

void
vp_relay_pack_result (GByteArray *out, const VpCommandResult *result)
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
    _vp_relay_put_string (out, entry->checkpoint);
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
    _vp_relay_put_string (out, entry->checkpoint);
  }
}

static void
_vp_relay_get_running (VpRelayReader *reader, GArray *running)
{
  for (uint64_t count = _vp_relay_get (reader, 4); count > 0 && !reader->is_short; count--) {
    VpRunningEntry entry = { 0 };
    _vp_relay_get_task (reader, &entry.task, &entry.is_task);
    entry.run = (uint32_t)_vp_relay_get (reader, 4);
    _vp_relay_get_string (reader, entry.checkpoint, sizeof entry.checkpoint);
    entry.percent = (uint32_t)_vp_relay_get (reader, 4);
    entry.gauge = (int64_t)_vp_relay_get (reader, 8);
    g_array_append_val (running, entry);
  }
}

static void
_vp_relay_get_ended (VpRelayReader *reader, GArray *ended)
{
  for (uint64_t count = _vp_relay_get (reader, 4); count > 0 && !reader->is_short; count--) {
    VpEndedEntry entry = { 0 };
    uint64_t end;
    entry.number = _vp_relay_get (reader, 8);
    _vp_relay_get_task (reader, &entry.task, &entry.is_task);
    entry.run = (uint32_t)_vp_relay_get (reader, 4);
    end = _vp_relay_get (reader, 1);
    entry.end = (VpRunEnd)MIN (end, VP_RUN_OTHER);
    _vp_relay_get_string (reader, entry.checkpoint, sizeof entry.checkpoint);
    g_array_append_val (ended, entry);
  }
}

bool
vp_relay_unpack_result (const uint8_t *data, gsize size, gsize *offset, VpCommandResult *out)
{
  VpRelayReader reader = { .data = data + *offset, .size = size - *offset };
  uint64_t outcome;

  out->serial = (uint32_t)_vp_relay_get (&reader, 4);
  outcome = _vp_relay_get (&reader, 1);
  out->is_repeated = _vp_relay_get (&reader, 1) != 0;
  out->clock_ms = (int64_t)_vp_relay_get (&reader, 8);
  out->booted_ms = (int64_t)_vp_relay_get (&reader, 8);
  out->running = g_array_new (FALSE, FALSE, sizeof (VpRunningEntry));
  out->ended = g_array_new (FALSE, FALSE, sizeof (VpEndedEntry));
  _vp_relay_get_running (&reader, out->running);
  _vp_relay_get_ended (&reader, out->ended);
  if (reader.is_short || outcome > VP_COMMAND_EXPIRED) {
    vp_command_result_clear (out);
    return false;
  }
  out->outcome = (VpCommandOutcome)outcome;
  *offset = size - reader.size;
  return true;
}
