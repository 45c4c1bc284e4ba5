/* Internals of the declared state, included by the cys_*.c files only.  */

#ifndef CYS_INTERNAL_H
#define CYS_INTERNAL_H

#include <glib.h>

#include "core/cys_state.h"

#define CYS_HASH_BYTES 32 /* bytes of a SHA-256 hash */

/* ----------------------------------------------------------- objects */

/* One object or tombstone of a table.  */
struct cys_entry
{
  Cy__Object *object;
  size_t packed_size; /* bytes of OBJECT when packed */
  GList version_link; /* link in cys_table.by_version */
  /* Link in cys_table.tombstones, unused unless OBJECT is deleted.  */
  GList tombstone_link;
};

/* Objects and tombstones, indexed by key and ordered by version, so that a
   delta reads only the entries that changed.  */
struct cys_table
{
  GTree *by_key; /* key to struct cys_entry, owned; the key is the object's */
  GQueue by_version; /* links of all entries, oldest change first */
  GQueue tombstones; /* links of deleted entries, oldest deletion first */
};

void cys_table_init (struct cys_table *table);
void cys_table_clear (struct cys_table *table);
struct cys_entry *cys_table_find (const struct cys_table *table,
                                  const char *key);

/* Adds OBJECT, which the table then owns, as the newest change and replaces
   the entry of the same key.  */
void cys_table_put (struct cys_table *table, Cy__Object *object);
void cys_table_remove (struct cys_table *table, struct cys_entry *entry);

/* ----------------------------------------------------------- results */

/* Results by request id.  The oldest is removed when there are more than
   CYS_RESULTS_MAX.  */
struct cys_results
{
  GHashTable *by_id; /* request id to Cy__ChangeResult, owned by QUEUE */
  GQueue queue;      /* of Cy__ChangeResult, owned, oldest first */
};

void cys_results_init (struct cys_results *results);
void cys_results_clear (struct cys_results *results);

/* Returns the result of REQUEST_ID, NULL if there is none.  */
const Cy__ChangeResult *cys_results_find (const struct cys_results *results,
                                          const char *request_id);

/* Adds RESULT, which RESULTS then owns, and returns it.  */
const Cy__ChangeResult *cys_results_add (struct cys_results *results,
                                         Cy__ChangeResult *result);

/* ------------------------------------------------------------- audit */

/* The newest CYS_AUDIT_MAX lines of the audit trail.  */
struct cys_audit
{
  GQueue lines;        /* of Cy__AuditLine, owned, oldest first */
  uint64_t next_index; /* index of the next line, 1 for the first */
  /* Hash of the line that precedes the oldest stored line, zeros before
     line 1.  */
  uint8_t base_hash[CYS_HASH_BYTES];
  /* Hash of the newest line, BASE_HASH if no line is stored.  */
  uint8_t last_hash[CYS_HASH_BYTES];
};

void cys_audit_init (struct cys_audit *audit);
void cys_audit_clear (struct cys_audit *audit);

/* Adds a line for CHANGE, which ended with RESULT; FROM and TO are the
   versions before and after the change.  */
void cys_audit_add (struct cys_audit *audit, const Cy__Change *change,
                    uint64_t from, uint64_t to, cy_result result);

/* -------------------------------------------------------------- undo */

/* The objects that the newest changes replaced, one record a version.  */
struct cys_undo
{
  GQueue records;      /* of Cy__UndoRecord, owned, oldest first */
  size_t packed_bytes; /* packed bytes of all records */
};

void cys_undo_init (struct cys_undo *undo);
void cys_undo_clear (struct cys_undo *undo);

/* Creates the record of VERSION with capacity for OBJECTS objects.  The caller
   calls cys_undo_record_add before each object changes and then passes the
   record to cys_undo_append.  */
Cy__UndoRecord *cys_undo_record_create (uint64_t version, size_t objects);

/* Adds to RECORD a copy of the object KEY as it is in TABLE, a tombstone if
   TABLE does not hold it.  */
void cys_undo_record_add (Cy__UndoRecord *record,
                          const struct cys_table *table, const char *key);

/* Appends RECORD, which UNDO then owns, and removes the oldest records above
   CYS_UNDO_VERSIONS and CYS_UNDO_BYTES; the newest record always stays.  */
void cys_undo_append (struct cys_undo *undo, Cy__UndoRecord *record);

/* ------------------------------------------------------------- state */

struct cys_state
{
  uint64_t version;
  uint64_t oldest_delta; /* oldest version from which a delta is possible */
  struct cys_table table;
  struct cys_results results;
  struct cys_audit audit;
  struct cys_undo undo;
  char *last_who;        /* author of the change that made VERSION */
  char *last_request_id; /* request id of the change that made VERSION */
  /* Result for a request id that was used again with another change.  */
  Cy__ChangeResult reused_result;
  /* Objects of the chunks received so far of a full state, NULL when none is
     being received.  */
  GPtrArray *chunk_objects;
  char *chunk_cursor; /* cursor of the next chunk expected */
};

/* Checks every object of CHANGE against the rules that no operator can
   override.  */
cy_result cys_rules_check (const struct cys_table *table,
                           const Cy__Change *change);

/* Removes tombstones that are older than CYS_TOMBSTONE_VERSIONS versions.  */
void cys_state_prune (struct cys_state *state);

/* Discards the chunks received of a full state.  */
void cys_chunks_clear (struct cys_state *state);

#endif /* CYS_INTERNAL_H */
