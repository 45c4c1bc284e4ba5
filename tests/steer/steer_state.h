/* Functions that create declared state and soft objects for tests and
   benchmarks of the lookup and the planner.  */

#ifndef STEER_STATE_H
#define STEER_STATE_H

#include <glib.h>

#include "core/cys_state.h"
#include "core/cyt_soft_state.h"

/* Declares OBJECT under KEY in a change of its own, or removes KEY if DELETED.
 */
static inline void
steer_declare (struct cys_state *state, Cy__Object *object, const char *key,
               bool deleted)
{
  Cy__Change change = CY__CHANGE__INIT;
  static unsigned changes;
  char *id = g_strdup_printf ("r%u", changes++);
  object->key = (char *)key;
  object->deleted = deleted;
  change.request_id = id;
  change.who = (char *)"test";
  change.action = (char *)"submit";
  change.n_objects = 1;
  change.objects = &object;
  const Cy__ChangeResult *result = cys_state_apply (state, &change);
  g_assert (result->result == CY_OK);
  g_free (id);
}

static inline void
steer_declare_zone (struct cys_state *state, const char *name,
                    const char *region)
{
  Cy__Object object = CY__OBJECT__INIT;
  Cy__Zone zone = CY__ZONE__INIT;
  char *key = g_strconcat ("zone/", name, NULL);
  zone.name = (char *)name;
  zone.region = (char *)region;
  object.body_case = CY__OBJECT__BODY_ZONE;
  object.zone = &zone;
  steer_declare (state, &object, key, false);
  g_free (key);
}

static inline void
steer_declare_service (struct cys_state *state, const char *name)
{
  Cy__Object object = CY__OBJECT__INIT;
  Cy__Service service = CY__SERVICE__INIT;
  char *key = g_strconcat ("service/", name, NULL);
  service.name = (char *)name;
  object.body_case = CY__OBJECT__BODY_SERVICE;
  object.service = &service;
  steer_declare (state, &object, key, false);
  g_free (key);
}

static inline void
steer_declare_cap (struct cys_state *state, const char *service,
                   double fraction, uint32_t window_ms)
{
  Cy__Object object = CY__OBJECT__INIT;
  Cy__Cap cap = CY__CAP__INIT;
  char *key = g_strconcat ("cap/", service[0] ? service : "all", NULL);
  cap.service = (char *)service;
  cap.fraction = fraction;
  cap.window_ms = window_ms;
  object.body_case = CY__OBJECT__BODY_CAP;
  object.cap = &cap;
  steer_declare (state, &object, key, false);
  g_free (key);
}

static inline void
steer_declare_drain (struct cys_state *state, const char *kind,
                     const char *name, bool is_removed)
{
  Cy__Object object = CY__OBJECT__INIT;
  Cy__Drain drain = CY__DRAIN__INIT;
  char *key = g_strconcat ("drain/", kind, ":", name, NULL);
  drain.kind = (char *)kind;
  drain.name = (char *)name;
  object.body_case
      = is_removed ? CY__OBJECT__BODY__NOT_SET : CY__OBJECT__BODY_DRAIN;
  object.drain = &drain;
  steer_declare (state, &object, key, is_removed);
  g_free (key);
}

static inline void
steer_declare_blocks (struct cys_state *state, const char *site,
                      const char *region, char **prefixes, size_t count)
{
  Cy__Object object = CY__OBJECT__INIT;
  Cy__ClientBlocks blocks = CY__CLIENT_BLOCKS__INIT;
  char *key = g_strconcat ("blocks/", site, NULL);
  blocks.site = (char *)site;
  blocks.region = (char *)region;
  blocks.prefixes = prefixes;
  blocks.n_prefixes = count;
  object.body_case = CY__OBJECT__BODY_BLOCKS;
  object.blocks = &blocks;
  steer_declare (state, &object, key, false);
  g_free (key);
}

static inline void
steer_put_entry (struct cyt_soft_state *soft, const char *vm, const char *zone,
                 const char *state)
{
  Cy__Object object = CY__OBJECT__INIT;
  Cy__EntryStatus entry = CY__ENTRY_STATUS__INIT;
  char *key = g_strconcat ("entry/", vm, NULL);
  object.key = key;
  entry.vm = (char *)vm;
  entry.zone = (char *)zone;
  entry.host = (char *)"127.0.0.1";
  entry.http_port = 80;
  entry.state = (char *)state;
  object.body_case = CY__OBJECT__BODY_ENTRY;
  object.entry = &entry;
  cyt_soft_state_put (soft, &object, 0);
  g_free (key);
}

/* Stores a plan of at most 8 zones; ZONES ends with NULL.  */
static inline void
steer_put_plan (struct cyt_soft_state *soft, const char *service,
                const char *origin, const char *const *zones,
                const double *weights, uint64_t number)
{
  Cy__Object object = CY__OBJECT__INIT;
  Cy__ServicePlan plan = CY__SERVICE_PLAN__INIT;
  Cy__Weight parts[8];
  Cy__Weight *pointers[8];
  char *key = g_strconcat ("plan/", service, "/", origin, NULL);
  object.key = key;
  plan.service = (char *)service;
  plan.origin = (char *)origin;
  plan.number = number;
  plan.weights = pointers;
  for (size_t i = 0; i < 8 && zones[i] != NULL; i++)
    {
      cy__weight__init (&parts[i]);
      parts[i].zone = (char *)zones[i];
      parts[i].weight = weights[i];
      pointers[plan.n_weights++] = &parts[i];
    }
  object.body_case = CY__OBJECT__BODY_PLAN;
  object.plan = &plan;
  cyt_soft_state_put (soft, &object, 0);
  g_free (key);
}

/* Stores the status of ZONE with one service.  STAMP in ms makes the status
   differ from the previous one.  All probes to PEER are lost; NULL: none.  */
static inline void
steer_put_status (struct cyt_soft_state *soft, const char *zone,
                  const char *service, unsigned slots, double rate,
                  int64_t stamp, const char *peer)
{
  Cy__Object object = CY__OBJECT__INIT;
  Cy__ZoneStatus status = CY__ZONE_STATUS__INIT;
  Cy__ServiceLoad load = CY__SERVICE_LOAD__INIT;
  Cy__ServiceLoad *loads = &load;
  Cy__Probe probe = CY__PROBE__INIT;
  Cy__Probe *probes = &probe;
  Cy__Split split = CY__SPLIT__INIT;
  Cy__Split *splits = &split;
  char *key = g_strconcat ("zone/", zone, NULL);
  object.key = key;
  status.zone = (char *)zone;
  load.service = (char *)service;
  load.backends = slots / 4;
  load.slots = slots;
  load.requests_per_s = rate;
  load.in_flight = rate * 0.04;
  load.service_time_ms = 40;
  status.services = &loads;
  status.n_services = 1;
  probe.from_zone = (char *)zone;
  probe.to_zone = (char *)(peer != NULL ? peer : zone);
  probe.sent = 2;
  probe.lost = peer != NULL ? 2 : 0;
  probe.unix_ms = stamp;
  status.probes = &probes;
  status.n_probes = 1;
  split.service = (char *)service;
  split.zone = (char *)zone;
  split.unix_ms = stamp;
  split.requests = (uint64_t)rate;
  split.backend_ms = rate * 40;
  status.splits = &splits;
  status.n_splits = 1;
  object.body_case = CY__OBJECT__BODY_ZONE_STATUS;
  object.zone_status = &status;
  cyt_soft_state_put (soft, &object, 0);
  g_free (key);
}

#endif /* STEER_STATE_H */
