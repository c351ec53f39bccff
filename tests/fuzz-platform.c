#include "fuzz.h"
#include "vp-vmlist-http-private.h"
#include "vp-worker-http-private.h"

/* Guards against reading past the end of a worker's report or a VM list, and against accepting a
 * part of one. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GBytes) body = g_bytes_new (data, size);
  g_autoptr (GArray) vms = _vp_vmlist_http_parse (body);
  VpWorkerReport report;

  for (guint i = 0; vms != NULL && i < vms->len; i++)
    g_assert_true (vp_resources_is_valid (&g_array_index (vms, VpVm, i).size));
  _vp_worker_http_parse_report ("w1", body, &report);
  g_assert_true (report.is_reachable || report.running->len + report.ended->len == 0);
  vp_worker_report_clear (&report);
  return 0;
}
