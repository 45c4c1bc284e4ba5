/* Headers and targets: which requests are refused, which headers are
   forwarded, where a key is detected.  */

#include <glib.h>
#include <string.h>

#include "cy_test.h"
#include "entry/cye_headers.h"
#include "entry/cye_target.h"

#define KEY "cyk_k1_0123456789abcdef"

struct field
{
  const char *name;
  const char *value;
};

static const struct
{
  struct field fields[5];
  cy_result result;
  int64_t length;
} heads[] = {
  { { { "Host", "a" } }, CY_OK, CYE_LENGTH_NONE },
  { { { "Host", "a" }, { "Host", "a" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "Content-Length", "12" } }, CY_OK, 12 },
  { { { "Content-Length", "12" }, { "Content-Length", "12" } },
    CY_E_REQUEST_MALFORMED,
    0 },
  { { { "Content-Length", "+12" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "Content-Length", "12, 12" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "Content-Length", "-1" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "Content-Length", "9999999999999999999" } },
    CY_E_REQUEST_MALFORMED,
    0 },
  { { { "Transfer-Encoding", "chunked" } }, CY_OK, CYE_LENGTH_CHUNKED },
  { { { "Transfer-Encoding", "Chunked" } }, CY_OK, CYE_LENGTH_CHUNKED },
  { { { "Transfer-Encoding", "gzip, chunked" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "Transfer-Encoding", "chunked" }, { "Transfer-Encoding", "x" } },
    CY_E_REQUEST_MALFORMED,
    0 },
  { { { "Content-Length", "5" }, { "Transfer-Encoding", "chunked" } },
    CY_E_REQUEST_MALFORMED,
    0 },
  { { { "X-A", "a\x01"
               "b" } },
    CY_E_REQUEST_MALFORMED,
    0 },
  { { { "X-A", "a\tb" } }, CY_OK, CYE_LENGTH_NONE },
  { { { "X-A", "a\x7f" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "X A", "a" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "", "a" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "Authorization", "Bearer " KEY } }, CY_OK, CYE_LENGTH_NONE },
  { { { "Authorization", "bearer " KEY } }, CY_OK, CYE_LENGTH_NONE },
  { { { "Authorization", "Basic abc" } }, CY_E_KEY_MALFORMED, 0 },
  { { { "Authorization", "Bearer a b" } }, CY_E_KEY_MALFORMED, 0 },
  { { { "Authorization", "Bearer " KEY }, { "Authorization", "Bearer x" } },
    CY_E_REQUEST_MALFORMED,
    0 },
  { { { "Cookie", "k=" KEY } }, CY_E_KEY_MISPLACED, 0 },
  { { { "X-Key", KEY } }, CY_E_KEY_MISPLACED, 0 },
  { { { "X-Key", "cyk%5Fk1%5F0123456789abcdef" } }, CY_E_KEY_MISPLACED, 0 },
  { { { KEY, "x" } }, CY_E_KEY_MISPLACED, 0 },
  { { { "Proxy-Authorization", "Bearer " KEY } }, CY_E_KEY_MISPLACED, 0 },
  { { { "Cy-Timeout-Ms", "100" } }, CY_OK, CYE_LENGTH_NONE },
  { { { "Cy-Timeout-Ms", "0" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "Cy-Timeout-Ms", "1e9" } }, CY_E_REQUEST_MALFORMED, 0 },
  { { { "Cy-Timeout-Ms", "1" }, { "Cy-Timeout-Ms", "2" } },
    CY_E_REQUEST_MALFORMED,
    0 },
};

START_TEST (test_head)
{
  struct cye_header headers[5];
  struct cye_request_head head;
  size_t count = 0;
  for (; count < 5 && heads[_i].fields[count].name != NULL; count++)
    headers[count]
        = (struct cye_header){ heads[_i].fields[count].name,
                               heads[_i].fields[count].value,
                               strlen (heads[_i].fields[count].name),
                               strlen (heads[_i].fields[count].value) };
  cy_result result = cye_headers_read (&cye_native_names, CYE_HEADERS_BYTES,
                                       headers, count, &head);
  ck_assert_msg (result == heads[_i].result, "row %d: %s", _i,
                 cy_result_name (result));
  if (result == CY_OK)
    ck_assert_int_eq (head.length, heads[_i].length);
}
END_TEST

START_TEST (test_zero_byte)
{
  struct cye_header header = { "X-A", "a\0b", 3, 3 };
  struct cye_request_head head;
  ck_assert_int_eq (cye_headers_read (&cye_native_names, CYE_HEADERS_BYTES,
                                      &header, 1, &head),
                    CY_E_REQUEST_MALFORMED);
}
END_TEST

START_TEST (test_too_large)
{
  struct cye_header headers[CYE_HEADERS_MAX + 1];
  struct cye_request_head head;
  char *big = g_strnfill (CYE_HEADERS_BYTES, 'x');
  for (size_t i = 0; i <= CYE_HEADERS_MAX; i++)
    headers[i] = (struct cye_header){ "X-A", "a", 3, 1 };
  ck_assert_int_eq (cye_headers_read (&cye_native_names, CYE_HEADERS_BYTES,
                                      headers, CYE_HEADERS_MAX + 1, &head),
                    CY_E_TOO_LARGE);
  headers[0] = (struct cye_header){ "X-A", big, 3, CYE_HEADERS_BYTES };
  ck_assert_int_eq (cye_headers_read (&cye_native_names, CYE_HEADERS_BYTES,
                                      headers, 1, &head),
                    CY_E_TOO_LARGE);
  g_free (big);
}
END_TEST

static const struct
{
  const char *name;
  const char *connection;
  bool to_backend;
  bool to_caller;
} passes[] = {
  { "Accept", "", true, true },
  { "Cookie", "", true, true },
  { "Idempotency-Key", "", true, true },
  { "Authorization", "", false, true },
  { "Host", "", false, true },
  { "Content-Length", "", false, false },
  { "Transfer-Encoding", "", false, false },
  { "transfer-encoding", "", false, false },
  { "Connection", "", false, false },
  { "Keep-Alive", "", false, false },
  { "Proxy-Connection", "", false, false },
  { "Proxy-Authorization", "", false, false },
  { "Proxy-Authenticate", "", false, false },
  { "TE", "", false, false },
  { "Trailer", "", false, false },
  { "Upgrade", "", false, false },
  { "Expect", "", false, true },
  { "Cy-Workspace", "", false, false },
  { "cy-workspace", "", false, false },
  { "Cy-Outcome", "", false, false },
  { "X-Hop", "close, x-hop", false, false },
  { "X-Hop", "x-hop2", true, true },
  { "X-Hop", "a,X-HOP ,b", false, false },
};

START_TEST (test_pass)
{
  struct cye_request_head head
      = { .connection = { passes[_i].connection }, .connection_count = 1 };
  ck_assert_int_eq (
      cye_headers_to_backend (&cye_native_names, &head, passes[_i].name),
      passes[_i].to_backend);
  ck_assert_int_eq (cye_headers_to_caller (&cye_native_names,
                                           passes[_i].connection,
                                           passes[_i].name),
                    passes[_i].to_caller);
}
END_TEST

static const struct
{
  const char *uri;
  cy_result result;
  const char *service;
  const char *raw;
  const char *path;
} targets[] = {
  { "/s/billing", CY_OK, "billing", "/", "/" },
  { "/s/billing/", CY_OK, "billing", "/", "/" },
  { "/s/billing/a%20b?x=%zz", CY_OK, "billing", "/a%20b?x=%zz", "/a b" },
  { "/s/billing/a;b=c", CY_OK, "billing", "/a;b=c", "/a;b=c" },
  { "/s/", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s//a", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/x", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing?x", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/open/../x", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/open/%2e%2E/x", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/open%2f..%2fx", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/open%5c..%5cx", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/./x", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing//x", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/%00", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/%0d%0aX: y", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/%4", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/a#b", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/a\\b", CY_E_REQUEST_MALFORMED, NULL, NULL, NULL },
  { "/s/billing/..a", CY_OK, "billing", "/..a", "/..a" },
};

START_TEST (test_target)
{
  struct cye_target target;
  cy_result result = cye_target_parse (targets[_i].uri, &target);
  ck_assert_msg (result == targets[_i].result, "%s", targets[_i].uri);
  if (result == CY_OK)
    {
      ck_assert_str_eq (target.service, targets[_i].service);
      ck_assert_str_eq (target.raw, targets[_i].raw);
      ck_assert_str_eq (target.path, targets[_i].path);
    }
  cye_target_clear (&target);
}
END_TEST

static const struct
{
  const char *text;
  bool key;
} texts[] = {
  { "/s/billing/" KEY, true },
  { "/s/billing/?key=" KEY, true },
  { "/s/billing/?key=%63yk_k1_0123", true },
  { "/s/billing/?key=%2563yk_k1_0123", true },
  { "/s/billing/?bad=%zz&key=cyk%5fk1%5f0123", true },
  { "/s/billing/?nul=%00&key=cyk%5fk1%5f0123", true },
  { "/s/billing/cyk_", false },
  { "/s/billing/cyk_k1", false },
  { "/s/billing/bicyk-k1_a", false },
  { "", false },
};

START_TEST (test_has_key)
{
  ck_assert_msg (cye_target_has_key (texts[_i].text) == texts[_i].key, "%s",
                 texts[_i].text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("headers");
  TCase *tcase = tcase_create ("headers");
  tcase_add_loop_test (tcase, test_head, 0, G_N_ELEMENTS (heads));
  tcase_add_test (tcase, test_zero_byte);
  tcase_add_test (tcase, test_too_large);
  tcase_add_loop_test (tcase, test_pass, 0, G_N_ELEMENTS (passes));
  tcase_add_loop_test (tcase, test_target, 0, G_N_ELEMENTS (targets));
  tcase_add_loop_test (tcase, test_has_key, 0, G_N_ELEMENTS (texts));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
