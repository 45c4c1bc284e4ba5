/* Snapshot files.  A file contains index, term and length of the packed member
   set, then the member set and the state.  */

#ifndef CYD_SNAPSHOT_H
#define CYD_SNAPSHOT_H

#include "store/cyd_store.h"

/* Writes a snapshot durably, then removes older ones.  */
cy_result cyd_snapshot_save (const struct cyd_files *files, const char *path,
                             const struct cyr_snapshot *snapshot);

/* Loads the newest snapshot into RECOVERED, if there is one, and removes
   older ones.  */
cy_result cyd_snapshot_load (const struct cyd_files *files, const char *path,
                             struct cyd_recovered *recovered);

#endif /* CYD_SNAPSHOT_H */
