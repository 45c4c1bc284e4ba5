#include "zone/cyz_strip.h"

#include <glib.h>
#include <string.h>

static bool
put_entry (struct cyt_soft_state *soft, const Cy__Object *object)
{
  Cy__EntryStatus entry = *object->entry;
  entry.requests_per_s = 0;
  entry.in_flight = 0;
  Cy__Object stripped = *object;
  stripped.entry = &entry;
  return cyt_soft_state_put (soft, &stripped, 0);
}

static bool
put_zone (struct cyt_soft_state *soft, const Cy__Object *object)
{
  const Cy__ZoneStatus *full = object->zone_status;
  Cy__ZoneStatus zone = *full;
  zone.n_probes = 0;
  zone.n_splits = 0;
  Cy__ServiceLoad *loads = g_new (Cy__ServiceLoad, full->n_services + 1);
  zone.services = g_new (Cy__ServiceLoad *, full->n_services + 1);
  for (size_t i = 0; i < full->n_services; i++)
    {
      cy__service_load__init (&loads[i]);
      loads[i].service = full->services[i]->service;
      loads[i].backends = full->services[i]->backends;
      loads[i].slots = full->services[i]->slots;
      zone.services[i] = &loads[i];
    }
  Cy__Object stripped = *object;
  stripped.zone_status = &zone;
  bool changed = cyt_soft_state_put (soft, &stripped, 0);
  g_free (zone.services);
  g_free (loads);
  return changed;
}

static bool
weights_equal (const Cy__ServicePlan *a, const Cy__ServicePlan *b)
{
  if (a->n_weights != b->n_weights)
    return false;
  for (size_t i = 0; i < a->n_weights; i++)
    if (a->weights[i]->weight != b->weights[i]->weight
        || strcmp (a->weights[i]->zone, b->weights[i]->zone) != 0)
      return false;
  return true;
}

static bool
put_plan (struct cyt_soft_state *soft, const Cy__Object *object)
{
  const Cy__Object *held = cyt_soft_state_get (soft, object->key);
  if (held != NULL && held->body_case == CY__OBJECT__BODY_PLAN
      && weights_equal (held->plan, object->plan))
    return false;
  return cyt_soft_state_put (soft, object, 0);
}

bool
cyz_strip_put (struct cyt_soft_state *soft, const Cy__Object *object)
{
  if (object->deleted)
    return cyt_soft_state_remove (soft, object->key);
  if (object->body_case == CY__OBJECT__BODY_ENTRY)
    return put_entry (soft, object);
  if (object->body_case == CY__OBJECT__BODY_ZONE_STATUS)
    return put_zone (soft, object);
  if (object->body_case == CY__OBJECT__BODY_PLAN)
    return put_plan (soft, object);
  return cyt_soft_state_put (soft, object, 0);
}
