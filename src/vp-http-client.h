/* Blocking HTTP client over neon that classifies every failure by what may have reached the server.
 *
 *   VpHttpClient *client = vp_http_client_new ("127.0.0.1:7000");
 *   VpHttpClientResponse answer;
 *   vp_http_client_call (client, &(VpHttpClientRequest){ .method = "GET", .path = "/v1/report" }, &answer);
 *   if (answer.outcome == VP_HTTP_CLIENT_ANSWERED && answer.status == 200)
 *     use (answer.body);
 *   vp_http_client_response_clear (&answer);
 *   vp_http_client_free (client);
 *
 * Used by one thread at a time. Connections are persistent. A call that is not repeatable uses a
 * fresh connection, since neon sends a request again when a persistent connection turns out to be
 * closed.
 */
#pragma once

#include "vp-types.h"

typedef struct _VpHttpClient VpHttpClient;

typedef enum {
  VP_HTTP_CLIENT_ANSWERED, /* a complete answer with a status */
  VP_HTTP_CLIENT_NOT_SENT, /* no connection could be established: certainly no effect */
  VP_HTTP_CLIENT_EXPIRED, /* @valid_until_ms passed before the body was sent: certainly no effect */
  VP_HTTP_CLIENT_UNCERTAIN, /* bytes may have left and no complete answer came */
} VpHttpClientOutcome;

typedef struct {
  const char *method;
  const char *path;            /* with its query */
  const void *body;            /* NULL: none */
  size_t body_size;            /* bytes */
  const char *content_type;    /* NULL: application/json */
  bool is_idempotent;          /* neon may send it twice */
  int64_t timeout_ms;          /* longest silence of the server; 0: 1,000; rounded up to seconds */
  int64_t valid_until_ms;      /* the body must not leave after this time; 0: no bound */
  const char *response_header; /* answer header to return as a number; NULL: none */
  const char *extra_header_name; /* one more request header; NULL: none */
  const char *extra_header_value;
} VpHttpClientRequest;

typedef struct {
  VpHttpClientOutcome outcome;
  uint32_t status;                /* HTTP */
  bool was_resent;                /* neon sent it twice: the first one may have been applied */
  bool has_response_header;       /* the header stood there and was a number */
  uint64_t response_header_value; /* of VpHttpClientRequest.header */
  int64_t sent_ms; /* taken before anything was sent, on the clock of vp_runtime_now_ms() */
  GBytes *body;    /* NULL unless ANSWERED */
} VpHttpClientResponse;

/* NULL if @address is not a numeric "IP:port". */
VpHttpClient *vp_http_client_new (const char *address);
void vp_http_client_free (VpHttpClient *client);
/* @answer is always filled. */
void vp_http_client_call (VpHttpClient *client,
                          const VpHttpClientRequest *call,
                          VpHttpClientResponse *response);
void vp_http_client_response_clear (VpHttpClientResponse *response);
