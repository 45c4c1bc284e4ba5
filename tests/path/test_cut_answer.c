/* Guards against an answer that broke off and reaches the caller as a complete
   one: a backend server stops at any byte of an answer, in its head as well,
   and closes or resets the connection.  */

#include "path_world.h"

#include "raw_server.h"

/* How an answer ends.  Only the end of the connection marks the end of an
   UNFRAMED body: one that ends with a close is complete at any length.  */
static const struct
{
  const char *name;
  const char *text;
  bool unframed;
} answers[] = {
  { "length",
    "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 12\r\n\r\ntwelve bytes",
    false },
  { "length after other headers",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n"
    "Content-Length: 12\r\n\r\ntwelve bytes",
    false },
  { "chunks",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n"
    "6\r\n bytes\r\n0\r\n\r\n",
    false },
  { "no length", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\ntwelve bytes", true },
  { "an interim answer first",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ntwelve bytes",
    false },
  { "bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 12\n\ntwelve bytes",
    false },
  { "no body", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", false },
};

/* Bytes of the head that ends with the first empty line after the final
   status line.  */
static size_t
head_length (const char *text)
{
  const char *final = strstr (text, "HTTP/1.1 2");
  const char *crlf = strstr (final, "\r\n\r\n");
  const char *lf = strstr (final, "\n\n");
  return crlf != NULL ? (size_t)(crlf + 4 - text) : (size_t)(lf + 2 - text);
}

static bool
is_complete (const struct reply *reply)
{
  return reply->code == CURLE_OK && reply->status >= 200
         && reply->status < 300;
}

/* Cuts the answer after every byte.  KEPT: on a connection that has carried an
   answer before.  */
static void
cut_everywhere (size_t index, enum raw_act ending, bool kept)
{
  const char *text = answers[index].text;
  size_t head = head_length (text);
  CURL *easy = curl_easy_init ();
  for (size_t cut = 0; cut < strlen (text); cut++)
    {
      char *part = g_strndup (text, cut);
      struct raw_script script = { kept ? RAW_MORE : ending, ending, part };
      struct raw_server *server = raw_server_start (script);
      server->more = RAW_OK;
      fixture_prepare (false);
      fixture_add_backend ("i1", server->port, false);
      fixture_start ();
      struct reply reply
          = send_request (easy, "POST", "/x", FIXTURE_KEY, NULL, NULL);
      if (kept)
        {
          ck_assert_int_eq (reply.status, 200);
          reply_clear (&reply);
          reply = send_request (easy, "POST", "/x", FIXTURE_KEY, NULL, NULL);
        }
      /* Without the line feed after the last chunk no byte of the answer is
         missing.  */
      bool may_be_complete
          = (answers[index].unframed && ending == RAW_ANSWER_AND_CLOSE)
            || g_str_has_suffix (part, "0\r\n\r");
      if (cut < head || !may_be_complete)
        ck_assert_msg (!is_complete (&reply),
                       "%s, cut after %zu of %zu bytes, kept %d: status %ld "
                       "with \"%s\" looks complete",
                       answers[index].name, cut, strlen (text), kept,
                       reply.status, reply.body->str);
      if (cut < head)
        ck_assert_msg (reply.status >= 500, "%s, cut after %zu: status %ld",
                       answers[index].name, cut, reply.status);
      ck_assert_int_eq (atomic_load (&server->requests), kept ? 2 : 1);
      reply_clear (&reply);
      fixture_stop ();
      g_free (part);
    }
  curl_easy_cleanup (easy);
}

START_TEST (test_closed)
{
  cut_everywhere ((size_t)_i, RAW_ANSWER_AND_CLOSE, false);
}
END_TEST

START_TEST (test_closed_kept)
{
  cut_everywhere ((size_t)_i, RAW_ANSWER_AND_CLOSE, true);
}
END_TEST

START_TEST (test_reset)
{
  cut_everywhere ((size_t)_i, RAW_ANSWER_AND_RESET, false);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cut_answer");
  TCase *tcase = tcase_create ("cut_answer");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_closed, 0, G_N_ELEMENTS (answers));
  tcase_add_loop_test (tcase, test_closed_kept, 0, G_N_ELEMENTS (answers));
  tcase_add_loop_test (tcase, test_reset, 0, G_N_ELEMENTS (answers));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
