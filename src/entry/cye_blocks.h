/* Updates the lookup table of client blocks to the declared blocks.  Only the
   prefixes that differ are written.  Loop's thread.  Private to the
   lookup.  */

#ifndef CYE_BLOCKS_H
#define CYE_BLOCKS_H

#include "core/cyl_table.h"
#include "core/cys_state.h"

struct cye_blocks;

/* Returns the number of SITE, CYP_NAME_NONE when there are too many sites.  */
typedef unsigned (*cye_site_fn) (void *context, const char *site);

/* Creates an updater of TABLE, which the caller owns and must keep valid.  */
struct cye_blocks *cye_blocks_create (struct cyl_table *table,
                                      cye_site_fn site_number, void *context);
void cye_blocks_destroy (struct cye_blocks *blocks);

/* Adds and removes the prefixes of TABLE that STATE changed since the last
   call.  */
void cye_blocks_update (struct cye_blocks *blocks,
                        const struct cys_state *state);

#endif /* CYE_BLOCKS_H */
