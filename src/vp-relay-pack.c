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
  command->wait_ms = (int64_t)_vp_relay_get (&reader, 4);
  command->percent = (uint32_t)_vp_relay_get (&reader, 4);
  if (reader.is_short || kind > VP_COMMAND_THROTTLE)
    return false;
  command->kind = (VpCommandKind)kind;
  *offset = size - reader.size;
  return true;
}
