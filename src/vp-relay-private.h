/* Wire format of the batches between the leader and its relays. */
#pragma once

#include "vp-relay.h"

/* A batch of commands: identity and address of each worker, texts of jobs, and the commands. */
#define VP_RELAY_COMMAND_TYPE  "(uyuutuuuuxsstuu)"
#define VP_RELAY_COMMANDS_TYPE "(a(ss)asa" VP_RELAY_COMMAND_TYPE ")"
#define VP_RELAY_RUNNING_TYPE  "(tuuubusux)"
#define VP_RELAY_ENDED_TYPE    "(ttuuubuys)"
#define VP_RELAY_RESULT_TYPE   "(uybxxa" VP_RELAY_RUNNING_TYPE "a" VP_RELAY_ENDED_TYPE ")"
#define VP_RELAY_RESULTS_TYPE  "a" VP_RELAY_RESULT_TYPE
/* Values in place of the index of a text: the command has none, or the relay knows it. */
#define VP_RELAY_NO_TEXT    G_MAXUINT32
#define VP_RELAY_KNOWN_TEXT (G_MAXUINT32 - 1)
