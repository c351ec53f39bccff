/* Private state of a node. Its functions are in vp-node.c, in vp-node-members.c (messages, pings
 * and configuration) and in vp-node-work.c (advice calls and commands to workers, which processes
 * do for the leader). */
#pragma once

#include "vp-committer.h"
#include "vp-election.h"
#include "vp-frontend.h"
#include "vp-jobservice.h"
#include "vp-members.h"
#include "vp-node.h"
#include "vp-relay.h"

struct _VpNode {
  VpNodeDesc desc;
  char name[VP_PROCESS_NAME_MAX];
  char *dc;
  VpElection election;
  VpFrontend *frontend;
  VpCellConfig *config;
  GBytes *config_text;
  GPtrArray *evacuated_dcs; /* char *: DCs under evacuation; NULL: not known yet */
  GHashTable *members;      /* name -> VpMemberState */
  bool has_own_entry; /* the store has listed this node, so it has listed all others as well */
  int64_t ping_next_ms;
  int64_t config_request_next_ms;
  int64_t advice_until_ms; /* expected end of the advice calls of this process */
  int64_t started_ms;
  bool is_electable; /* takes part in the election */
  bool is_ready;
  int64_t unready_since_ms; /* time of the last change of @is_ready */
  bool is_stopping;
  bool is_closing; /* requests that can't be finished are rejected at once */
  bool is_exiting;
  int64_t stop_began_ms;
  VpRelayAgent relay_agent; /* for commands that this process sends for the leader */
  /* The following members are set only while this process leads. */
  VpCell *cell;
  VpCommitter *committer;
  VpJobService *service;
  VpRelay *relay;
  uint64_t load_serial; /* serial of the read of all jobs; 0: the jobs are loaded */
  int64_t load_next_ms;
  int64_t term_began_ms;
  int64_t handover_began_ms; /* start of the handover; 0: none is under way */
  int64_t yield_next_ms;     /* earliest next handover to a stronger VM */
  bool is_loading;
  bool is_leasing_suspended; /* another process may lead, so no leases are granted */
  GArray *answers;           /* VpJobServiceAnswer to be sent */
};

/* vp-node-members.c */

/* Sends the message to the process @to. Consumes the floating reference of its body. */
void _vp_node_send (VpNode *node, const char *to, VpNodeMsg *message, VpNodeEffects *effects);
/* Returns the time since the last commit if commits fail or are overdue, else 0. A store that is
 * merely slow doesn't count as failing. */
int64_t _vp_node_store_failing_ms (const VpNode *node, int64_t now_ms);
/* Sends the pings that are due. */
void _vp_node_send_pings (VpNode *node, int64_t now_ms, VpNodeEffects *effects);
/* Handles an entry of the store's list of processes. An empty address: it isn't listed any more. */
void _vp_node_handle_member_entry (VpNode *node,
                                   const char *name,
                                   const char *address,
                                   int64_t now_ms,
                                   VpNodeEffects *effects);
/* Also asks for the sender's configuration if that is newer. */
void
_vp_node_handle_ping (VpNode *node, const VpNodeMsg *ping, int64_t now_ms, VpNodeEffects *effects);
/* Puts a decoded configuration in force if it is newer. */
void _vp_node_handle_config (VpNode *node, VpCellConfig *config, GBytes *text, int64_t now_ms);
/* Lets this process take part in the election once it has a configuration, or has waited for it. A
 * leader without one keeps leases, takes note of ends and answers for jobs, but starts and accepts
 * none, so the others come first. */
void _vp_node_update_electable (VpNode *node, int64_t now_ms);
/* Returns the time from which this process takes part in the election without a configuration. */
int64_t _vp_node_electable_ms (const VpNode *node);
/* Takes the complete set of DCs (char *) under evacuation, and passes it to the scheduler. */
void _vp_node_handle_evacuations (VpNode *node, GPtrArray *dcs, int64_t now_ms);
/* Sends the text of the configuration, if there is one, to a process that asked for it. */
void _vp_node_send_config (VpNode *node, const char *to, VpNodeEffects *effects);
/* Lets the text of a configuration that another process has sent be decoded if it is newer. */
void _vp_node_decode_config (const VpNode *node, const VpNodeMsg *message, VpNodeEffects *effects);

/* vp-node-work.c */

/* Makes the advice call in this process, or passes the request to another one whose calls are done
 * earlier. */
void _vp_node_dispatch_advice_request (VpNode *node,
                                       VpAdviceRequest *advice_request,
                                       int64_t now_ms,
                                       VpNodeEffects *effects);
/* Makes the advice call that the leader has passed on. */
void _vp_node_handle_advice_request (const VpNodeMsg *message, VpNodeEffects *effects);
/* Returns the result of an advice call to the leader @to. @rows is NULL if the call failed. */
void _vp_node_send_advice_result (VpNode *node,
                                  const char *to,
                                  uint64_t serial,
                                  const GArray *rows,
                                  int64_t now_ms,
                                  VpNodeEffects *effects);
/* Passes the result of an advice call that another process made to the scheduler. */
void _vp_node_handle_remote_advice_result (VpNode *node, const VpNodeMsg *message, int64_t now_ms);
/* Sends the commands in a leader's message to the workers. */
void _vp_node_handle_commands (VpNode *node,
                               const VpNodeMsg *message,
                               int64_t now_ms,
                               VpNodeEffects *effects);
/* Passes the result of a command to the scheduler, or collects it for the leader that gave it. */
void _vp_node_handle_command_result (VpNode *node,
                                     const VpCommandResult *result,
                                     int64_t now_ms,
                                     VpNodeEffects *effects);
/* Passes results that relays have returned to the scheduler. */
void _vp_node_handle_relayed_results (VpNode *node, const VpNodeMsg *message, int64_t now_ms);
/* Sends the collected results to the leader that gave the commands, once they are due. */
void _vp_node_step_relay_results (VpNode *node, int64_t now_ms, VpNodeEffects *effects);
/* Gives up results that are overdue, and chooses the relays. */
void _vp_node_step_relay (VpNode *node, int64_t now_ms);
/* Sends the batches of commands that are due. */
void _vp_node_send_relay_batches (VpNode *node, int64_t now_ms, VpNodeEffects *effects);
