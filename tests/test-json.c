#include "vp-json.h"

#include <string.h>

typedef struct {
  const char *text;
  const char *error; /* part of the message; NULL: accepted */
} Case;

static char *
_open_error (const char *text, size_t size)
{
  VpJson json;
  GError *error = NULL;
  char *message;

  if (vp_json_open (&json, text, size, &error)) {
    g_hash_table_add (json.seen, (gpointer) "a");
    g_assert_true (vp_json_close (&json, NULL));
    return NULL;
  }
  g_assert_nonnull (error);
  message = g_strdup (error->message);
  g_error_free (error);
  return message;
}

/* Guards against text that json-glib accepts although it is not valid JSON, which must not be used
 * as settings or configuration. */
static void
test_syntax (void)
{
  static const Case cases[] = {
    { "{}", NULL },
    { " {\"a\":[1,-2.5e+3,true,false,null,\"\\ud83d\\ude00\\n\",{}]}\r\n", NULL },
    { "{\"a\":-9223372036854775808}", NULL },
    { "{\"a\":9223372036854775807}", NULL },
    { "", "unexpected end" },
    { "[]", "must be an object" },
    { "{} x", "text after the end" },
    { "{}{}", "text after the end" },
    { "{\"a\":1 /* c */}", "expected ','" },
    { "// c\n{}", "expected a value" },
    { "{\"a\":1,}", "expected a string" },
    { "{\"a\":[1,]}", "a[1]: expected a value" },
    { "{'a':1}", "expected a string" },
    { "{\"a\":NaN}", "a: expected a value" },
    { "{\"a\":Infinity}", "a: expected a value" },
    { "{\"a\":-Infinity}", "a: bad number" },
    { "{\"a\":1e999}", "a: number out of range" },
    { "{\"a\":9223372036854775808}", "a: number out of range" },
    { "{\"a\":-9223372036854775809}", "a: number out of range" },
    { "{\"a\":01}", "a: bad number" },
    { "{\"a\":0x1}", "expected ','" },
    { "{\"a\":1.}", "a: bad number" },
    { "{\"a\":+1}", "a: expected a value" },
    { "{\"a\":1,\"a\":1}", "a: field is given twice" },
    { "{\"a\":[{},{\"b\":1,\"b\":2}]}", "a[1].b: field is given twice" },
    { "{\"a\":1,\"\\u0061\":2}", "escape in a field name" },
    { "{\"a\":\"\\u0000\"}", "NUL" },
    { "{\"a\":\"\\ud800\"}", "lone surrogate" },
    { "{\"a\":\"\\udc00\"}", "lone surrogate" },
    { "{\"a\":\"\\x\"}", "unknown escape" },
    { "{\"a\":\"x\ty\"}", "unescaped control" },
    { "{\"a\":\"x", "unterminated" },
    { "{\"a\":\"\\", "unterminated" },
    { "{\"a\":\"\\u12", "bad \\u escape" },
    { "{\"a\":\"\xff\"}", "not UTF-8" },
    { "{\"a\" 1}", "expected ':'" },
    { "{\"a\":tru}", "expected a value" },
    { "{\"a\":", "unexpected end" },
    { "\xef\xbb\xbf{}", "expected a value" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autofree char *error = _open_error (cases[i].text, strlen (cases[i].text));
    g_test_message ("%s -> %s", cases[i].text, error);
    if (cases[i].error == NULL)
      g_assert_null (error);
    else
      g_assert_nonnull (error != NULL ? strstr (error, cases[i].error) : NULL);
  }
}

/* Guards against a stack overflow due to deep nesting, and against reading past the end of text
 * that has no NUL terminator or has a NUL inside. */
static void
test_bounds (void)
{
  g_autoptr (GString) text = g_string_new ("{\"a\":");
  g_autofree char *deep = NULL;
  g_autofree char *limit = NULL;
  g_autofree char *nul = _open_error ("{\"a\":1}\0", 8);
  char *exact = g_memdup2 ("{\"a\":12}", 8);

  for (int i = 0; i < 1000000; i++)
    g_string_append_c (text, '[');
  deep = _open_error (text->str, text->len);
  g_assert_nonnull (strstr (deep, "nested deeper than 16"));
  g_string_truncate (text, 5 + 15);
  for (int i = 0; i < 15; i++)
    g_string_append_c (text, ']');
  g_string_append_c (text, '}');
  limit = _open_error (text->str, text->len);
  g_assert_null (limit);
  g_assert_nonnull (nul);
  for (size_t size = 0; size < 8; size++) {
    char *part = g_memdup2 (exact, MAX (size, 1));
    g_autofree char *error = _open_error (part, size);
    g_assert_nonnull (error);
    g_free (part);
  }
  g_free (exact);
}

/* Reads a document with fields of all types. Their names are those of the expected errors. */
static bool
_read (const char *text, GError **error)
{
  VpJson json;
  VpJson child;
  VpResources size;

  if (!vp_json_open (&json, text, strlen (text), error))
    return false;
  (void)vp_json_string (&json, "s", 4, "");
  (void)vp_json_text (&json, "t", 4, "");
  (void)vp_json_name (&json, "n", VP_JSON_REQUIRED);
  (void)vp_json_int (&json, "i", -1, 10, 5);
  (void)vp_json_bool (&json, "b", true);
  if (vp_json_has (&json, "z"))
    vp_json_size (&json, "z", &size);
  for (uint32_t i = 0; i < vp_json_array (&json, "l", 2, false); i++)
    if (vp_json_element (&json, "l", i, &child)) {
      if (vp_json_has (&child, "limit"))
        vp_json_size (&child, "limit", &size);
      if (vp_json_int (&child, "v", 0, 9, 0) == 7)
        vp_json_fail (&child, "v", "must not be %d", 7);
      vp_json_close_child (&child);
    }
  for (uint32_t i = 0; i < vp_json_array (&json, "w", 2, false); i++)
    (void)vp_json_element_string (&json, "w", i, 3);
  return vp_json_close (&json, error);
}

/* Guards against a wrong type, a value out of range or an unknown field that is accepted, and
 * against an error that does not name the field. */
static void
test_fields (void)
{
  static const Case cases[] = {
    { "{\"n\":\"a\"}", NULL },
    { "{\"n\":\"0.a_-\",\"s\":\"abc\",\"t\":\"a\\nb\",\"i\":10,\"b\":false,\"l\":[{\"v\":1},{}],"
      "\"w\":[\"ab\"],\"z\":{\"cpu_milli\":1,\"mem_mib\":2}}",
      NULL },
    { "{}", "n: missing" },
    { "{\"n\":\"\"}", "n: must be made of" },
    { "{\"n\":\"-a\"}", "n: must be made of" },
    { "{\"n\":\"A\"}", "n: must be made of" },
    { "{\"n\":\"a/b\"}", "n: must be made of" },
    { "{\"n\":\"a23456789.123456789.123456789.123456789.1234567\"}", NULL },
    { "{\"n\":\"a23456789.123456789.123456789.123456789.12345678\"}", "n: must be shorter" },
    { "{\"n\":null}", "n: must be a string" },
    { "{\"n\":\"a\",\"s\":\"abcd\"}", "s: must be shorter than 4" },
    { "{\"n\":\"a\",\"s\":\"a\\n\"}", "s: has a control" },
    { "{\"n\":\"a\",\"s\":\"a\\u007f\"}", "s: has a control" },
    { "{\"n\":\"a\",\"i\":11}", "i: must be from -1 to 10" },
    { "{\"n\":\"a\",\"i\":-2}", "i: must be from -1 to 10" },
    { "{\"n\":\"a\",\"i\":1.0}", "i: must be an integer" },
    { "{\"n\":\"a\",\"i\":1e0}", "i: must be an integer" },
    { "{\"n\":\"a\",\"i\":\"1\"}", "i: must be an integer" },
    { "{\"n\":\"a\",\"i\":true}", "i: must be an integer" },
    { "{\"n\":\"a\",\"i\":null}", "i: must be an integer" },
    { "{\"n\":\"a\",\"b\":1}", "b: must be true or false" },
    { "{\"n\":\"a\",\"l\":{}}", "l: must be an array" },
    { "{\"n\":\"a\",\"l\":[{},{},{}]}", "l: must have at most 2" },
    { "{\"n\":\"a\",\"l\":[{},1]}", "l[1]: must be an object" },
    { "{\"n\":\"a\",\"l\":[{},{\"x\":1}]}", "l[1].x: unknown field" },
    { "{\"n\":\"a\",\"l\":[{\"v\":7}]}", "l[0].v: must not be 7" },
    { "{\"n\":\"a\",\"l\":[{\"limit\":{\"cpu_milli\":-1,\"mem_mib\":1}}]}",
      "l[0].limit.cpu_milli: must be from 0" },
    { "{\"n\":\"a\",\"z\":{\"cpu_milli\":1}}", "z.mem_mib: missing" },
    { "{\"n\":\"a\",\"z\":{\"cpu_milli\":1,\"mem_mib\":1,\"x\":1}}", "z.x: unknown field" },
    { "{\"n\":\"a\",\"w\":[\"ab\",\"abc\"]}", "w[1]: must be shorter" },
    { "{\"n\":\"a\",\"w\":[{}]}", "w[0]: must be a string" },
    { "{\"n\":\"a\",\"x\":1}", "x: unknown field" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autoptr (GError) error = NULL;
    bool is_ok = _read (cases[i].text, &error);
    g_test_message ("%s -> %s", cases[i].text, error != NULL ? error->message : "accepted");
    g_assert_cmpint (is_ok, ==, cases[i].error == NULL);
    if (error != NULL)
      g_assert_true (g_str_has_prefix (error->message, cases[i].error));
  }
}

/* Guards against host names, missing ports and malformed addresses that are accepted in settings.
 */
static void
test_addresses (void)
{
  static const char *const good[] = { "127.0.0.1:80", "[::1]:65535", "10.0.0.255:1" };
  static const char *const bad[] = {
    "",
    "127.0.0.1",
    "127.0.0.1:",
    ":80",
    "localhost:80",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:8x",
    "::1:80",
    "[::1]",
    "[::1:80",
    "[127.0.0.1]:80",
    "127.0.0.256:80",
    "127.0.0.1:+8",
    " 127.0.0.1:80",
    "[]:80",
    "[:80",
  };

  for (guint i = 0; i < G_N_ELEMENTS (good); i++)
    g_assert_true (vp_json_is_address (good[i]));
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_false (vp_json_is_address (bad[i]));
}

/* Guards against a body of very many values that is parsed, against values that aren't counted
 * since they look like a part of a string, and against a legal body that is refused for its text.
 */
static void
test_count (void)
{
  static const struct {
    const char *text;
    uint32_t count;
  } cases[] = {
    { "1", 1 },
    { "[]", 1 },
    { "[[],[]]", 3 },
    { "[1,2,3]", 4 },
    { "{\"a\":1,\"b\":[1,{\"c\":\"d\"}]}", 6 },
    { "{\"a\":\"[,,,\\\",{\",\"b\":2}", 3 },
    { "{\"a\\\\\":1,\"b\":2}", 3 },
  };
  g_autofree char *text = g_strnfill (100000, ',');
  g_autofree char *fields = NULL;
  g_autoptr (GString) many = g_string_new ("{");

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    size_t size = strlen (cases[i].text);
    g_assert_true (vp_json_check_count (cases[i].text, size, cases[i].count));
    if (size / 2 >= cases[i].count - 1)
      g_assert_false (vp_json_check_count (cases[i].text, size, cases[i].count - 1));
  }
  fields = g_strdup_printf ("{\"spec\":\"%s\"}", text);
  g_assert_true (vp_json_check_count (fields, strlen (fields), 2));
  for (int i = 0; i < 26000; i++)
    g_string_append_printf (many, "%s\"%x\":1", i > 0 ? "," : "", (unsigned)i);
  g_string_append_c (many, '}');
  g_assert_true (vp_json_check_syntax (many->str, many->len, NULL));
  g_assert_false (vp_json_check_count (many->str, many->len, 26000));
  g_assert_true (vp_json_check_count (many->str, many->len, 26001));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/json/syntax", test_syntax);
  g_test_add_func ("/json/bounds", test_bounds);
  g_test_add_func ("/json/fields", test_fields);
  g_test_add_func ("/json/count", test_count);
  g_test_add_func ("/json/addresses", test_addresses);
  return g_test_run ();
}
