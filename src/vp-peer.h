/* Transport for messages between entry processes over ZeroMQ: one bound ROUTER socket, and one
 * DEALER socket for each peer.
 *
 *   VpPeerDesc desc = { .address = "127.0.0.1:9000", .member = "nadi-1", .post = post };
 *   VpPeer *peer = vp_peer_setup (&desc, &error);
 *   vp_peer_connect (peer, "nadi-2", "127.0.0.2:9000");
 *   vp_peer_send (peer, "nadi-2", &message);          // from any thread; never blocks
 *   vp_peer_shutdown (peer);
 *
 * A message arrives at most once, and may be lost or late. Messages to a peer that can't be reached
 * are dropped once a short queue is full (high-water mark), so that old messages aren't delivered
 * much later.
 */
#pragma once

#include "vp-event.h"

typedef struct _VpPeer VpPeer;

typedef struct {
  const char *address;                             /* IP:port to bind */
  const char *member;                              /* name of this process */
  void (*post) (const VpEvent *event, void *data); /* called on the transport's thread */
  /* Called with the encoding of each message instead of @post, on the transport's thread. Takes a
   * reference if it keeps the bytes. NULL if @post is to be used. */
  void (*on_encoded_message) (GBytes *wire, void *data);
  void *data;
} VpPeerDesc;

VpPeer *vp_peer_setup (const VpPeerDesc *desc, GError **error);
/* Connects to peer @name. Does nothing if it is connected to @address already, and reconnects if
 * the address differs. */
void vp_peer_connect (VpPeer *peer, const char *name, const char *address);
/* Sends a message. Sets its sender to this process if @message has none. */
void vp_peer_send (VpPeer *peer, const char *name, const VpPeerMessage *message);
/* Sends a message that is encoded already. Takes a reference to @wire. */
void vp_peer_send_encoded (VpPeer *peer, const char *name, GBytes *wire);
/* Sends queued messages to connected peers for at most 200 ms, then closes all connections. */
void vp_peer_shutdown (VpPeer *peer);
/* Returns the port that the transport is bound to. It is chosen by the system if the address has
 * port 0. */
uint16_t vp_peer_port (const VpPeer *peer);
