/* Sends lookups to one entry VM over persistent connections, for the capacity
   measurement: load_lookup IP:PORT SERVICE REQUESTS THREADS.  Prints the
   number of lookups answered with 200 and the duration of the run in seconds.
 */

#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define LOOKUP_TIMEOUT_MS 2000L

struct job
{
  char *url;
  guint64 requests; /* lookups to send */
  guint64 answered; /* lookups answered with 200 */
};

static size_t
discard_answer (char *data, size_t size, size_t count, void *unused)
{
  (void)data;
  (void)unused;
  return size * count;
}

static gpointer
run_job (gpointer data)
{
  struct job *job = data;
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, job->url);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, LOOKUP_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_answer);
  for (guint64 i = 0; i < job->requests; i++)
    {
      long status = 0;
      if (curl_easy_perform (easy) == CURLE_OK)
        curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
      job->answered += status == 200;
    }
  curl_easy_cleanup (easy);
  return NULL;
}

int
main (int argc, char **argv)
{
  guint64 requests;
  guint64 threads;
  if (argc != 5
      || !g_ascii_string_to_unsigned (argv[3], 10, 1, 10000000, &requests,
                                      NULL)
      || !g_ascii_string_to_unsigned (argv[4], 10, 1, 64, &threads, NULL))
    {
      fprintf (stderr, "load_lookup IP:PORT SERVICE REQUESTS THREADS\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  char *url
      = g_strdup_printf ("http://%s/v1/lookup?service=%s", argv[1], argv[2]);
  struct job *jobs = g_new0 (struct job, threads);
  GThread **runners = g_new0 (GThread *, threads);
  gint64 start = g_get_monotonic_time ();
  for (guint64 i = 0; i < threads; i++)
    {
      jobs[i].url = url;
      jobs[i].requests = requests / threads;
      runners[i] = g_thread_new ("lookups", run_job, &jobs[i]);
    }
  guint64 answered = 0;
  for (guint64 i = 0; i < threads; i++)
    {
      g_thread_join (runners[i]);
      answered += jobs[i].answered;
    }
  printf ("%" G_GUINT64_FORMAT " %.3f\n", answered,
          (double)(g_get_monotonic_time () - start) / G_USEC_PER_SEC);
  g_free (runners);
  g_free (jobs);
  g_free (url);
  curl_global_cleanup ();
  return answered == 0;
}
