/* Commands to workers that other processes of the cell send for the leader.
 *
 *   VpRelay *relay = vp_relay_setup (&(VpRelayDesc){ .term = 7, .cpu_milli = 500 });
 *   vp_relay_update (relay, members, worker_list, now_ms);     // before each decision
 *   if (!vp_relay_add (relay, &command, now_ms))
 *     ... send the command from this process ...
 *   vp_relay_flush (relay, now_ms, messages);                          // GArray of VpRelayMessage
 *   vp_relay_handle_results (relay, &message, now_ms, results); // GArray of VpCommandResult
 *   vp_relay_expire (relay, now_ms, results);
 *   vp_relay_shutdown (relay);
 *
 * Load pattern: a leader that calls all workers itself needs a connection, threads and some hundred
 * bytes of HTTP for each command. With hundreds of workers these use up its processor and its link,
 * answers become late, and late answers cause repeated commands. So a leader with more workers than
 * its VM can call hands its commands to other processes in batches, and they return results in
 * batches. The leader still decides everything: a relay adds and repeats nothing, and drops only
 * starts that have waited too long, which it reports.
 *
 * A worker's commands go to a relay in its DC, the strongest VMs first. A relay that is out of
 * reach or slow to answer is avoided. The results of its commands are then reported as uncertain,
 * which lets the scheduler repeat the commands through another relay. A worker that doesn't answer,
 * while others answer through the same relay, makes only its own commands uncertain. That is safe,
 * since workers take a repeated run as the same one, leases have absolute ends, and every command
 * has the leader's term. Results that arrive after that are reported too: they hold what the worker
 * said, and without them a leader whose relays are all slow would know nothing of workers that
 * answer.
 *
 * State only, no I/O.
 */
#pragma once

#include "vp-members.h"
#include "vp-workerlist.h"

/* Form of the commands and results that processes exchange; pings tell it. Form 1 has texts of any
 * length. Processes of form 0 cut checkpoints at 63 bytes, and refuse a whole batch with a longer
 * checkpoint, ticket or name of a worker. They are sent none: such commands go to the worker from
 * the leader itself. A checkpoint that may have been cut, or would be, counts as none. */
#define VP_RELAY_FORM 1

typedef struct _VpRelay VpRelay;

typedef struct {
  uint64_t term;      /* the term of the leader */
  uint32_t cpu_milli; /* CPU share of the leader's VM, in thousandths of a core */
} VpRelayDesc;

typedef struct {
  char *to; /* freed by whoever gets the message; NULL: there is no message */
  VpNodeMsg message;
} VpRelayMessage;

VpRelay *vp_relay_setup (const VpRelayDesc *desc);
void vp_relay_shutdown (VpRelay *relay);
/* Chooses the relays of all workers if members or workers have changed. */
void vp_relay_update (VpRelay *relay,
                      GHashTable *members,
                      const VpWorkerList *worker_list,
                      int64_t now_ms);
/* Adds the command to the batch of its worker's relay and frees what it owns. Returns false, and
 * does nothing, if this process has to send it itself. */
bool vp_relay_add (VpRelay *relay, VpCommand *command, int64_t now_ms);
/* Appends a message (VpRelayMessage) for each batch that is due to @messages. */
void vp_relay_flush (VpRelay *relay, int64_t now_ms, GArray *messages);
/* Appends the results in the message to @results. Those of commands that vp_relay_expire() has
 * reported as uncertain have @is_late set; after 15 s they are dropped. */
void
vp_relay_handle_results (VpRelay *relay, const VpNodeMsg *message, int64_t now_ms, GArray *results);
/* Appends an uncertain result for each command that its relay will probably not answer. */
void vp_relay_expire (VpRelay *relay, int64_t now_ms, GArray *results);
/* Time at which vp_relay_expire() or vp_relay_flush() has to be called next; INT64_MAX: none. */
int64_t vp_relay_next_ms (const VpRelay *relay);

/* The relay's side: what a process keeps while it sends commands for a leader. Zeroed memory is the
 * initial state.
 *
 *   vp_relay_agent_handle_commands (&agent, &message, expires_ms, now_ms, commands, results);
 *   vp_relay_agent_add_result (&agent, &result, now_ms, &full);
 *   if (now_ms >= vp_relay_agent_due_ms (&agent) && vp_relay_agent_take (&agent, now_ms, &out))
 *     send (out.to, &out.message);
 *   vp_relay_agent_clear (&agent);
 */
typedef struct {
  char *leader;       /* process that gets the collected results; owned */
  uint64_t term;      /* its term */
  GByteArray *packed; /* the collected results; NULL: there are none */
  uint32_t count;
  int64_t due_ms;        /* earliest time at which they are sent */
  GHashTable *texts;     /* job -> its text, so that the leader needn't send it again; NULL: none */
  int64_t purge_next_ms; /* time of the next removal of old texts */
} VpRelayAgent;

void vp_relay_agent_clear (VpRelayAgent *agent);
/* Appends the commands (VpCommand, each to be freed by the caller) in the message to @commands. The
 * results (VpCommandResult) of those that can't be sent, such as starts after @starts_expire_ms,
 * are appended to @results. Returns false if the message is malformed. */
bool vp_relay_agent_handle_commands (VpRelayAgent *agent,
                                     const VpNodeMsg *message,
                                     int64_t starts_expire_ms,
                                     int64_t now_ms,
                                     GArray *commands,
                                     GArray *results);
/* Adds a result for a leader of the form @form. If it belongs to another leader or the batch is
 * full, the batch is first returned in @full, which is sent to @full->to unless that is NULL. */
void vp_relay_agent_add_result (VpRelayAgent *agent,
                                const VpCommandResult *result,
                                uint32_t form,
                                int64_t now_ms,
                                VpRelayMessage *full);
/* Time at which the collected results have to be sent; INT64_MAX: there are none. */
int64_t vp_relay_agent_due_ms (const VpRelayAgent *agent);
/* Takes the collected results. Returns false if there are none. */
bool vp_relay_agent_take (VpRelayAgent *agent, int64_t now_ms, VpRelayMessage *out);
