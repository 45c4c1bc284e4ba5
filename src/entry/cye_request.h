/* One request of a caller, from its first header to the end of its answer: a
   state machine driven by libmicrohttpd, libcurl, the quota and the slots.
   All functions run in the thread of the request's worker.

   A request that must not run twice is written to one connection, once.  It
   is retried at another backend server only if no byte of it can have been
   sent.  An idempotent request may also be retried after it was sent, within
   its deadline and the retry budget.  */

#ifndef CYE_REQUEST_H
#define CYE_REQUEST_H

#include <microhttpd.h>
#include <sys/queue.h>

#include "entry/cye_worker.h"

struct cye_request;

/* Callbacks for the worker's daemon; CONTEXT is the worker.  */
void *cye_request_on_uri (void *context, const char *uri,
                          struct MHD_Connection *connection);
enum MHD_Result cye_request_on_data (void *context,
                                     struct MHD_Connection *connection,
                                     const char *url, const char *method,
                                     const char *version, const char *data,
                                     size_t *size, void **request);
void cye_request_on_completed (void *context,
                               struct MHD_Connection *connection,
                               void **request,
                               enum MHD_RequestTerminationCode code);

/* Continues the request after its token, slot, call or caller changed.  */
void cye_request_step (struct cye_request *request);

/* Checks whether the caller has left and whether the backend server has
   exceeded its answer timeout.  NOW is monotonic time.  */
void cye_request_check (struct cye_request *request, cy_time_ns now);

/* Resumes the request's suspended connection with an error, so that it ends.
   Called when the worker stops.  */
void cye_request_abandon (struct cye_request *request);

/* Frees a request without a caller's connection.  Called by the worker too
   when it stops.  */
void cye_request_destroy (struct cye_request *request);

/* Entries of a request in the worker's lists.  */
struct cye_request_links
{
  TAILQ_ENTRY (cye_request) open;       /* all requests of the worker */
  STAILQ_ENTRY (cye_request) scheduled; /* requests that need a step */
  bool is_scheduled; /* the request is in the list of SCHEDULED */
};

#endif /* CYE_REQUEST_H */
