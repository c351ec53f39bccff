#include "fuzz.h"
#include "vp-http-route.h"

#include <string.h>

enum { PART_METHOD, PART_PATH, PART_VALUE, PART_KEY, PART_BODY, PART_COUNT };

static const char *
_query (void *data, const char *name G_GNUC_UNUSED)
{
  return data;
}

/* Guards against a path, query, key or body that is read past its end or routed without a request.
 * The input has the parts of a request on a line each. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autofree char *text = g_strndup ((const char *)data, size);
  g_auto (GStrv) parts = g_strsplit (text, "\n", PART_COUNT);
  VpHttpRoute route = { 0 };

  if (g_strv_length (parts) < PART_COUNT)
    return 0;
  if (vp_http_route (parts[PART_METHOD], parts[PART_PATH], _query, parts[PART_VALUE], &route)) {
    g_assert_true (route.request != NULL || route.has_body);
    if (vp_http_route_key (&route, parts[PART_KEY])) {
      g_autoptr (GError) error = NULL;
      g_autoptr (VpRequest) request
          = vp_http_route_finish (&route, parts[PART_BODY], strlen (parts[PART_BODY]), &error);
      g_assert_true ((request == NULL) == (error != NULL));
    }
  } else {
    g_assert_cmpuint (route.status, >=, 400);
  }
  vp_http_route_clear (&route);
  return 0;
}
