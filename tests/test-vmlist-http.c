#include "script-server.h"
#include "vp-vmlist.h"

#define VM(state, generation)                                                                      \
  "{\"name\":\"w-01\",\"address\":\"127.0.1.1:7000\",\"dc\":\"na "                                 \
  "di\",\"rack\":\"r1\",\"state\":\"" state                                                        \
  "\",\"cpu_milli\":16000,\"mem_mib\":32768,\"accel_count\":1,\"slots\":8,"                        \
  "\"connections\":64,\"generation\":" generation "}"

/* Guards against a list that is accepted although it is malformed or could not be read: a VM that
 * it does not contain would be taken for lost. */
static void
test_read (void)
{
  static const struct {
    const char *status;
    const char *body;
    int count; /* VMs of the list; -1 if it can't be read */
  } cases[] = {
    { "200 OK", "{\"vms\":[" VM ("live", "3") "," VM ("leaving", "3") "]}", 2 },
    { "200 OK", "{\"vms\":[],\"more\":1}", 0 },
    { "503 Outage", "{\"vms\":[]}", -1 },
    { "200 OK", "{\"vms\":[" VM ("live", "3") "," VM ("gone", "3") "]}", -1 },
    { "200 OK", "{\"vms\":[" VM ("live", "-1") "]}", -1 },
    { "200 OK", "{\"vms\":[" VM ("live", "\"3\"") "]}", -1 },
    { "200 OK", "{\"vms\":[{}]}", -1 },
    { "200 OK", "{\"vms\":[7]}", -1 },
    { "200 OK", "{\"vms\":{}}", -1 },
    { "200 OK", "[]", -1 },
    { "200 OK", "{\"vms\":[", -1 },
    { "200 OK", "", -1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *text
        = g_strdup_printf ("HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s", cases[i].status,
                           strlen (cases[i].body), cases[i].body);
    ScriptStep step = { SCRIPT_RESPOND, text };
    ScriptServer server;
    VpVmlist *list;
    GArray *vms;
    g_test_message ("%s", cases[i].body);
    script_setup (&server, &step, 1);
    list = vp_vmlist_http_new (server.address);
    vms = vp_vmlist_read (list, "na di");
    g_assert_cmpint (vms == NULL ? -1 : (int)vms->len, ==, cases[i].count);
    if (i == 0) {
      const VpVm *vm = &g_array_index (vms, VpVm, 1);
      g_assert_true (vm->state == VP_VM_LEAVING && vm->generation == 3 && vm->slot_count == 8);
      g_assert_cmpint (vm->size.mem_mib, ==, 32768);
    }
    g_clear_pointer (&vms, g_array_unref);
    vp_vmlist_free (list);
    script_stop (&server);
    g_assert_cmpstr (server.requests->pdata[0], ==, "GET /v1/vms?dc=na%20di HTTP/1.1");
    script_shutdown (&server);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/vmlist-http/read", test_read);
  return g_test_run ();
}
