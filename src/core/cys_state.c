#include "core/cys_state.h"

#include <string.h>

#include "core/cys_internal.h"

/* ------------------------------------------ create, destroy and read */

struct cys_state *
cys_state_create (void)
{
  struct cys_state *state = g_new0 (struct cys_state, 1);
  cys_table_init (&state->table);
  cys_results_init (&state->results);
  cys_audit_init (&state->audit);
  cys_undo_init (&state->undo);
  state->last_who = g_strdup ("");
  state->last_request_id = g_strdup ("");
  cy__change_result__init (&state->reused_result);
  state->reused_result.request_id = g_strdup ("");
  return state;
}

void
cys_state_destroy (struct cys_state *state)
{
  if (state == NULL)
    return;
  cys_chunks_clear (state);
  cys_table_clear (&state->table);
  cys_results_clear (&state->results);
  cys_audit_clear (&state->audit);
  cys_undo_clear (&state->undo);
  g_free (state->last_who);
  g_free (state->last_request_id);
  g_free (state->reused_result.request_id);
  g_free (state);
}

uint64_t
cys_state_version (const struct cys_state *state)
{
  return state->version;
}

const char *
cys_state_last_who (const struct cys_state *state)
{
  return state->last_who;
}

const char *
cys_state_last_request_id (const struct cys_state *state)
{
  return state->last_request_id;
}

const Cy__ChangeResult *
cys_state_result (const struct cys_state *state, const char *request_id)
{
  return cys_results_find (&state->results, request_id);
}

const Cy__Object *
cys_state_get (const struct cys_state *state, const char *key)
{
  const struct cys_entry *entry = cys_table_find (&state->table, key);
  return entry == NULL || entry->object->deleted ? NULL : entry->object;
}

void
cys_state_each (const struct cys_state *state, const char *prefix,
                cys_each_fn each, void *context)
{
  GTreeNode *node = g_tree_lower_bound (state->table.by_key, prefix);
  for (; node != NULL; node = g_tree_node_next (node))
    {
      const struct cys_entry *entry = g_tree_node_value (node);
      if (!g_str_has_prefix (entry->object->key, prefix))
        return;
      if (!entry->object->deleted && !each (entry->object, context))
        return;
    }
}

/* ------------------------------------------------------------ applying */

void
cys_state_prune (struct cys_state *state)
{
  while (!g_queue_is_empty (&state->table.tombstones))
    {
      struct cys_entry *entry = g_queue_peek_head (&state->table.tombstones);
      uint64_t version = entry->object->version;
      if (version + CYS_TOMBSTONE_VERSIONS >= state->version)
        return;
      state->oldest_delta = MAX (state->oldest_delta, version);
      cys_table_remove (&state->table, entry);
    }
}

/* Returns a copy of the key OLD that is marked as withdrawn; all other fields
   stay, whatever the withdrawal carries.  */
static Cy__Object *
make_withdrawn (const Cy__Object *old)
{
  Cy__Object *object = cys_object_copy (old);
  object->access_key->withdrawn = true;
  return object;
}

/* Returns the object or tombstone that replaces the table's entry of OBJECT,
   NULL when the entry does not change.  */
static Cy__Object *
make_replacement (const struct cys_state *state, const Cy__Object *object)
{
  const Cy__Object *old = cys_state_get (state, object->key);
  Cy__Object *next;
  if (object->deleted)
    {
      if (old == NULL)
        return NULL;
      Cy__Object tombstone = CY__OBJECT__INIT;
      tombstone.key = object->key;
      tombstone.deleted = true;
      return cys_object_copy (&tombstone);
    }
  if (old != NULL && object->body_case == CY__OBJECT__BODY_ACCESS_KEY
      && object->access_key->withdrawn)
    next = make_withdrawn (old);
  else
    next = cys_object_copy (object);
  if (next != NULL && old != NULL && cys_object_same_body (old, next))
    {
      cy__object__free_unpacked (next, NULL);
      return NULL;
    }
  return next;
}

/* Puts CHANGE's objects under a new version.  Returns false, without a new
   version, when every object equals the one in the table.  */
static bool
put_objects (struct cys_state *state, const Cy__Change *change)
{
  uint64_t version = state->version + 1;
  Cy__UndoRecord *undo = NULL;
  for (size_t i = 0; i < change->n_objects; i++)
    {
      Cy__Object *next = make_replacement (state, change->objects[i]);
      if (next == NULL)
        continue;
      if (undo == NULL)
        undo = cys_undo_record_create (version, change->n_objects);
      cys_undo_record_add (undo, &state->table, next->key);
      next->version = version;
      cys_table_put (&state->table, next);
    }
  if (undo == NULL)
    return false;
  cys_undo_append (&state->undo, undo);
  state->version = version;
  g_free (state->last_who);
  g_free (state->last_request_id);
  state->last_who = g_strdup (change->who);
  state->last_request_id = g_strdup (change->request_id);
  return true;
}

/* Classes of a numbered declaration, compared with the one in force.  */
enum number_class
{
  NUMBER_ACCEPTED, /* higher number: replaces the declaration in force */
  NUMBER_IGNORED,  /* resend or lower number: accepted without effect */
  NUMBER_CONFLICT  /* other content under the number in force */
};

static enum number_class
classify_number (const struct cys_state *state, const Cy__Change *change)
{
  const Cy__Object *current = cys_state_get (state, CYS_DOCUMENT_KEY);
  const Cy__Document *next = NULL;
  for (size_t i = 0; i < change->n_objects; i++)
    if (change->objects[i]->body_case == CY__OBJECT__BODY_DOCUMENT)
      next = change->objects[i]->document;
  if (current == NULL || current->document->number < change->number)
    return NUMBER_ACCEPTED;
  if (current->document->number > change->number || next == NULL
      || next->digest == current->document->digest)
    return NUMBER_IGNORED;
  return NUMBER_CONFLICT;
}

static cy_result
check_change (const struct cys_state *state, const Cy__Change *change)
{
  if (change->refused != 0)
    return (cy_result)change->refused;
  if (change->number != 0
      && classify_number (state, change) == NUMBER_CONFLICT)
    return CY_E_VERSION_CONFLICT;
  if (change->compare && change->base_version != state->version)
    return CY_E_VERSION_CONFLICT;
  return cys_rules_check (&state->table, change);
}

static Cy__ChangeResult *
make_result (const struct cys_state *state, const Cy__Change *change,
             cy_result outcome)
{
  bool conflict = outcome == CY_E_VERSION_CONFLICT;
  Cy__ChangeResult *result = g_new (Cy__ChangeResult, 1);
  cy__change_result__init (result);
  result->request_id = g_strdup (change->request_id);
  result->result = (uint32_t)outcome;
  result->version = state->version;
  result->conflict_who = g_strdup (conflict ? state->last_who : "");
  result->conflict_request_id
      = g_strdup (conflict ? state->last_request_id : "");
  result->digest = cys_change_digest (change);
  return result;
}

static const Cy__ChangeResult *
record_reused_id (struct cys_state *state, const Cy__Change *change)
{
  cys_audit_add (&state->audit, change, state->version, state->version,
                 CY_E_REQUEST_REUSED);
  g_free (state->reused_result.request_id);
  state->reused_result.request_id = g_strdup (change->request_id);
  state->reused_result.result = CY_E_REQUEST_REUSED;
  state->reused_result.version = state->version;
  state->reused_result.digest = cys_change_digest (change);
  return &state->reused_result;
}

const Cy__ChangeResult *
cys_state_apply (struct cys_state *state, const Cy__Change *change)
{
  const Cy__ChangeResult *stored
      = cys_results_find (&state->results, change->request_id);
  if (stored != NULL && stored->digest == cys_change_digest (change))
    return stored;
  if (stored != NULL)
    return record_reused_id (state, change);
  uint64_t from = state->version;
  cy_result outcome = check_change (state, change);
  bool ignored = change->number != 0
                 && classify_number (state, change) == NUMBER_IGNORED;
  if (outcome == CY_OK && !ignored && put_objects (state, change))
    cys_state_prune (state);
  cys_audit_add (&state->audit, change, from, state->version, outcome);
  return cys_results_add (&state->results,
                          make_result (state, change, outcome));
}
