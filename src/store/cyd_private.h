/* Internals of the store, shared by the cyd_*.c files only.  */

#ifndef CYD_PRIVATE_H
#define CYD_PRIVATE_H

#include "store/cyd_store.h"

const struct cyd_files *cyd_store_files (const struct cyd_store *store);
const char *cyd_store_path (const struct cyd_store *store);

#endif /* CYD_PRIVATE_H */
