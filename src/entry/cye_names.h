/* Names of the HTTP headers with which callers, entry VMs and backend servers
   exchange control data.  One table per protocol dialect.  */

#ifndef CYE_NAMES_H
#define CYE_NAMES_H

#include <stdbool.h>

struct cye_names
{
  /* Headers of requests.  */
  const char *key;        /* the caller's key */
  const char *key_scheme; /* scheme before the key, "" for none */
  const char *timeout;    /* from the caller: timeout in ms; to the backend
                             server: ms left until the deadline */
  const char *request_id; /* request ID, echoed in the answer */
  const char *affinity;   /* name of the cookie with the requested object */
  const char *workspace;  /* to the backend server: workspace of the key */
  /* To the backend server: instance that should receive the request.  */
  const char *expected_instance;

  /* Headers of answers.  */
  const char *stamp; /* set on every answer of a backend server, NULL: none */
  const char *not_run; /* reports that the request was not run */
  const char *load;    /* running, waiting and slots, separated by commas */
  const char *cold;    /* ms until the server's cold start ends */
  const char *leaving; /* 1: the server is about to end */
  /* With status 503: s for which the server wants no request of this VM.  */
  const char *pause;
  const char *limit; /* requests/s that the server takes from all entry VMs */

  /* Headers of callers and answers with this prefix are dropped, NULL: only
     the headers above.  */
  const char *reserved_prefix;

  /* A request with a key outside of its header is refused.  */
  bool refuses_misplaced_keys;
  bool fractional_retry_after; /* Retry-After may have a fraction */
  bool reports_times;          /* answers carry Server-Timing and Cy-Outcome */
};

extern const struct cye_names cye_native_names;

#endif /* CYE_NAMES_H */
