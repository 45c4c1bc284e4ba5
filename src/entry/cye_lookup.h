/* Answers "which entry VM should I use": a table over client blocks and the
   steering plan, read by HTTP threads without a lock and replaced by the
   loop's thread.  */

#ifndef CYE_LOOKUP_H
#define CYE_LOOKUP_H

#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cys_state.h"
#include "core/cyt_soft_state.h"
#include "cy_result.h"

#define CYE_LOOKUP_VMS_MAX 8 /* entry VMs in one answer */

struct cye_lookup;

/* OWN_ZONE and OWN_REGION: where this entry VM is.  */
struct cye_lookup *cye_lookup_create (const char *own_zone,
                                      const char *own_region,
                                      const struct cy_clock *clock,
                                      const struct cy_random *random);
void cye_lookup_destroy (struct cye_lookup *lookup);

/* Takes over a new view.  Loop's thread.  */
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
  uint32_t ttl_ms;
  size_t count;
  struct cye_choice choices[CYE_LOOKUP_VMS_MAX];
};

/* Chooses entry VMs for a caller at CLIENT (an IP number) of SERVICE.
   CY_E_SERVICE_UNKNOWN, CY_E_NO_ROOM when nothing may take the caller.  Any
   thread, without a lock.  */
cy_result cye_lookup_answer (struct cye_lookup *lookup, const char *client,
                             const char *service, struct cye_answer *answer);

/* Entry VMs of other availability zones for a caller that this VM must send
   away.  Any thread, without a lock.  */
void cye_lookup_elsewhere (struct cye_lookup *lookup, const char *service,
                           struct cye_answer *answer);

#endif /* CYE_LOOKUP_H */
