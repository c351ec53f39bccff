#include "fuzz.h"

#include <string.h>

/* This many inputs take about a second without sanitizers. */
#define INPUT_COUNT   4000
#define MUTATIONS_MAX 6
#define SPAN_MAX      32 /* bytes that one mutation removes or inserts at most */
#define RANDOM_SEED   1

/* Mutates @input once: overwrites a byte, flips a bit, removes bytes, repeats bytes at the end,
 * appends a byte, or truncates it. */
static void
_mutate (GRand *rand, GByteArray *input)
{
  static const char tokens[] = "{}[]\",:\\-0123456789eE.+\n\0\xff\x80/";
  guint at = input->len > 0 ? (guint)g_rand_int_range (rand, 0, (gint32)input->len) : 0;
  guint wanted = (guint)g_rand_int_range (rand, 1, SPAN_MAX);
  guint span = MIN (wanted, input->len - at);
  guint8 byte = (guint8)tokens[g_rand_int_range (rand, 0, sizeof tokens - 1)];

  switch (g_rand_int_range (rand, 0, 6)) {
  case 0:
    if (input->len > 0)
      input->data[at] = byte;
    break;
  case 1:
    if (input->len > 0)
      input->data[at] ^= (guint8)(1u << g_rand_int_range (rand, 0, 8));
    break;
  case 2:
    if (span > 0)
      g_byte_array_remove_range (input, at, span);
    break;
  case 3: {
    g_autofree guint8 *copy = g_memdup2 (input->data + at, span);
    g_byte_array_append (input, copy, span);
    break;
  }
  case 4:
    g_byte_array_append (input, &byte, 1);
    break;
  default:
    g_byte_array_set_size (input, at);
  }
}

/* Usage: fuzz-driver SEED-FILE...; runs the fuzz target on the seeds, then on mutations of them. */
int
main (int argc, char **argv)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (RANDOM_SEED);

  for (int i = 0; i < INPUT_COUNT && argc > 1; i++) {
    g_autoptr (GByteArray) input = g_byte_array_new ();
    g_autofree char *text = NULL;
    g_autofree guint8 *exact = NULL;
    gsize size;
    if (!g_file_get_contents (argv[1 + i % (argc - 1)], &text, &size, NULL))
      return 1;
    g_byte_array_append (input, (const guint8 *)text, (guint)size);
    for (int left = i < argc - 1 ? 0 : g_rand_int_range (rand, 1, MUTATIONS_MAX); left > 0; left--)
      _mutate (rand, input);
    /* An allocation of the exact size lets AddressSanitizer see a read past the end. */
    exact = g_memdup2 (input->data, input->len);
    LLVMFuzzerTestOneInput (exact, input->len);
  }
  return argc > 1 ? 0 : 1;
}
