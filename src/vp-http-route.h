/* Router for the paths and methods of docs/api.md: converts an HTTP request to a VpRequest.
 *
 *   VpHttpRoute route;
 *   if (!vp_http_route (method, path, get_query, connection, &route)
 *       || !vp_http_route_key (&route, authorization))
 *     ... reply with route.status, route.reason and route.detail ...
 *   ... receive the body if route.has_body ...
 *   VpRequest *request = vp_http_route_finish (&route, body, size, &error);
 *   vp_http_route_clear (&route);
 */
#pragma once

#include "vp-request.h"

typedef struct {
  VpRequest *request; /* request with the fields that come from the path, the query and the key */
  VpRequestOp op;
  bool has_body; /* the operation takes a body */
  /* The following fields are set if the request is refused. */
  uint32_t status; /* HTTP status */
  VpReason reason;
  char detail[160]; /* explanation that names the field */
} VpHttpRoute;

/* Returns the value of the query argument @name, or NULL if it is missing. */
typedef const char *(*VpHttpQueryFunc) (void *data, const char *name);

/* Returns false and fills in the refusal if the path or method is unknown, or the path or query is
 * malformed. */
bool vp_http_route (const char *method,
                    const char *path,
                    VpHttpQueryFunc query,
                    void *data,
                    VpHttpRoute *out);
/* Takes the key from the Authorization header, which is NULL if the request has none. Returns false
 * and fills in the refusal if the header has no valid bearer key. */
bool vp_http_route_key (VpHttpRoute *route, const char *authorization);
/* Returns the complete request, or NULL and an error that names the field if the body is not valid.
 */
VpRequest *vp_http_route_finish (VpHttpRoute *route, const char *body, size_t size, GError **error);
void vp_http_route_clear (VpHttpRoute *route);
