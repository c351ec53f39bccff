/* Forwarding of TCP connections on the loop of fake-http.h.
 *
 *   FakeMapping *map = fake_mapping_new ("127.0.0.1:9000", "127.0.0.1:7000");
 *   fake_mapping_set_mode (map, "stall", 0);
 *
 * or one connection at a time:
 *
 *   int fd = fake_forward_listen ("127.0.0.1:9000");     // watch it and accept()
 *   FakeForward *pair = fake_forward_new (client_fd, target_fd, closed, data);
 *   fake_forward_set (pair, &(FakeFault){ .delay_ms = 50 });
 */
#pragma once

#include "fake-http.h"

typedef struct _FakeForward FakeForward;
typedef struct _FakeMapping FakeMapping;

typedef struct {
  bool is_discarding[2]; /* bytes to the target [0], to the client [1] are read and thrown away */
  bool is_stalled;       /* nothing is forwarded, nothing is closed */
  int64_t delay_ms;      /* each way */
} FakeFault;

int fake_forward_listen (const char *address);
/* Connects without blocking; -1 on failure. */
int fake_forward_connect (const struct sockaddr_in *target);
/* Takes over both descriptors; @target_fd may still be connecting. @closed is called once when
 * the pair ends by itself, before it is freed. */
FakeForward *
fake_forward_new (int client_fd, int target_fd, void (*closed) (FakeForward *, void *), void *data);
/* A pair that has lost bytes is reset when nothing is thrown away any more: its streams have holes.
 */
void fake_forward_set (FakeForward *forward, const FakeFault *fault);
/* Closes both sides; with RST if @is_reset. Does not call @closed. */
void fake_forward_free (FakeForward *forward, bool is_reset);

/* Forwards all connections to an address. */
FakeMapping *fake_mapping_new (const char *listen, const char *target);
const char *fake_mapping_address (const FakeMapping *mapping);
/* For connections from now on. */
void fake_mapping_retarget (FakeMapping *mapping, const char *target);
/* Modes: pass; cut (refuses connections and closes open ones); cut-to-target and cut-to-client
 * (bytes in that direction vanish, nothing is closed); delay (@delay_ms each way); stall (nothing
 * is forwarded or closed); reset (open connections end with RST, then as before). False if there is
 * no such mode. */
bool fake_mapping_set_mode (FakeMapping *mapping, const char *mode, int64_t delay_ms);
