/* Numbered declarations: parsing and printing of a document, the errors of
   invalid ones, and which of several numbers is in force.  */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "core/cyi_document.h"
#include "core/cys_state.h"
#include "cy_test.h"

#define SERVICES "\"services\":{\"s\":{\"connections\":9},\"t\":{}}"

static const char valid_text[]
    = "{\"number\":7," SERVICES ","
      "\"routes\":{"
      "\"r1\":{\"host\":\"a.example\",\"prefix\":\"/x/\",\"timeout_ms\":800,"
      "\"goal_ms\":300,\"rank\":2,\"attempts\":2,\"idempotent\":true,"
      "\"backends\":[{\"service\":\"s\",\"weight\":90},"
      "{\"service\":\"t\",\"weight\":10}]},"
      "\"r2\":{\"host\":\"a.example\",\"prefix\":\"/x/y/\",\"timeout_ms\":900,"
      "\"open\":true,\"backends\":[{\"service\":\"t\"}]}},"
      "\"workspaces\":{\"w\":{\"keys\":[\"k1\",\"k2\"],\"rank\":1,"
      "\"rate\":10,\"burst\":5,\"homes\":[\"east\"]}},"
      "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864}}";

static struct cyi_document *
read_valid_text (void)
{
  struct cyj_error error = { "", "" };
  struct cyi_document *document = NULL;
  ck_assert_int_eq (
      cyi_document_read (valid_text, strlen (valid_text), &document, &error),
      CY_OK);
  return document;
}

static const struct
{
  const char *host;
  const char *path;
  const char *route; /* NULL: none */
} lookups[] = {
  { "a.example", "/x/", "r1" },    { "A.Example:80", "/x/q", "r1" },
  { "a.example", "/x/y/z", "r2" }, { "a.example", "/x/yz", "r1" },
  { "a.example", "/x", NULL },     { "b.example", "/x/", NULL },
  { "a.example", "/", NULL },      { NULL, "/x/", NULL },
};

START_TEST (test_routes)
{
  struct cyi_document *document = read_valid_text ();
  const struct cyi_route *route
      = cyi_document_find_route (document, lookups[_i].host, lookups[_i].path);
  ck_assert_str_eq (route == NULL ? "" : route->name,
                    lookups[_i].route == NULL ? "" : lookups[_i].route);
  cyi_document_destroy (document);
}
END_TEST

/* Ten times the routes of the largest declaration known, all of one host.  A
   control VM places no requests while it parses a declaration, and an
   algorithm of quadratic cost takes minutes here.  */
#define MANY_ROUTES       17000
#define MANY_ROUTES_MAX_S 2

START_TEST (test_many_routes)
{
  struct cyi_document *document = cyi_document_create (1);
  struct cyj_error error;
  cyi_document_add_service (document)->name = g_strdup ("s");
  for (unsigned i = 0; i < MANY_ROUTES; i++)
    {
      struct cyi_route *route = cyi_document_add_route (document);
      route->name = g_strdup_printf ("r%u", i);
      route->host = g_strdup ("a.example");
      route->prefix = g_strdup_printf ("/p/%u/%u/", i % 7, i);
      route->timeout_ms = 1000;
      cyi_route_add_backend (route, "s", 1);
    }
  gint64 started_us = g_get_monotonic_time ();
  ck_assert_int_eq (cyi_document_check (document, &error), CY_OK);
  for (unsigned i = 0; i < MANY_ROUTES; i++)
    {
      char path[64];
      g_snprintf (path, sizeof path, "/p/%u/%u/x/y?z=/", i % 7, i);
      const struct cyi_route *route
          = cyi_document_find_route (document, "a.example", path);
      ck_assert (route == g_ptr_array_index (document->routes, i));
    }
  ck_assert_int_lt (g_get_monotonic_time () - started_us,
                    MANY_ROUTES_MAX_S * G_USEC_PER_SEC);
  cyi_document_destroy (document);
}
END_TEST

START_TEST (test_print_and_read)
{
  struct cyi_document *document = read_valid_text ();
  struct cyi_document *reparsed = NULL;
  struct cyj_error error = { "", "" };
  char *text = cyi_document_print (document);
  ck_assert_int_eq (cyi_document_read (text, strlen (text), &reparsed, &error),
                    CY_OK);
  char *reprinted = cyi_document_print (reparsed);
  ck_assert_str_eq (text, reprinted);
  ck_assert_uint_eq (reparsed->number, 7);
  ck_assert_str_eq (
      cyi_document_find_workspace_by_key (reparsed, "k2", 2)->name, "w");
  ck_assert_ptr_null (cyi_document_find_workspace_by_key (reparsed, "k3", 2));
  ck_assert_ptr_null (cyi_document_find_workspace_by_key (reparsed, "k1x", 3));
  free (text);
  free (reprinted);
  cyi_document_destroy (document);
  cyi_document_destroy (reparsed);
}
END_TEST

START_TEST (test_weights)
{
  struct cyi_document *document = read_valid_text ();
  const struct cyi_route *route
      = cyi_document_find_route (document, "a.example", "/x/");
  unsigned to_s = 0;
  for (int i = 0; i < 1000; i++)
    to_s += strcmp (cyi_route_choose_service (route, i / 1000.0), "s") == 0;
  ck_assert_uint_eq (to_s, 900);
  cyi_document_destroy (document);
}
END_TEST

#define ROUTE(text)                                                           \
  "{\"number\":7," SERVICES ",\"routes\":{\"r\":{\"timeout_ms\":9," text "}}" \
  "}"

static const struct
{
  const char *text;
  cy_result result;
  const char *path;
} refused[] = {
  { "", CY_E_DECL_SYNTAX, "" },
  { "[]", CY_E_DECL_SYNTAX, "" },
  { "{\"number\":7", CY_E_DECL_SYNTAX, "" },
  { "{}", CY_E_DECL_FIELD, "number" },
  { "{\"number\":0}", CY_E_DECL_FIELD, "number" },
  { "{\"number\":\"7\"}", CY_E_DECL_FIELD, "number" },
  { "{\"number\":7,\"routes\":[]}", CY_E_DECL_FIELD, "routes.." },
  { ROUTE ("\"host\":\"\",\"prefix\":\"/x/\",\"backends\":[{\"service\":"
           "\"s\"}]"),
    CY_E_DECL_FIELD, "routes.r.host" },
  { ROUTE ("\"host\":\"a\",\"prefix\":\"/x\",\"backends\":[{\"service\":"
           "\"s\"}]"),
    CY_E_DECL_FIELD, "routes.r.prefix" },
  { ROUTE ("\"host\":\"a\",\"prefix\":\"/x/\",\"backends\":[]"),
    CY_E_DECL_FIELD, "routes.r.backends" },
  { ROUTE ("\"host\":\"a\",\"prefix\":\"/x/\",\"backends\":[{\"service\":"
           "\"q\"}]"),
    CY_E_DECL_REFERENCE, "routes.r.backends" },
  { ROUTE ("\"host\":\"a\",\"prefix\":\"/x/\",\"backends\":[{\"service\":"
           "\"s\",\"weight\":-1}]"),
    CY_E_DECL_FIELD, "routes.r.weight" },
  { "{\"number\":7," SERVICES ",\"routes\":{\"r\":{\"host\":\"a\","
    "\"prefix\":\"/x/\",\"timeout_ms\":0,\"backends\":[{\"service\":"
    "\"s\"}]}}}",
    CY_E_DECL_FIELD, "routes.r.timeout_ms" },
  { "{\"number\":7," SERVICES ",\"routes\":{\"r\":{\"host\":\"a\","
    "\"prefix\":\"/x/\",\"timeout_ms\":9,\"backends\":[{\"service\":"
    "\"s\"}]},\"q\":{\"host\":\"A\",\"prefix\":\"/x/\",\"timeout_ms\":9,"
    "\"backends\":[{\"service\":\"s\"}]}}}",
    CY_E_DECL_FIELD, "routes.q.prefix" },
  { "{\"number\":7,\"workspaces\":{\"v\":{\"keys\":[\"k\"]},"
    "\"w\":{\"keys\":[\"k\"]}}}",
    CY_E_DECL_FIELD, "workspaces.w.keys" },
  { "{\"number\":7,\"workspaces\":{\"w\":{\"rate\":-1}}}", CY_E_DECL_FIELD,
    "workspaces.w.rate" },
};

/* Names of which only the last byte differs.  Guards against two services or
   workspaces that become one, as the placers keep the first 127 bytes.  */
START_TEST (test_long_names)
{
  static const char *const sections[] = { "services", "workspaces" };
  size_t length = _i < 2 ? CYI_NAME_MAX : CYI_NAME_MAX + 1;
  char *name = g_strnfill (length, 'n');
  name[length - 1] = '\0';
  char *text
      = g_strdup_printf ("{\"number\":7,\"%s\":{\"%sa\":{},\"%sb\":{}}}",
                         sections[_i % 2], name, name);
  struct cyj_error error = { "", "" };
  struct cyi_document *document = NULL;
  cy_result result
      = cyi_document_read (text, strlen (text), &document, &error);
  ck_assert_int_eq (result, length > CYI_NAME_MAX ? CY_E_DECL_FIELD : CY_OK);
  ck_assert (
      g_str_has_prefix (error.path, result == CY_OK ? "" : sections[_i % 2]));
  cyi_document_destroy (document);
  g_free (name);
  g_free (text);
}
END_TEST

START_TEST (test_refused)
{
  struct cyj_error error = { "", "" };
  struct cyi_document *document = NULL;
  const char *text = refused[_i].text;
  ck_assert_int_eq (cyi_document_read (text, strlen (text), &document, &error),
                    refused[_i].result);
  ck_assert_ptr_null (document);
  ck_assert_str_eq (error.path, refused[_i].path);
  ck_assert_uint_gt (strlen (error.detail), 0);
}
END_TEST

/* ------------------------------------------------------------ homes */

#define HOMES_MAX 3

/* Regions of a route and of a workspace, and those that may serve both; "-"
   for a list that is empty, none for no list.  */
static const struct
{
  const char *name;
  const char *route[HOMES_MAX];
  const char *workspace[HOMES_MAX];
  const char *common[HOMES_MAX];
} homes[] = {
  { "none has homes", { NULL }, { NULL }, { NULL } },
  { "the route has", { "east", "west" }, { NULL }, { "east", "west" } },
  { "the workspace has", { NULL }, { "west" }, { "west" } },
  { "both have the same", { "east" }, { "east" }, { "east" } },
  { "one in common", { "east", "west" }, { "west", "north" }, { "west" } },
  { "nothing in common", { "east" }, { "west" }, { "-" } },
};

static char **
home_list (const char *const names[HOMES_MAX])
{
  return names[0] == NULL ? NULL : g_strdupv ((char **)names);
}

/* Guards against requests that run in all regions because the homes of their
   route and their workspace have none in common.  */
START_TEST (test_homes)
{
  struct cyi_document *document = cyi_document_create (1);
  struct cyi_route *route = cyi_document_add_route (document);
  struct cyi_workspace *workspace = cyi_document_add_workspace (document);
  const struct cyi_route *homeless_route = NULL;
  const struct cyi_workspace *homeless_workspace = NULL;
  route->home_regions = home_list (homes[_i].route);
  workspace->home_regions = home_list (homes[_i].workspace);
  char **common = cyi_common_homes (route, workspace);
  bool none = g_strcmp0 (homes[_i].common[0], "-") == 0;
  ck_assert_int_eq (common == NULL, homes[_i].common[0] == NULL);
  for (size_t i = 0; common != NULL && i < HOMES_MAX; i++)
    {
      const char *expected = none ? NULL : homes[_i].common[i];
      ck_assert_msg (g_strcmp0 (common[i], expected) == 0, "%s: %s",
                     homes[_i].name, common[i]);
      if (expected == NULL)
        break;
    }
  ck_assert_uint_eq (cyi_document_count_homeless (document, &homeless_route,
                                                  &homeless_workspace),
                     none ? 1 : 0);
  g_strfreev (common);
  cyi_document_destroy (document);
}
END_TEST

/* ------------------------------------------------------------ numbers */

static const struct
{
  uint64_t number;
  uint64_t digest;
  cy_result result;
  uint64_t in_force;
} steps[] = {
  { 5, 1, CY_OK, 5 },
  { 5, 1, CY_OK, 5 },
  { 5, 2, CY_E_VERSION_CONFLICT, 5 },
  { 4, 9, CY_OK, 5 },
  { 9, 3, CY_OK, 9 },
  { 5, 1, CY_OK, 9 },
  { 9, 4, CY_E_VERSION_CONFLICT, 9 },
};

START_TEST (test_numbers)
{
  struct cys_state *state = cys_state_create ();
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      Cy__Change change = CY__CHANGE__INIT;
      Cy__Object object = CY__OBJECT__INIT;
      Cy__Object *objects[] = { &object };
      Cy__Document document = CY__DOCUMENT__INIT;
      char id[16];
      g_snprintf (id, sizeof id, "q%zu", i);
      document.number = steps[i].number;
      document.digest = steps[i].digest;
      object.key = (char *)CYS_DOCUMENT_KEY;
      object.body_case = CY__OBJECT__BODY_DOCUMENT;
      object.document = &document;
      change.request_id = id;
      change.number = steps[i].number;
      change.n_objects = 1;
      change.objects = objects;
      ck_assert_uint_eq (cys_state_apply (state, &change)->result,
                         steps[i].result);
      const Cy__Document *held
          = cys_state_get (state, CYS_DOCUMENT_KEY)->document;
      ck_assert_uint_eq (held->number, steps[i].in_force);
      if (steps[i].result == CY_OK && held->number == steps[i].number)
        ck_assert_uint_eq (held->digest, steps[i].digest);
    }
  cys_state_destroy (state);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("numbered");
  TCase *all = tcase_create ("all");
  tcase_add_loop_test (all, test_routes, 0, G_N_ELEMENTS (lookups));
  tcase_add_test (all, test_print_and_read);
  tcase_add_test (all, test_many_routes);
  tcase_add_test (all, test_weights);
  tcase_add_loop_test (all, test_refused, 0, G_N_ELEMENTS (refused));
  tcase_add_loop_test (all, test_long_names, 0, 4);
  tcase_add_loop_test (all, test_homes, 0, G_N_ELEMENTS (homes));
  tcase_add_test (all, test_numbers);
  suite_add_tcase (suite, all);
  return cy_test_run (suite);
}
