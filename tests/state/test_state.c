/* Tests of applying changes: versions, compare-and-set, resends of a request
   id, rules of keys, rollback and the audit trail.  */

#include <glib.h>
#include <string.h>

#include "core/cys_state.h"
#include "cy_test.h"
#include "state_changes.h"

struct step
{
  const char *request_id;
  const char *who;
  int64_t base; /* version that the change expects, -1: any */
  const char *workspace;
  double rate;      /* rate to put, below 0: the workspace is deleted */
  cy_result result; /* expected result */
  uint64_t version; /* expected version in the result */
  /* Expected author of the change that caused the conflict, "": none.  */
  const char *conflict_who;
};

static const struct step steps[] = {
  { "r1", "alice", 0, "a", 5, CY_OK, 1, "" },
  { "r1", "alice", 0, "a", 5, CY_OK, 1, "" },
  { "r1", "alice", 0, "a", 6, CY_E_REQUEST_REUSED, 1, "" },
  { "r1", "bob", 0, "a", 5, CY_E_REQUEST_REUSED, 1, "" },
  { "r2", "bob", 0, "a", 7, CY_E_VERSION_CONFLICT, 1, "alice" },
  { "r2", "bob", 0, "a", 7, CY_E_VERSION_CONFLICT, 1, "alice" },
  { "r3", "bob", 1, "b", 7, CY_OK, 2, "" },
  { "r4", "bob", 9, "b", 8, CY_E_VERSION_CONFLICT, 2, "bob" },
  { "r5", "bob", -1, "b", 7, CY_OK, 2, "" },
  { "r6", "bob", -1, "b", -1, CY_OK, 3, "" },
  { "r7", "bob", -1, "b", -1, CY_OK, 3, "" },
  { "r1", "alice", 0, "a", 5, CY_OK, 1, "" },
};

START_TEST (test_steps)
{
  struct cys_state *state = cys_state_create ();
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      const struct step *row = &steps[i];
      Cy__Object *object = row->rate < 0
                               ? object_deleted ("workspace", row->workspace)
                               : object_workspace (row->workspace, row->rate);
      Cy__Change *change
          = change_new (row->request_id, row->who, row->base, object);
      const Cy__ChangeResult *result = cys_state_apply (state, change);
      ck_assert_msg (
          result->result == row->result && result->version == row->version
              && strcmp (result->conflict_who, row->conflict_who) == 0,
          "step %zu: result %u version %u who '%s'", i, result->result,
          (unsigned)result->version, result->conflict_who);
      ck_assert_uint_ge (cys_state_version (state), result->version);
      cy__change__free_unpacked (change, NULL);
    }
  cys_state_destroy (state);
}
END_TEST

/* ---------------------------------------------------------------- keys */

struct key_step
{
  const char *id;
  uint8_t digest;
  bool withdrawn;
  bool deleted;
  cy_result result;     /* expected result */
  bool withdrawn_after; /* expected mark of the stored key */
};

static const struct key_step key_steps[] = {
  { "k1", 1, false, false, CY_OK, false },
  { "k1", 2, false, false, CY_E_EXISTS, false },
  { "k1", 1, true, false, CY_OK, true },
  { "k1", 1, false, false, CY_E_KEY_WITHDRAWN, true },
  { "k1", 9, true, false, CY_OK, true },
  { "k1", 1, false, true, CY_E_ARGUMENT, true },
  { "k2", 0, true, false, CY_OK, true },
  { "k2", 3, false, false, CY_E_KEY_WITHDRAWN, true },
};

START_TEST (test_keys)
{
  struct cys_state *state = cys_state_create ();
  for (size_t i = 0; i < G_N_ELEMENTS (key_steps); i++)
    {
      const struct key_step *row = &key_steps[i];
      char request[16], name[16];
      g_snprintf (request, sizeof request, "r%zu", i);
      g_snprintf (name, sizeof name, "key/%s", row->id);
      Cy__Object *object
          = row->deleted ? object_deleted ("key", row->id)
                         : object_key (row->id, row->digest, row->withdrawn);
      Cy__Change *change = change_new (request, "alice", -1, object);
      const Cy__ChangeResult *result = cys_state_apply (state, change);
      ck_assert_msg (result->result == row->result, "step %zu: %u", i,
                     result->result);
      const Cy__Object *stored = cys_state_get (state, name);
      ck_assert_int_eq (stored->access_key->withdrawn, row->withdrawn_after);
      cy__change__free_unpacked (change, NULL);
    }
  const Cy__Object *first = cys_state_get (state, "key/k1");
  ck_assert_uint_eq (first->access_key->digest.data[0], 1);
  cys_state_destroy (state);
}
END_TEST

/* ------------------------------------------------------------ rollback */

static void
put_rate (struct cys_state *state, const char *request, const char *name,
          double rate)
{
  Cy__Change *change
      = change_new (request, "alice", -1, object_workspace (name, rate));
  ck_assert_uint_eq (cys_state_apply (state, change)->result, CY_OK);
  cy__change__free_unpacked (change, NULL);
}

START_TEST (test_rollback)
{
  struct cys_state *state = cys_state_create ();
  put_rate (state, "r1", "a", 1);
  put_rate (state, "r2", "b", 2);
  put_rate (state, "r3", "a", 3);
  Cy__Change *key
      = change_new ("r4", "alice", -1, object_key ("k1", 1, false));
  cys_state_apply (state, key);
  cy__change__free_unpacked (key, NULL);
  GPtrArray *objects = g_ptr_array_new ();
  ck_assert_int_eq (cys_state_collect_rollback (state, 9, objects),
                    CY_E_ARGUMENT);
  ck_assert_int_eq (cys_state_collect_rollback (state, 1, objects), CY_OK);
  ck_assert_uint_eq (objects->len, 2);
  Cy__Change change = CY__CHANGE__INIT;
  change.request_id = "r5";
  change.n_objects = objects->len;
  change.objects = (Cy__Object **)objects->pdata;
  ck_assert_uint_eq (cys_state_apply (state, &change)->version, 5);
  ck_assert_double_eq (cys_state_get (state, "workspace/a")->workspace->rate,
                       1);
  ck_assert_ptr_null (cys_state_get (state, "workspace/b"));
  ck_assert_ptr_nonnull (cys_state_get (state, "key/k1"));
  g_ptr_array_free (objects, TRUE);
  cys_state_destroy (state);
}
END_TEST

/* --------------------------------------------------------------- audit */

START_TEST (test_audit)
{
  struct cys_state *state = cys_state_create ();
  for (int i = 0; i < 10; i++)
    {
      char request[16];
      g_snprintf (request, sizeof request, "r%d", i);
      put_rate (state, request, "a", i);
    }
  Cy__Change refused = CY__CHANGE__INIT;
  refused.request_id = "bad";
  refused.refused = CY_E_DECL_FIELD;
  ck_assert_uint_eq (cys_state_apply (state, &refused)->result,
                     CY_E_DECL_FIELD);
  ck_assert_uint_eq (cys_state_version (state), 10);
  const Cy__AuditLine **lines;
  uint8_t start[32] = { 0 };
  uint64_t bad_index = 0;
  ck_assert_uint_eq (cys_state_audit_lines (state, 1, 100, &lines), 11);
  ck_assert_int_eq (cys_audit_verify (lines, 11, start, &bad_index), CY_OK);
  ck_assert_int_eq (cys_audit_verify (lines + 3, 8, NULL, &bad_index), CY_OK);
  Cy__AuditLine edited = *lines[4];
  edited.who = "mallory";
  lines[4] = &edited;
  ck_assert_int_eq (cys_audit_verify (lines, 11, start, &bad_index),
                    CY_E_AUDIT_BROKEN);
  ck_assert_uint_eq (bad_index, 5);
  lines[4] = lines[5];
  ck_assert_int_eq (cys_audit_verify (lines, 5, start, &bad_index),
                    CY_E_AUDIT_BROKEN);
  g_free (lines);
  cys_state_destroy (state);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("state");
  TCase *tcase = tcase_create ("apply");
  tcase_add_test (tcase, test_steps);
  tcase_add_test (tcase, test_keys);
  tcase_add_test (tcase, test_rollback);
  tcase_add_test (tcase, test_audit);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
