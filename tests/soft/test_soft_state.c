/* Soft objects, merged reports and the age of a confirmation.  */

#include <glib.h>
#include <string.h>

#include "core/cyf_freshness.h"
#include "core/cyt_merge.h"
#include "core/cyt_soft_state.h"
#include "cy_test.h"

#define MS CY_NS_PER_MS

static bool
put_entry (struct cyt_soft_state *soft, const char *vm, uint32_t port,
           cy_time_ns expires_at)
{
  char *key = g_strconcat ("entry/", vm, NULL);
  Cy__EntryStatus entry = CY__ENTRY_STATUS__INIT;
  entry.vm = (char *)vm;
  entry.http_port = port;
  Cy__Object object = CY__OBJECT__INIT;
  object.key = key;
  object.body_case = CY__OBJECT__BODY_ENTRY;
  object.entry = &entry;
  bool changed = cyt_soft_state_put (soft, &object, expires_at);
  g_free (key);
  return changed;
}

/* Synchronizes CHILD with PARENT; returns the number of objects sent.  */
static size_t
sync_child (const struct cyt_soft_state *parent, struct cyt_soft_state *child)
{
  Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
  cyt_soft_state_delta (parent, cyt_soft_state_epoch (child),
                        cyt_soft_state_sequence (child), NULL, NULL, &answer);
  size_t count = answer.n_soft;
  ck_assert_int_eq (cyt_soft_state_sync (child, &answer), CY_OK);
  cyt_soft_state_answer_clear (&answer);
  return count;
}

START_TEST (test_deltas)
{
  struct cyt_soft_state *parent = cyt_soft_state_create (5);
  struct cyt_soft_state *child = cyt_soft_state_create (0);
  ck_assert (put_entry (parent, "a", 1, 0));
  ck_assert (put_entry (parent, "b", 1, 0));
  ck_assert_uint_eq (sync_child (parent, child), 2);
  ck_assert (!put_entry (parent, "a", 1, 0));
  ck_assert_uint_eq (sync_child (parent, child), 0);
  ck_assert (put_entry (parent, "a", 2, 0));
  ck_assert_uint_eq (sync_child (parent, child), 1);
  ck_assert_uint_eq (cyt_soft_state_get (child, "entry/a")->entry->http_port,
                     2);
  ck_assert (cyt_soft_state_remove (parent, "entry/b"));
  ck_assert_uint_eq (sync_child (parent, child), 1);
  ck_assert_ptr_null (cyt_soft_state_get (child, "entry/b"));
  cyt_soft_state_destroy (parent);
  cyt_soft_state_destroy (child);
}
END_TEST

/* A parent with another epoch sends the full table, and the child removes the
   objects that the table does not contain.  */
START_TEST (test_epoch_change_sends_full_table)
{
  struct cyt_soft_state *first = cyt_soft_state_create (5);
  struct cyt_soft_state *second = cyt_soft_state_create (6);
  struct cyt_soft_state *child = cyt_soft_state_create (0);
  put_entry (first, "a", 1, 0);
  put_entry (first, "b", 1, 0);
  put_entry (second, "b", 2, 0);
  sync_child (first, child);
  ck_assert_uint_eq (sync_child (second, child), 1);
  ck_assert_ptr_null (cyt_soft_state_get (child, "entry/a"));
  ck_assert_uint_eq (cyt_soft_state_get (child, "entry/b")->entry->http_port,
                     2);
  Cy__SyncAnswer stale = CY__SYNC_ANSWER__INIT;
  stale.soft_epoch = 5;
  stale.soft_from = 1;
  stale.soft_to = 9;
  ck_assert_int_eq (cyt_soft_state_sync (child, &stale), CY_E_AGAIN);
  cyt_soft_state_destroy (first);
  cyt_soft_state_destroy (second);
  cyt_soft_state_destroy (child);
}
END_TEST

START_TEST (test_expiry)
{
  struct cyt_soft_state *soft = cyt_soft_state_create (1);
  put_entry (soft, "a", 1, 10);
  put_entry (soft, "b", 1, 0);
  ck_assert_uint_eq (cyt_soft_state_expire (soft, 9), 0);
  put_entry (soft, "a", 1, 20);
  ck_assert_uint_eq (cyt_soft_state_expire (soft, 10), 0);
  ck_assert_uint_eq (cyt_soft_state_expire (soft, 20), 1);
  ck_assert_ptr_null (cyt_soft_state_get (soft, "entry/a"));
  ck_assert_ptr_nonnull (cyt_soft_state_get (soft, "entry/b"));
  cyt_soft_state_destroy (soft);
}
END_TEST

/* After random changes, a child that synchronizes at random times has the same
   objects as its parent.  */
START_TEST (test_random_children_agree)
{
  uint64_t seed = 4711 + (uint64_t)_i;
  printf ("seed %llu\n", (unsigned long long)seed);
  struct cy_random random = cy_seeded_random (&seed);
  struct cyt_soft_state *parent = cyt_soft_state_create (9);
  struct cyt_soft_state *child = cyt_soft_state_create (0);
  for (int step = 0; step < 400; step++)
    {
      char vm[8];
      g_snprintf (vm, sizeof vm, "v%u",
                  (unsigned)cy_random_below (&random, 20));
      char *key = g_strconcat ("entry/", vm, NULL);
      if (cy_random_below (&random, 3) == 0)
        cyt_soft_state_remove (parent, key);
      else
        put_entry (parent, vm, (uint32_t)cy_random_below (&random, 4), 0);
      if (cy_random_below (&random, 4) == 0)
        sync_child (parent, child);
      g_free (key);
    }
  sync_child (parent, child);
  for (int i = 0; i < 20; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "entry/v%d", i);
      const Cy__Object *a = cyt_soft_state_get (parent, key);
      const Cy__Object *b = cyt_soft_state_get (child, key);
      ck_assert_int_eq (a == NULL, b == NULL);
      if (a != NULL)
        ck_assert_uint_eq (a->entry->http_port, b->entry->http_port);
    }
  cyt_soft_state_destroy (parent);
  cyt_soft_state_destroy (child);
}
END_TEST

/* ------------------------------------------------------------ merging */

static void
store_resolved (const char *key, const Cy__Object *object, void *context)
{
  struct cyt_soft_state *soft = context;
  if (object == NULL)
    cyt_soft_state_remove (soft, key);
  else
    cyt_soft_state_put (soft, object, 0);
}

static bool
report_backend (struct cyt_merge *merge, const char *child, const char *host,
                uint64_t incarnation, bool delta, cy_time_ns now)
{
  Cy__BackendStatus backend = CY__BACKEND_STATUS__INIT;
  backend.host = (char *)host;
  backend.incarnation = incarnation;
  Cy__Object object = CY__OBJECT__INIT;
  object.key = (char *)"backend/s/i";
  object.body_case = CY__OBJECT__BODY_BACKEND;
  object.backend = &backend;
  Cy__Object *objects[] = { &object };
  Cy__Report report = CY__REPORT__INIT;
  report.delta = delta;
  report.soft = objects;
  report.n_soft = host == NULL ? 0 : 1;
  return cyt_merge_report (merge, child, &report, now);
}

static const char *
backend_host (const struct cyt_soft_state *soft)
{
  const Cy__Object *object = cyt_soft_state_get (soft, "backend/s/i");
  return object == NULL ? "none" : object->backend->host;
}

/* Two children report the same backend server with different addresses.  The
   newer incarnation has precedence until the report of its child expires.  */
START_TEST (test_merge)
{
  struct cyt_soft_state *soft = cyt_soft_state_create (1);
  struct cyt_merge *merge = cyt_merge_create (store_resolved, soft);
  ck_assert (!report_backend (merge, "e1", "a", 1, true, 0));
  ck_assert (report_backend (merge, "e1", "a", 1, false, 0));
  ck_assert (report_backend (merge, "e2", "b", 2, false, 0));
  ck_assert_str_eq (backend_host (soft), "b");
  ck_assert (report_backend (merge, "e1", "a", 1, false, 0));
  ck_assert_str_eq (backend_host (soft), "b");
  cy_time_ns later = CYT_REPORT_LEASE_MS * MS;
  ck_assert (report_backend (merge, "e1", NULL, 0, true, later - 1));
  cyt_merge_expire (merge, later);
  ck_assert_str_eq (backend_host (soft), "a");
  ck_assert (report_backend (merge, "e1", NULL, 0, false, later));
  ck_assert_str_eq (backend_host (soft), "none");
  cyt_merge_destroy (merge);
  cyt_soft_state_destroy (soft);
}
END_TEST

/* ------------------------------------------------------------ age */

struct age_row
{
  cy_time_ns requested_at;
  cy_time_ns answered_at;
  cy_time_ns parent_age;
  cy_time_ns min_age; /* lower bound of the age at the time of the answer */
};

static const struct age_row age_rows[] = {
  { 0, 0, 0, 0 },
  { 0, 100 * MS, 0, 100 * MS },
  { 0, 100 * MS, 300 * MS, 400 * MS },
  { 500 * MS, 2500 * MS, 0, 2000 * MS },
};

/* The age counts from the time of the request, not of the answer.  */
START_TEST (test_age_counts_from_request)
{
  const struct age_row *row = &age_rows[_i];
  struct cyf_freshness freshness = { 0 };
  ck_assert (cyf_freshness_age (&freshness, 0) == CYF_AGE_UNKNOWN);
  uint64_t number
      = cyf_freshness_record_request (&freshness, row->requested_at);
  cyf_freshness_record_request (&freshness, row->answered_at);
  ck_assert (cyf_freshness_confirm (&freshness, number, row->parent_age));
  cy_time_ns age = cyf_freshness_age (&freshness, row->answered_at);
  ck_assert (age >= row->min_age);
  ck_assert (age <= row->min_age + row->min_age / 500 + 10);
}
END_TEST

START_TEST (test_age_never_decreases)
{
  struct cyf_freshness freshness = { 0 };
  uint64_t first = cyf_freshness_record_request (&freshness, 0);
  uint64_t second = cyf_freshness_record_request (&freshness, 500 * MS);
  ck_assert (cyf_freshness_confirm (&freshness, second, 0));
  cy_time_ns age = cyf_freshness_age (&freshness, 600 * MS);
  cyf_freshness_confirm (&freshness, first, 0);
  ck_assert (cyf_freshness_age (&freshness, 600 * MS) == age);
  ck_assert (!cyf_freshness_confirm (&freshness, 0, 0));
  ck_assert (!cyf_freshness_confirm (&freshness, 99, 0));
  ck_assert (!cyf_freshness_confirm (&freshness, second, -1));
  for (int i = 0; i < CYF_REQUESTS_MAX; i++)
    cyf_freshness_record_request (&freshness, 700 * MS);
  ck_assert (!cyf_freshness_confirm (&freshness, second, 0));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("soft");
  TCase *tcase = tcase_create ("soft");
  tcase_add_test (tcase, test_deltas);
  tcase_add_test (tcase, test_epoch_change_sends_full_table);
  tcase_add_test (tcase, test_expiry);
  tcase_add_loop_test (tcase, test_random_children_agree, 0, 20);
  tcase_add_test (tcase, test_merge);
  tcase_add_loop_test (tcase, test_age_counts_from_request, 0,
                       G_N_ELEMENTS (age_rows));
  tcase_add_test (tcase, test_age_never_decreases);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
