/* HTTP client for control VMs.  */

#include <curl/curl.h>
#include <string.h>

#include "cyctl/cyctl.h"

#define CONNECT_TIMEOUT_MS 2000
/* Time limit of one request to one control VM.  */
#define ATTEMPT_TIMEOUT_MS 5000
/* Pause between two rounds over all control VMs.  */
#define ROUND_PAUSE_US 200000
/* Requests that start at one control VM in a round, redirects included.  */
#define REQUESTS_MAX     4
#define ANSWER_MAX_BYTES (64 << 20)

static size_t
append_answer (char *bytes, size_t size, size_t count, void *context)
{
  GString *text = context;
  if (text->len + size * count > ANSWER_MAX_BYTES)
    return 0;
  g_string_append_len (text, bytes, (gssize)(size * count));
  return size * count;
}

/* --------------------------------------------------------------- one call */

static char *
read_token (void)
{
  char *token = NULL;
  if (cyctl_options.token_file == NULL)
    return NULL;
  GError *error = NULL;
  if (!g_file_get_contents (cyctl_options.token_file, &token, NULL, &error))
    {
      g_printerr ("cyctl: token file: %s\n", error->message);
      g_error_free (error);
      return NULL;
    }
  g_strstrip (token);
  char *line_end = strpbrk (token, "\r\n");
  if (line_end != NULL)
    *line_end = '\0';
  return token;
}

static struct curl_slist *
make_headers (bool with_token)
{
  struct curl_slist *headers
      = curl_slist_append (NULL, "Content-Type: application/json");
  headers = curl_slist_append (headers, "Expect:");
  char *token = with_token ? read_token () : NULL;
  if (token != NULL)
    {
      char *line = g_strconcat ("Authorization: Bearer ", token, NULL);
      headers = curl_slist_append (headers, line);
      g_free (line);
    }
  g_free (token);
  return headers;
}

/* Uses a new handle, and thus a new connection, for every call: on a
   persistent connection that turns out to be closed libcurl would send the
   request a second time by itself.  */
static void
send_request (const char *method, const char *url, const char *body,
              size_t length, long timeout_ms, bool with_token,
              struct cyctl_answer *answer)
{
  GString *text = g_string_new (NULL);
  struct curl_slist *headers = make_headers (with_token);
  CURL *curl = curl_easy_init ();
  answer->status = 0;
  answer->body = NULL;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_answer);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  if (strcmp (method, "POST") == 0)
    {
      curl_easy_setopt (curl, CURLOPT_POST, 1L);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)length);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body != NULL ? body : "");
    }
  else
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  if (curl_easy_perform (curl) == CURLE_OK)
    {
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &answer->status);
      answer->body = json_loadb (text->str, text->len, JSON_DECODE_ANY, NULL);
    }
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  g_string_free (text, TRUE);
}

void
cyctl_call_url (const char *method, const char *url, const char *body,
                size_t length, struct cyctl_answer *answer)
{
  send_request (method, url, body, length, ATTEMPT_TIMEOUT_MS, false, answer);
}

void
cyctl_answer_clear (struct cyctl_answer *answer)
{
  json_decref (answer->body);
  answer->body = NULL;
  answer->status = 0;
}

/* ------------------------------------------------------------ many members */

static long
remaining_ms (gint64 deadline_us)
{
  return (long)((deadline_us - g_get_monotonic_time ()) / 1000);
}

/* Returns true when ANSWER comes from a control VM whose state no quorum
   confirms.  */
static bool
is_unconfirmed (const struct cyctl_answer *answer)
{
  return answer->status == 200
         && json_is_false (json_object_get (answer->body, "confirmed"));
}

/* Returns true when ANSWER is definite: another attempt or another control VM
   would not answer better.  */
static bool
is_definite (const struct cyctl_answer *answer)
{
  return answer->status != 0 && answer->status != 307 && answer->status != 503
         && answer->status != 504 && !is_unconfirmed (answer);
}

/* Sends a request to the control VM at URL BASE and follows its redirects to
   the leader.  */
static void
call_member (const char *method, const char *base, const char *path,
             const char *body, size_t length, gint64 deadline_us,
             struct cyctl_answer *answer)
{
  char *url = g_strconcat (base, path, NULL);
  for (int i = 0; i < REQUESTS_MAX; i++)
    {
      long timeout_ms = MIN (ATTEMPT_TIMEOUT_MS, remaining_ms (deadline_us));
      cyctl_answer_clear (answer);
      if (timeout_ms <= 0)
        break;
      send_request (method, url, body, length, timeout_ms, true, answer);
      const char *leader = cyctl_get_text (answer->body, "leader");
      if (answer->status != 307 || leader[0] == '\0')
        break;
      g_free (url);
      url = g_strconcat (leader, path, NULL);
    }
  g_free (url);
}

/* Replaces BEST by ANSWER unless BEST is better.  A definite answer is
   preferred to one from an unconfirmed state, that one to any other answer;
   of equal answers the later one is kept.  */
static void
replace_if_better (struct cyctl_answer *best,
                   const struct cyctl_answer *answer)
{
  if (answer->status == 0 || (is_unconfirmed (best) && !is_definite (answer)))
    return;
  json_t *body = json_incref (answer->body);
  cyctl_answer_clear (best);
  best->status = answer->status;
  best->body = body;
}

void
cyctl_call (const char *method, const char *path, const char *body,
            size_t length, struct cyctl_answer *answer)
{
  gint64 deadline_us
      = g_get_monotonic_time () + cyctl_options.timeout_s * G_USEC_PER_SEC;
  char **urls = g_strsplit (cyctl_options.control, ",", -1);
  struct cyctl_answer attempt = { 0, NULL };
  answer->status = 0;
  answer->body = NULL;
  while (answer->status != 200 && !is_definite (answer)
         && remaining_ms (deadline_us) > 0)
    {
      for (char **url = urls; *url != NULL && !is_definite (answer); url++)
        {
          call_member (method, g_strstrip (*url), path, body, length,
                       deadline_us, &attempt);
          replace_if_better (answer, &attempt);
        }
      if (answer->status != 200 && !is_definite (answer))
        g_usleep (ROUND_PAUSE_US);
    }
  cyctl_answer_clear (&attempt);
  if (is_unconfirmed (answer))
    g_printerr ("cyctl: no quorum confirms this answer, it may be outdated\n");
  g_strfreev (urls);
}

/* Returns a rank that orders answers to /v1/status: leaders that a quorum
   confirms come first, by term, then the other members by the length of their
   committed log.  */
static int64_t
rank_status (const json_t *body)
{
  bool is_leader = json_is_true (json_object_get (body, "leader"))
                   && cyctl_get_number (body, "age_ms") >= 0;
  return is_leader ? G_MAXINT64 / 2 + cyctl_get_number (body, "term")
                   : cyctl_get_number (body, "committed");
}

size_t
cyctl_call_status (struct cyctl_answer *answer, size_t *asked_count)
{
  gint64 deadline_us
      = g_get_monotonic_time () + cyctl_options.timeout_s * G_USEC_PER_SEC;
  char **urls = g_strsplit (cyctl_options.control, ",", -1);
  size_t answered = 0;
  *asked_count = 0;
  answer->status = 0;
  answer->body = NULL;
  for (char **url = urls; *url != NULL; url++)
    {
      struct cyctl_answer attempt = { 0, NULL };
      call_member ("GET", g_strstrip (*url), "/v1/status", NULL, 0,
                   deadline_us, &attempt);
      (*asked_count)++;
      answered += attempt.status != 0;
      bool better
          = answer->status != 200
            || (attempt.status == 200
                && rank_status (attempt.body) > rank_status (answer->body));
      if (attempt.status != 0 && better)
        {
          cyctl_answer_clear (answer);
          *answer = attempt;
        }
      else
        cyctl_answer_clear (&attempt);
    }
  g_strfreev (urls);
  return answered;
}

bool
cyctl_request (const char *method, const char *path, const char *body,
               size_t length, struct cyctl_answer *answer, int *exit_code)
{
  cyctl_call (method, path, body, length, answer);
  *exit_code = CYCTL_OK;
  if (answer->status == 200 && answer->body != NULL)
    return true;
  *exit_code = cyctl_print_problem (answer);
  return false;
}

/* ----------------------------------------------------------------- helpers */

const char *
cyctl_request_id (void)
{
  static char *generated;
  if (cyctl_options.request_id != NULL)
    return cyctl_options.request_id;
  if (generated == NULL)
    generated = g_uuid_string_random ();
  return generated;
}

char *
cyctl_build_path (const char *path, ...)
{
  GString *text = g_string_new (path);
  char separator = '?';
  va_list arguments;
  const char *name;
  va_start (arguments, path);
  while ((name = va_arg (arguments, const char *)) != NULL)
    {
      const char *value = va_arg (arguments, const char *);
      if (value == NULL)
        continue;
      char *escaped = g_uri_escape_string (value, NULL, FALSE);
      g_string_append_printf (text, "%c%s=%s", separator, name, escaped);
      g_free (escaped);
      separator = '&';
    }
  va_end (arguments);
  return g_string_free (text, FALSE);
}

bool
cyctl_fetch_version (uint64_t *version, int *exit_code)
{
  struct cyctl_answer answer;
  bool good = cyctl_request ("GET", "/v1/history?max=0&confirmed=yes", NULL, 0,
                             &answer, exit_code);
  if (good)
    *version = (uint64_t)cyctl_get_number (answer.body, "version");
  cyctl_answer_clear (&answer);
  return good;
}
