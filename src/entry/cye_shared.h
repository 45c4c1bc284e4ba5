/* State shared by the threads of an entry VM.  It is set up before the workers
   start; later changes are atomic or protected by the module's own lock.  */

#ifndef CYE_SHARED_H
#define CYE_SHARED_H

#include <stdbool.h>

#include "core/cy_clock.h"
#include "entry/cye_agent.h"
#include "entry/cye_announce.h"
#include "entry/cye_budget.h"
#include "entry/cye_access_view.h"
#include "entry/cye_hub.h"
#include "entry/cye_lookup.h"
#include "entry/cye_names.h"
#include "entry/cye_slots.h"
#include "entry/cye_time_split.h"

#define CYE_TIMEOUT_MAX_MS 120000 /* upper bound of a request's timeout */

/* Layout of the cluster's processes.  */
enum cye_layout
{
  CYE_TREE, /* entry VMs below zone processes below control VMs */
  CYE_HUB   /* entry VMs connect to control VMs, which discover
               each other */
};

struct cye_shared
{
  enum cye_layout layout;
  const struct cye_names *names;
  struct cye_hub *hub; /* set for CYE_HUB only; the modules of the tree layout
                          are NULL then */
  const struct cy_clock *clock;
  const char *vm;
  const char *zone;
  struct cye_access_view *access_view;
  struct cye_agent *agent;
  struct cye_lookup *lookup;
  struct cye_slots *slots;
  struct cye_time_split *split;
  struct cye_announce *announce;
  struct cye_budget budget;
  int leaving;                  /* atomic: a planned stop is in progress */
  int refuses_requests;         /* atomic: the planned stop takes no more */
  int64_t leave_answers_at;     /* atomic: monotonic time at which the planned
                                   stop answers what is open, 0: no stop */
  int ready;                    /* atomic: the state has been confirmed once */
  int64_t open_requests;        /* atomic: count of requests being served */
  uint64_t last_attempt_number; /* atomic: number of the newest attempt of any
                        worker */
};

#endif /* CYE_SHARED_H */
