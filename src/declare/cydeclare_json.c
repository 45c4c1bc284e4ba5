#include "declare/cydeclare_json.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

/* 2^53, up to which a double holds every integer exactly.  */
#define EXACT_INTEGER_MAX 9007199254740992.0

cy_result
cydeclare_fail (struct cydeclare *d, cy_result result, const char *format, ...)
{
  va_list arguments;
  if (d->result != CY_OK)
    return d->result;
  d->result = result;
  va_start (arguments, format);
  int used = vsnprintf (d->message, sizeof d->message, format, arguments);
  va_end (arguments);
  if (used >= 0 && (size_t)used < sizeof d->message)
    snprintf (d->message + used, sizeof d->message - (size_t)used, ": %s",
              cy_result_text (result));
  return result;
}

bool
cydeclare_check_range (struct cydeclare *d, const char *field, double value,
                       double low, double high)
{
  if (value >= low && value <= high)
    return true;
  cydeclare_fail (d, CY_E_DECL_FIELD, "%s must be from %g to %g, is %g", field,
                  low, high, value);
  return false;
}

static bool
is_name (const char *name)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
  size_t length = name != NULL ? strlen (name) : 0;
  return length > 0 && length <= CYDECLARE_NAME_MAX && name[0] != '-'
         && name[0] != '.' && strspn (name, allowed) == length;
}

bool
cydeclare_check_declared (struct cydeclare *d, const char *section,
                          const char *name)
{
  json_t *entries = json_object_get (d->root, section);
  if (name != NULL && json_object_get (entries, name) != NULL)
    return true;
  cydeclare_fail (d, CY_E_DECL_REFERENCE, "%.63s is not among the %s",
                  name != NULL ? name : "NULL", section);
  return false;
}

cy_result
cydeclare_put (struct cydeclare *d, const char *section, const char *name,
               json_t *body)
{
  json_t *entries = json_object_get (d->root, section);
  if (d->result != CY_OK)
    {
      json_decref (body);
      return d->result;
    }
  if (entries == NULL)
    {
      entries = json_object ();
      json_object_set_new (d->root, section, entries);
    }
  if (body == NULL || json_object_set_new (entries, name, body) != 0)
    return cydeclare_fail (d, CY_E_MEMORY, "%s.%s", section, name);
  return CY_OK;
}

cy_result
cydeclare_add (struct cydeclare *d, const char *section, const char *name,
               json_t *body)
{
  json_t *entries = json_object_get (d->root, section);
  if (!is_name (name))
    cydeclare_fail (d, CY_E_DECL_FIELD, "name %.63s in %s",
                    name != NULL ? name : "NULL", section);
  else if (json_object_get (entries, name) != NULL)
    cydeclare_fail (d, CY_E_EXISTS, "%s.%s", section, name);
  return cydeclare_put (d, section, name, body);
}

cy_result
cydeclare_set (struct cydeclare *d, const char *section, const char *name,
               const char *field, json_t *value)
{
  if (!cydeclare_check_declared (d, section, name) || d->result != CY_OK)
    {
      json_decref (value);
      return d->result;
    }
  json_t *body = json_object_get (json_object_get (d->root, section), name);
  if (json_object_set_new (body, field, value) != 0)
    return cydeclare_fail (d, CY_E_MEMORY, "%s.%s.%s", section, name, field);
  return CY_OK;
}

json_t *
cydeclare_number (double value)
{
  if (value == floor (value) && fabs (value) < EXACT_INTEGER_MAX)
    return json_integer ((json_int_t)value);
  return json_real (value);
}
