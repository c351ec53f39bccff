/* Texts of any length from outside: names, labels, checkpoints, tickets.
 *
 *   char *checkpoint = NULL;                          // none
 *   vp_text_set (&checkpoint, entry->checkpoint);     // a copy
 *   if (!vp_text_is_empty (checkpoint))
 *     ... vp_text (checkpoint) is never NULL ...
 *   vp_text_clear (&checkpoint);
 *
 * NULL and "" are the same text. What the platform or a caller sends is kept whole: a text that is
 * cut names something else, and one that is refused for its length takes everything with it that
 * stands beside it. Texts whose length is bounded by their meaning, such as an address or a number,
 * stay in arrays.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <string.h>

static inline bool
vp_text_is_empty (const char *text)
{
  return text == NULL || text[0] == '\0';
}

/* Returns @text, or "" for NULL. */
static inline const char *
vp_text (const char *text)
{
  return text == NULL ? "" : text;
}

static inline bool
vp_text_equal (const char *a, const char *b)
{
  return strcmp (vp_text (a), vp_text (b)) == 0;
}

/* Replaces the text with a copy of @value, which may be the same text. */
static inline void
vp_text_set (char **text, const char *value)
{
  char *copy;

  if (vp_text_equal (*text, value))
    return;
  copy = vp_text_is_empty (value) ? NULL : g_strdup (value);
  g_free (*text);
  *text = copy;
}

static inline void
vp_text_clear (char **text)
{
  g_clear_pointer (text, g_free);
}
