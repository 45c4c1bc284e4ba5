/* Converts the sections of a document to declared objects.  */

#include <math.h>
#include <string.h>

#include "core/cyj_document.h"
#include "core/cyj_fields.h"

#define VALUE_SHOWN_BYTES_MAX 40  /* bytes of an invalid value in an error */
#define ROUTE_PATH_BYTES_MAX  255 /* bytes of a route's prefix */

/* -------------------------------------------------------------- errors */

/* Writes VALUE to SHOWN for an error.  Text that may hold a caller's key is
   replaced, so that keys do not get into errors and logs.  */
static void
format_value (const json_t *value, char *shown, size_t size)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_REAL_PRECISION (15));
  if (json_is_object (value) || json_is_array (value) || text == NULL)
    g_strlcpy (shown, json_is_array (value) ? "a list" : "an object", size);
  else if (strstr (text, "cyk_") != NULL)
    g_strlcpy (shown, "(hidden)", size);
  else
    {
      const char *end;
      g_utf8_validate (
          text, (gssize)MIN (strlen (text), VALUE_SHOWN_BYTES_MAX), &end);
      g_snprintf (shown, size, "%.*s%s", (int)(end - text), text,
                  *end != '\0' ? "..." : "");
    }
  free (text);
}

cy_result
cyj_fail (struct cyj_reader *reader, cy_result result, const char *field,
          const char *format, ...)
{
  va_list arguments;
  struct cyj_error *error = reader->error;
  g_snprintf (error->path, sizeof error->path, "%s%s%s", reader->path,
              field[0] != '\0' && reader->path[0] != '\0' ? "." : "", field);
  va_start (arguments, format);
  g_vsnprintf (error->detail, sizeof error->detail, format, arguments);
  va_end (arguments);
  return result;
}

static cy_result
fail_value (struct cyj_reader *reader, const struct cyj_field *field,
            const char *expected, const json_t *value)
{
  char shown[VALUE_SHOWN_BYTES_MAX + 8];
  format_value (value, shown, sizeof shown);
  return cyj_fail (reader, CY_E_DECL_FIELD, field->name, "must be %s, is %s",
                   expected, shown);
}

/* -------------------------------------------------------------- fields */

bool
cyj_is_name (const char *text)
{
  size_t length = strlen (text);
  if (length == 0 || length > CYJ_NAME_MAX || text[0] == '-' || text[0] == '.')
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-_.") == length;
}

/* Writes NUMBER to SHOWN in short form, "1e6" instead of "1e+06".  */
static void
format_number (double number, char *shown, size_t size)
{
  g_snprintf (shown, size, "%g", number);
  char *plus = strstr (shown, "e+");
  if (plus != NULL)
    {
      size_t zeros = strspn (plus + 2, "0");
      memmove (plus + 1, plus + 2 + zeros, strlen (plus + 2 + zeros) + 1);
    }
}

static cy_result
read_number (struct cyj_reader *reader, const struct cyj_field *field,
             const json_t *value, void *target)
{
  char expected[80];
  char low[24];
  char high[24];
  double number = json_is_number (value) ? json_number_value (value) : NAN;
  bool is_integer = field->kind == CYJ_INTEGER;
  if (!(number >= field->minimum && number <= field->maximum)
      || (is_integer && !json_is_integer (value)))
    {
      format_number (field->minimum, low, sizeof low);
      format_number (field->maximum, high, sizeof high);
      g_snprintf (expected, sizeof expected, "%s from %s to %s",
                  is_integer ? "a whole number" : "a number", low, high);
      return fail_value (reader, field, expected, value);
    }
  if (is_integer)
    *(uint32_t *)target = (uint32_t)number;
  else
    *(double *)target = number + 0.0;
  return CY_OK;
}

static cy_result
read_string (struct cyj_reader *reader, const struct cyj_field *field,
             const json_t *value, char **target)
{
  bool is_path = field->refers_to == NULL;
  const char *text = json_string_value (value);
  bool valid = text != NULL && strlen (text) == json_string_length (value);
  if (valid && is_path)
    valid = text[0] == '/' && strlen (text) <= ROUTE_PATH_BYTES_MAX
            && strpbrk (text, "?# \t\r\n") == NULL;
  else if (valid)
    valid = cyj_is_name (text);
  if (!valid)
    return fail_value (reader, field,
                       is_path ? "a path that starts with /" : "a name",
                       value);
  *target = g_strdup (text);
  return CY_OK;
}

static cy_result
read_prefixes (struct cyj_reader *reader, const struct cyj_field *field,
               const json_t *value, Cy__ClientBlocks *blocks)
{
  size_t count = json_array_size (value);
  if (!json_is_array (value) || (double)count > field->maximum)
    return fail_value (reader, field, "a list of address blocks", value);
  blocks->prefixes = g_new0 (char *, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      struct cyj_field item = *field;
      char name[40];
      json_t *element = json_array_get (value, i);
      const char *text = json_string_value (element);
      char *block = text != NULL ? cyj_block_canonical (text) : NULL;
      g_snprintf (name, sizeof name, "prefixes[%zu]", i);
      item.name = name;
      if (block == NULL)
        return fail_value (reader, &item,
                           "an address block such as 10.1.0.0/16 with no "
                           "bit set behind the prefix",
                           element);
      blocks->prefixes[blocks->n_prefixes++] = block;
      if (!g_hash_table_add (reader->blocks, block))
        return fail_value (reader, &item, "listed once only", element);
    }
  return CY_OK;
}

static cy_result read_fields (struct cyj_reader *reader,
                              const struct cyj_field *fields,
                              const json_t *source, void *body);

static cy_result
read_routes (struct cyj_reader *reader, const struct cyj_field *field,
             const json_t *value, Cy__Service *service)
{
  size_t count = json_array_size (value);
  cy_result result = CY_OK;
  char *parent_path = reader->path;
  if (!json_is_array (value) || (double)count > field->maximum)
    return fail_value (reader, field, "a list of at most 1000 routes", value);
  service->routes = g_new0 (Cy__Route *, count + 1);
  for (size_t i = 0; i < count && result == CY_OK; i++)
    {
      Cy__Route *route = g_new (Cy__Route, 1);
      cy__route__init (route);
      service->routes[service->n_routes++] = route;
      reader->path = g_strdup_printf ("%s.routes[%zu]", parent_path, i);
      result = read_fields (reader, cyj_route_fields,
                            json_array_get (value, i), route);
      for (size_t j = 0; j < i && result == CY_OK; j++)
        if (strcmp (service->routes[j]->prefix, route->prefix) == 0)
          result = cyj_fail (reader, CY_E_DECL_FIELD, "prefix",
                             "must be listed once only, is %s", route->prefix);
      g_free (reader->path);
      reader->path = parent_path;
    }
  return result;
}

static cy_result
read_field (struct cyj_reader *reader, const struct cyj_field *field,
            const json_t *value, void *body)
{
  void *target = (char *)body + field->offset;
  switch (field->kind)
    {
    case CYJ_NUMBER:
    case CYJ_INTEGER:
      return read_number (reader, field, value, target);
    case CYJ_BOOLEAN:
      if (!json_is_boolean (value))
        return fail_value (reader, field, "true or false", value);
      *(protobuf_c_boolean *)target = json_is_true (value);
      return CY_OK;
    case CYJ_STRING:
      return read_string (reader, field, value, target);
    case CYJ_PREFIXES:
      return read_prefixes (reader, field, value, body);
    case CYJ_ROUTES:
      return read_routes (reader, field, value, body);
    }
  return CY_E_INTERNAL;
}

static void
set_default (const struct cyj_field *field, void *body)
{
  void *target = (char *)body + field->offset;
  switch (field->kind)
    {
    case CYJ_NUMBER:
      *(double *)target = field->default_value;
      return;
    case CYJ_INTEGER:
      *(uint32_t *)target = (uint32_t)field->default_value;
      return;
    case CYJ_BOOLEAN:
    case CYJ_STRING:
    case CYJ_PREFIXES:
    case CYJ_ROUTES:
      return;
    }
}

static const struct cyj_field *
find_field (const struct cyj_field *fields, const char *name)
{
  for (; fields->name != NULL; fields++)
    if (strcmp (fields->name, name) == 0)
      return fields;
  return NULL;
}

/* Fails for the unknown field NAME, with the names of FIELDS in the error.  */
static cy_result
fail_unknown_field (struct cyj_reader *reader, const struct cyj_field *fields,
                    const char *name)
{
  GString *known = g_string_new (NULL);
  for (; fields->name != NULL; fields++)
    g_string_append_printf (known, "%s%s", known->len > 0 ? ", " : "",
                            fields->name);
  char *shown = g_utf8_make_valid (name, MIN (strlen (name), CYJ_NAME_MAX));
  cy_result result = cyj_fail (
      reader, CY_E_DECL_FIELD,
      strstr (shown, "cyk_") != NULL ? "(hidden)" : shown,
      "is no field here; known: %s", known->len > 0 ? known->str : "none");
  g_free (shown);
  g_string_free (known, TRUE);
  return result;
}

static cy_result
read_fields (struct cyj_reader *reader, const struct cyj_field *fields,
             const json_t *source, void *body)
{
  const char *name;
  json_t *value;
  cy_result result = CY_OK;
  if (!json_is_object (source))
    return cyj_fail (reader, CY_E_DECL_FIELD, "", "must be an object");
  for (const struct cyj_field *field = fields; field->name != NULL; field++)
    {
      set_default (field, body);
      if (field->required && json_object_get (source, field->name) == NULL)
        return cyj_fail (reader, CY_E_DECL_FIELD, field->name, "is missing");
    }
  json_object_foreach ((json_t *)source, name, value)
  {
    const struct cyj_field *field = find_field (fields, name);
    result = field == NULL ? fail_unknown_field (reader, fields, name)
                           : read_field (reader, field, value, body);
    if (result != CY_OK)
      return result;
  }
  return CY_OK;
}

/* ------------------------------------------------------------- objects */

static cy_result
check_name (struct cyj_reader *reader, const struct cyj_kind *kind,
            const char *name)
{
  bool valid;
  if (kind->body_case == CY__OBJECT__BODY_LINK)
    {
      char **ends = g_strsplit (name, ":", 3);
      valid = g_strv_length (ends) == 2 && cyj_is_name (ends[0])
              && cyj_is_name (ends[1]) && strcmp (ends[0], ends[1]) != 0;
      g_strfreev (ends);
    }
  else
    valid = cyj_is_name (name);
  if (valid)
    return CY_OK;
  return cyj_fail (reader, CY_E_DECL_FIELD, "",
                   kind->body_case == CY__OBJECT__BODY_LINK
                       ? "a link is named REGION:REGION, two that differ"
                       : "a name has 1 to 63 of a-z 0-9 - _ . and starts "
                         "with a letter or digit");
}

static void
set_name (const struct cyj_kind *kind, const char *name, void *body)
{
  if (kind->has_name)
    *(char **)((char *)body + kind->name_offset) = g_strdup (name);
  if (kind->body_case == CY__OBJECT__BODY_LINK)
    {
      Cy__Link *link = body;
      const char *colon = strchr (name, ':');
      link->a = g_strndup (name, (gsize)(colon - name));
      link->b = g_strdup (colon + 1);
    }
}

static cy_result
read_object (struct cyj_reader *reader, const struct cyj_kind *kind,
             const char *name, const json_t *source)
{
  Cy__Object *object = g_new (Cy__Object, 1);
  void *body = g_malloc0 (kind->descriptor->sizeof_message);
  char *shown = g_utf8_make_valid (name, MIN (strlen (name), CYJ_NAME_MAX));
  cy__object__init (object);
  kind->descriptor->message_init (body);
  object->body_case = kind->body_case;
  object->region = body;
  object->key = g_strconcat (kind->prefix, name, NULL);
  g_ptr_array_add (reader->objects, object);
  reader->path = kind->single
                     ? g_strdup (kind->section)
                     : g_strdup_printf ("%s.%s", kind->section, shown);
  cy_result result = check_name (reader, kind, name);
  if (result == CY_OK)
    {
      set_name (kind, name, body);
      result = read_fields (reader, kind->fields, source, body);
    }
  g_free (reader->path);
  g_free (shown);
  reader->path = (char *)"";
  return result;
}

cy_result
cyj_read_section (struct cyj_reader *reader, const struct cyj_kind *kind,
                  const json_t *section)
{
  const char *name;
  json_t *value;
  if (kind->single)
    return read_object (reader, kind, "fleet", section);
  if (!json_is_object (section))
    {
      reader->path = (char *)kind->section;
      cy_result result = cyj_fail (reader, CY_E_DECL_FIELD, "",
                                   "must be an object of names");
      reader->path = (char *)"";
      return result;
    }
  json_object_foreach ((json_t *)section, name, value)
  {
    cy_result result = read_object (reader, kind, name, value);
    if (result != CY_OK)
      return result;
  }
  return CY_OK;
}
