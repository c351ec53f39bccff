/* A TCP proxy that injects faults. POST /control takes "map" (a listen address, a list of them, or
 * "*") and any of "mode", "delay_ms" and "target" ("IP:port": new target of the mapping, which is
 * added if it doesn't exist).
 * Modes: pass; cut (refuses connections and closes open ones); cut-to-target and cut-to-client
 * (bytes in that direction are discarded, nothing is closed); delay (delay_ms in each direction);
 * stall (nothing is forwarded or closed); reset (open connections end with RST; the mode of later
 * ones is unchanged).
 */
#include "fake-forward.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

static struct {
  const char *control;
  GPtrArray *specs;    /* "listen=target" */
  GPtrArray *mappings; /* FakeMapping */
} _proxy;

static FakeMapping *
_proxy_add (const char *listen, const char *target)
{
  FakeMapping *mapping = fake_mapping_new (listen, target);

  g_ptr_array_add (_proxy.mappings, mapping);
  return mapping;
}

/* Returns false if there is no such mapping or mode. */
static bool
_proxy_change (const char *listen, JsonObject *body)
{
  const char *target = fake_json_string (body, "target", NULL);
  const char *mode = fake_json_string (body, "mode", target != NULL ? "pass" : "");
  int64_t delay_ms = fake_json_int (body, "delay_ms", 0);
  bool is_found = false, is_ok = true;

  for (guint i = 0; i < _proxy.mappings->len; i++) {
    FakeMapping *mapping = _proxy.mappings->pdata[i];
    if (strcmp (listen, "*") != 0 && strcmp (listen, fake_mapping_address (mapping)) != 0)
      continue;
    is_found = true;
    if (target != NULL)
      fake_mapping_retarget (mapping, target);
    is_ok = fake_mapping_set_mode (mapping, mode, delay_ms) && is_ok;
  }
  if (!is_found && target != NULL)
    is_ok = fake_mapping_set_mode (_proxy_add (listen, target), mode, delay_ms);
  return is_ok && (is_found || target != NULL);
}

static void
_proxy_handle (FakeRequest *request, void *data G_GNUC_UNUSED)
{
  JsonObject *body
      = fake_request_is (request, "POST", "/control", NULL) ? fake_request_json (request) : NULL;
  JsonNode *node = body != NULL ? json_object_get_member (body, "map") : NULL;
  bool is_ok = node != NULL;

  if (node != NULL && JSON_NODE_HOLDS_ARRAY (node)) {
    JsonArray *list = json_node_get_array (node);
    for (guint i = 0; i < json_array_get_length (list); i++)
      is_ok = _proxy_change (json_array_get_string_element (list, i), body) && is_ok;
  } else if (node != NULL) {
    is_ok = _proxy_change (fake_json_string (body, "map", ""), body);
  }
  fake_reply (request, is_ok ? 200 : 400, NULL, 0, NULL);
  g_clear_pointer (&body, json_object_unref);
}

static error_t
_proxy_option (int key, char *arg, struct argp_state *state)
{
  switch (key) {
  case 'c':
    _proxy.control = arg;
    return 0;
  case 'm':
    g_ptr_array_add (_proxy.specs, arg);
    if (strchr (arg, '=') == NULL)
      argp_error (state, "no listen=target mapping: %s", arg);
    return 0;
  case ARGP_KEY_END:
    if (_proxy.control == NULL)
      argp_error (state, "--control is missing");
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "control", 'c', "IP:PORT", 0, "address of POST /control", 0 },
    { "map", 'm', "LISTEN=TARGET", 0, "one mapping; may be repeated", 0 },
    { 0 },
  };
  static const struct argp argp = { options, _proxy_option, NULL, NULL, NULL, NULL, NULL };

  _proxy.specs = g_ptr_array_new ();
  _proxy.mappings = g_ptr_array_new ();
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  fake_setup ();
  for (guint i = 0; i < _proxy.specs->len; i++) {
    g_auto (GStrv) parts = g_strsplit (_proxy.specs->pdata[i], "=", 2);
    _proxy_add (parts[0], parts[1]);
  }
  fake_listen (_proxy.control, 0, _proxy_handle, NULL);
  fake_run ();
  return EXIT_SUCCESS;
}
