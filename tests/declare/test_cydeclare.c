/* Tests of libcydeclare: the first error stays and nothing is printed after
   it, the order of calls does not change the document, and the documents of
   the examples are accepted.  */

#include <glib.h>
#include <string.h>

#include "core/cyj_declaration.h"
#include "cy_test.h"
#include "cydeclare.h"

/* ---------------------------------------------------------------- errors */

static void
zone_without_region (struct cydeclare *d)
{
  cydeclare_zone (d, "z", "r");
}

static void
region_with_invalid_name (struct cydeclare *d)
{
  cydeclare_region (d, "North");
}

static void
region_without_name (struct cydeclare *d)
{
  cydeclare_region (d, NULL);
}

static void
region_twice (struct cydeclare *d)
{
  cydeclare_region (d, "r");
  cydeclare_region (d, "r");
}

static void
negative_rate (struct cydeclare *d)
{
  cydeclare_workspace (d, "w", -1, 0);
}

static void
cap_too_high (struct cydeclare *d)
{
  cydeclare_cap (d, "c", NULL, 1.5, 1000);
}

static void
cap_of_undeclared_service (struct cydeclare *d)
{
  cydeclare_cap (d, "c", "s", 0.5, 1000);
}

static void
link_to_itself (struct cydeclare *d)
{
  cydeclare_region (d, "r");
  cydeclare_link (d, "r", "r", 1, 1);
}

static void
route_twice (struct cydeclare *d)
{
  cydeclare_service (d, "s");
  cydeclare_open_route (d, "s", "/a");
  cydeclare_keyed_route (d, "s", "/a");
}

static void
post_without_route (struct cydeclare *d)
{
  cydeclare_service (d, "s");
  cydeclare_idempotent_post (d, "s", "/a");
}

static void
two_errors (struct cydeclare *d)
{
  cydeclare_weight (d, "w", 1);
  cydeclare_region (d, "North");
}

static const struct
{
  void (*build) (struct cydeclare *d);
  cy_result result;
  const char *message; /* text that the message must contain */
} failures[] = {
  { zone_without_region, CY_E_DECL_REFERENCE, "r is not among the regions" },
  { region_with_invalid_name, CY_E_DECL_FIELD, "North" },
  { region_without_name, CY_E_DECL_FIELD, "NULL" },
  { region_twice, CY_E_EXISTS, "regions.r" },
  { negative_rate, CY_E_DECL_FIELD, "rate must be from 0 to 1e+06, is -1" },
  { cap_too_high, CY_E_DECL_FIELD, "fraction" },
  { cap_of_undeclared_service, CY_E_DECL_REFERENCE, "services" },
  { link_to_itself, CY_E_DECL_FIELD, "itself" },
  { route_twice, CY_E_EXISTS, "/a" },
  { post_without_route, CY_E_DECL_REFERENCE, "/a" },
  { two_errors, CY_E_DECL_REFERENCE, "workspaces" },
};

START_TEST (test_failure)
{
  struct cydeclare *d = cydeclare_create ();
  failures[_i].build (d);
  ck_assert_int_eq (cydeclare_result (d), failures[_i].result);
  ck_assert_msg (strstr (cydeclare_message (d), failures[_i].message) != NULL,
                 "%s", cydeclare_message (d));
  ck_assert_int_eq (cydeclare_region (d, "later"), failures[_i].result);
  ck_assert_ptr_null (cydeclare_text (d));
  ck_assert_int_eq (cydeclare_print (d, stdout), failures[_i].result);
  cydeclare_destroy (d);
}
END_TEST

/* ----------------------------------------------------------------- order */

START_TEST (test_order)
{
  struct cydeclare *a = cydeclare_create ();
  struct cydeclare *b = cydeclare_create ();
  cydeclare_region (a, "r");
  cydeclare_zone (a, "z", "r");
  cydeclare_workspace (a, "w", 0.1, 2);
  cydeclare_workspace (b, "w", 0.1, 2);
  cydeclare_region (b, "r");
  cydeclare_zone (b, "z", "r");
  char *text_a = cydeclare_text (a);
  char *text_b = cydeclare_text (b);
  ck_assert_str_eq (text_a, text_b);
  ck_assert_ptr_nonnull (strstr (text_a, "\"rate\": 0.1\n"));
  free (text_a);
  free (text_b);
  cydeclare_destroy (a);
  cydeclare_destroy (b);
}
END_TEST

/* --------------------------------------------------------------- examples */

#define GOLDEN "tests/declare/golden"

START_TEST (test_examples)
{
  GDir *folder = g_dir_open (GOLDEN, 0, NULL);
  ck_assert_ptr_nonnull (folder);
  const char *name;
  unsigned count = 0;
  while ((name = g_dir_read_name (folder)) != NULL)
    {
      char *path = g_build_filename (GOLDEN, name, NULL);
      char *text = NULL;
      gsize length = 0;
      struct cyj_document *document = NULL;
      struct cyj_error error;
      ck_assert (g_file_get_contents (path, &text, &length, NULL));
      ck_assert_msg (cyj_document_read (text, length, &document, &error)
                         == CY_OK,
                     "%s: %s: %s", name, error.path, error.detail);
      cyj_document_destroy (document);
      g_free (text);
      g_free (path);
      count++;
    }
  g_dir_close (folder);
  ck_assert_uint_ge (count, 8);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cydeclare");
  TCase *tcase = tcase_create ("builder");
  tcase_add_loop_test (tcase, test_failure, 0, G_N_ELEMENTS (failures));
  tcase_add_test (tcase, test_order);
  tcase_add_test (tcase, test_examples);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
