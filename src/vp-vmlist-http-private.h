/* Parser of the platform's VM list, private to vp-vmlist-http.c and its tests.
 *
 *   GArray *vms = _vp_vmlist_http_parse (body);
 */
#pragma once

#include <glib.h>

/* Returns VpVm elements, or NULL if any part is malformed, since a VM that is missing from the list
 * would be taken for lost. */
GArray *_vp_vmlist_http_parse (GBytes *body);
