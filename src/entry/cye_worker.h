/* One worker thread of an entry VM.  The connections of callers and those to
   backend servers run on one event loop, so a request stays in one thread.  */

#ifndef CYE_WORKER_H
#define CYE_WORKER_H

#include "cy_result.h"
#include "entry/cye_shared.h"
#include "http/cyh_client.h"
#include "http/cyh_server.h"
#include "net/cyn_loop.h"

struct cye_worker;

/* Creates a worker that accepts connections on LISTEN_FD, which all workers
   share.  Without LOOP (NULL) the worker starts a thread with a loop of its
   own; with LOOP it runs in the thread that runs LOOP.  NUMBER is part
   of the thread's name.  */
cy_result cye_worker_create (struct cye_shared *shared, struct cyn_loop *loop,
                             int listen_fd, unsigned number,
                             struct cye_worker **worker);

/* Stops accepting connections; open connections are served until they end.
   Any thread.  */
void cye_worker_quiesce (struct cye_worker *worker);

/* Stops the thread, closes all open connections and frees WORKER.  */
void cye_worker_destroy (struct cye_worker *worker);

/* The functions below are for requests, in the worker's thread.  */
struct cye_request;
struct cye_shared *cye_worker_shared (struct cye_worker *worker);
struct cyn_loop *cye_worker_loop (struct cye_worker *worker);
struct cyh_client *cye_worker_client (struct cye_worker *worker);

/* Adds REQUEST to the open requests of WORKER, which are checked for time-outs
   and ended with the worker.  */
void cye_worker_add (struct cye_worker *worker, struct cye_request *request);

/* Runs the scheduled requests; call it from the loop, not from a callback of
   libcurl or libmicrohttpd.  */
void cye_worker_run_scheduled (struct cye_worker *worker);

/* Schedules a step of REQUEST after the callbacks of libcurl and
   libmicrohttpd have returned.  */
void cye_worker_schedule (struct cye_worker *worker,
                          struct cye_request *request);
/* Schedules a round of the HTTP server, after a suspended connection was
   resumed.  */
void cye_worker_schedule_server (struct cye_worker *worker);
/* Removes REQUEST from the open and the scheduled requests.  */
void cye_worker_remove (struct cye_worker *worker,
                        struct cye_request *request);

#endif /* CYE_WORKER_H */
