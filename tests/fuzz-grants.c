#include "fuzz.h"
#include "vp-limit-grants-table.h"

/* Guards against a table of grants that is read past its end or changes when it is encoded again.
 */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GBytes) bytes = g_bytes_new (data, size);
  VpLimitGrantsTable *table = vp_limit_grants_table_decode (bytes);

  if (table != NULL) {
    g_autoptr (GBytes) first = vp_limit_grants_table_encode (table);
    VpLimitGrantsTable *again = vp_limit_grants_table_decode (first);
    g_autoptr (GBytes) second = NULL;
    g_assert_nonnull (again);
    second = vp_limit_grants_table_encode (again);
    g_assert_true (g_bytes_equal (first, second));
    vp_limit_grants_table_free (again);
    vp_limit_grants_table_free (table);
  }
  return 0;
}
