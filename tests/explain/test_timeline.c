/* cyctl explain: log lines of failed requests as the processes write them, and
   the sentence with the cause that must result.  Guards against a wrong cause
   and against a cause that the lines do not show.  */

#include <glib.h>
#include <string.h>

#include "cy_test.h"
#include "cyctl/cyctl_timeline.h"

#define AT(s) "{\"time\":\"2026-01-01T00:00:" s "Z\",\"level\":\"info\","
#define GATE  "\"program\":\"cy-gate\",\"vm\":\"g1\","
#define HUB   "\"program\":\"cy-hub\",\"vm\":\"h1\","
#define FAILED(result, status, outcome, more)                                 \
  AT ("01.900000")                                                            \
  GATE "\"event\":\"failed\",\"id\":\"q\",\"workspace\":\"w\","               \
       "\"service\":\"s\",\"result\":\"" result "\",\"status\":" status ","   \
       "\"outcome\":\"" outcome "\",\"placer\":\"h1\",\"waited_ms\":90,"      \
       "\"retry_after_ms\":40,\"declaration\":7,\"servers\":3,"               \
       "\"deadline_ms\":800" more "}"
#define ATTEMPT(time, result, sent, kept, not_run)                            \
  AT (time)                                                                   \
  GATE "\"event\":\"attempt_failed\",\"id\":\"q\",\"instance\":\"i1\","       \
       "\"result\":\"" result "\",\"sent\":" sent                             \
       ",\"kept_connection\":" kept ",\"not_run\":" not_run "}"
#define REFUSED                                                               \
  AT ("01.800000")                                                            \
  HUB "\"event\":\"refused\",\"id\":\"q\",\"service\":\"s\","                 \
      "\"result\":\"CY_E_NO_ROOM\",\"waited_ms\":88,\"servers\":2,"           \
      "\"slots\":12,\"in_flight\":12,\"waiting\":7}"

struct cause_case
{
  const char *lines[5];
  const char *cause;
  bool known;
};

static const struct cause_case cause_cases[] = {
  /* Refused although the workspace was within its rate.  */
  { { FAILED ("CY_E_NO_ROOM", "503", "not-run", ""), REFUSED },
    "service s was full: 12 of 12 slots of 2 backend servers were taken and "
    "7 requests waited when h1 refused it after 88 ms; answered 503, it did "
    "not run\n",
    true },
  { { FAILED ("CY_E_NO_ROOM", "503", "not-run", "") },
    "h1 had no room for it in service s after 90 ms of waiting; the line of "
    "h1 with the count of slots is missing; answered 503, it did not run\n",
    true },
  { { FAILED ("CY_E_RATE_EXCEEDED", "429", "not-run", "") },
    "workspace w had used up its rate; next token in 40 ms; answered 429, it "
    "did not run\n",
    true },
  { { FAILED ("CY_E_NO_BACKEND", "503", "not-run", "") },
    "no backend server of service s may be used; the entry VM knew 3 of all "
    "services; answered 503, it did not run\n",
    true },
  { { FAILED ("CY_E_DEADLINE", "504", "not-run", "") },
    "its deadline of 800 ms was over after 90 ms of waiting; answered 504, it "
    "did not run\n",
    true },
  { { FAILED ("CY_E_KEY_UNKNOWN", "401", "not-run", "") },
    "refused by g1: CY_E_KEY_UNKNOWN; answered 401, it did not run\n",
    true },
  /* The backend server wants no further requests.  */
  { { AT ("01.800000") GATE
      "\"event\":\"attempt_failed\",\"id\":\"q\",\"instance\":\"i1\","
      "\"sent\":true,\"not_run\":true,\"server_leaves\":true,"
      "\"pause_ms\":0}",
      FAILED ("CY_E_BACKEND_FAILED", "503", "not-run", "") },
    "backend server i1 said that it did not run it; the server leaves; "
    "answered 503, it did not run\n",
    true },
  { { AT ("01.800000") GATE
      "\"event\":\"attempt_failed\",\"id\":\"q\",\"instance\":\"i1\","
      "\"sent\":true,\"not_run\":true,\"server_leaves\":false,"
      "\"pause_ms\":2000}",
      FAILED ("CY_E_BACKEND_FAILED", "503", "not-run", "") },
    "backend server i1 said that it did not run it; the server asked for 2.0 "
    "s without requests; answered 503, it did not run\n",
    true },
  /* Timed out while the link to the backend server was cut.  */
  { { ATTEMPT ("01.850000", "CY_E_TIMEOUT", "true", "true", "false"),
      FAILED ("CY_E_TIMEOUT", "504", "unknown", "") },
    "backend server i1 did not answer before the deadline, on a kept "
    "connection; answered 504, it may have run\n",
    true },
  /* Answered 502 after the backend server crashed.  */
  { { ATTEMPT ("01.850000", "CY_E_BACKEND_FAILED", "true", "false", "false"),
      FAILED ("CY_E_BACKEND_FAILED", "502", "unknown", "") },
    "the connection to backend server i1 broke after the request was sent; "
    "answered 502, it may have run\n",
    true },
  { { ATTEMPT ("01.700000", "CY_E_BACKEND_FAILED", "false", "false", "false"),
      ATTEMPT ("01.800000", "CY_E_BACKEND_FAILED", "false", "false", "false"),
      FAILED ("CY_E_BACKEND_FAILED", "503", "not-run", "") },
    "no connection to backend server i1, nothing was sent, the last of 2 "
    "failed attempts; answered 503, it did not run\n",
    true },
  { { ATTEMPT ("01.850000", "CY_E_ANSWER_INVALID", "true", "false", "false"),
      FAILED ("CY_E_ANSWER_INVALID", "502", "unknown", "") },
    "what came back from backend server i1 was not its answer; answered 502, "
    "it may have run\n",
    true },
  /* Retried on another server after the first was full, then refused.  */
  { { ATTEMPT ("01.700000", "CY_E_NO_ROOM", "true", "false", "true"), REFUSED,
      FAILED ("CY_E_NO_ROOM", "503", "not-run", "") },
    "service s was full: 12 of 12 slots of 2 backend servers were taken and "
    "7 requests waited when h1 refused it after 88 ms; answered 503, it did "
    "not run\n",
    true },
  { { ATTEMPT ("01.700000", "CY_E_BACKEND_FAILED", "true", "false", "false"),
      AT ("01.900000") GATE
      "\"event\":\"answered\",\"id\":\"q\",\"result\":\"CY_OK\","
      "\"status\":200,\"instance\":\"i2\",\"placer\":\"h1\","
      "\"waited_ms\":300,\"backend_ms\":50,\"total_ms\":360,"
      "\"declaration\":7}" },
    "answered 200 by backend server i2 after 360 ms, most of it waiting for a "
    "place (waiting 300 ms, backend server 50 ms); before that the connection "
    "to backend server i1 broke after the request was sent\n",
    true },
  { { REFUSED, "no JSON", "{\"time\":7}", "{" },
    "not known: no line of an entry VM says how the request ended\n",
    false },
  { { AT ("01.000000") GATE
      "\"event\":\"lines_left_out\",\"of\":\"failed\",\"lines\":9}" },
    "not known: no line of an entry VM says how the request ended; some lines "
    "were left out\n",
    false },
};

static struct cyctl_timeline *
read_timeline (const char *const *lines, size_t count)
{
  struct cyctl_timeline *timeline = cyctl_timeline_create ();
  for (size_t i = 0; i < count && lines[i] != NULL; i++)
    cyctl_timeline_add (timeline, lines[i]);
  return timeline;
}

START_TEST (test_causes)
{
  const struct cause_case *test_case = &cause_cases[_i];
  struct cyctl_timeline *timeline
      = read_timeline (test_case->lines, G_N_ELEMENTS (test_case->lines));
  bool known = false;
  char *text = cyctl_timeline_request (timeline, "q", &known);
  const char *cause = strstr (text, "cause: ");
  ck_assert_ptr_nonnull (cause);
  ck_assert_str_eq (cause + strlen ("cause: "), test_case->cause);
  ck_assert_int_eq (known, test_case->known);
  g_free (text);
  cyctl_timeline_destroy (timeline);
}
END_TEST

/* Lines come in any order and with the prefix of a log collector; changes
   shortly before or after the request are shown for the VMs involved in it
   only.  */
START_TEST (test_order)
{
  static const char *const lines[] = {
    FAILED ("CY_E_NO_ROOM", "503", "not-run", ""),
    AT ("01.600000") GATE "\"event\":\"placer\",\"control_vm\":\"h1\"}",
    AT ("00.100000") GATE "\"event\":\"placer\",\"control_vm\":\"h0\"}",
    AT ("01.600000") "\"program\":\"cy-gate\",\"vm\":\"g2\","
                     "\"event\":\"placer\",\"control_vm\":\"h9\"}",
    "h1 | " REFUSED,
  };
  struct cyctl_timeline *timeline
      = read_timeline (lines, G_N_ELEMENTS (lines));
  bool known = false;
  char *text = cyctl_timeline_request (timeline, "q", &known);
  const char *placer = strstr (text, "g1 placer control_vm=\"h1\"");
  const char *refused = strstr (text, "h1 refused");
  const char *failed = strstr (text, "g1 failed");
  ck_assert (placer != NULL && refused != NULL && failed != NULL);
  ck_assert (placer < refused && refused < failed);
  ck_assert_ptr_null (strstr (text, "g2"));
  ck_assert_ptr_null (strstr (text, "h0"));
  g_free (text);
  cyctl_timeline_destroy (timeline);
}
END_TEST

#define ADOPTED(time, vm, number)                                             \
  AT (time)                                                                   \
  "\"vm\":\"" vm "\",\"event\":\"declaration_adopted\","                      \
  "\"declaration\":" number "}"

START_TEST (test_change)
{
  static const char *const lines[] = {
    AT ("00.000000") "\"vm\":\"a\",\"event\":\"start\"}",
    AT ("00.000000") "\"vm\":\"b\",\"event\":\"start\"}",
    AT ("00.000000") "\"vm\":\"c\",\"event\":\"start\"}",
    AT ("00.000000") "\"vm\":\"d\",\"event\":\"start\"}",
    ADOPTED ("01.000000", "a", "5"),
    ADOPTED ("01.250000", "b", "5"),
    ADOPTED ("01.100000", "c", "4"),
    AT ("02.000000") "\"vm\":\"d\",\"event\":\"stop\"}",
  };
  struct cyctl_timeline *timeline
      = read_timeline (lines, G_N_ELEMENTS (lines));
  bool known = false;
  char *text = cyctl_timeline_change (timeline, 5, &known);
  ck_assert (known);
  ck_assert_ptr_nonnull (
      strstr (text, "declaration 5 was adopted within 0.250 s; 1 of 3 running "
                    "VMs are behind it\n"));
  g_free (text);
  text = cyctl_timeline_change (timeline, 6, &known);
  ck_assert (!known);
  g_free (text);
  cyctl_timeline_destroy (timeline);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("timeline");
  TCase *tcase = tcase_create ("timeline");
  tcase_add_loop_test (tcase, test_causes, 0, G_N_ELEMENTS (cause_cases));
  tcase_add_test (tcase, test_order);
  tcase_add_test (tcase, test_change);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
