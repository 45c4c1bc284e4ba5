/* Requests of the stand-in backend server: runs each for its service time,
   records what ran, and brings about the faults that tests ask for.  Loop's
   thread.  For tests and benchmarks only.

   Query parameters steer one request: size=BYTES of the answer, work=MS of
   service time.  The answer's first line names the request (X-Request-Id),
   the workspace, method, path and digest of the body; X-Content-Digest
   carries the XXH64 of the whole answer.  */

#ifndef CYK_SERVE_H
#define CYK_SERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "cy_result.h"
#include "net/cyn_loop.h"

#define CYK_LATE_MS    10000 /* ms that a late answer takes */
#define CYK_COLD_TIMES 5     /* service time just after a cold start */
#define CYK_SLOW_TIMES 10    /* service time of slow10x */

/* What goes wrong.  */
enum cyk_fault
{
  CYK_NONE,
  CYK_SILENT,       /* healthy-but-silent: reads, runs, never answers */
  CYK_LYING_LOAD,   /* says that it is idle */
  CYK_SLOW,         /* slow10x */
  CYK_CLOSE,        /* close-after-read: runs, closes without an answer */
  CYK_RESET,        /* runs, resets the connection */
  CYK_TRUNCATE,     /* sends half of the answer's body */
  CYK_LATE,         /* answers after CYK_LATE_MS */
  CYK_SHED,         /* refuses with 503 and Cy-Not-Run: 1 */
  CYK_ECHO_KEY,     /* redirects to a place that holds a key */
  CYK_REFUSAL_TWICE /* refuses a connection's first request; the refusal comes
                       once more as the second one runs */
};

struct cyk_options
{
  struct cyn_loop *loop;
  const char *service;
  const char *instance;
  int64_t slots;
  int64_t service_time_ms;
  int64_t cold_ms;
  enum cyk_fault fault;
  int64_t fault_percent; /* of the requests */
  int record_fd;         /* one JSON line a request, -1: none */
  int listen_fd;
};

struct cyk_serve;

/* Parses TEXT, "" for none.  */
bool cyk_fault_parse (const char *text, enum cyk_fault *fault);

cy_result cyk_serve_create (const struct cyk_options *options,
                            struct cyk_serve **serve);

/* Answers what is open at once, then frees.  */
void cyk_serve_destroy (struct cyk_serve *serve);

int64_t cyk_serve_in_flight (const struct cyk_serve *serve);

#endif /* CYK_SERVE_H */
