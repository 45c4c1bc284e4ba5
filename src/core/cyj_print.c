/* Converts declared objects to JSON.  */

#include <math.h>
#include <string.h>

#include "core/cyj_document.h"

/* 2^53, up to which a double holds every integer exactly.  */
#define EXACT_INTEGER_MAX 9007199254740992.0

static json_t *
number_to_json (double number)
{
  if (number == floor (number) && fabs (number) < EXACT_INTEGER_MAX)
    return json_integer ((json_int_t)number);
  return json_real (number);
}

static json_t *fields_to_json (const struct cyj_field *fields,
                               const void *body);

static json_t *
prefixes_to_json (const Cy__ClientBlocks *blocks)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < blocks->n_prefixes; i++)
    json_array_append_new (list, json_string (blocks->prefixes[i]));
  return list;
}

static json_t *
routes_to_json (const Cy__Service *service)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < service->n_routes; i++)
    json_array_append_new (
        list, fields_to_json (cyj_route_fields, service->routes[i]));
  return list;
}

static json_t *
field_to_json (const struct cyj_field *field, const void *body)
{
  const void *member = (const char *)body + field->offset;
  switch (field->kind)
    {
    case CYJ_NUMBER:
      return number_to_json (*(const double *)member);
    case CYJ_INTEGER:
      return json_integer (*(const uint32_t *)member);
    case CYJ_BOOLEAN:
      return json_boolean (*(const protobuf_c_boolean *)member);
    case CYJ_STRING:
      return json_string (*(char *const *)member);
    case CYJ_PREFIXES:
      return prefixes_to_json (body);
    case CYJ_ROUTES:
      return routes_to_json (body);
    }
  return NULL;
}

static json_t *
fields_to_json (const struct cyj_field *fields, const void *body)
{
  json_t *object = json_object ();
  for (; fields->name != NULL; fields++)
    {
      json_t *value = field_to_json (fields, body);
      bool absent = fields->kind == CYJ_STRING && !fields->required
                    && json_string_length (value) == 0;
      if (absent)
        json_decref (value);
      else
        json_object_set_new (object, fields->name, value);
    }
  return object;
}

json_t *
cyj_object_json (const Cy__Object *object)
{
  const struct cyj_kind *kind = cyj_kind_of (object);
  if (kind == NULL)
    return json_object ();
  return fields_to_json (kind->fields, cyj_object_body (object));
}

static bool
add_to_section (const Cy__Object *object, void *context)
{
  json_t *section = context;
  const char *name = strchr (object->key, '/') + 1;
  json_object_set_new (section, name, cyj_object_json (object));
  return true;
}

json_t *
cyj_state_json (const struct cys_state *state)
{
  json_t *root = json_object ();
  for (const struct cyj_kind *kind = cyj_kinds; kind->section != NULL; kind++)
    {
      json_t *section = json_object ();
      cys_state_each (state, kind->prefix, add_to_section, section);
      if (json_object_size (section) == 0)
        json_decref (section);
      else if (kind->single)
        {
          json_t *fleet = json_object_get (section, "fleet");
          json_object_set (root, kind->section, fleet);
          json_decref (section);
        }
      else
        json_object_set_new (root, kind->section, section);
    }
  return root;
}
