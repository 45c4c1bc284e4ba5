/* Internals of reading a document, included by the cyj_*.c files only.  */

#ifndef CYJ_DOCUMENT_H
#define CYJ_DOCUMENT_H

#include "core/cyj_declaration.h"
#include "core/cyj_fields.h"

/* A document while it is read.  */
struct cyj_reader
{
  GPtrArray *objects; /* of Cy__Object, owned */
  GHashTable *blocks; /* set of address blocks, borrowed from OBJECTS */
  char *path;         /* path of the object being read, "" outside of one */
  struct cyj_error *error; /* gets the first error, borrowed */
};

struct cyj_document
{
  GPtrArray *objects; /* of Cy__Object, owned, in key order */
};

/* Fills the reader's error with the path of FIELD in the current object and
   the formatted detail.  FIELD may be "".  Returns RESULT.  */
cy_result cyj_fail (struct cyj_reader *reader, cy_result result,
                    const char *field, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

/* Returns true when TEXT is a valid name of an object: 1 to CYJ_NAME_MAX of
   a-z 0-9 - _ . and neither - nor . at the start.  */
bool cyj_is_name (const char *text);

/* Returns the canonical text of the address block TEXT, freed by g_free.  NULL
   when TEXT is no address block or has a bit set after the prefix length.  */
char *cyj_block_canonical (const char *text);

/* Reads every object of SECTION, the document's section of KIND.  */
cy_result cyj_read_section (struct cyj_reader *reader,
                            const struct cyj_kind *kind,
                            const json_t *section);

#endif /* CYJ_DOCUMENT_H */
