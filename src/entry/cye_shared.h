/* What the threads of an entry VM share.  Set up before the workers start;
   what changes afterwards is changed atomically or behind its own lock.  */

#ifndef CYE_SHARED_H
#define CYE_SHARED_H

#include <stdbool.h>

#include "core/cy_clock.h"
#include "entry/cye_agent.h"
#include "entry/cye_announce.h"
#include "entry/cye_budget.h"
#include "entry/cye_current.h"
#include "entry/cye_hub.h"
#include "entry/cye_lookup.h"
#include "entry/cye_names.h"
#include "entry/cye_slots.h"
#include "entry/cye_time_split.h"

#define CYE_TIMEOUT_MAX_MS 120000 /* ms, longest deadline of a request */

/* How the processes of the cluster stand to each other.  */
enum cye_layout
{
  CYE_TREE, /* entry VMs below zone processes below control VMs */
  CYE_HUB   /* entry VMs at control VMs that find each other */
};

struct cye_shared
{
  enum cye_layout layout;
  const struct cye_names *names;
  struct cye_hub *hub; /* CYE_HUB; the tree's modules are NULL then */
  const struct cy_clock *clock;
  const char *vm;
  const char *zone;
  struct cye_current *current;
  struct cye_agent *agent;
  struct cye_lookup *lookup;
  struct cye_slots *slots;
  struct cye_time_split *split;
  struct cye_announce *announce;
  struct cye_budget budget;
  int leaving;       /* atomic: a planned stop is under way */
  int ready;         /* atomic: the state has been confirmed once */
  int64_t open;      /* atomic: requests being served */
  uint64_t attempts; /* atomic: numbers the attempts of all workers */
};

#endif /* CYE_SHARED_H */
