/* Lookup of the entry VMs that a caller should use.  A lookup combines a table
   of client blocks with the steering plan.  HTTP threads read both without a
   lock; the loop's thread replaces them.  */

#ifndef CYE_LOOKUP_H
#define CYE_LOOKUP_H

#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cys_state.h"
#include "core/cyt_soft_state.h"
#include "cy_result.h"

#define CYE_LOOKUP_VMS_MAX 8 /* entry VMs in one answer, at most */

struct cye_lookup;

/* LOCAL_ZONE and LOCAL_REGION are those of this entry VM.  */
struct cye_lookup *cye_lookup_create (const char *local_zone,
                                      const char *local_region,
                                      const struct cy_clock *clock,
                                      const struct cy_random *random);
void cye_lookup_destroy (struct cye_lookup *lookup);

/* Builds a new view from STATE and SOFT and puts it in force.  Loop's
   thread.  */
void cye_lookup_update (struct cye_lookup *lookup,
                        const struct cys_state *state,
                        const struct cyt_soft_state *soft);

/* One entry VM of an answer, in order of preference.  */
struct cye_choice
{
  char vm[64];
  char host[46];
  uint16_t port;
  char zone[64];
  char region[64];
};

struct cye_answer
{
  uint32_t ttl_ms; /* how long the caller may cache the answer */
  size_t count;
  struct cye_choice choices[CYE_LOOKUP_VMS_MAX];
};

/* Chooses entry VMs for a caller at CLIENT (an IP number) of SERVICE.
   Returns CY_E_SERVICE_UNKNOWN, or CY_E_NO_ROOM when the plan refuses the
   caller or no entry VM serves.  Any thread, without a lock.  */
cy_result cye_lookup_answer (struct cye_lookup *lookup, const char *client,
                             const char *service, struct cye_answer *answer);

/* Chooses entry VMs of other availability zones for a caller whom this VM does
   not serve.  Any thread, without a lock.  */
void cye_lookup_other_zones (struct cye_lookup *lookup, const char *service,
                             struct cye_answer *answer);

#endif /* CYE_LOOKUP_H */
