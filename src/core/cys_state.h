/* Declared state: versioned objects, the results of changes by request id and
   the audit trail.  A pure state machine: control VMs apply log records in
   order, zones and entry VMs apply the deltas that they are sent.  One thread
   at a time.

   Every accepted change raises the version by one.  An object carries the
   version that last changed it; deleted objects stay as tombstones so that a
   delta can carry the deletion, until CYS_TOMBSTONE_VERSIONS newer versions
   have passed.  */

#ifndef CYS_STATE_H
#define CYS_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy.pb-c.h"
#include "cy_result.h"

#define CYS_TOMBSTONE_VERSIONS 10000 /* versions */
#define CYS_RESULTS_MAX        20000 /* request ids remembered */
#define CYS_AUDIT_MAX          20000 /* audit lines kept in memory */
#define CYS_UNDO_VERSIONS      1000  /* versions that can be rolled back */
#define CYS_UNDO_BYTES         (8u << 20) /* kept for rolling back */
#define CYS_CHANGE_BYTES_MAX   (3u << 20) /* of one packed change */

/* Key of the numbered declaration in force.  */
#define CYS_DOCUMENT_KEY "document/current"

struct cys_state;

/* Creates an empty state of version 0.  The caller destroys it.  */
struct cys_state *cys_state_create (void);
void cys_state_destroy (struct cys_state *state);

uint64_t cys_state_version (const struct cys_state *state);

/* Who made the version in force, under which request id; "" before the first.
   They belong to STATE.  */
const char *cys_state_last_who (const struct cys_state *state);
const char *cys_state_last_request_id (const struct cys_state *state);

/* Applies CHANGE, which a quorum has committed.  A change with a number is
   taken when that is higher than the number in force; a resend and an older
   one are accepted without effect, other content under the number in force is
   CY_E_VERSION_CONFLICT.  Deterministic: the result
   depends only on STATE and CHANGE.  A request id seen before yields the
   first result again and changes nothing (CY_E_REQUEST_REUSED when the change
   differs).  Returns the remembered result, owned by STATE and valid until
   the next call.  */
const Cy__ChangeResult *cys_state_apply (struct cys_state *state,
                                         const Cy__Change *change);

/* Returns the remembered result of REQUEST_ID, NULL if there is none.  */
const Cy__ChangeResult *cys_state_result (const struct cys_state *state,
                                          const char *request_id);

/* Returns a copy, freed by cy__object__free_unpacked.  */
Cy__Object *cys_object_copy (const Cy__Object *object);

/* True when A and B differ in nothing but the version.  */
bool cys_object_same_body (const Cy__Object *a, const Cy__Object *b);

/* Returns what tells CHANGE from another change under the same request id:
   over who, the action and the request's digest, or the objects when there is
   none.  */
uint64_t cys_change_digest (const Cy__Change *change);

/* Adds to OBJECTS (a GPtrArray of Cy__Object, as void * so that the header
   needs no GLib) what a change must put or delete so that the declarations
   are again those of VERSION.  Keys, drains and members stay as they are.
   The objects are borrowed from STATE.  CY_E_NOT_FOUND when VERSION is no
   longer kept.  */
cy_result cys_state_rollback (const struct cys_state *state, uint64_t version,
                              void *objects);

/* Returns the live object KEY, NULL if there is none.  Owned by STATE.  */
const Cy__Object *cys_state_get (const struct cys_state *state,
                                 const char *key);

/* Calls EACH for every live object whose key starts with PREFIX, in key
   order, until it returns false.  */
typedef bool (*cys_each_fn) (const Cy__Object *object, void *context);
void cys_state_each (const struct cys_state *state, const char *prefix,
                     cys_each_fn each, void *context);

/* Fills ANSWER's from_version, to_version, objects and more with what follows
   VERSION, in version order, when that takes at most MAX_BYTES of packed
   objects or is a single version.  Else the whole state is sent in key order
   in pieces of at most MAX_BYTES (at least one object): CURSOR is the answer's
   cursor of the piece before, NULL at first.  Objects are borrowed from STATE;
   the rest is freed by cys_state_answer_clear.  */
cy_result cys_state_delta (const struct cys_state *state, uint64_t version,
                           const char *cursor, size_t max_bytes,
                           Cy__SyncAnswer *answer);
void cys_state_answer_clear (Cy__SyncAnswer *answer);

/* Applies an answer or a push of the parent to a child's STATE.  Pieces of a
   whole state are collected and take effect together at the last.  Never
   lowers the version: CY_E_AGAIN when the answer does not fit the version
   held (the child asks again).  */
cy_result cys_state_sync (struct cys_state *state,
                          const Cy__SyncAnswer *answer);

/* Packs the whole state for a snapshot; the caller frees *BYTES with
   g_free.  */
cy_result cys_state_save (const struct cys_state *state, uint8_t **bytes,
                          size_t *length);

/* Replaces STATE by a packed snapshot.  CY_E_STORE_CORRUPT leaves STATE as it
   was.  */
cy_result cys_state_load (struct cys_state *state, const uint8_t *bytes,
                          size_t length);

/* Returns up to MAX audit lines from index FROM on (1 is the first), oldest
   first; *LINES borrowed from STATE, the array freed by g_free.  */
size_t cys_state_audit (const struct cys_state *state, uint64_t from,
                        size_t max, const Cy__AuditLine ***lines);

/* Stores the 32 bytes of the hash before line INDEX; false when that line is
   not kept.  */
bool cys_state_audit_before (const struct cys_state *state, uint64_t index,
                             uint8_t *hash);

/* Recomputes the hash chain of COUNT consecutive LINES; the first line's
   hash is checked against PREVIOUS (32 bytes) unless PREVIOUS is NULL.
   CY_E_AUDIT_BROKEN with the index of the first bad line in *BAD.  */
cy_result cys_audit_verify (const Cy__AuditLine *const *lines, size_t count,
                            const uint8_t *previous, uint64_t *bad);

#endif /* CYS_STATE_H */
