#include "vp-jobspec.h"

#include <string.h>

/* Size of the blocks that hold the texts. Longer texts have a block of their own. */
#define VP_JOBSPEC_CHUNK_BYTES 64

/* Bytes of names, and of labels, racks and images, that processes of earlier versions can hold. */
#define VP_JOBSPEC_SHORT_NAME_MAX  47
#define VP_JOBSPEC_SHORT_LABEL_MAX 31

VpJobSpec *
vp_jobspec_new (uint32_t step_count)
{
  VpJobSpec *spec = g_new0 (VpJobSpec, 1);

  spec->refs = 1;
  spec->occurrence_count = 1;
  spec->queue = spec->team = "";
  spec->step_count = step_count;
  spec->steps = g_new0 (VpStepSpec, MAX (step_count, 1));
  return spec;
}

const char *
vp_jobspec_add_text (VpJobSpec *spec, const char *text)
{
  if (vp_text_is_empty (text))
    return "";
  if (spec->texts == NULL)
    spec->texts = g_string_chunk_new (VP_JOBSPEC_CHUNK_BYTES);
  return g_string_chunk_insert (spec->texts, text);
}

VpJobSpec *
vp_jobspec_ref (VpJobSpec *spec)
{
  __atomic_add_fetch (&spec->refs, 1, __ATOMIC_RELAXED);
  return spec;
}

void
vp_jobspec_unref (VpJobSpec *spec)
{
  if (__atomic_sub_fetch (&spec->refs, 1, __ATOMIC_ACQ_REL) != 0)
    return;
  for (uint32_t i = 0; i < spec->step_count; i++)
    g_clear_pointer (&spec->steps[i].after, g_array_unref);
  g_free (spec->steps);
  g_free (spec->text);
  g_clear_pointer (&spec->texts, g_string_chunk_free);
  g_free (spec);
}

static const char *
_vp_jobspec_check_step (const VpStepSpec *step, uint32_t index)
{
  if (step->task_count == 0 || step->task_count > VP_JOBSPEC_TASKS_MAX)
    return "count of tasks out of range";
  if (!vp_resources_is_valid (&step->size))
    return "negative size";
  for (guint i = 0; step->after != NULL && i < step->after->len; i++) {
    if (g_array_index (step->after, uint32_t, i) >= index)
      return "a step waits for a later one";
  }
  return NULL;
}

int64_t
vp_jobspec_critical_paths (const VpJobSpec *spec, int64_t *critical_paths_ms)
{
  int64_t longest_ms = 0;

  for (uint32_t s = 0; s < spec->step_count; s++)
    critical_paths_ms[s] = 0;
  /* A step comes after the steps that it depends on, so in reverse order all dependents of a step
   * have been processed before it. */
  for (uint32_t s = spec->step_count; s-- > 0;) {
    const VpStepSpec *step = &spec->steps[s];
    critical_paths_ms[s] += step->estimate_ms;
    longest_ms = MAX (longest_ms, critical_paths_ms[s]);
    for (guint i = 0; step->after != NULL && i < step->after->len; i++) {
      uint32_t before = g_array_index (step->after, uint32_t, i);
      critical_paths_ms[before] = MAX (critical_paths_ms[before], critical_paths_ms[s]);
    }
  }
  return longest_ms;
}

const char *
vp_jobspec_check (const VpJobSpec *spec)
{
  const char *wrong = NULL;

  if (spec->step_count == 0 || spec->step_count > VP_JOBSPEC_STEPS_MAX)
    return "count of steps out of range";
  if (spec->occurrence_count == 0 || spec->occurrence_count > VP_JOBSPEC_OCCURRENCES_MAX)
    return "count of occurrences out of range";
  if (spec->text == NULL || strlen (spec->text) > VP_JOBSPEC_TEXT_MAX)
    return "text too long";
  for (uint32_t i = 0; wrong == NULL && i < spec->step_count; i++)
    wrong = _vp_jobspec_check_step (&spec->steps[i], i);
  return wrong;
}

bool
vp_jobspec_has_short_texts (const VpJobSpec *spec)
{
  bool is_short = strlen (spec->queue) <= VP_JOBSPEC_SHORT_NAME_MAX
                  && strlen (spec->team) <= VP_JOBSPEC_SHORT_NAME_MAX;

  for (uint32_t i = 0; is_short && i < spec->step_count; i++) {
    const VpStepSpec *step = &spec->steps[i];
    is_short = strlen (vp_text (step->label)) <= VP_JOBSPEC_SHORT_LABEL_MAX
               && strlen (vp_text (step->rack)) <= VP_JOBSPEC_SHORT_LABEL_MAX
               && strlen (vp_text (step->image)) <= VP_JOBSPEC_SHORT_LABEL_MAX;
  }
  return is_short;
}

GVariant *
vp_jobspec_encode (const VpJobSpec *spec)
{
  GVariantBuilder steps;

  g_variant_builder_init (&steps, G_VARIANT_TYPE ("a" VP_JOBSPEC_STEP_TYPE));
  for (uint32_t i = 0; i < spec->step_count; i++) {
    const VpStepSpec *step = &spec->steps[i];
    GVariant *after = g_variant_new_fixed_array (
        G_VARIANT_TYPE_UINT32, step->after == NULL ? NULL : step->after->data,
        step->after == NULL ? 0 : step->after->len, sizeof (uint32_t));
    g_variant_builder_add (
        &steps, "(u(xxx)x@auubbbbbbsssxu)", step->task_count, step->size.cpu_milli,
        step->size.mem_mib, step->size.accel_count, step->estimate_ms, after, step->spread_max,
        (gboolean)step->is_gang, (gboolean)step->is_one_rack, (gboolean)step->is_checkpointing,
        (gboolean)step->is_concurrent, (gboolean)step->is_long_running,
        (gboolean)step->is_best_effort, vp_text (step->label), vp_text (step->rack),
        vp_text (step->image), step->tail_latency_target_ms, step->unavailable_max);
  }
  return g_variant_new (VP_JOBSPEC_TYPE, spec->id, spec->queue, spec->team,
                        spec->text == NULL ? "" : spec->text, spec->occurrence_count,
                        spec->first_ms, spec->interval_ms, &steps);
}

static bool
_vp_jobspec_decode_step (VpJobSpec *spec, GVariantIter *iter, VpStepSpec *step)
{
  const char *label, *rack, *image;
  gboolean is_gang, is_one_rack, is_checkpointing, is_concurrent, is_long_running, is_best_effort;
  g_autoptr (GVariant) after = NULL;
  const uint32_t *items;
  gsize count;

  if (!g_variant_iter_next (iter, "(u(xxx)x@auubbbbbb&s&s&sxu)", &step->task_count,
                            &step->size.cpu_milli, &step->size.mem_mib, &step->size.accel_count,
                            &step->estimate_ms, &after, &step->spread_max, &is_gang, &is_one_rack,
                            &is_checkpointing, &is_concurrent, &is_long_running, &is_best_effort,
                            &label, &rack, &image, &step->tail_latency_target_ms,
                            &step->unavailable_max))
    return false;
  step->is_gang = is_gang;
  step->is_one_rack = is_one_rack;
  step->is_checkpointing = is_checkpointing;
  step->is_concurrent = is_concurrent;
  step->is_long_running = is_long_running;
  step->is_best_effort = is_best_effort;
  items = g_variant_get_fixed_array (after, &count, sizeof (uint32_t));
  if (count > 0) {
    step->after = g_array_sized_new (FALSE, FALSE, sizeof (uint32_t), (guint)count);
    g_array_append_vals (step->after, items, (guint)count);
  }
  step->label = vp_jobspec_add_text (spec, label);
  step->rack = vp_jobspec_add_text (spec, rack);
  step->image = vp_jobspec_add_text (spec, image);
  return true;
}

VpJobSpec *
vp_jobspec_decode (GVariant *value)
{
  g_autoptr (GVariantIter) steps = NULL;
  const char *queue, *team, *text;
  uint64_t id;
  uint32_t occurrence_count;
  int64_t first_ms, interval_ms;
  VpJobSpec *spec;
  bool ok = true;

  if (!g_variant_is_of_type (value, G_VARIANT_TYPE (VP_JOBSPEC_TYPE)))
    return NULL;
  g_variant_get (value, "(t&s&s&suxxa" VP_JOBSPEC_STEP_TYPE ")", &id, &queue, &team, &text,
                 &occurrence_count, &first_ms, &interval_ms, &steps);
  spec = vp_jobspec_new ((uint32_t)g_variant_iter_n_children (steps));
  spec->id = id;
  spec->text = g_strdup (text);
  spec->occurrence_count = occurrence_count;
  spec->first_ms = first_ms;
  spec->interval_ms = interval_ms;
  spec->queue = vp_jobspec_add_text (spec, queue);
  spec->team = vp_jobspec_add_text (spec, team);
  for (uint32_t i = 0; ok && i < spec->step_count; i++)
    ok = _vp_jobspec_decode_step (spec, steps, &spec->steps[i]);
  if (ok && vp_jobspec_check (spec) == NULL)
    return spec;
  vp_jobspec_unref (spec);
  return NULL;
}

void
vp_job_id_format (uint64_t id, char out[17])
{
  g_snprintf (out, 17, "%016" G_GINT64_MODIFIER "x", id);
}

bool
vp_job_id_parse (const char *text, uint64_t *out)
{
  if (strlen (text) != 16 || strspn (text, "0123456789abcdef") != 16)
    return false;
  *out = g_ascii_strtoull (text, NULL, 16);
  return true;
}
