/* Weighted fair queue of the requests that wait for a slot of one service.

   Start-time fair queueing between workspaces, first come first served within
   a workspace.  The number of waiting requests and the time of each one are
   bounded; a request is refused at once when its deadline cannot be met at the
   measured service rate.  Not thread-safe: the owner locks.  */

#ifndef CYW_FAIR_QUEUE_H
#define CYW_FAIR_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/cy_clock.h"
#include "cy_result.h"

#define CYW_WORKSPACE_MAX 128 /* waiting requests of one workspace */
#define CYW_NAME_MAX      128 /* bytes of a workspace's name, with NUL */

struct cyw_flow;

/* One waiting request, embedded in a struct of the caller, which owns it.  */
struct cyw_item
{
  TAILQ_ENTRY (cyw_item) entry;
  struct cyw_flow *flow; /* queue of the workspace, NULL: not waiting */
  cy_time_ns queued_at;  /* time at which the wait began */
  cy_time_ns deadline;   /* time at which the wait must end */
};

struct cyw_fair_queue;

struct cyw_fair_queue *cyw_fair_queue_create (void);

/* Frees QUEUE, which may be NULL and must be empty.  */
void cyw_fair_queue_destroy (struct cyw_fair_queue *queue);

/* Appends ITEM to the requests of WORKSPACE, which has WEIGHT (above 0), until
   DEADLINE.  SERVICE_NS is the time in ns that the request will take in its
   slot.  CY_E_QUEUE_FULL, CY_E_DEADLINE: the request is not queued.  */
cy_result cyw_fair_queue_push (struct cyw_fair_queue *queue,
                               struct cyw_item *item, const char *workspace,
                               double weight, cy_time_ns now,
                               cy_time_ns deadline, cy_time_ns service_ns);

/* Sets the service rate, in requests per second, that the existing slots
   allow.  The estimate uses this rate or the measured one, whichever is
   larger.  */
void cyw_fair_queue_set_rate (struct cyw_fair_queue *queue, double per_s);

/* Sets whether there is no slot at all (STALLED) from NOW on.  Time without a
   slot does not count towards the measured service rate.  */
void cyw_fair_queue_set_stalled (struct cyw_fair_queue *queue, bool stalled,
                                 cy_time_ns now);

/* Removes and returns the request that is next in fair order, NULL if none
   waits.  */
struct cyw_item *cyw_fair_queue_pop (struct cyw_fair_queue *queue,
                                     cy_time_ns now);

/* Removes and returns a request whose deadline has passed, NULL if there is
   none.  */
struct cyw_item *cyw_fair_queue_expire (struct cyw_fair_queue *queue,
                                        cy_time_ns now);

/* Removes ITEM, which must be waiting.  */
void cyw_fair_queue_remove (struct cyw_fair_queue *queue,
                            struct cyw_item *item);

/* Number of waiting requests.  */
size_t cyw_fair_queue_length (const struct cyw_fair_queue *queue);

/* Expected wait in ns of one more request of WORKSPACE, 0 if not known.  */
cy_time_ns cyw_fair_queue_estimate (const struct cyw_fair_queue *queue,
                                    const char *workspace, double weight);

#endif /* CYW_FAIR_QUEUE_H */
