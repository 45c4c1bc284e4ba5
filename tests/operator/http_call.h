/* HTTP requests with libcurl for the tests of the operators' interface.  */

#ifndef HTTP_CALL_H
#define HTTP_CALL_H

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

struct http_result
{
  long status;
  char *text;
  json_t *body;
  char *redirect;
};

static inline size_t
http_append_body (char *bytes, size_t size, size_t count, void *context)
{
  g_string_append_len (context, bytes, (gssize)(size * count));
  return size * count;
}

static inline void
http_call (uint16_t port, const char *method, const char *path,
           const char *token, const char *body, size_t length,
           struct http_result *result)
{
  GString *text = g_string_new (NULL);
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  char *line = g_strdup_printf ("Authorization: Bearer %s", token);
  struct curl_slist *headers
      = token[0] != '\0' ? curl_slist_append (NULL, line) : NULL;
  char *redirect = NULL;
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, 30L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, http_append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  if (body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)length);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
    }
  result->status = 0;
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &result->status);
  curl_easy_getinfo (curl, CURLINFO_REDIRECT_URL, &redirect);
  result->redirect = g_strdup (redirect);
  result->body = json_loadb (text->str, text->len, 0, NULL);
  result->text = g_string_free (text, FALSE);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  g_free (url);
  g_free (line);
}

static inline void
http_result_clear (struct http_result *result)
{
  g_free (result->text);
  g_free (result->redirect);
  json_decref (result->body);
}

#endif /* HTTP_CALL_H */
