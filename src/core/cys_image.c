/* Packing and loading the complete state as one message, for snapshots.  */

#include <string.h>

#include "core/cys_internal.h"

/* Returns the elements of QUEUE as an array, freed by g_free.  */
static void **
queue_to_array (const GQueue *queue, size_t *count)
{
  void **array = g_new (void *, queue->length + 1);
  *count = 0;
  for (const GList *link = queue->head; link != NULL; link = link->next)
    array[(*count)++] = link->data;
  return array;
}

static Cy__Object **
objects_to_array (const struct cys_table *table, size_t *count)
{
  Cy__Object **array = g_new (Cy__Object *, table->by_version.length + 1);
  *count = 0;
  for (const GList *link = table->by_version.head; link != NULL;
       link = link->next)
    array[(*count)++] = ((const struct cys_entry *)link->data)->object;
  return array;
}

cy_result
cys_state_save (const struct cys_state *state, uint8_t **bytes, size_t *length)
{
  Cy__StateImage image = CY__STATE_IMAGE__INIT;
  image.version = state->version;
  image.oldest_delta = state->oldest_delta;
  image.last_who = state->last_who;
  image.last_request_id = state->last_request_id;
  image.audit_before.data = (uint8_t *)state->audit.base_hash;
  image.audit_before.len = CYS_HASH_BYTES;
  image.objects = objects_to_array (&state->table, &image.n_objects);
  image.results = (Cy__ChangeResult **)queue_to_array (&state->results.queue,
                                                       &image.n_results);
  image.audit
      = (Cy__AuditLine **)queue_to_array (&state->audit.lines, &image.n_audit);
  image.undo = (Cy__UndoRecord **)queue_to_array (&state->undo.records,
                                                  &image.n_undo);
  *length = cy__state_image__get_packed_size (&image);
  *bytes = g_malloc (*length + 1);
  cy__state_image__pack (&image, *bytes);
  g_free (image.objects);
  g_free (image.results);
  g_free (image.audit);
  g_free (image.undo);
  return CY_OK;
}

/* ------------------------------------------------------------- loading */

static cy_result
check_image (const Cy__StateImage *image)
{
  uint64_t version = 0;
  uint64_t bad_index;
  if (image->audit_before.len != CYS_HASH_BYTES)
    return CY_E_STORE_CORRUPT;
  for (size_t i = 0; i < image->n_objects; i++)
    {
      const Cy__Object *object = image->objects[i];
      if (object->key[0] == '\0' || object->version < version
          || object->version > image->version)
        return CY_E_STORE_CORRUPT;
      version = object->version;
    }
  if (cys_audit_verify ((const Cy__AuditLine *const *)image->audit,
                        image->n_audit, image->audit_before.data, &bad_index)
      != CY_OK)
    return CY_E_STORE_CORRUPT;
  return CY_OK;
}

static void
load_audit (struct cys_audit *audit, Cy__StateImage *image)
{
  memcpy (audit->base_hash, image->audit_before.data, CYS_HASH_BYTES);
  memcpy (audit->last_hash, audit->base_hash, CYS_HASH_BYTES);
  for (size_t i = 0; i < image->n_audit; i++)
    {
      Cy__AuditLine *line = image->audit[i];
      g_queue_push_tail (&audit->lines, line);
      audit->next_index = line->index + 1;
      memcpy (audit->last_hash, line->hash.data, CYS_HASH_BYTES);
    }
  image->n_audit = 0;
}

/* Moves the contents of IMAGE into the empty STATE.  */
static void
move_image (struct cys_state *state, Cy__StateImage *image)
{
  state->version = image->version;
  state->oldest_delta = image->oldest_delta;
  g_free (state->last_who);
  g_free (state->last_request_id);
  state->last_who = g_strdup (image->last_who);
  state->last_request_id = g_strdup (image->last_request_id);
  for (size_t i = 0; i < image->n_objects; i++)
    cys_table_put (&state->table, image->objects[i]);
  image->n_objects = 0;
  for (size_t i = 0; i < image->n_results; i++)
    cys_results_add (&state->results, image->results[i]);
  image->n_results = 0;
  load_audit (&state->audit, image);
  for (size_t i = 0; i < image->n_undo; i++)
    cys_undo_append (&state->undo, image->undo[i]);
  image->n_undo = 0;
}

cy_result
cys_state_load (struct cys_state *state, const uint8_t *bytes, size_t length)
{
  Cy__StateImage *image = cy__state_image__unpack (NULL, length, bytes);
  if (image == NULL)
    return CY_E_STORE_CORRUPT;
  cy_result result = check_image (image);
  if (result == CY_OK)
    {
      struct cys_state *loaded = cys_state_create ();
      struct cys_state old = *state;
      move_image (loaded, image);
      *state = *loaded;
      *loaded = old;
      cys_state_destroy (loaded);
    }
  cy__state_image__free_unpacked (image, NULL);
  return result;
}
