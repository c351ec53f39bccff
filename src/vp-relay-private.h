/* Wire format of the batches between the leader and its relays. */
#pragma once

#include "vp-relay.h"

/* A batch of commands: identity and address of each worker, texts of jobs, and the commands, packed
 * by vp_relay_pack_command(). */
#define VP_RELAY_COMMANDS_TYPE "(a(ss)asay)"
/* A batch of results, packed by vp_relay_pack_result(). */
#define VP_RELAY_RESULTS_TYPE "ay"
/* Values in place of the index of a text: the command has none, or the relay knows it. */
#define VP_RELAY_NO_TEXT    G_MAXUINT32
#define VP_RELAY_KNOWN_TEXT (G_MAXUINT32 - 1)

/* Longest checkpoint or ticket, and longest name of a worker, that form 0 can hold, in bytes. */
#define VP_RELAY_SHORT_TEXT_MAX 63
#define VP_RELAY_SHORT_NAME_MAX 47

/* A command as it is packed, with indexes in place of the worker and the text. The fields of
 * @command that it doesn't have are those of the batch. */
typedef struct {
  VpCommand command;
  uint32_t worker;
  uint32_t text;
} VpRelayPacked;

/* Appends the command to @out. A leader sends some thousand commands a second, and building a
 * GVariant for each one took a fifth of its CPU share. */
void vp_relay_pack_command (GByteArray *out,
                            const VpCommand *command,
                            uint32_t serial,
                            uint32_t worker,
                            uint32_t text);
/* Reads the command at @offset and advances it. Returns false, and leaves @out owning nothing, if
 * there is no valid one. Fields that aren't packed keep their values. */
bool vp_relay_unpack_command (const uint8_t *data, gsize size, gsize *offset, VpRelayPacked *out);

/* Appends the result to @out, for a leader of the form @form. */
void vp_relay_pack_result (GByteArray *out, const VpCommandResult *result, uint32_t form);
/* Reads the result at @offset, which advances, into @out: serial, outcome, clock, boot time and the
 * lists, which the caller frees. @form is that of the relay. Returns false, and allocates nothing,
 * if there is no valid one. */
bool vp_relay_unpack_result (const uint8_t *data,
                             gsize size,
                             gsize *offset,
                             uint32_t form,
                             VpCommandResult *out);
