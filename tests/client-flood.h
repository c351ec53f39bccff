/* Misbehaving TCP clients: many connections that each send the same bytes.
 *
 *   Flood *flood = flood_new (&(FloodDesc){ .address = "127.0.0.1:8080", .stream = bytes, ... });
 *   while (flood_step (flood, now_ms))
 *     g_usleep (FLOOD_STEP_US);
 *   flood_free (flood);                       // closes all connections
 *
 * A flood is bounded in connections, bytes and time, and ends by itself. It runs on one thread and
 * never blocks.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FLOOD_STEP_US 1000 /* pause between two steps */

typedef enum {
  FLOOD_STAYS_OPEN, /* connections stay open until the end of the round, then they are closed */
  /* At the end of the round half of the connections are reset and half are shut down for sending;
   * these stay open for hold_ms more. */
  FLOOD_STOPS_HALF_WAY,
} FloodEnd;

typedef struct {
  const char *address; /* IPv4:port */
  GBytes *stream;      /* sent once by each connection */
  uint32_t connection_count;
  uint32_t round_count;  /* how often all connections are opened anew */
  uint32_t reopen_count; /* how often a connection that the server has closed is opened again */
  uint32_t piece_max;    /* bytes passed to one call of send() */
  int64_t pause_ms;      /* between two pieces of a connection */
  uint32_t read_max;     /* bytes of answers that a connection reads in a step; 0: none */
  int64_t send_max_ms;   /* time for sending the stream */
  int64_t hold_ms;       /* how long connections stay open after that */
  FloodEnd end;
} FloodDesc;

typedef struct _Flood Flood;

Flood *flood_new (const FloodDesc *desc);
/* Sends and reads what is possible at once. Returns false when the flood has ended. */
bool flood_step (Flood *flood, int64_t now_ms);
/* Bytes sent so far by all connections. */
uint64_t flood_sent_bytes (const Flood *flood);
void flood_free (Flood *flood);
