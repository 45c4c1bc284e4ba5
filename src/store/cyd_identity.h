/* The file "identity": the cluster and the member that a data folder belongs
   to, and the random id of the folder.  */

#ifndef CYD_IDENTITY_H
#define CYD_IDENTITY_H

#include "store/cyd_store.h"

/* File that marks a folder whose content no longer counts.  */
#define CYD_DISCARD_NAME "discard"

/* True when the content of the folder PATH no longer counts.  */
bool cyd_identity_is_discarded (const struct cyd_files *files,
                                const char *path);

/* Reads the folder id into *FOLDER.  CY_E_STORE_IDENTITY when the folder
   belongs to another cluster or member than OPTIONS name.  CY_E_NOT_FOUND,
   CY_E_STORE_CORRUPT.  */
cy_result cyd_identity_load (const struct cyd_store_options *options,
                             uint64_t *folder);

/* Reads the id of the member that the folder PATH belongs to.  CY_E_NOT_FOUND
   when the folder has no identity yet, or no longer counts.  */
cy_result cyd_identity_member (const struct cyd_files *files, const char *path,
                               uint64_t *member);

/* Creates the identity of an empty folder.  CY_E_STORE_CORRUPT when the folder
   contains state, which is only ever written after an identity.  */
cy_result cyd_identity_create (const struct cyd_store_options *options,
                               uint64_t *folder);

#endif /* CYD_IDENTITY_H */
