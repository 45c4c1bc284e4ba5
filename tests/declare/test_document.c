/* Tests of reading documents: which ones are accepted, which field an error
   names, limits of numbers and sizes, defaults, and the differences from the
   state in force.  */

#include <glib.h>
#include <string.h>

#include "core/cyj_declaration.h"
#include "core/cyj_fields.h"
#include "cy_test.h"

#define MUTATIONS 20000
#define SEED      UINT64_C (20261204)

struct row
{
  const char *text;
  cy_result result;   /* expected result */
  const char *path;   /* expected path of the error */
  const char *detail; /* text that the detail must contain */
};

#define REGION_AND_ZONE                                                       \
  "\"regions\":{\"r\":{}},\"zones\":{\"z\":{\"region\":\"r\"}}"
#define WORKSPACE(fields) "{\"workspaces\":{\"coop-azul\":{" fields "}}}"

static const struct row rows[] = {
  { "{}", CY_OK, "", "" },
  { "{" REGION_AND_ZONE "}", CY_OK, "", "" },
  { "{\"regions\":{\"r\":{}},\"zones\":{}}", CY_OK, "", "" },
  { WORKSPACE ("\"rate\":0,\"burst\":0"), CY_OK, "", "" },
  { WORKSPACE ("\"rate\":1000000,\"burst\":1e7"), CY_OK, "", "" },
  { WORKSPACE ("\"rate\":-3,\"burst\":0"), CY_E_DECL_FIELD,
    "workspaces.coop-azul.rate", "must be a number from 0 to 1e6, is -3" },
  { WORKSPACE ("\"rate\":1000000.5,\"burst\":0"), CY_E_DECL_FIELD,
    "workspaces.coop-azul.rate", "is 1000000.5" },
  { WORKSPACE ("\"rate\":\"5\",\"burst\":0"), CY_E_DECL_FIELD,
    "workspaces.coop-azul.rate", "is \"5\"" },
  { WORKSPACE ("\"rate\":null,\"burst\":0"), CY_E_DECL_FIELD,
    "workspaces.coop-azul.rate", "is null" },
  { WORKSPACE ("\"rate\":5"), CY_E_DECL_FIELD, "workspaces.coop-azul.burst",
    "is missing" },
  { WORKSPACE ("\"rate\":5,\"burst\":1,\"brust\":2"), CY_E_DECL_FIELD,
    "workspaces.coop-azul.brust", "known: rate, burst" },
  { WORKSPACE ("\"rate\":5,\"burst\":1,\"serve_cut_off\":1"), CY_E_DECL_FIELD,
    "workspaces.coop-azul.serve_cut_off", "true or false" },
  { WORKSPACE ("\"rate\":5,\"burst\":1,\"cut_off_max_ms\":1.5"),
    CY_E_DECL_FIELD, "workspaces.coop-azul.cut_off_max_ms", "a whole number" },
  { WORKSPACE ("\"rate\":\"cyk_0123_456\",\"burst\":1"), CY_E_DECL_FIELD,
    "workspaces.coop-azul.rate", "is (hidden)" },
  { "{\"workspaces\":{\"Coop\":{\"rate\":1,\"burst\":1}}}", CY_E_DECL_FIELD,
    "workspaces.Coop", "a name has" },
  { "{\"workspaces\":[]}", CY_E_DECL_FIELD, "workspaces", "an object" },
  { "{\"workspace\":{}}", CY_E_DECL_FIELD, "workspace", "known: regions" },
  { "{" REGION_AND_ZONE ",\"workspace\":{}}", CY_E_DECL_FIELD, "workspace",
    "known" },
  { "[]", CY_E_DECL_FIELD, "", "must be an object" },
  { "{\"zones\":{\"z\":{\"region\":\"r\"}}}", CY_E_DECL_REFERENCE,
    "zones.z.region", "region/r" },
  { "{\"zones\":{\"z\":{}}}", CY_E_DECL_FIELD, "zones.z.region", "missing" },
  { "{\"caps\":{\"c\":{\"fraction\":0}}}", CY_OK, "", "" },
  { "{\"caps\":{\"c\":{\"fraction\":1}}}", CY_OK, "", "" },
  { "{\"caps\":{\"c\":{\"fraction\":1.01}}}", CY_E_DECL_FIELD,
    "caps.c.fraction", "from 0 to 1" },
  { "{\"caps\":{\"c\":{\"fraction\":1,\"service\":\"s\"}}}",
    CY_E_DECL_REFERENCE, "caps.c.service", "service/s" },
  { "{\"regions\":{\"a\":{},\"b\":{}},\"links\":{\"a:b\":{\"bits_per_s\":"
    "4e9}}}",
    CY_OK, "", "" },
  { "{\"regions\":{\"a\":{}},\"links\":{\"a:b\":{\"bits_per_s\":4e9}}}",
    CY_E_DECL_REFERENCE, "links.a:b", "region/b" },
  { "{\"regions\":{\"a\":{}},\"links\":{\"a:a\":{\"bits_per_s\":4e9}}}",
    CY_E_DECL_FIELD, "links.a:a", "REGION:REGION" },
  { "{\"regions\":{\"a\":{},\"b\":{}},\"links\":{\"a:b\":{\"bits_per_s\":1},"
    "\"b:a\":{\"bits_per_s\":1}}}",
    CY_E_DECL_FIELD, "links.b:a", "a:b" },
  { "{" REGION_AND_ZONE
    ",\"blocks\":{\"s\":{\"region\":\"r\",\"prefixes\":[\"10.1.0.0/"
    "16\",\"2001:db8::/32\",\"0.0.0.0/0\"]}}}",
    CY_OK, "", "" },
  { "{" REGION_AND_ZONE
    ",\"blocks\":{\"s\":{\"region\":\"r\",\"prefixes\":[\"10.1.0.1/"
    "16\"]}}}",
    CY_E_DECL_FIELD, "blocks.s.prefixes[0]", "an address block" },
  { "{" REGION_AND_ZONE
    ",\"blocks\":{\"s\":{\"region\":\"r\",\"prefixes\":[\"10.1.0.0/"
    "33\"]}}}",
    CY_E_DECL_FIELD, "blocks.s.prefixes[0]", "an address block" },
  { "{" REGION_AND_ZONE
    ",\"blocks\":{\"s\":{\"region\":\"r\",\"prefixes\":[\"10.1.0.0/"
    "16\"]},\"t\":{\"region\":\"r\",\"prefixes\":[\"10.1.0.0/16\"]}}}",
    CY_E_DECL_FIELD, "blocks.t.prefixes[0]", "once only" },
  { "{\"services\":{\"s\":{\"routes\":[{\"prefix\":\"/a\",\"open\":true}]}}}",
    CY_OK, "", "" },
  { "{\"services\":{\"s\":{\"routes\":[{\"prefix\":\"a\"}]}}}",
    CY_E_DECL_FIELD, "services.s.routes[0].prefix", "a path" },
  { "{\"services\":{\"s\":{\"routes\":[{\"prefix\":\"/a\"},{\"prefix\":\"/"
    "a\"}]}}}",
    CY_E_DECL_FIELD, "services.s.routes[1].prefix", "once only" },
  { "{\"services\":{\"s\":{\"timeout_ms\":0}}}", CY_E_DECL_FIELD,
    "services.s.timeout_ms", "from 1" },
  { "{\"limits\":{\"headroom\":1}}", CY_E_DECL_FIELD, "limits.headroom",
    "0.9" },
  { "{\"regions\":{\"a\":{},\"a\":{}}}", CY_E_DECL_SYNTAX, "", "line 1" },
  { "{\"regions\":", CY_E_DECL_SYNTAX, "", "line 1" },
  { "", CY_E_DECL_SYNTAX, "", "" },
};

START_TEST (test_rows)
{
  const struct row *row = &rows[_i];
  struct cyj_document *document = NULL;
  struct cyj_error error = { "", "" };
  cy_result result
      = cyj_document_read (row->text, strlen (row->text), &document, &error);
  ck_assert_msg (result == row->result, "%s: result %d, %s: %s", row->text,
                 result, error.path, error.detail);
  ck_assert_int_eq (document != NULL, result == CY_OK);
  ck_assert_str_eq (error.path, row->path);
  ck_assert_msg (strstr (error.detail, row->detail) != NULL, "%s: %s",
                 row->text, error.detail);
  cyj_document_destroy (document);
}
END_TEST

/* ------------------------------------------------------------- defaults */

START_TEST (test_defaults)
{
  struct cyj_document *document = NULL;
  struct cyj_error error;
  ck_assert_int_eq (cyj_document_read ("{}", 2, &document, &error), CY_OK);
  const GPtrArray *objects = cyj_document_objects (document);
  ck_assert_uint_eq (objects->len, 1);
  const Cy__Object *object = g_ptr_array_index (objects, 0);
  ck_assert_str_eq (object->key, "limits/fleet");
  ck_assert_uint_eq (object->limits->key_max_age_ms, 3000);
  ck_assert_uint_eq (object->limits->drain_notice_ms, 3000);
  ck_assert_uint_eq (object->limits->lookup_ttl_ms, 5000);
  ck_assert_double_eq (object->limits->headroom, 0.1);
  ck_assert_double_eq (object->limits->retry_budget, 0.1);
  cyj_document_destroy (document);
}
END_TEST

/* ----------------------------------------------------------------- diff */

struct edit
{
  const char *before; /* document in force */
  const char *after;  /* document that is compared with BEFORE */
  size_t puts;        /* expected number of objects to put */
  size_t deletes;     /* expected number of objects to delete */
  const char *line;   /* expected line of the first difference, "": none */
};

static const struct edit edits[] = {
  { "{}", "{}", 0, 0, "" },
  { WORKSPACE ("\"rate\":1,\"burst\":2"),
    WORKSPACE ("\"burst\":2.0,\"rate\":1"), 0, 0, "" },
  { WORKSPACE ("\"rate\":1,\"burst\":2"),
    WORKSPACE ("\"rate\":1,\"burst\":2,\"weight\":1"), 0, 0, "" },
  { WORKSPACE ("\"rate\":1,\"burst\":2"), WORKSPACE ("\"rate\":5,\"burst\":2"),
    1, 0, "~ workspace/coop-azul: rate 1 -> 5" },
  { WORKSPACE ("\"rate\":1,\"burst\":2"), "{}", 0, 1,
    "- workspace/coop-azul" },
  { "{}", "{\"regions\":{\"r\":{}}}", 1, 0, "+ region/r" },
  { "{}", WORKSPACE ("\"rate\":5,\"burst\":2"), 1, 0,
    "+ workspace/coop-azul: rate 5, burst 2, weight 1, serve_cut_off false, "
    "cut_off_max_ms 0" },
};

static void
submit (struct cys_state *state, const char *text, struct cyj_diff *diff)
{
  struct cyj_document *document = NULL;
  struct cyj_error error;
  ck_assert_int_eq (cyj_document_read (text, strlen (text), &document, &error),
                    CY_OK);
  cyj_diff_make (document, state, diff);
  Cy__Change change = CY__CHANGE__INIT;
  char *request = g_strdup_printf ("r%u", g_random_int ());
  change.request_id = request;
  change.n_objects = diff->objects->len;
  change.objects = (Cy__Object **)diff->objects->pdata;
  ck_assert_uint_eq (cys_state_apply (state, &change)->result, CY_OK);
  cyj_document_destroy (document);
  g_free (request);
}

START_TEST (test_diff)
{
  const struct edit *row = &edits[_i];
  struct cys_state *state = cys_state_create ();
  struct cyj_diff diff;
  submit (state, row->before, &diff);
  cyj_diff_clear (&diff);
  Cy__Object drain = CY__OBJECT__INIT;
  Cy__Drain body = CY__DRAIN__INIT;
  drain.key = "drain/zone:z";
  drain.body_case = CY__OBJECT__BODY_DRAIN;
  drain.drain = &body;
  Cy__Object *objects[] = { &drain };
  Cy__Change change = CY__CHANGE__INIT;
  change.request_id = "drain";
  change.n_objects = 1;
  change.objects = objects;
  ck_assert_uint_eq (cys_state_apply (state, &change)->result, CY_OK);
  submit (state, row->after, &diff);
  ck_assert_uint_eq (diff.puts, row->puts);
  ck_assert_uint_eq (diff.deletes, row->deletes);
  if (row->line[0] != '\0')
    ck_assert_str_eq (g_ptr_array_index (diff.lines, 0), row->line);
  ck_assert_ptr_nonnull (cys_state_get (state, "drain/zone:z"));
  cyj_diff_clear (&diff);
  json_t *printed = cyj_state_json (state);
  char *text = json_dumps (printed, 0);
  submit (state, text, &diff);
  ck_assert_uint_eq (diff.objects->len, 0);
  cyj_diff_clear (&diff);
  free (text);
  json_decref (printed);
  cys_state_destroy (state);
}
END_TEST

/* --------------------------------------------------------------- bounds */

/* A document with too many bytes or values is refused before it is parsed,
   and deep nesting is refused by the parser: a hostile document must not make
   the process allocate without a bound.  */
START_TEST (test_bounds)
{
  struct cyj_document *document = NULL;
  struct cyj_error error;
  size_t length = 2u * CYJ_DOCUMENT_VALUES_MAX + 10;
  char *text = g_malloc (CYJ_DOCUMENT_BYTES_MAX + 1);
  memset (text, ' ', CYJ_DOCUMENT_BYTES_MAX + 1);
  ck_assert_int_eq (
      cyj_document_read (text, CYJ_DOCUMENT_BYTES_MAX + 1, &document, &error),
      CY_E_TOO_LARGE);
  for (size_t i = 0; i < length; i += 2)
    {
      text[i] = i == 0 ? '[' : ',';
      text[i + 1] = '0';
    }
  ck_assert_int_eq (cyj_document_read (text, length, &document, &error),
                    CY_E_TOO_LARGE);
  memset (text, '[', 100000);
  ck_assert_int_eq (cyj_document_read (text, 100000, &document, &error),
                    CY_E_DECL_SYNTAX);
  g_free (text);
}
END_TEST

/* Changes random bytes of a valid document.  The parser must not crash and
   must return either a document or an error with a detail.  */
START_TEST (test_mutations)
{
  static const char valid[]
      = "{" REGION_AND_ZONE
        ",\"links\":{},\"services\":{\"s\":{\"routes\":[{\"prefix\":"
        "\"/a\",\"open\":true}],\"timeout_ms\":100}},\"caps\":{\"c\":{"
        "\"fraction\":0.5,\"service\":\"s\"}},\"blocks\":{\"b\":{\"region\":"
        "\"r\",\"prefixes\":[\"10.0.0.0/8\",\"2001:db8::/32\"]}},"
        "\"workspaces\":{\"w\":{\"rate\":1.5,\"burst\":2e2}},\"limits\":{"
        "\"headroom\":0.2}}";
  uint64_t seed = SEED;
  struct cy_random random = cy_seeded_random (&seed);
  unsigned accepted = 0;
  for (int i = 0; i < MUTATIONS; i++)
    {
      char text[sizeof valid];
      struct cyj_document *document = NULL;
      struct cyj_error error = { "", "" };
      size_t length = sizeof valid - 1;
      memcpy (text, valid, sizeof valid);
      uint64_t edit_count = cy_random_below (&random, 4);
      for (uint64_t j = 0; j < edit_count; j++)
        text[cy_random_below (&random, length)]
            = (char)cy_random_below (&random, 256);
      if (cy_random_below (&random, 8) == 0)
        length = cy_random_below (&random, length);
      cy_result result = cyj_document_read (text, length, &document, &error);
      ck_assert_int_eq (document != NULL, result == CY_OK);
      ck_assert (result == CY_OK || error.detail[0] != '\0');
      accepted += result == CY_OK;
      cyj_document_destroy (document);
    }
  ck_assert_uint_gt (accepted, MUTATIONS / 10);
  ck_assert_uint_lt (accepted, MUTATIONS / 2);
}
END_TEST

/* ----------------------------------------------------------------- page */

#define PAGE "docs/DECLARATIONS.md"

static void
assert_page_names (const char *page, const struct cyj_field *fields)
{
  for (; fields->name != NULL; fields++)
    {
      char *name = g_strdup_printf ("`%s`", fields->name);
      ck_assert_msg (strstr (page, name) != NULL, "%s lacks %s", PAGE, name);
      g_free (name);
    }
}

/* docs/DECLARATIONS.md must name every section and field, and its example
   document must be accepted.  */
START_TEST (test_page)
{
  char *page = NULL;
  struct cyj_document *document = NULL;
  struct cyj_error error;
  ck_assert (g_file_get_contents (PAGE, &page, NULL, NULL));
  for (const struct cyj_kind *kind = cyj_kinds; kind->section != NULL; kind++)
    {
      char *name = g_strdup_printf ("`%s`", kind->section);
      ck_assert_msg (strstr (page, name) != NULL, "%s lacks %s", PAGE, name);
      g_free (name);
      assert_page_names (page, kind->fields);
    }
  assert_page_names (page, cyj_route_fields);
  char *start = strstr (page, "```json\n") + strlen ("```json\n");
  size_t length = (size_t)(strstr (start, "```") - start);
  ck_assert_msg (cyj_document_read (start, length, &document, &error) == CY_OK,
                 "%s: %s", error.path, error.detail);
  cyj_document_destroy (document);
  g_free (page);
}
END_TEST

int
main (void)
{
  printf ("seed %" G_GUINT64_FORMAT "\n", (guint64)SEED);
  Suite *suite = suite_create ("document");
  TCase *tcase = tcase_create ("read");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_rows, 0, G_N_ELEMENTS (rows));
  tcase_add_test (tcase, test_defaults);
  tcase_add_loop_test (tcase, test_diff, 0, G_N_ELEMENTS (edits));
  tcase_add_test (tcase, test_bounds);
  tcase_add_test (tcase, test_page);
  tcase_add_test (tcase, test_mutations);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
