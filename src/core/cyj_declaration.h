/* Declarations: reads the JSON document that operators submit, checks it,
   turns it into declared objects and compares these with the state in force.
   docs/DECLARATIONS.md documents the format.  The functions may be called by
   any thread, but a document must not be used by two threads at the same
   time.  */

#ifndef CYJ_DECLARATION_H
#define CYJ_DECLARATION_H

#include <glib.h>
#include <jansson.h>

#include "core/cys_state.h"
#include "cy_result.h"

#define CYJ_DOCUMENT_BYTES_MAX  (6u << 20) /* bytes of JSON text */
#define CYJ_DOCUMENT_VALUES_MAX 400000     /* JSON values in a document */
#define CYJ_NAME_MAX            63         /* bytes of a declared name */
#define CYJ_NOTE_MAX            2000 /* bytes of a note in the audit trail */

/* The first error of a document.  */
struct cyj_error
{
  char path[160];   /* such as "workspaces.coop-azul.rate"; "": the document */
  char detail[240]; /* such as "must be a number from 0 to 1e6, is -3" */
};

struct cyj_document;

/* Reads and checks LENGTH bytes of TEXT.  *DOCUMENT is freed by
   cyj_document_destroy and is NULL after an error.  CY_E_TOO_LARGE,
   CY_E_DECL_SYNTAX, CY_E_DECL_FIELD and CY_E_DECL_REFERENCE fill *ERROR.  */
cy_result cyj_document_read (const char *text, size_t length,
                             struct cyj_document **document,
                             struct cyj_error *error);
void cyj_document_destroy (struct cyj_document *document);

/* Returns the declared objects (Cy__Object) in key order.  Owned by
   DOCUMENT.  */
const GPtrArray *cyj_document_objects (const struct cyj_document *document);

/* The differences between a document and the state in force.  */
struct cyj_diff
{
  GPtrArray *objects; /* of Cy__Object to put or delete, owned */
  GPtrArray *lines;   /* of char *, a description of each object, owned */
  size_t puts;        /* objects to put */
  size_t deletes;     /* objects to delete */
};

/* Fills DIFF with the differences between STATE and DOCUMENT; freed by
   cyj_diff_clear.  An object that only STATE declares is deleted.  Keys,
   drains and members are not part of a document and stay unchanged.  */
void cyj_diff_make (const struct cyj_document *document,
                    const struct cys_state *state, struct cyj_diff *diff);

/* Fills DIFF with copies of OBJECTS (Cy__Object to put or delete) and
   describes how each differs from STATE; freed by cyj_diff_clear.  */
void cyj_diff_describe (const GPtrArray *objects,
                        const struct cys_state *state, struct cyj_diff *diff);
void cyj_diff_clear (struct cyj_diff *diff);

/* Returns DIFF's lines, joined and cut to CYJ_NOTE_MAX bytes; freed by
   g_free.  */
char *cyj_diff_make_note (const struct cyj_diff *diff);

/* Returns the body of OBJECT as JSON, a new reference; an empty object if
   documents do not declare its kind.  */
json_t *cyj_object_json (const Cy__Object *object);

/* Returns the declarations in force as a document that can be submitted, a new
   reference.  */
json_t *cyj_state_json (const struct cys_state *state);

#endif /* CYJ_DECLARATION_H */
