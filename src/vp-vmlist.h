/* Interface to the platform's list of live and leaving VMs. The list lags behind.
 *
 *   VpVmlist *list = vp_vmlist_http_new ("127.0.0.1:7100");
 *   GArray *vms = vp_vmlist_read (list, "nadi");
 *   vp_vmlist_free (list);
 */
#pragma once

#include "vp-event.h"

typedef struct _VpVmlist VpVmlist;

typedef struct {
  GArray *(*read) (VpVmlist *list, const char *dc);
  void (*free) (VpVmlist *list);
} VpVmlistVtable;

struct _VpVmlist {
  const VpVmlistVtable *vtable;
};

/* Returns the VMs of a DC as VpVm elements, or NULL if the list could not be read. Blocks. */
static inline GArray *
vp_vmlist_read (VpVmlist *list, const char *dc)
{
  return list->vtable->read (list, dc);
}

static inline void
vp_vmlist_free (VpVmlist *list)
{
  if (list != NULL)
    list->vtable->free (list);
}

/* Creates a client of the VM list over HTTP with neon, see docs/interface-vmlist.md. Returns NULL
 * if @address is not a numeric "IP:port". */
VpVmlist *vp_vmlist_http_new (const char *address);
