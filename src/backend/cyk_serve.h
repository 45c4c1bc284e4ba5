/* HTTP server of the stand-in backend server: answers each request after its
   service time, records the requests that ran and injects configured faults.
   All functions are called on the thread of the loop.  For tests and
   benchmarks only.

   Query parameters of a request: size=BYTES sets the length of the answer,
   work=MS the service time.  The first line of the answer holds the id of the
   request (X-Request-Id), the workspace, method, path and the digest of the
   request body; X-Content-Digest holds the XXH64 of the full answer body.  */

#ifndef CYK_SERVE_H
#define CYK_SERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "cy_result.h"
#include "entry/cye_names.h"
#include "net/cyn_loop.h"

#define CYK_PAUSE_S     "1.5" /* Retry-After with the fault "pause" */
#define CYK_LATE_MS     10000 /* service time with the fault "late" */
#define CYK_COLD_FACTOR 5     /* factor of the service time at process start */
#define CYK_SLOW_FACTOR 10    /* factor of the service time with slow10x */

/* Injected faults; cyk_fault_parse reads their names.  */
enum cyk_fault
{
  CYK_NONE,
  CYK_SILENT,        /* healthy-but-silent: runs requests, never answers */
  CYK_LYING_LOAD,    /* lying-load: /load reports no request in flight */
  CYK_SLOW,          /* slow10x: multiplies the service time */
  CYK_CLOSE,         /* close-after-read: runs a request, then closes the
                        connection without an answer */
  CYK_RESET,         /* runs a request, then resets the connection */
  CYK_TRUNCATE,      /* sends half of the answer body */
  CYK_LATE,          /* answers after CYK_LATE_MS */
  CYK_SHED,          /* refuses with 503 and Cy-Not-Run: 1 */
  CYK_ECHO_KEY,      /* redirects to a URL that contains a key */
  CYK_REFUSAL_TWICE, /* refuses the first request of a connection and sends
                        the refusal again when the second one starts */
  CYK_LEAVING,       /* all answers report that the server leaves */
  CYK_PAUSE          /* like shed, with Retry-After: CYK_PAUSE_S */
};

struct cyk_options
{
  struct cyn_loop *loop;
  const char *service;
  const char *instance;
  const struct cye_names *names; /* of the headers */
  int64_t slots;                 /* reported by /load, not enforced */
  int64_t service_time_ms;       /* service time unless work=MS is given */
  int64_t cold_ms;               /* duration of the slow start, 0: none */
  enum cyk_fault fault;
  int64_t fault_percent;   /* share of requests with the fault, 0 to 100 */
  const char *poison_path; /* a request for it ends the process without an
                              answer; "" for none */
  const char *limit;       /* limit that all answers report, "" for none */
  int64_t limit_ms;        /* time from the start until it ends, 0: never */
  int record_fd;           /* receives one JSON line per request; -1: none */
  int listen_fd;           /* listening socket */
};

struct cyk_serve;

/* Parses the name of a fault, "" for none.  Returns false if TEXT is no such
   name.  */
bool cyk_fault_parse (const char *text, enum cyk_fault *fault);

cy_result cyk_serve_create (const struct cyk_options *options,
                            struct cyk_serve **serve);

/* Answers all open requests at once and frees SERVE.  */
void cyk_serve_destroy (struct cyk_serve *serve);

/* Returns the number of requests that are running.  */
int64_t cyk_serve_in_flight (const struct cyk_serve *serve);

#endif /* CYK_SERVE_H */
