/* Weighted fair queue of the requests that wait for a slot of one service.

   Start-time fair queueing between workspaces, first come first served
   within one.  Its length and each request's time are bounded; a request
   whose deadline the measured pace cannot meet is refused at once.  Does not
   lock: the owner does.  */

#ifndef CYW_FAIR_QUEUE_H
#define CYW_FAIR_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/cy_clock.h"
#include "cy_result.h"

#define CYW_WORKSPACE_MAX 128 /* requests of one workspace that wait */
#define CYW_NAME_MAX      128 /* bytes of a workspace's name */

struct cyw_flow;

/* One waiting request, part of the owner's struct.  */
struct cyw_item
{
  TAILQ_ENTRY (cyw_item) entry;
  struct cyw_flow *flow; /* NULL: not waiting */
  cy_time_ns since;
  cy_time_ns deadline;
};

struct cyw_fair_queue;

struct cyw_fair_queue *cyw_fair_queue_create (void);

/* Nothing may wait any more.  */
void cyw_fair_queue_destroy (struct cyw_fair_queue *queue);

/* Lets ITEM wait for WORKSPACE of WEIGHT (above 0) until DEADLINE.  SERVICE_NS
   is the time that it will take once it has a slot.  CY_E_QUEUE_FULL or
   CY_E_DEADLINE: it does not wait.  */
cy_result cyw_fair_queue_push (struct cyw_fair_queue *queue,
                               struct cyw_item *item, const char *workspace,
                               double weight, cy_time_ns now,
                               cy_time_ns deadline, cy_time_ns service_ns);

/* The pace, in requests a second, that the slots at hand allow; the estimate
   takes the better of this and the measured one.  */
void cyw_fair_queue_set_rate (struct cyw_fair_queue *queue, double per_s);

/* From NOW on there is no slot at all (STALLED), or there is one again.  Time
   without any says nothing of the pace to come.  */
void cyw_fair_queue_set_stalled (struct cyw_fair_queue *queue, bool stalled,
                                 cy_time_ns now);

/* Takes out the request that is next in fair order, NULL if none waits.  */
struct cyw_item *cyw_fair_queue_pop (struct cyw_fair_queue *queue,
                                     cy_time_ns now);

/* Takes out a request whose deadline has passed, NULL if there is none.  */
struct cyw_item *cyw_fair_queue_expire (struct cyw_fair_queue *queue,
                                        cy_time_ns now);

/* Takes out ITEM, which waits.  */
void cyw_fair_queue_remove (struct cyw_fair_queue *queue,
                            struct cyw_item *item);

size_t cyw_fair_queue_length (const struct cyw_fair_queue *queue);

/* Time that one more request of WORKSPACE would wait, 0 if not known.  */
cy_time_ns cyw_fair_queue_estimate (const struct cyw_fair_queue *queue,
                                    const char *workspace, double weight);

#endif /* CYW_FAIR_QUEUE_H */
