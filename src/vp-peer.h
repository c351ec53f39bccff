/* Messages between entry processes over ZeroMQ: one ROUTER socket bound, one DEALER to each peer.
 *
 *   VpPeer *peer = vp_peer_setup (&(VpPeerDesc){ .address = "127.0.0.1:9000", .post = post },
 * &error); vp_peer_connect (peer, "nadi-2", "127.0.0.2:9000"); vp_peer_send (peer, "nadi-2",
 * &message);          // from any thread; never blocks vp_peer_shutdown (peer);
 *
 * At most one copy of a message arrives; it may be lost or late. A message to a peer that can't be
 * reached is dropped after a short queue (high-water mark), so an old one isn't delivered much
 * later.
 */
#pragma once

#include "vp-event.h"

typedef struct _VpPeer VpPeer;

typedef struct {
  const char *address; /* IP:port to bind */
  const char *member;
  void (*post) (const VpEvent *event, void *data); /* called on the ZeroMQ thread */
  /* Takes the bytes of each message instead of @post; takes a reference if it keeps them. */
  void (*on_encoded_message) (GBytes *wire, void *data);
  void *data;
} VpPeerDesc;

VpPeer *vp_peer_setup (const VpPeerDesc *desc, GError **error);
/* Connects, or connects anew if the address differs. */
void vp_peer_connect (VpPeer *peer, const char *name, const char *address);
/* Names this member as the sender if @message names none. */
void vp_peer_send (VpPeer *peer, const char *name, const VpPeerMessage *message);
/* The same for a message that is encoded already; takes a reference. */
void vp_peer_send_encoded (VpPeer *peer, const char *name, GBytes *wire);
/* Sends what is queued to connected peers for at most 200 ms, then closes all connections. */
void vp_peer_shutdown (VpPeer *peer);
/* Port that the transport is bound to; differs from the setting if that was 0. */
uint16_t vp_peer_port (const VpPeer *peer);
