/* HTTP server for callers and operators, over libmicrohttpd.
 *
 *   VpHttpServerDesc desc = { .address = "127.0.0.1:8080", .post = post, .data = runtime };
 *   VpHttpServer *http = vp_http_server_setup (&desc, &error);
 *   vp_http_server_reply (http, handle, 200, 0, body, NULL);
 *   vp_http_server_shutdown (http);
 *
 * A request is parsed on an HTTP thread and posted as VP_EVENT_REQUEST with a handle. Its
 * connection is suspended until vp_http_server_reply(). If the caller closes or half-closes the
 * connection before that, VP_EVENT_CLIENT_DISCONNECTED is posted exactly once and without delay,
 * and a reply to the handle is dropped. The paths are described in docs/api.md.
 */
#pragma once

#include "vp-event.h"
#include "vp-http-budget.h"

typedef struct _VpHttpServer VpHttpServer;

/* An unparsed request, for users of the server that route requests themselves. Its strings and the
 * body are valid during the call of on_raw_request(). */
typedef struct {
  uint64_t handle;
  const char *method;
  const char *path;          /* path without the query */
  const char *host;          /* Host header, or NULL */
  const char *authorization; /* Authorization header, or NULL */
  int64_t deadline_ms;       /* how long the caller waits; 0 if it does not say */
  const char *body;
  size_t body_size;     /* bytes */
  bool is_body_skipped; /* the request has a body that wants_body() has declined */
} VpHttpRawRequest;

typedef struct {
  const char *address;                             /* IP:port */
  void (*post) (const VpEvent *event, void *data); /* called on HTTP threads */
  void *data;
  /* If not NULL, it is called for every request on HTTP threads, instead of routing requests by the
   * paths of docs/api.md. It may reply to the handle. */
  void (*on_raw_request) (const VpHttpRawRequest *raw, void *data);
  /* If not NULL, it is called on HTTP threads when the headers of a request with a body are
   * complete. If it returns false, the body is discarded as it arrives. */
  bool (*wants_body) (const VpHttpRawRequest *raw, void *data);
  const char *deadline_header; /* name of the request header with the caller's time-out in
                                  milliseconds, or NULL */
  uint32_t body_max;           /* bytes; 0 for 262,144 */
  bool is_bodyless;            /* requests with a body are refused at once */
  bool is_logging;             /* refusals and closed connections are logged through GLib */
  uint32_t connections_max;    /* 0 for that of @limits */
  int64_t client_timeout_ms;   /* 0 for 10,000; the default of the times in @limits is twice it */
  uint32_t json_nodes_max;     /* values in the JSON text of a body; 0 for 16,384 */
  VpHttpLimits limits;         /* 0 in a field for the default */
  uint32_t thread_count;       /* 0 for 2 */
} VpHttpServerDesc;

VpHttpServer *vp_http_server_setup (const VpHttpServerDesc *desc, GError **error);
/* Replies to a request. May be called from any thread. Takes a reference to @body. @content_type is
 * NULL for application/json, @retry_after_s is 0 for no Retry-After header. */
void vp_http_server_reply (VpHttpServer *http,
                           uint64_t handle,
                           uint32_t status,
                           uint32_t retry_after_s,
                           GBytes *body,
                           const char *content_type);
/* Stops accepting connections. Requests on open connections, and on those that the kernel has
 * completed already, still get replies. */
void vp_http_server_quiesce (VpHttpServer *http);
/* Refuses all further requests with a 503 response. No request is posted after this call. Must not
 * be called on an HTTP thread. */
void vp_http_server_refuse_requests (VpHttpServer *http);
/* Refuses further requests, waits up to 2 s until those that callers have sent are refused and all
 * replies are written, then closes all connections. Posted requests without a reply are cut off. */
void vp_http_server_shutdown (VpHttpServer *http);
/* Writes what was refused and closed since the last report to @out, as key=value pairs. Returns
 * false if nothing was, or if the last report was a short time ago. May be called from any thread.
 */
bool vp_http_server_report (VpHttpServer *http, char *out, size_t size);
/* Returns the port that the server listens on. It is chosen by the system if the address has port
 * 0. */
uint16_t vp_http_server_port (const VpHttpServer *http);
