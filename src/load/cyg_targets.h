/* Entry VMs that the load generator uses.  They come from lookups whose answer
   is used for its time to live, as real callers do.  All functions are called
   on the thread of the loop.  */

#ifndef CYG_TARGETS_H
#define CYG_TARGETS_H

#include <stdbool.h>

#include "http/cyh_client.h"
#include "net/cyn_loop.h"

struct cyg_targets;

/* LOOKUPS: "IP:PORT,..." of the entry VMs to send lookups to.  DIRECT:
   "IP:PORT,..." of the servers to use without a lookup, "" for none.
   ON_CHANGE is called whenever the list of entry VMs has been set.  */
struct cyg_targets *
cyg_targets_create (struct cyn_loop *loop, const char *lookups,
                    const char *direct, const char *service,
                    void (*on_change) (void *context), void *context);
void cyg_targets_destroy (struct cyg_targets *targets);

/* Returns true once at least one entry VM is known.  */
bool cyg_targets_ready (const struct cyg_targets *targets);

/* Returns "IP:PORT" of the entry VM at position RANK, modulo the length of the
   list; 0 is the preferred one.  The string is owned by TARGETS and valid
   until the loop runs again.  */
const char *cyg_targets_get (const struct cyg_targets *targets, unsigned rank);

#endif /* CYG_TARGETS_H */
