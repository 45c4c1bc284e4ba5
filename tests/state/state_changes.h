/* Creates objects and changes for the tests of the declared state.  */

#ifndef STATE_CHANGES_H
#define STATE_CHANGES_H

#include <glib.h>

#include "cy.pb-c.h"

/* The object_ functions return a new object, freed by
   cy__object__free_unpacked.  */
static inline Cy__Object *
object_new (const char *kind, const char *name)
{
  Cy__Object *object = g_new (Cy__Object, 1);
  cy__object__init (object);
  object->key = g_strdup_printf ("%s/%s", kind, name);
  return object;
}

static inline Cy__Object *
object_deleted (const char *kind, const char *name)
{
  Cy__Object *object = object_new (kind, name);
  object->deleted = true;
  return object;
}

static inline Cy__Object *
object_workspace (const char *name, double rate)
{
  Cy__Object *object = object_new ("workspace", name);
  object->body_case = CY__OBJECT__BODY_WORKSPACE;
  object->workspace = g_new (Cy__Workspace, 1);
  cy__workspace__init (object->workspace);
  object->workspace->name = g_strdup (name);
  object->workspace->rate = rate;
  return object;
}

static inline Cy__Object *
object_key (const char *id, uint8_t digest, bool withdrawn)
{
  Cy__Object *object = object_new ("key", id);
  object->body_case = CY__OBJECT__BODY_ACCESS_KEY;
  object->access_key = g_new (Cy__Key, 1);
  cy__key__init (object->access_key);
  object->access_key->id = g_strdup (id);
  object->access_key->workspace = g_strdup ("a");
  object->access_key->withdrawn = withdrawn;
  object->access_key->digest.data = g_malloc0 (32);
  object->access_key->digest.len = 32;
  object->access_key->digest.data[0] = digest;
  return object;
}

/* Returns a change that puts or deletes OBJECT and owns it; freed by
   cy__change__free_unpacked.  BASE is the version that the change expects, a
   negative BASE means any version.  */
static inline Cy__Change *
change_new (const char *request_id, const char *who, int64_t base,
            Cy__Object *object)
{
  Cy__Change *change = g_new (Cy__Change, 1);
  cy__change__init (change);
  change->request_id = g_strdup (request_id);
  change->who = g_strdup (who);
  change->action = g_strdup ("submit");
  change->compare = base >= 0;
  change->base_version = base >= 0 ? (uint64_t)base : 0;
  change->unix_ms = 1700000000000;
  change->n_objects = 1;
  change->objects = g_new (Cy__Object *, 1);
  change->objects[0] = object;
  return change;
}

#endif /* STATE_CHANGES_H */
