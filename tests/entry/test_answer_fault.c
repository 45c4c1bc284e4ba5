/* Guards against an answer that belongs to another request, or that two
   answers share, and is taken for the answer to this one: the head is read
   line by line and checked against the request, without a connection.  */

#include <check.h>
#include <string.h>

#include "cy_test.h"
#include "entry/cye_request_internal.h"

#define LINES_MAX 8

static const struct cye_names names = {
  .request_id = "Id",
  .stamp = "Stamp",
  .not_run = "Not-Run",
};

static const struct
{
  const char *pattern;
  const char *id; /* of the request, NULL: none was sent */
  const char *lines[LINES_MAX];
  enum cye_answer_fault fault;
} rows[] = {
  { "its own",
    "b",
    { "HTTP/1.1 200 OK", "Id: b", "Stamp: s", "" },
    CYE_ANSWER_SOUND },
  { "its own, repeated",
    "b",
    { "HTTP/1.1 200 OK", "Id: b", "Stamp: s", "Id: b", "Stamp: s", "" },
    CYE_ANSWER_SOUND },
  { "of another request",
    "b",
    { "HTTP/1.1 200 OK", "Id: a", "Stamp: s", "" },
    CYE_ANSWER_OTHER_ID },
  { "of another request, to one without an ID",
    NULL,
    { "HTTP/1.1 200 OK", "Id: a", "Stamp: s", "" },
    CYE_ANSWER_OTHER_ID },
  { "without an ID, to one without an ID",
    NULL,
    { "HTTP/1.1 200 OK", "Stamp: s", "" },
    CYE_ANSWER_SOUND },
  { "without an ID",
    "b",
    { "HTTP/1.1 200 OK", "Stamp: s", "" },
    CYE_ANSWER_NO_ID },
  { "two IDs",
    "b",
    { "HTTP/1.1 200 OK", "Id: b", "Stamp: s", "Id: a", "" },
    CYE_ANSWER_REPEATED },
  { "two stamps",
    "b",
    { "HTTP/1.1 200 OK", "Id: b", "Stamp: s", "Stamp: t", "" },
    CYE_ANSWER_REPEATED },
  { "a success without a stamp",
    "b",
    { "HTTP/1.1 200 OK", "Id: b", "" },
    CYE_ANSWER_UNSTAMPED },
  { "a failure without a stamp",
    "b",
    { "HTTP/1.1 500 Error", "Id: b", "" },
    CYE_ANSWER_SOUND },
  { "an encoded success",
    "b",
    { "HTTP/1.1 200 OK", "Id: b", "Stamp: s", "Content-Encoding: gzip", "" },
    CYE_ANSWER_ENCODED },
  { "cut in its reason, then a failure",
    "b",
    { "HTTP/1.1 200 OHTTP/1.1 500 Error", "Id: b", "Stamp: s", "" },
    CYE_ANSWER_STATUS_LINE },
  { "cut in a value, then a failure",
    "b",
    { "HTTP/1.1 200 OK", "Type: text/plHTTP/1.1 500 Error", "Id: b",
      "Stamp: s", "" },
    CYE_ANSWER_HEADER_LINE },
  { "cut after its ID, then a failure",
    "b",
    { "HTTP/1.1 200 OK", "Id: b", "Type: aHTTP/1.1 500 Error", "Id: b",
      "Stamp: s", "" },
    CYE_ANSWER_HEADER_LINE },
  { "a value that names the protocol",
    "b",
    { "HTTP/1.1 200 OK", "Via: HTTP/1.1 proxy", "Id: b", "Stamp: s", "" },
    CYE_ANSWER_SOUND },
};

START_TEST (test_fault)
{
  struct cye_shared shared = { .layout = CYE_HUB, .names = &names };
  struct cye_request request
      = { .shared = &shared, .request_id = (char *)rows[_i].id };
  struct cye_answer_head head;
  cye_answer_init (&head);
  for (size_t i = 0; i < LINES_MAX && rows[_i].lines[i] != NULL; i++)
    {
      const char *line = rows[_i].lines[i];
      cye_answer_read_line (&head, line, strlen (line));
    }
  enum cye_answer_fault fault = cye_check_answer (&request, &head);
  ck_assert_msg (fault == rows[_i].fault, "%s: %s", rows[_i].pattern,
                 cye_answer_fault_name (fault));
  cye_answer_clear (&head);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("answer_fault");
  TCase *tcase = tcase_create ("answer_fault");
  tcase_add_loop_test (tcase, test_fault, 0, G_N_ELEMENTS (rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
