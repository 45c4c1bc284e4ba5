/* Callers that the load generator simulates: workspaces, their keys and their
   share of the load.  */

#ifndef CYG_KEYS_H
#define CYG_KEYS_H

#include <stddef.h>

#include "cy_result.h"

struct cyg_key
{
  char *workspace;
  char *key;
  double weight; /* relative share of the load, 1 by default */
};

/* Reads lines "WORKSPACE KEY [WEIGHT]" from PATH.  Returns CY_E_IO if the file
   cannot be read and CY_E_NOT_FOUND if it has no such line.  The caller frees
   *KEYS with cyg_keys_free.  */
cy_result cyg_keys_read (const char *path, struct cyg_key **keys,
                         size_t *count);
void cyg_keys_free (struct cyg_key *keys, size_t count);

#endif /* CYG_KEYS_H */
