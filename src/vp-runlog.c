#include "vp-runlog.h"
#include "vp-log.h"

#include <stdlib.h>
#include <string.h>

/* Maximum size of an item of a line: the names of a step and a worker, a range of two task numbers,
 * and separators. */
#define VP_RUNLOG_ITEM_BYTES_MAX (VP_TASK_NAME_MAX + VP_RUNLOG_WORKER_BYTES_MAX + 24)
/* Bytes of the name of a worker that a line shows. All of it, as it is part of a key of the
 * platform's store, which has at most 200 bytes (PROTOCOL.md, "The platform's metadata store"). */
#define VP_RUNLOG_WORKER_BYTES_MAX 200

/* A line that is being built. */
typedef struct {
  const VpRunlogEntry *head; /* first run of the group */
  const VpRunlogEntry *last; /* last run in the line, which shows the step and worker named last;
                                NULL: the line is empty */
  int64_t first_ms;          /* time of the earliest run of the group */
  int64_t now_ms;
  char text[VP_LOG_LINE_MAX];
  uint32_t size;
  uint32_t size_max; /* with the NUL */
} VpRunlogLine;

void
vp_runlog_setup (VpRunlog *log, const VpRunlogDesc *desc)
{
  memset (log, 0, sizeof *log);
  log->desc = *desc;
  log->entries = g_new (VpRunlogEntry, VP_RUNLOG_ENTRIES_MAX);
}

static int
_vp_runlog_compare_steps (const VpTaskName *a, const VpTaskName *b)
{
  if (a->job != b->job)
    return a->job < b->job ? -1 : 1;
  if (a->occurrence != b->occurrence)
    return a->occurrence < b->occurrence ? -1 : 1;
  return a->step < b->step ? -1 : a->step > b->step;
}

static int
_vp_runlog_compare_entries (const void *first, const void *second)
{
  const VpRunlogEntry *a = first;
  const VpRunlogEntry *b = second;
  int order;

  if (a->group != b->group)
    return a->group < b->group ? -1 : 1;
  order = _vp_runlog_compare_steps (&a->task, &b->task);
  if (order == 0)
    order = strcmp (a->worker, b->worker);
  if (order == 0)
    order = a->task.index < b->task.index ? -1 : a->task.index > b->task.index;
  return order;
}

static void
_vp_runlog_write_line (VpRunlogLine *line)
{
  const VpRunlogEntry *head = line->head;
  char failures[32] = "";
  char crash_points[32] = "";
  char within[40] = "";

  if (line->last == NULL)
    return;
  if (head->failures > 0)
    g_snprintf (failures, sizeof failures, " failures=%u", head->failures);
  if (head->crash_points > 0)
    g_snprintf (crash_points, sizeof crash_points, " crash_points=%u", head->crash_points);
  if (line->now_ms > line->first_ms)
    g_snprintf (within, sizeof within, " within_ms=%" G_GINT64_FORMAT,
                line->now_ms - line->first_ms);
  vp_log (line->now_ms, head->event, "why=%s run=%u%s%s%s tasks=%s", head->why, head->run, failures,
          crash_points, within, line->text);
  line->size = 0;
  line->last = NULL;
}

/* Returns the number of bytes for tasks in a line of @head's group, with the NUL. */
static uint32_t
_vp_runlog_size_max (const VpRunlogEntry *head)
{
  size_t key_bytes = strlen ("why= run=4294967295 failures=4294967295 crash_points=4294967295"
                             " within_ms= tasks=")
                     + 20;

  return vp_log_text_max (head->event) - (uint32_t)(key_bytes + strlen (head->why)) + 1;
}

/* Formats the tasks from @entry to @last for @line. Names the step and the worker only if they
 * differ from those of the preceding item. */
static uint32_t
_vp_runlog_format_item (const VpRunlogLine *line,
                        const VpRunlogEntry *entry,
                        const VpRunlogEntry *last,
                        char out[VP_RUNLOG_ITEM_BYTES_MAX])
{
  bool is_step_new
      = line->last == NULL || _vp_runlog_compare_steps (&line->last->task, &entry->task) != 0;
  bool is_worker_new = is_step_new || strcmp (line->last->worker, entry->worker) != 0;
  char *end = out;
  char *limit = out + VP_RUNLOG_ITEM_BYTES_MAX;

  if (is_step_new)
    end += g_snprintf (end, (gulong)(limit - end),
                       "%s%016" G_GINT64_MODIFIER "x.%u.%u:", line->last == NULL ? "" : ";",
                       entry->task.job, entry->task.occurrence, entry->task.step);
  else if (is_worker_new)
    *end++ = ',';
  else
    *end++ = '+';
  if (is_worker_new)
    end += g_snprintf (end, (gulong)(limit - end), "%.*s:", VP_RUNLOG_WORKER_BYTES_MAX,
                       entry->worker);
  end += g_snprintf (end, (gulong)(limit - end), "%u", entry->task.index);
  if (last != entry)
    end += g_snprintf (end, (gulong)(limit - end), "-%u", last->task.index);
  return (uint32_t)(end - out);
}

static void
_vp_runlog_append_range (VpRunlogLine *line, const VpRunlogEntry *entry, const VpRunlogEntry *last)
{
  char item[VP_RUNLOG_ITEM_BYTES_MAX];
  uint32_t size = _vp_runlog_format_item (line, entry, last, item);

  if (line->size + size >= line->size_max) {
    _vp_runlog_write_line (line);
    size = _vp_runlog_format_item (line, entry, last, item);
  }
  /* Together with a very long name of the node, one item can be too long for a line. */
  size = MIN (size, (uint32_t)sizeof line->text - 1 - line->size);
  memcpy (line->text + line->size, item, size);
  line->size += size;
  line->text[line->size] = '\0';
  line->last = last;
}

/* Returns true if @next continues the range of tasks that ends with @entry. */
static bool
_vp_runlog_is_next (const VpRunlogEntry *entry, const VpRunlogEntry *next)
{
  return _vp_runlog_compare_steps (&entry->task, &next->task) == 0
         && strcmp (entry->worker, next->worker) == 0 && next->task.index == entry->task.index + 1;
}

/* Writes the group that begins at index @begin. Returns the index after its last run. */
static uint32_t
_vp_runlog_write_group (const VpRunlog *log, uint32_t begin, int64_t now_ms)
{
  const VpRunlogEntry *entries = log->entries;
  VpRunlogLine line = { .head = &entries[begin], .now_ms = now_ms, .first_ms = now_ms };
  uint32_t end;

  line.size_max = _vp_runlog_size_max (line.head);
  for (end = begin; end < log->count && entries[end].group == entries[begin].group; end++)
    line.first_ms = MIN (line.first_ms, entries[end].at_ms);
  for (uint32_t i = begin; i < end; i++) {
    uint32_t first = i;
    while (i + 1 < end && _vp_runlog_is_next (&entries[i], &entries[i + 1]))
      i++;
    _vp_runlog_append_range (&line, &entries[first], &entries[i]);
  }
  _vp_runlog_write_line (&line);
  return end;
}

static void
_vp_runlog_write_all (VpRunlog *log, int64_t now_ms)
{
  if (log->count > 1)
    qsort (log->entries, log->count, sizeof log->entries[0], _vp_runlog_compare_entries);
  for (uint32_t i = 0; i < log->count;)
    i = _vp_runlog_write_group (log, i, now_ms);
  for (uint32_t i = 0; i < log->count; i++)
    vp_text_clear (&log->entries[i].worker);
  log->count = log->group_count = 0;
  log->written_ms = now_ms;
}

static bool
_vp_runlog_is_same_group (const VpRunlogEntry *a, const VpRunlogEntry *b)
{
  return a->run == b->run && a->failures == b->failures && a->crash_points == b->crash_points
         && strcmp (a->why, b->why) == 0 && strcmp (a->event, b->event) == 0;
}

/* Returns the number of the group of @entry, which is a new one if no other run belongs to it. */
static uint32_t
_vp_runlog_find_group (VpRunlog *log, const VpRunlogEntry *entry)
{
  for (uint32_t i = log->count; i > 0; i--) {
    if (_vp_runlog_is_same_group (&log->entries[i - 1], entry))
      return log->entries[i - 1].group;
  }
  return log->group_count++;
}

void
vp_runlog_add (VpRunlog *log,
               const char *event,
               const char *why,
               const VpJobTask *task,
               int64_t now_ms)
{
  VpRunlogEntry *entry;

  if (log->count == VP_RUNLOG_ENTRIES_MAX)
    _vp_runlog_write_all (log, now_ms);
  entry = &log->entries[log->count];
  entry->event = event;
  entry->why = why;
  vp_jobtask_name (task, &entry->task);
  entry->run = task->run;
  entry->failures = task->failures;
  entry->crash_points = task->crash_points;
  entry->at_ms = now_ms;
  entry->worker = g_strdup (task->worker == NULL ? "-" : task->worker->entry.id);
  entry->group = _vp_runlog_find_group (log, entry);
  log->count++;
}

void
vp_runlog_flush (VpRunlog *log, int64_t now_ms)
{
  if (log->count > 0 && now_ms - log->written_ms >= log->desc.wait_ms)
    _vp_runlog_write_all (log, now_ms);
}

void
vp_runlog_shutdown (VpRunlog *log)
{
  if (log->count > 0)
    _vp_runlog_write_all (log, log->entries[log->count - 1].at_ms);
  g_clear_pointer (&log->entries, g_free);
}
