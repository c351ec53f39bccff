#include "vp-vmlist-http-private.h"

#include "vp-http-client.h"
#include "vp-json.h"
#include "vp-vmlist.h"

#include <string.h>

#define VP_VMLIST_TIMEOUT_MS 2000

typedef struct {
  VpVmlist base;
  VpHttpClient *client;
} VpVmlistHttp;

static bool
_vp_vmlist_http_get_text (JsonObject *object, const char *name, char *out, size_t out_size)
{
  JsonNode *node = json_object_get_member (object, name);

  return node != NULL && json_node_get_value_type (node) == G_TYPE_STRING
         && vp_name_copy (out, out_size, json_node_get_string (node));
}

static bool
_vp_vmlist_http_get_int (JsonObject *object, const char *name, int64_t max, int64_t *out)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64)
    return false;
  *out = json_node_get_int (node);
  return *out >= 0 && *out <= max;
}

static bool
_vp_vmlist_http_get_state (JsonObject *object, VpVmState *out)
{
  char state[VP_NAME_MAX];

  if (!_vp_vmlist_http_get_text (object, "state", state, sizeof state))
    return false;
  *out = strcmp (state, "leaving") == 0 ? VP_VM_LEAVING : VP_VM_LIVE;
  return *out == VP_VM_LEAVING || strcmp (state, "live") == 0;
}

static bool
_vp_vmlist_http_read_vm (JsonNode *node, VpVm *vm)
{
  JsonObject *object = JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
  int64_t slots;
  int64_t connections;
  int64_t generation;

  if (object == NULL || !_vp_vmlist_http_get_text (object, "name", vm->name, sizeof vm->name)
      || !_vp_vmlist_http_get_text (object, "address", vm->address, sizeof vm->address)
      || !_vp_vmlist_http_get_text (object, "dc", vm->dc, sizeof vm->dc)
      || !_vp_vmlist_http_get_text (object, "rack", vm->rack, sizeof vm->rack)
      || !_vp_vmlist_http_get_state (object, &vm->state)
      || !_vp_vmlist_http_get_int (object, "cpu_milli", INT64_MAX, &vm->size.cpu_milli)
      || !_vp_vmlist_http_get_int (object, "mem_mib", INT64_MAX, &vm->size.mem_mib)
      || !_vp_vmlist_http_get_int (object, "accel_count", INT64_MAX, &vm->size.accel_count)
      || !_vp_vmlist_http_get_int (object, "slots", UINT32_MAX, &slots)
      || !_vp_vmlist_http_get_int (object, "connections", UINT32_MAX, &connections)
      || !_vp_vmlist_http_get_int (object, "generation", INT64_MAX, &generation))
    return false;
  vm->slot_count = (uint32_t)slots;
  vm->connection_count = (uint32_t)connections;
  vm->generation = (uint64_t)generation;
  return true;
}

GArray *
_vp_vmlist_http_parse (GBytes *body)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  g_autoptr (GArray) vms = g_array_new (FALSE, FALSE, sizeof (VpVm));
  gsize size;
  const char *data = g_bytes_get_data (body, &size);
  JsonNode *node = NULL;
  JsonArray *list;

  if (size == 0 || !vp_json_load (parser, data, size, NULL))
    return NULL;
  if (json_parser_get_root (parser) != NULL
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    node = json_object_get_member (json_node_get_object (json_parser_get_root (parser)), "vms");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  list = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (list); i++) {
    VpVm vm = { 0 };
    if (!_vp_vmlist_http_read_vm (json_array_get_element (list, i), &vm))
      return NULL;
    g_array_append_val (vms, vm);
  }
  return g_steal_pointer (&vms);
}

static GArray *
_vp_vmlist_http_read (VpVmlist *base, const char *dc)
{
  VpVmlistHttp *list = (VpVmlistHttp *)base;
  g_autofree char *name = g_uri_escape_string (dc, NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/v1/vms?dc=%s", name);
  VpHttpClientRequest call = {
    .method = "GET", .path = path, .is_idempotent = true, .timeout_ms = VP_VMLIST_TIMEOUT_MS
  };
  VpHttpClientResponse response;
  GArray *vms = NULL;

  vp_http_client_call (list->client, &call, &response);
  if (response.outcome == VP_HTTP_CLIENT_RESPONDED && response.status == 200)
    vms = _vp_vmlist_http_parse (response.body);
  vp_http_client_response_clear (&response);
  return vms;
}

static void
_vp_vmlist_http_free (VpVmlist *base)
{
  VpVmlistHttp *list = (VpVmlistHttp *)base;

  vp_http_client_free (list->client);
  g_free (list);
}

static const VpVmlistVtable _vp_vmlist_http_vtable = {
  .read = _vp_vmlist_http_read,
  .free = _vp_vmlist_http_free,
};

VpVmlist *
vp_vmlist_http_new (const char *address)
{
  VpHttpClient *client = vp_http_client_new (address);
  VpVmlistHttp *list;

  if (client == NULL)
    return NULL;
  list = g_new0 (VpVmlistHttp, 1);
  list->base.vtable = &_vp_vmlist_http_vtable;
  list->client = client;
  return &list->base;
}
