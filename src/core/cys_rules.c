/* Rules that hold for every change, whoever submits it: a key id is issued
   once, a withdrawn key stays withdrawn, and the prefix of an object's key
   matches the kind of its body.  */

#include <string.h>

#include "core/cys_internal.h"

static const char *
kind_prefix (Cy__Object__BodyCase kind)
{
  switch (kind)
    {
    case CY__OBJECT__BODY_REGION:
      return "region/";
    case CY__OBJECT__BODY_ZONE:
      return "zone/";
    case CY__OBJECT__BODY_SERVICE:
      return "service/";
    case CY__OBJECT__BODY_WORKSPACE:
      return "workspace/";
    case CY__OBJECT__BODY_ACCESS_KEY:
      return "key/";
    case CY__OBJECT__BODY_CAP:
      return "cap/";
    case CY__OBJECT__BODY_LINK:
      return "link/";
    case CY__OBJECT__BODY_BLOCKS:
      return "blocks/";
    case CY__OBJECT__BODY_DRAIN:
      return "drain/";
    case CY__OBJECT__BODY_LIMITS:
      return "limits/";
    case CY__OBJECT__BODY_MEMBER:
      return "member/";
    case CY__OBJECT__BODY_DOCUMENT:
      return "document/";
    case CY__OBJECT__BODY__NOT_SET:
    case CY__OBJECT__BODY_ENTRY:
    case CY__OBJECT__BODY_BACKEND:
    case CY__OBJECT__BODY_ZONE_STATUS:
    case CY__OBJECT__BODY_PLAN:
    case _CY__OBJECT__BODY__CASE_IS_INT_SIZE:
      return NULL;
    }
  return NULL;
}

/* A withdrawal may arrive before the key that it withdraws.  The workspace and
   the digest of a key can't change once it is issued.  */
static cy_result
check_key (const struct cys_table *table, const Cy__Key *key,
           const char *object_key)
{
  const struct cys_entry *entry = cys_table_find (table, object_key);
  if (key->withdrawn || entry == NULL)
    return CY_OK;
  const Cy__Key *old = entry->object->access_key;
  if (old->withdrawn)
    return CY_E_KEY_WITHDRAWN;
  if (old->digest.len != key->digest.len
      || memcmp (old->digest.data, key->digest.data, key->digest.len) != 0
      || strcmp (old->workspace, key->workspace) != 0)
    return CY_E_EXISTS;
  return CY_OK;
}

static cy_result
check_object (const struct cys_table *table, const Cy__Object *object)
{
  const char *prefix;
  if (object->deleted)
    return g_str_has_prefix (object->key, "key/") ? CY_E_ARGUMENT : CY_OK;
  prefix = kind_prefix (object->body_case);
  if (prefix == NULL || !g_str_has_prefix (object->key, prefix))
    return CY_E_ARGUMENT;
  if (object->body_case == CY__OBJECT__BODY_ACCESS_KEY)
    return check_key (table, object->access_key, object->key);
  return CY_OK;
}

cy_result
cys_rules_check (const struct cys_table *table, const Cy__Change *change)
{
  for (size_t i = 0; i < change->n_objects; i++)
    {
      cy_result result = check_object (table, change->objects[i]);
      if (result != CY_OK)
        return result;
    }
  return CY_OK;
}
