/* Reads a complete document: bounds, sections and references between
   objects.  */

#include <string.h>

#include "core/cyj_document.h"

static void
object_free (gpointer data)
{
  cy__object__free_unpacked (data, NULL);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  const Cy__Object *left = *(Cy__Object *const *)a;
  const Cy__Object *right = *(Cy__Object *const *)b;
  return strcmp (left->key, right->key);
}

/* Returns false when TEXT may hold more than CYJ_DOCUMENT_VALUES_MAX values,
   which bounds the memory that the JSON parser allocates: every value but the
   first follows a comma or an opening bracket or brace.  */
static bool
has_bounded_values (const char *text, size_t length)
{
  size_t values = 1;
  for (size_t i = 0; i < length; i++)
    values += text[i] == ',' || text[i] == '[' || text[i] == '{';
  return values <= CYJ_DOCUMENT_VALUES_MAX;
}

static const Cy__Object *
find_object (const GPtrArray *objects, const char *prefix, const char *name)
{
  size_t low = 0;
  size_t high = objects->len;
  char *key = g_strconcat (prefix, name, NULL);
  const Cy__Object *found = NULL;
  while (low < high && found == NULL)
    {
      size_t middle = (low + high) / 2;
      const Cy__Object *object = g_ptr_array_index (objects, middle);
      int order = strcmp (key, object->key);
      if (order == 0)
        found = object;
      else if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  g_free (key);
  return found;
}

static cy_result
check_reference (struct cyj_reader *reader, const char *field,
                 const char *prefix, const char *name)
{
  if (name[0] == '\0' || find_object (reader->objects, prefix, name) != NULL)
    return CY_OK;
  return cyj_fail (reader, CY_E_DECL_REFERENCE, field,
                   "refers to %s%s, which is not declared", prefix, name);
}

static cy_result
check_link (struct cyj_reader *reader, const Cy__Link *link)
{
  char *reverse = g_strconcat (link->b, ":", link->a, NULL);
  cy_result result = check_reference (reader, "", "region/", link->a);
  if (result == CY_OK)
    result = check_reference (reader, "", "region/", link->b);
  if (result == CY_OK && strcmp (link->a, link->b) > 0
      && find_object (reader->objects, "link/", reverse) != NULL)
    result = cyj_fail (reader, CY_E_DECL_FIELD, "", "is declared as %s too",
                       reverse);
  g_free (reverse);
  return result;
}

static cy_result
check_object (struct cyj_reader *reader, const Cy__Object *object)
{
  const struct cyj_kind *kind = cyj_kind_of (object);
  cy_result result = CY_OK;
  reader->path = g_strdup_printf ("%s.%s", kind->section,
                                  object->key + strlen (kind->prefix));
  for (const struct cyj_field *field = kind->fields;
       field->name != NULL && result == CY_OK; field++)
    if (field->refers_to != NULL)
      result = check_reference (
          reader, field->name, field->refers_to,
          *(char **)((char *)cyj_object_body (object) + field->offset));
  if (result == CY_OK && object->body_case == CY__OBJECT__BODY_LINK)
    result = check_link (reader, object->link);
  g_free (reader->path);
  reader->path = (char *)"";
  return result;
}

static const struct cyj_kind *
find_kind (const char *section)
{
  for (const struct cyj_kind *kind = cyj_kinds; kind->section != NULL; kind++)
    if (strcmp (kind->section, section) == 0)
      return kind;
  return NULL;
}

static cy_result
read_root (struct cyj_reader *reader, const json_t *root)
{
  const char *name;
  json_t *section;
  cy_result result;
  if (!json_is_object (root))
    return cyj_fail (reader, CY_E_DECL_FIELD, "", "must be an object");
  json_object_foreach ((json_t *)root, name, section)
  {
    const struct cyj_kind *kind = find_kind (name);
    if (kind == NULL)
      return cyj_fail (reader, CY_E_DECL_FIELD, cyj_is_name (name) ? name : "",
                       "is no section; known: regions, zones, services, "
                       "workspaces, caps, links, blocks, limits");
    result = cyj_read_section (reader, kind, section);
    if (result != CY_OK)
      return result;
  }
  if (json_object_get (root, "limits") == NULL)
    {
      json_t *empty = json_object ();
      result = cyj_read_section (reader, find_kind ("limits"), empty);
      json_decref (empty);
      if (result != CY_OK)
        return result;
    }
  return CY_OK;
}

static cy_result
check_objects (struct cyj_reader *reader)
{
  size_t packed_bytes = 0;
  g_ptr_array_sort (reader->objects, compare_keys);
  for (guint i = 0; i < reader->objects->len; i++)
    {
      const Cy__Object *object = g_ptr_array_index (reader->objects, i);
      cy_result result = check_object (reader, object);
      if (result != CY_OK)
        return result;
      packed_bytes += cy__object__get_packed_size (object);
    }
  if (packed_bytes > CYS_CHANGE_BYTES_MAX)
    return cyj_fail (reader, CY_E_TOO_LARGE, "",
                     "takes %zu bytes packed; at most %u fit", packed_bytes,
                     CYS_CHANGE_BYTES_MAX);
  return CY_OK;
}

cy_result
cyj_document_read (const char *text, size_t length,
                   struct cyj_document **document, struct cyj_error *error)
{
  json_error_t parse_error;
  json_t *root = NULL;
  cy_result result;
  struct cyj_reader reader = { .path = NULL, .error = error };
  *document = NULL;
  reader.path = (char *)"";
  reader.objects = g_ptr_array_new_with_free_func (object_free);
  reader.blocks = g_hash_table_new (g_str_hash, g_str_equal);
  if (length > CYJ_DOCUMENT_BYTES_MAX || !has_bounded_values (text, length))
    {
      result = cyj_fail (&reader, CY_E_TOO_LARGE, "",
                         "at most %u bytes and %d values fit",
                         CYJ_DOCUMENT_BYTES_MAX, CYJ_DOCUMENT_VALUES_MAX);
      goto done;
    }
  root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &parse_error);
  if (root == NULL)
    {
      result = cyj_fail (&reader, CY_E_DECL_SYNTAX, "",
                         "line %d, column %d is not valid JSON",
                         parse_error.line, parse_error.column);
      goto done;
    }
  result = read_root (&reader, root);
  if (result == CY_OK)
    result = check_objects (&reader);
  if (result != CY_OK)
    goto done;
  *document = g_new0 (struct cyj_document, 1);
  (*document)->objects = reader.objects;
  reader.objects = NULL;
done:
  g_hash_table_destroy (reader.blocks);
  if (reader.objects != NULL)
    g_ptr_array_free (reader.objects, TRUE);
  json_decref (root);
  return result;
}

void
cyj_document_destroy (struct cyj_document *document)
{
  if (document == NULL)
    return;
  g_ptr_array_free (document->objects, TRUE);
  g_free (document);
}

const GPtrArray *
cyj_document_objects (const struct cyj_document *document)
{
  return document->objects;
}
