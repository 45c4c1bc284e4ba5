/* Declared state: versioned objects, the results of changes by request id and
   the audit trail.  The module is a state machine without input or output:
   control VMs apply log records in order, zone processes and entry VMs apply
   the deltas that their parent sends.  A state must not be used by two threads
   at the same time.

   Every change that alters an object raises the version by one.  An object
   carries the version that last changed it.  A deleted object stays as a
   tombstone, so that a delta can carry the deletion, until
   CYS_TOMBSTONE_VERSIONS newer versions exist.  */

#ifndef CYS_STATE_H
#define CYS_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy.pb-c.h"
#include "cy_result.h"

/* Versions for which a tombstone is stored.  */
#define CYS_TOMBSTONE_VERSIONS 10000
#define CYS_RESULTS_MAX        20000 /* results stored by request id */
#define CYS_AUDIT_MAX          20000 /* audit lines held in memory */
#define CYS_UNDO_VERSIONS      1000  /* versions that can be rolled back */
#define CYS_UNDO_BYTES         (8u << 20) /* packed bytes of undo records */
#define CYS_CHANGE_BYTES_MAX   (3u << 20) /* packed bytes of one change */

/* Key of the object that holds the numbered declaration in force.  */
#define CYS_DOCUMENT_KEY "document/current"

struct cys_state;

/* Creates an empty state of version 0; freed by cys_state_destroy.  */
struct cys_state *cys_state_create (void);
void cys_state_destroy (struct cys_state *state);

uint64_t cys_state_version (const struct cys_state *state);

/* Return the author and the request id of the change that made the current
   version, "" at version 0.  The strings belong to STATE and are valid until
   the next change.  */
const char *cys_state_last_who (const struct cys_state *state);
const char *cys_state_last_request_id (const struct cys_state *state);

/* Applies CHANGE, which a quorum has committed.  A change with a declaration
   number takes effect when that number is higher than the number in force; a
   resend or an older number is accepted without effect, and other content
   under the number in force gives CY_E_VERSION_CONFLICT.  A request id that
   was applied before returns the first result and changes nothing; it gives
   CY_E_REQUEST_REUSED when the change differs.  The result depends only on
   STATE and CHANGE, so that all replicas agree.  Returns the stored result,
   owned by STATE and valid until the next call.  */
const Cy__ChangeResult *cys_state_apply (struct cys_state *state,
                                         const Cy__Change *change);

/* Returns the stored result of REQUEST_ID, NULL if there is none.  Owned by
   STATE, valid until the next change.  */
const Cy__ChangeResult *cys_state_result (const struct cys_state *state,
                                          const char *request_id);

/* Returns a deep copy of OBJECT, freed by cy__object__free_unpacked.  */
Cy__Object *cys_object_copy (const Cy__Object *object);

/* Returns true when A and B are equal except for their versions.  */
bool cys_object_same_body (const Cy__Object *a, const Cy__Object *b);

/* Returns a digest that distinguishes CHANGE from another change under the
   same request id.  It covers the author, the action and the request's digest;
   a change without a request digest is covered by its objects.  */
uint64_t cys_change_digest (const Cy__Change *change);

/* Adds to OBJECTS the objects that a change must put or delete to restore the
   declarations of VERSION.  OBJECTS is a GPtrArray of Cy__Object, passed as
   void * so that this header needs no GLib.  Keys, drains and members are
   never rolled back.  The objects are borrowed from STATE.  CY_E_ARGUMENT when
   VERSION is not older than the current one, CY_E_NOT_FOUND when the undo
   records no longer reach back to VERSION.  */
cy_result cys_state_collect_rollback (const struct cys_state *state,
                                      uint64_t version, void *objects);

/* Returns the object KEY, NULL if it is absent or deleted.  Owned by
   STATE.  */
const Cy__Object *cys_state_get (const struct cys_state *state,
                                 const char *key);

/* Calls EACH for every object that is not deleted and whose key starts with
   PREFIX, in key order, until EACH returns false.  */
typedef bool (*cys_each_fn) (const Cy__Object *object, void *context);
void cys_state_each (const struct cys_state *state, const char *prefix,
                     cys_each_fn each, void *context);

/* Fills from_version, to_version, objects, more, cursor and after of ANSWER.
   The objects are the changes after VERSION, in version order, when these take
   at most MAX_BYTES of packed objects or are a single version.  Otherwise
   they are one chunk of the full state in key order, of at most MAX_BYTES
   but at least one object.  CURSOR is the cursor of the previous chunk's
   answer, NULL for the first chunk.  Objects are borrowed from STATE;
   cys_state_answer_clear frees everything else.  */
cy_result cys_state_make_delta (const struct cys_state *state,
                                uint64_t version, const char *cursor,
                                size_t max_bytes, Cy__SyncAnswer *answer);
void cys_state_answer_clear (Cy__SyncAnswer *answer);

/* Applies an answer or a push of the parent to a child's STATE.  Chunks of a
   full state are collected and take effect together with the last one.  The
   version never decreases.  CY_E_AGAIN when ANSWER does not follow on the
   child's version or on the previous chunk; the child then requests the state
   again.  */
cy_result cys_state_apply_answer (struct cys_state *state,
                                  const Cy__SyncAnswer *answer);

/* Packs the complete state for a snapshot into *BYTES, freed by g_free;
 *LENGTH gets the number of bytes.  */
cy_result cys_state_save (const struct cys_state *state, uint8_t **bytes,
                          size_t *length);

/* Replaces STATE by a packed snapshot of LENGTH bytes.  CY_E_STORE_CORRUPT
   leaves STATE unchanged.  */
cy_result cys_state_load (struct cys_state *state, const uint8_t *bytes,
                          size_t length);

/* Stores in *LINES an array of up to MAX audit lines, oldest first, starting
   at index FROM (indices start at 1) or at the oldest stored line if that is
   newer.  Returns the number of lines.  The lines are borrowed from STATE, the
   array is freed by g_free and is NULL when the number is 0.  */
size_t cys_state_audit_lines (const struct cys_state *state, uint64_t from,
                              size_t max, const Cy__AuditLine ***lines);

/* Stores in HASH the 32-byte hash of the line that precedes line INDEX.
   Returns false when line INDEX is not stored.  */
bool cys_state_audit_previous_hash (const struct cys_state *state,
                                    uint64_t index, uint8_t *hash);

/* Recomputes the hash chain of COUNT consecutive LINES.  The first line's
   hash is checked against PREVIOUS (32 bytes) unless PREVIOUS is NULL.
   CY_E_AUDIT_BROKEN stores the index of the first line that does not verify in
   *BAD_INDEX.  */
cy_result cys_audit_verify (const Cy__AuditLine *const *lines, size_t count,
                            const uint8_t *previous, uint64_t *bad_index);

#endif /* CYS_STATE_H */
