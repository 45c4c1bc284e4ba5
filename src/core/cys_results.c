/* Results of changes by request id.  */

#include <string.h>
#include <xxhash.h>

#include "core/cys_internal.h"

static void
result_free (gpointer data)
{
  cy__change_result__free_unpacked (data, NULL);
}

void
cys_results_init (struct cys_results *results)
{
  results->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&results->queue);
}

void
cys_results_clear (struct cys_results *results)
{
  g_hash_table_destroy (results->by_id);
  g_queue_clear_full (&results->queue, result_free);
}

const Cy__ChangeResult *
cys_results_find (const struct cys_results *results, const char *request_id)
{
  return g_hash_table_lookup (results->by_id, request_id);
}

const Cy__ChangeResult *
cys_results_add (struct cys_results *results, Cy__ChangeResult *result)
{
  g_queue_push_tail (&results->queue, result);
  g_hash_table_insert (results->by_id, result->request_id, result);
  if (results->queue.length > CYS_RESULTS_MAX)
    {
      Cy__ChangeResult *oldest = g_queue_pop_head (&results->queue);
      g_hash_table_remove (results->by_id, oldest->request_id);
      result_free (oldest);
    }
  return result;
}

uint64_t
cys_change_digest (const Cy__Change *change)
{
  Cy__Change covered = *change;
  covered.unix_ms = 0;
  covered.note = (char *)protobuf_c_empty_string;
  if (change->request_digest != 0)
    {
      covered.n_objects = 0;
      covered.base_version = 0;
      covered.compare = false;
      covered.refused = 0;
    }
  size_t size = cy__change__get_packed_size (&covered);
  uint8_t *bytes = g_malloc (size + 1);
  cy__change__pack (&covered, bytes);
  uint64_t digest = XXH64 (bytes, size, 0);
  g_free (bytes);
  return digest;
}
