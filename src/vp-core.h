/* Reducer of one entry process: a state machine that takes events and returns effects.
 *
 *   VpCore *core = vp_core_setup (&(VpCoreDesc){ .settings = &settings, .boot = boot });
 *   vp_core_apply (core, &event, now_ms, &effects);
 *   vp_core_shutdown (core);
 *
 * The reducer does no I/O and uses no clock, thread or random source: the same events at the same
 * times give the same effects.
 */
#pragma once

#include "vp-event.h"
#include "vp-settings.h"

typedef struct _VpCore VpCore;

typedef struct {
  const VpSettings *settings; /* borrowed */
  uint64_t boot;              /* increases with each start of the process */
} VpCoreDesc;

VpCore *vp_core_setup (const VpCoreDesc *desc);
void vp_core_shutdown (VpCore *core);
/* Applies one event and appends the effects. Takes ownership of the contents of @event. */
void vp_core_apply (VpCore *core, VpEvent *event, int64_t now_ms, VpEffects *effects);
/* Time until which tasks may be started; checked again when a worker effect is carried out. */
int64_t vp_core_valid_until_ms (const VpCore *core, int64_t now_ms);
/* Latest time of the next VP_EVENT_TICK. */
int64_t vp_core_next_ms (const VpCore *core);
