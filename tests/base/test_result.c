/* docs/ERRORS.md and include/cy_result.h must list the same results.  */

#include <glib.h>

#include "cy_result.h"
#include "cy_test.h"

struct row
{
  int number;
  const char *name;
  const char *text;
};

#define ROW(name, number, text) { number, #name, text },
static const struct row rows[] = { CY_RESULTS (ROW) };

START_TEST (test_page_has_row)
{
  const struct row *row = &rows[_i];
  char *page = NULL;
  ck_assert (g_file_get_contents ("docs/ERRORS.md", &page, NULL, NULL));
  char *row_text = g_strdup_printf ("| %d | `%s` | %s |", row->number,
                                    row->name, row->text);
  ck_assert_msg (g_strstr_len (page, -1, row_text) != NULL, "missing: %s",
                 row_text);
  g_free (row_text);
  g_free (page);
}
END_TEST

START_TEST (test_page_has_no_other_row)
{
  char *page = NULL;
  ck_assert (g_file_get_contents ("docs/ERRORS.md", &page, NULL, NULL));
  size_t count = 0;
  for (char *position = page;
       (position = g_strstr_len (position, -1, "| `CY_")) != NULL; position++)
    count++;
  ck_assert_uint_eq (count, G_N_ELEMENTS (rows));
  g_free (page);
}
END_TEST

START_TEST (test_names_and_texts)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      ck_assert_str_eq (cy_result_name ((cy_result)rows[i].number),
                        rows[i].name);
      ck_assert_str_eq (cy_result_text ((cy_result)rows[i].number),
                        rows[i].text);
    }
  ck_assert_str_eq (cy_result_text ((cy_result)99999), "unknown result");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("result");
  TCase *tcase = tcase_create ("table");
  tcase_add_loop_test (tcase, test_page_has_row, 0, G_N_ELEMENTS (rows));
  tcase_add_test (tcase, test_page_has_no_other_row);
  tcase_add_test (tcase, test_names_and_texts);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
