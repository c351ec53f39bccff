#include "vp-http-route.h"

#include <string.h>

typedef enum {
  VP_HTTP_PATH_EXACT,
  VP_HTTP_PATH_TASK,    /* the prefix and a task identity */
  VP_HTTP_PATH_EXPLAIN, /* the prefix, a task identity and "/explain" */
} VpHttpPath;

static const struct {
  const char *method;
  const char *path;
  VpHttpPath kind;
  VpRequestOp op;
  bool has_body;
} _vp_http_routes[] = {
  { "POST", "/v1/tasks", VP_HTTP_PATH_EXACT, VP_OP_SUBMIT, true },
  { "GET", "/v1/tasks", VP_HTTP_PATH_EXACT, VP_OP_GET, false },
  { "GET", "/v1/tasks/", VP_HTTP_PATH_TASK, VP_OP_GET, false },
  { "GET", "/v1/tasks/", VP_HTTP_PATH_EXPLAIN, VP_OP_EXPLAIN, false },
  { "DELETE", "/v1/tasks/", VP_HTTP_PATH_TASK, VP_OP_CANCEL, false },
  { "POST", "/v1/cancel", VP_HTTP_PATH_EXACT, VP_OP_CANCEL, true },
  { "GET", "/v1/config", VP_HTTP_PATH_EXACT, VP_OP_CONFIG_GET, false },
  { "PUT", "/v1/config", VP_HTTP_PATH_EXACT, VP_OP_CONFIG_PUT, true },
  { "GET", "/v1/status", VP_HTTP_PATH_EXACT, VP_OP_STATUS, false },
  { "GET", "/v1/placements", VP_HTTP_PATH_EXACT, VP_OP_PLACEMENTS, false },
  { "GET", "/v1/audit", VP_HTTP_PATH_EXACT, VP_OP_AUDIT, false },
  { "GET", "/metrics", VP_HTTP_PATH_EXACT, VP_OP_METRICS, false },
};

static bool G_GNUC_PRINTF (4, 5) _vp_http_route_refuse (VpHttpRoute *route,
                                                        uint32_t status,
                                                        VpReason reason,
                                                        const char *format,
                                                        ...)
{
  va_list args;

  route->status = status;
  route->reason = reason;
  va_start (args, format);
  g_vsnprintf (route->detail, sizeof route->detail, format, args);
  va_end (args);
  return false;
}

static bool
_vp_http_route_path_matches (const char *path, const char *pattern, VpHttpPath kind)
{
  size_t length = strlen (pattern);
  const char *slash;

  if (kind == VP_HTTP_PATH_EXACT)
    return strcmp (path, pattern) == 0;
  if (strncmp (path, pattern, length) != 0 || path[length] == '\0')
    return false;
  slash = strchr (path + length, '/');
  if (kind == VP_HTTP_PATH_TASK)
    return slash == NULL;
  return slash != NULL && strcmp (slash, "/explain") == 0;
}

static bool
_vp_http_route_task (const char *path, VpHttpRoute *route)
{
  const char *text = path + strlen ("/v1/tasks/");
  char hex[VP_TASK_ID_TEXT_MAX];

  g_strlcpy (hex, text, sizeof hex);
  if (strcspn (text, "/") == VP_TASK_ID_TEXT_MAX - 1
      && vp_task_id_parse (hex, &route->request->task))
    return true;
  return _vp_http_route_refuse (route, 400, VP_REASON_BAD_REQUEST,
                                "task: must be 32 hexadecimal digits");
}

static bool
_vp_http_route_query_name (const char *name,
                           const char *text,
                           char *out,
                           size_t out_size,
                           VpHttpRoute *route)
{
  if (text == NULL || text[0] == '\0')
    return _vp_http_route_refuse (route, 400, VP_REASON_BAD_REQUEST, "%s: missing", name);
  if (!vp_name_copy (out, out_size, text) || !g_utf8_validate (text, -1, NULL))
    return _vp_http_route_refuse (route, 400, VP_REASON_BAD_REQUEST,
                                  "%s: must be UTF-8 text of less than %" G_GSIZE_FORMAT " bytes",
                                  name, out_size);
  return true;
}

static bool
_vp_http_route_query_revision (const char *name, const char *text, VpHttpRoute *route)
{
  guint64 value;

  if (text == NULL)
    return _vp_http_route_refuse (route, 400, VP_REASON_BAD_REQUEST, "%s: missing", name);
  if (!g_ascii_string_to_unsigned (text, 10, 0, UINT64_MAX, &value, NULL))
    return _vp_http_route_refuse (route, 400, VP_REASON_BAD_REQUEST,
                                  "%s: must be a revision number", name);
  route->request->revision = value;
  return true;
}

static bool
_vp_http_route_fields (VpHttpPath kind,
                       const char *path,
                       VpHttpQueryFunc query,
                       void *data,
                       VpHttpRoute *route)
{
  VpRequest *request = route->request;
  const char *after;

  if (kind != VP_HTTP_PATH_EXACT)
    return _vp_http_route_task (path, route);
  switch (route->op) {
  case VP_OP_GET:
    return _vp_http_route_query_name ("team", query (data, "team"), request->team,
                                      sizeof request->team, route)
           && _vp_http_route_query_name ("identity", query (data, "identity"), request->identity,
                                         sizeof request->identity, route);
  case VP_OP_CONFIG_GET:
    after = query (data, "after");
    return after == NULL || _vp_http_route_query_revision ("after", after, route);
  case VP_OP_CONFIG_PUT:
    return _vp_http_route_query_revision ("revision", query (data, "revision"), route);
  case VP_OP_SUBMIT:
  case VP_OP_CANCEL:
  case VP_OP_EXPLAIN:
  case VP_OP_STATUS:
  case VP_OP_PLACEMENTS:
  case VP_OP_AUDIT:
  case VP_OP_METRICS:
    break;
  }
  return true;
}

bool
vp_http_route (const char *method,
               const char *path,
               VpHttpQueryFunc query,
               void *data,
               VpHttpRoute *out)
{
  bool is_path_known = false;

  memset (out, 0, sizeof *out);
  for (guint i = 0; i < G_N_ELEMENTS (_vp_http_routes); i++) {
    if (!_vp_http_route_path_matches (path, _vp_http_routes[i].path, _vp_http_routes[i].kind))
      continue;
    is_path_known = true;
    if (strcmp (method, _vp_http_routes[i].method) != 0)
      continue;
    out->op = _vp_http_routes[i].op;
    out->has_body = _vp_http_routes[i].has_body;
    out->request = vp_request_new (out->op);
    return _vp_http_route_fields (_vp_http_routes[i].kind, path, query, data, out);
  }
  if (is_path_known)
    return _vp_http_route_refuse (out, 405, VP_REASON_BAD_REQUEST,
                                  "the path does not take this method");
  return _vp_http_route_refuse (out, 404, VP_REASON_NOT_FOUND, "there is no such path");
}

bool
vp_http_route_key (VpHttpRoute *route, const char *authorization)
{
  static const char scheme[] = "Bearer ";
  const char *key;

  if (authorization == NULL)
    return true;
  /* An invalid key is refused, since a request without a key would be accepted by an open profile.
   */
  if (g_ascii_strncasecmp (authorization, scheme, sizeof scheme - 1) != 0)
    return _vp_http_route_refuse (route, 401, VP_REASON_BAD_KEY,
                                  "Authorization: must be a Bearer key");
  key = authorization + sizeof scheme - 1;
  key += strspn (key, " ");
  if (key[0] == '\0' || !vp_name_copy (route->request->key, sizeof route->request->key, key))
    return _vp_http_route_refuse (route, 401, VP_REASON_BAD_KEY,
                                  "Authorization: the key is empty or too long");
  return true;
}

VpRequest *
vp_http_route_finish (VpHttpRoute *route, const char *body, size_t size, GError **error)
{
  VpRequest *request = NULL;

  switch (route->op) {
  case VP_OP_SUBMIT:
    request = vp_request_parse_submit (body, size, error);
    break;
  case VP_OP_CANCEL:
    request = route->has_body ? vp_request_parse_cancel (body, size, error)
                              : vp_request_ref (route->request);
    break;
  case VP_OP_CONFIG_PUT:
    request = vp_request_ref (route->request);
    request->payload = g_bytes_new (body, size);
    break;
  case VP_OP_GET:
  case VP_OP_EXPLAIN:
  case VP_OP_CONFIG_GET:
  case VP_OP_STATUS:
  case VP_OP_PLACEMENTS:
  case VP_OP_AUDIT:
  case VP_OP_METRICS:
    request = vp_request_ref (route->request);
    break;
  }
  if (request != NULL && request != route->request)
    g_strlcpy (request->key, route->request->key, sizeof request->key);
  return request;
}

void
vp_http_route_clear (VpHttpRoute *route)
{
  g_clear_pointer (&route->request, vp_request_unref);
}
