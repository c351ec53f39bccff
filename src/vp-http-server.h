/* HTTP server for callers and operators, over libmicrohttpd.
 *
 *   VpHttpServer *http = vp_http_server_setup (&(VpHttpServerDesc){ .address = "127.0.0.1:8080", .post = post, .data =
 * run }, &error); vp_http_server_reply (http, handle, 200, 0, body, NULL); vp_http_server_shutdown (http);
 *
 * A request is parsed on an HTTP thread, posted as VP_EVENT_REQUEST with a handle, and its
 * connection is suspended until vp_http_server_reply(). A connection that closes earlier posts
 * VP_EVENT_REQUEST_GONE exactly once, as soon as its peer closed or half-closed it. A reply to a
 * handle that is gone is dropped. Paths: see docs/api.md.
 */
#pragma once

#include "vp-event.h"

typedef struct _VpHttpServer VpHttpServer;

/* A request as it arrived, for users of the server that route requests themselves. The texts and
 * the body are valid during the call that hands it over. */
typedef struct {
  uint64_t handle;
  const char *method;
  const char *path;          /* without its query */
  const char *host;          /* Host header; NULL: none */
  const char *authorization; /* NULL: none */
  int64_t deadline_ms;       /* how long the caller waits; 0: not told */
  const char *body;
  size_t body_size; /* bytes */
} VpHttpRawRequest;

typedef struct {
  const char *address;                             /* IP:port */
  void (*post) (const VpEvent *event, void *data); /* called on HTTP threads */
  void *data;
  /* Takes every request instead of the paths of docs/api.md; called on HTTP threads, the handle
   * can be answered from within. NULL: the own paths. */
  void (*on_raw_request) (const VpHttpRawRequest *raw, void *data);
  const char *deadline_header; /* of the caller's time-out in milliseconds; NULL: none */
  uint32_t body_max;           /* bytes; 0: 262,144 */
  uint32_t connections_max;    /* 0: 4,096 */
  int64_t client_timeout_ms;   /* 0: 10,000 */
  uint32_t thread_count;       /* 0: 2 */
} VpHttpServerDesc;

VpHttpServer *vp_http_server_setup (const VpHttpServerDesc *desc, GError **error);
/* From any thread. @body is not consumed. @content_type NULL: application/json. */
void vp_http_server_reply (VpHttpServer *http,
                           uint64_t handle,
                           uint32_t status,
                           uint32_t retry_after_s,
                           GBytes *body,
                           const char *content_type);
/* Stops accepting connections; open ones can still be answered. */
void vp_http_server_quiesce (VpHttpServer *http);
/* Waits until the replies given so far are written (at most 2 s), then closes all connections. */
void vp_http_server_shutdown (VpHttpServer *http);
/* Port that the server listens on; differs from the setting if that was 0. */
uint16_t vp_http_server_port (const VpHttpServer *http);
