/* Access view: routes and keys as declared.  */

#include <glib.h>
#include <string.h>

#include "core/cya_access.h"
#include "cy_test.h"

#define NOW_MS 1700000000000

static struct cys_state *
declare (const Cy__Object *object)
{
  static struct cys_state *state;
  static int number;
  char id[16];
  Cy__Object *objects[] = { (Cy__Object *)object };
  Cy__Change change = CY__CHANGE__INIT;
  if (state == NULL)
    state = cys_state_create ();
  if (object == NULL)
    return state;
  g_snprintf (id, sizeof id, "c%d", ++number);
  change.request_id = id;
  change.who = (char *)"test";
  change.objects = objects;
  change.n_objects = 1;
  ck_assert_int_eq (cys_state_apply (state, &change)->result, CY_OK);
  return state;
}

static void
declare_service (void)
{
  Cy__Route routes[4];
  Cy__Route *pointers[4];
  Cy__Service service = CY__SERVICE__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  const char *prefixes[] = { "/a", "/a/open", "/b/", "/safe" };
  for (int i = 0; i < 4; i++)
    {
      cy__route__init (&routes[i]);
      routes[i].prefix = (char *)prefixes[i];
      pointers[i] = &routes[i];
    }
  routes[1].open = true;
  routes[3].idempotent_post = true;
  service.name = (char *)"s";
  service.routes = pointers;
  service.n_routes = 4;
  object.key = (char *)"service/s";
  object.body_case = CY__OBJECT__BODY_SERVICE;
  object.service = &service;
  declare (&object);
}

static const struct
{
  const char *path;
  const char *prefix; /* NULL: no route */
} routes[] = {
  { "/a", "/a" },
  { "/a/x", "/a" },
  { "/ab", NULL },
  { "/a/open", "/a/open" },
  { "/a/open/x", "/a/open" },
  { "/a/opened", "/a" },
  { "/b", NULL },
  { "/b/", "/b/" },
  { "/b/x", "/b/" },
  { "/", NULL },
  { "/safe/1", "/safe" },
};

START_TEST (test_route)
{
  declare_service ();
  struct cya_access *access = cya_access_create (declare (NULL));
  const struct cya_route *route = cya_service_find_route (
      cya_access_find_service (access, "s"), routes[_i].path);
  if (routes[_i].prefix == NULL)
    ck_assert_ptr_null (route);
  else
    ck_assert_str_eq (route->prefix, routes[_i].prefix);
  ck_assert_ptr_null (cya_access_find_service (access, "other"));
  cya_access_destroy (access);
}
END_TEST

static void
declare_key (const char *id, const char *text, const char *workspace,
             bool withdrawn, int64_t expires)
{
  uint8_t digest[32];
  gsize size = sizeof digest;
  char name[64];
  Cy__Key key = CY__KEY__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)text, -1);
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
  g_snprintf (name, sizeof name, "key/%s", id);
  key.id = (char *)id;
  key.workspace = (char *)workspace;
  key.digest.data = digest;
  key.digest.len = sizeof digest;
  key.withdrawn = withdrawn;
  key.expires_unix_ms = expires;
  object.key = name;
  object.body_case = CY__OBJECT__BODY_ACCESS_KEY;
  object.access_key = &key;
  declare (&object);
}

static const struct
{
  const char *text;
  cy_result result;
} keys[] = {
  { "cyk_k1_secret", CY_OK },
  { "cyk_k1_secreT", CY_E_KEY_UNKNOWN },
  { "cyk_k1_secre", CY_E_KEY_UNKNOWN },
  { "cyk_k1_secret2", CY_E_KEY_UNKNOWN },
  { "cyk_k9_secret", CY_E_KEY_UNKNOWN },
  { "cyk_k2_secret", CY_E_KEY_WITHDRAWN },
  { "cyk_k2_wrong", CY_E_KEY_UNKNOWN },
  { "cyk_k3_secret", CY_E_KEY_EXPIRED },
  { "cyk_k4_secret", CY_OK },
  { "cyk_k5_secret", CY_OK },
  { "cyk_k1", CY_E_KEY_MALFORMED },
  { "cyk__secret", CY_E_KEY_MALFORMED },
  { "cyk_", CY_E_KEY_MALFORMED },
  { "", CY_E_KEY_MALFORMED },
  { "key_k1_secret", CY_E_KEY_MALFORMED },
};

START_TEST (test_key)
{
  Cy__Workspace body = CY__WORKSPACE__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  const struct cya_workspace *workspace = NULL;
  body.name = (char *)"w1";
  body.rate = 1;
  body.burst = 1;
  object.key = (char *)"workspace/w1";
  object.body_case = CY__OBJECT__BODY_WORKSPACE;
  object.workspace = &body;
  declare (&object);
  declare_key ("k1", "cyk_k1_secret", "w1", false, 0);
  declare_key ("k2", "cyk_k2_secret", "w1", true, 0);
  declare_key ("k3", "cyk_k3_secret", "w1", false, NOW_MS);
  declare_key ("k4", "cyk_k4_secret", "w1", false, NOW_MS + 1);
  declare_key ("k5", "cyk_k5_secret", "w1", false, 0);
  struct cya_access *access = cya_access_create (declare (NULL));
  cy_result result = cya_access_check_key (
      access, keys[_i].text, strlen (keys[_i].text), NOW_MS, &workspace);
  ck_assert_msg (result == keys[_i].result, "%s: %s", keys[_i].text,
                 cy_result_name (result));
  if (result == CY_OK)
    ck_assert_str_eq (workspace->name, "w1");
  else
    ck_assert_ptr_null (workspace);
  ck_assert_int_eq (
      cya_access_check_key (access, "cyk_k1_secret\0", 14, NOW_MS, &workspace),
      CY_E_KEY_MALFORMED);
  cya_access_destroy (access);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("access");
  TCase *tcase = tcase_create ("access");
  tcase_add_loop_test (tcase, test_route, 0, G_N_ELEMENTS (routes));
  tcase_add_loop_test (tcase, test_key, 0, G_N_ELEMENTS (keys));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
