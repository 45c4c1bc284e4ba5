/* Metrics: escaped labels, the limit on label sets, the order of the page.  */

#include <string.h>

#include "base/cyu_metrics.h"
#include "cy_test.h"

static const struct
{
  const char *value;
  const char *text;
} labels[] = {
  { "r-1", "route=\"r-1\"" },     { "", "route=\"\"" },
  { "a\"b", "route=\"a\\\"b\"" }, { "a\\b", "route=\"a\\\\b\"" },
  { "a\nb", "route=\"a\\nb\"" },
};

START_TEST (test_label)
{
  GString *text = g_string_new (NULL);
  cyu_label_append (text, "route", labels[_i].value);
  ck_assert_str_eq (text->str, labels[_i].text);
  cyu_label_append (text, "more", "x");
  ck_assert (g_str_has_suffix (text->str, ",more=\"x\""));
  g_string_free (text, TRUE);
}
END_TEST

/* A declaration with many routes would make the page of metrics too large. The
   first label sets have counters of their own, the rest share one, and every
   addition is counted.  */
START_TEST (test_many)
{
  const unsigned set_count = 3 * CYU_LABEL_SETS_MAX;
  for (unsigned round = 0; round < 2; round++)
    for (unsigned i = 0; i < set_count; i++)
      {
        char text[32];
        g_snprintf (text, sizeof text, "route=\"r%u\"", i);
        cyu_metric_add (
            cyu_counter_bounded ("many_total", text, "route=\"others\"", "h"),
            1);
      }
  struct cyu_metric *first
      = cyu_counter_bounded ("many_total", "route=\"r0\"", "", "h");
  struct cyu_metric *rest
      = cyu_counter_bounded ("many_total", "route=\"others\"", "", "h");
  ck_assert_int_eq (cyu_metric_read (first), 2);
  ck_assert_int_eq (cyu_metric_read (rest),
                    2 * (set_count - CYU_LABEL_SETS_MAX));
  /* Each name has a limit of its own.  */
  cyu_metric_add (cyu_counter_bounded ("other_total", "a=\"1\"", "", "h"), 5);
  char *text = cyu_metrics_print ();
  ck_assert_ptr_nonnull (strstr (text, "other_total{a=\"1\"} 5"));
  g_free (text);
}
END_TEST

/* A collector truncates the page of a VM after some KB: counters come before
   histograms, whatever their names.  */
START_TEST (test_counters_first)
{
  cyu_metric_record_time (cyu_histogram ("a_seconds", "", "h"), 1000);
  cyu_metric_add (cyu_counter ("z_total", "", "h"), 1);
  char *text = cyu_metrics_print ();
  const char *counter = strstr (text, "z_total 1");
  const char *histogram = strstr (text, "a_seconds_bucket");
  ck_assert_ptr_nonnull (counter);
  ck_assert_ptr_nonnull (histogram);
  ck_assert (counter < histogram);
  g_free (text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("metrics");
  TCase *tcase = tcase_create ("metrics");
  tcase_add_loop_test (tcase, test_label, 0, G_N_ELEMENTS (labels));
  tcase_add_test (tcase, test_many);
  tcase_add_test (tcase, test_counters_first);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
