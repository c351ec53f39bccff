/* Forwarding of TCP connections with injected faults, on the event loop of fake-http.h.
 *
 *   FakeMapping *mapping = fake_mapping_new ("127.0.0.1:9000", "127.0.0.1:7000");
 *   fake_mapping_set_mode (mapping, "stall", 0);
 *
 * forwards all connections to an address. A single connection is forwarded by
 *
 *   int fd = fake_forward_listen ("127.0.0.1:9000");  // watch it and accept()
 *   FakeForward *forward = fake_forward_new (client_fd, target_fd, closed, data);
 *   fake_forward_set (forward, &(FakeFault){ .delay_ms = 50 });
 */
#pragma once

#include "fake-http.h"

typedef struct _FakeForward FakeForward;
typedef struct _FakeMapping FakeMapping;

typedef struct {
  bool is_discarding[2]; /* bytes to the target [0] or to the client [1] are read and discarded */
  bool is_stalled;       /* nothing is forwarded and nothing is closed */
  int64_t delay_ms;      /* in each direction */
} FakeFault;

/* Exits with a message if it can't listen. Returns the descriptor. */
int fake_forward_listen (const char *address);
/* Begins to connect without blocking; returns the descriptor, -1 on failure. */
int fake_forward_connect (const struct sockaddr_in *target);
/* Takes over both descriptors; @target_fd may still be connecting. @closed is called once before
 * the forwarded connection is freed because a side has ended. */
FakeForward *
fake_forward_new (int client_fd, int target_fd, void (*closed) (FakeForward *, void *), void *data);
/* Sets the faults. A connection whose bytes were discarded is reset once the fault ends, since its
 * streams have gaps; @forward is freed then. */
void fake_forward_set (FakeForward *forward, const FakeFault *fault);
/* Closes both sides, with RST if @is_reset. Doesn't call the callback. */
void fake_forward_free (FakeForward *forward, bool is_reset);

/* Forwards all connections from @listen to @target, both "IPv4:port". */
FakeMapping *fake_mapping_new (const char *listen, const char *target);
const char *fake_mapping_address (const FakeMapping *mapping);
/* Changes the target of connections that are accepted from now on. */
void fake_mapping_retarget (FakeMapping *mapping, const char *target);
/* Modes: pass; cut (refuses connections and closes open ones); cut-to-target and cut-to-client
 * (bytes in that direction are discarded, nothing is closed); delay (@delay_ms in each direction);
 * stall (nothing is forwarded or closed); reset (open connections end with RST; the mode of later
 * ones is unchanged). False if there is no such mode. */
bool fake_mapping_set_mode (FakeMapping *mapping, const char *mode, int64_t delay_ms);
