/* Blocking HTTP client over neon that classifies every failure by whether the server may have
 * received the request.
 *
 *   VpHttpClient *client = vp_http_client_new ("127.0.0.1:7000");
 *   VpHttpClientRequest request = { .method = "GET", .path = "/v1/report" };
 *   VpHttpClientResponse response;
 *   vp_http_client_call (client, &request, &response);
 *   if (response.outcome == VP_HTTP_CLIENT_RESPONDED && response.status == 200)
 *     use (response.body);
 *   vp_http_client_response_clear (&response);
 *   vp_http_client_free (client);
 *
 * A client is used by one thread at a time. Connections are persistent. A request that is not
 * idempotent is sent on a new connection, since neon sends a request again if a persistent
 * connection turns out to be closed.
 */
#pragma once

#include "vp-types.h"

typedef struct _VpHttpClient VpHttpClient;

typedef enum {
  VP_HTTP_CLIENT_RESPONDED, /* a complete response with a status was received */
  VP_HTTP_CLIENT_NOT_SENT,  /* no connection was established, so the request had no effect */
  VP_HTTP_CLIENT_EXPIRED,   /* valid_until_ms passed before the body was sent; no effect */
  VP_HTTP_CLIENT_UNCERTAIN, /* the request may have been sent, no complete response was received */
  VP_HTTP_CLIENT_CLOSED,    /* only_on_open_connection: the connection is closed; the server at its
                               other end may have received the request, and no other one has */
} VpHttpClientOutcome;

typedef struct {
  const char *method;
  const char *path;             /* path and query */
  const void *body;             /* NULL for a request without a body */
  size_t body_size;             /* bytes */
  const char *content_type;     /* media type of the body; NULL for application/json */
  bool is_idempotent;           /* the request may be sent twice */
  bool only_on_open_connection; /* the request, which has a body, isn't sent on a new connection */
  int64_t timeout_ms;     /* longest silence of the server, rounded up to seconds; 0 for 1,000 */
  int64_t valid_until_ms; /* the body is not sent after this time; 0 for no limit */
  const char *response_header;   /* name of a response header to return as a number, or NULL */
  const char *extra_header_name; /* name of an additional request header, or NULL */
  const char *extra_header_value;
} VpHttpClientRequest;

typedef struct {
  VpHttpClientOutcome outcome;
  uint32_t status; /* HTTP status */
  bool was_resent; /* the request was sent twice, and the first one may have been carried out */
  bool has_response_header;       /* the response has the header, and its value is a number */
  uint64_t response_header_value; /* value of VpHttpClientRequest.response_header */
  int64_t sent_ms;                /* time of vp_runtime_now_ms() before anything was sent */
  GBytes *body;                   /* NULL unless the outcome is VP_HTTP_CLIENT_RESPONDED */
} VpHttpClientResponse;

/* Returns NULL if @address is not a numeric "IP:port". */
VpHttpClient *vp_http_client_new (const char *address);
void vp_http_client_free (VpHttpClient *client);
/* Returns true if a connection is open, as far as the client knows. */
bool vp_http_client_is_connected (const VpHttpClient *client);
/* Sends a request and waits for its response. All fields of @response are set in any case. */
void vp_http_client_call (VpHttpClient *client,
                          const VpHttpClientRequest *call,
                          VpHttpClientResponse *response);
void vp_http_client_response_clear (VpHttpClientResponse *response);
