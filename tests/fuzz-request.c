#include "fuzz.h"
#include "vp-request.h"

/* Guards against a parser that reads past the end of a body or accepts values out of range. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GError) cancel_error = NULL;
  g_autoptr (VpRequest) submit = vp_request_parse_submit ((const char *)data, size, &error);
  g_autoptr (VpRequest) cancel = vp_request_parse_cancel ((const char *)data, size, &cancel_error);

  g_assert_true ((submit == NULL) == (error != NULL));
  g_assert_true ((cancel == NULL) == (cancel_error != NULL));
  if (submit != NULL) {
    g_assert_true (vp_resources_is_valid (&submit->size) && !vp_resources_is_zero (&submit->size));
    g_assert_cmpuint (submit->task_count, <=, VP_REQUEST_TASKS_MAX);
    g_assert_true (submit->is_repeatable || submit->identity[0] != '\0');
  }
  if (cancel != NULL)
    g_assert_cmpuint (cancel->tasks->len - 1, <, VP_REQUEST_TASKS_MAX);
  return 0;
}
