/* Maps names to small numbers, so that the steering core can index arrays.  A
   name keeps its number until the table is cleared.  Not thread-safe.  */

#ifndef CYP_NAMES_H
#define CYP_NAMES_H

#include <glib.h>

#define CYP_NAME_NONE UINT_MAX

struct cyp_names
{
  GHashTable *ids;  /* from name to number + 1 */
  GPtrArray *names; /* copies of the names, indexed by number */
  unsigned max;     /* maximum number of names */
};

void cyp_names_start (struct cyp_names *names, unsigned max);
void cyp_names_clear (struct cyp_names *names);

/* Returns the number of NAME and assigns one if it has none.  Returns
   CYP_NAME_NONE when the table is full.  */
unsigned cyp_names_add (struct cyp_names *names, const char *name);

/* Returns the number of NAME, or CYP_NAME_NONE if it has none.  */
unsigned cyp_names_find (const struct cyp_names *names, const char *name);

/* Returns the name of ID, owned by NAMES.  */
const char *cyp_names_get (const struct cyp_names *names, unsigned id);

unsigned cyp_names_count (const struct cyp_names *names);

#endif /* CYP_NAMES_H */
