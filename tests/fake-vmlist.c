/* Stand-in for the platform's VM list, see docs/interface-vmlist.md. --listen and --list may be
 * given several times: the n-th address serves and controls the n-th list, so that each entry
 * process can be given its own addresses of the workers. */
#include "fake-http.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define LAG_MS 1000 /* default delay until a change appears in the list */

typedef struct {
  JsonArray *vms; /* as served, without the changes that are still delayed */
  int64_t lag_ms;
  bool is_outage;
} List;

typedef struct {
  List *list;
  JsonObject *change;
} Change;

static GPtrArray *_vmlist_addresses, *_vmlist_files;

static int
_vmlist_find (const List *list, const char *name)
{
  for (guint i = 0; i < json_array_get_length (list->vms); i++) {
    JsonObject *vm = json_array_get_object_element (list->vms, i);
    if (strcmp (fake_json_string (vm, "name", ""), name) == 0)
      return (int)i;
  }
  return -1;
}

static void
_vmlist_apply (void *data)
{
  static const char *const fields[] = { "state", "address", "generation" };
  Change *change = data;
  int index = _vmlist_find (change->list, fake_json_string (change->change, "name", ""));

  if (index >= 0 && fake_json_int (change->change, "remove", 0) != 0) {
    json_array_remove_element (change->list->vms, (guint)index);
  } else if (index >= 0) {
    JsonObject *vm = json_array_get_object_element (change->list->vms, (guint)index);
    for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
      if (json_object_has_member (change->change, fields[i]))
        json_object_set_member (vm, fields[i], json_object_dup_member (change->change, fields[i]));
    }
  }
  json_object_unref (change->change);
  g_free (change);
}

static void
_vmlist_control (FakeRequest *request, List *list)
{
  JsonObject *body = fake_request_json (request);
  const char *name = body != NULL ? fake_json_string (body, "name", NULL) : NULL;
  unsigned status = 200;

  if (body == NULL) {
    fake_reply (request, 400, NULL, 0, NULL);
    return;
  }
  list->is_outage = fake_json_int (body, "outage", list->is_outage) != 0;
  list->lag_ms = fake_json_int (body, "lag_ms", list->lag_ms);
  if (name != NULL && _vmlist_find (list, name) < 0) {
    status = 404;
  } else if (name != NULL) {
    Change *change = g_new (Change, 1);
    *change = (Change){ .list = list, .change = json_object_ref (body) };
    fake_timer_add (fake_now_ms () + list->lag_ms, _vmlist_apply, change);
  }
  json_object_unref (body);
  fake_reply (request, status, NULL, 0, NULL);
}

static void
_vmlist_get (FakeRequest *request, List *list)
{
  const char *dc = MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, "dc");
  JsonObject *object = json_object_new ();
  JsonArray *vms = json_array_new ();

  for (guint i = 0; i < json_array_get_length (list->vms); i++) {
    JsonObject *vm = json_array_get_object_element (list->vms, i);
    if (dc == NULL || strcmp (dc, fake_json_string (vm, "dc", "")) == 0)
      json_array_add_object_element (vms, json_object_ref (vm));
  }
  json_object_set_array_member (object, "vms", vms);
  fake_reply_json (request, 200, object);
}

static void
_vmlist_handle (FakeRequest *request, void *data)
{
  List *list = data;

  if (fake_request_is (request, "POST", "/control", NULL))
    _vmlist_control (request, list);
  else if (list->is_outage)
    fake_reply (request, 503, NULL, 0, NULL);
  else if (fake_request_is (request, "GET", "/v1/vms", NULL))
    _vmlist_get (request, list);
  else
    fake_reply (request, 404, NULL, 0, NULL);
}

static void
_vmlist_add (const char *address, const char *path)
{
  List *list = g_new0 (List, 1);
  JsonObject *object = fake_json_load (path);

  list->lag_ms = LAG_MS;
  list->vms = json_object_has_member (object, "vms")
                  ? json_array_ref (json_object_get_array_member (object, "vms"))
                  : json_array_new ();
  json_object_unref (object);
  fake_listen (address, 0, _vmlist_handle, list);
}

static error_t
_vmlist_option (int key, char *arg, struct argp_state *state)
{
  switch (key) {
  case 'a':
    g_ptr_array_add (_vmlist_addresses, arg);
    return 0;
  case 'l':
    g_ptr_array_add (_vmlist_files, arg);
    return 0;
  case ARGP_KEY_END:
    if (_vmlist_files->len == 0 || _vmlist_files->len != _vmlist_addresses->len)
      argp_error (state, "each --listen needs one --list");
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "listen", 'a', "IP:PORT", 0, "address that serves the list", 0 },
    { "list", 'l', "FILE", 0, "list of VMs as JSON", 0 },
    { 0 },
  };
  static const struct argp argp = { options, _vmlist_option, NULL, NULL, NULL, NULL, NULL };

  _vmlist_addresses = g_ptr_array_new ();
  _vmlist_files = g_ptr_array_new ();
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  fake_setup ();
  for (guint i = 0; i < _vmlist_files->len; i++)
    _vmlist_add (_vmlist_addresses->pdata[i], _vmlist_files->pdata[i]);
  fake_run ();
  return EXIT_SUCCESS;
}
