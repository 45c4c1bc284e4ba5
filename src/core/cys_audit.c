/* The audit trail: one line for each change.  The hash of a line is the
   SHA-256 of the previous line's hash followed by the packed line, so that an
   edited or removed line breaks the chain.  */

#include <string.h>

#include "core/cys_internal.h"

/* Bytes after which a note made from object keys is cut.  */
#define NOTE_BYTES_MAX 1000

static void
line_free (gpointer data)
{
  cy__audit_line__free_unpacked (data, NULL);
}

void
cys_audit_init (struct cys_audit *audit)
{
  memset (audit, 0, sizeof *audit);
  g_queue_init (&audit->lines);
  audit->next_index = 1;
}

void
cys_audit_clear (struct cys_audit *audit)
{
  g_queue_clear_full (&audit->lines, line_free);
}

static void
compute_line_hash (const Cy__AuditLine *line, const uint8_t *previous,
                   uint8_t hash[CYS_HASH_BYTES])
{
  Cy__AuditLine unhashed = *line;
  unhashed.hash.len = 0;
  unhashed.hash.data = NULL;
  size_t size = cy__audit_line__get_packed_size (&unhashed);
  uint8_t *bytes = g_malloc (size + 1);
  cy__audit_line__pack (&unhashed, bytes);
  gsize length = CYS_HASH_BYTES;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, previous, CYS_HASH_BYTES);
  g_checksum_update (sum, bytes, (gssize)size);
  g_checksum_get_digest (sum, hash, &length);
  g_checksum_free (sum);
  g_free (bytes);
}

/* Returns CHANGE's note, freed by g_free.  A change without one gets a list of
   the keys that it puts and deletes.  */
static char *
make_note (const Cy__Change *change)
{
  if (change->note[0] != '\0' || change->n_objects == 0)
    return g_strdup (change->note);
  GString *note = g_string_new (NULL);
  for (size_t i = 0; i < change->n_objects && note->len < NOTE_BYTES_MAX; i++)
    g_string_append_printf (note, "%s%s %s", i > 0 ? ", " : "",
                            change->objects[i]->deleted ? "delete" : "put",
                            change->objects[i]->key);
  if (note->len >= NOTE_BYTES_MAX)
    g_string_append_printf (note, ", %zu objects in all", change->n_objects);
  return g_string_free (note, FALSE);
}

/* The line's strings come from g_strdup although protobuf frees them with
   free: GLib uses the C library's allocator, too.  */
static Cy__AuditLine *
line_create (const Cy__Change *change, uint64_t index)
{
  Cy__AuditLine *line = g_new (Cy__AuditLine, 1);
  cy__audit_line__init (line);
  line->index = index;
  line->unix_ms = change->unix_ms;
  line->who = g_strdup (change->who);
  line->request_id = g_strdup (change->request_id);
  line->action = g_strdup (change->action);
  line->note = make_note (change);
  return line;
}

void
cys_audit_add (struct cys_audit *audit, const Cy__Change *change,
               uint64_t from, uint64_t to, cy_result result)
{
  Cy__AuditLine *line = line_create (change, audit->next_index++);
  line->from_version = from;
  line->to_version = to;
  line->result = (uint32_t)result;
  compute_line_hash (line, audit->last_hash, audit->last_hash);
  line->hash.data = g_memdup2 (audit->last_hash, CYS_HASH_BYTES);
  line->hash.len = CYS_HASH_BYTES;
  g_queue_push_tail (&audit->lines, line);
  if (audit->lines.length > CYS_AUDIT_MAX)
    {
      Cy__AuditLine *oldest = g_queue_pop_head (&audit->lines);
      memcpy (audit->base_hash, oldest->hash.data, CYS_HASH_BYTES);
      line_free (oldest);
    }
}

size_t
cys_state_audit_lines (const struct cys_state *state, uint64_t from,
                       size_t max, const Cy__AuditLine ***lines)
{
  const struct cys_audit *audit = &state->audit;
  uint64_t first = audit->next_index - audit->lines.length;
  uint64_t start = MAX (from, first);
  *lines = NULL;
  if (start >= audit->next_index || max == 0)
    return 0;
  size_t count = MIN (max, audit->next_index - start);
  *lines = g_new (const Cy__AuditLine *, count);
  GList *link = audit->lines.tail;
  for (uint64_t index = audit->next_index - 1; index > start; index--)
    link = link->prev;
  for (size_t i = 0; i < count; i++, link = link->next)
    (*lines)[i] = link->data;
  return count;
}

bool
cys_state_audit_previous_hash (const struct cys_state *state, uint64_t index,
                               uint8_t *hash)
{
  const struct cys_audit *audit = &state->audit;
  const Cy__AuditLine **lines;
  uint64_t first = audit->next_index - audit->lines.length;
  if (index < first || index >= audit->next_index)
    return false;
  if (index == first)
    {
      memcpy (hash, audit->base_hash, CYS_HASH_BYTES);
      return true;
    }
  if (cys_state_audit_lines (state, index - 1, 1, &lines) == 0)
    return false;
  memcpy (hash, lines[0]->hash.data, CYS_HASH_BYTES);
  g_free (lines);
  return true;
}

cy_result
cys_audit_verify (const Cy__AuditLine *const *lines, size_t count,
                  const uint8_t *previous, uint64_t *bad_index)
{
  for (size_t i = 0; i < count; i++)
    {
      const Cy__AuditLine *line = lines[i];
      uint8_t hash[CYS_HASH_BYTES];
      bool valid = line->hash.len == CYS_HASH_BYTES
                   && (i == 0 || line->index == lines[i - 1]->index + 1);
      if (valid && previous != NULL)
        {
          compute_line_hash (line, previous, hash);
          valid = memcmp (hash, line->hash.data, CYS_HASH_BYTES) == 0;
        }
      if (!valid)
        {
          *bad_index = line->index;
          return CY_E_AUDIT_BROKEN;
        }
      previous = line->hash.data;
    }
  return CY_OK;
}
