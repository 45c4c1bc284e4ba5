/* Preview of a drain as JSON: which requests move to which zones, how long
   that takes under the cap, and whether the other zones have the capacity.
   During a drain the preview shows the requests that are not yet moved.  */

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <string.h>

#include "control/cyx_steer.h"

#define MOVED_RATE_MIN_PER_S 0.01 /* smaller changes are omitted */

struct preview
{
  const struct cyx_planner *planner;
  const struct cys_state *state;
  const struct cyt_soft_state *soft;
  const char *kind;
  const char *name;
  struct cyp_topology topology;
  bool known;
  bool fits;
  json_t *json;
};

static double
round_rate (double value)
{
  return round (value * 100) / 100;
}

static void
mark_zones_drained (struct preview *preview)
{
  const struct cyp_catalog *catalog = &preview->planner->catalog;
  bool zone = strcmp (preview->kind, "zone") == 0;
  unsigned number = zone ? cyp_names_find (&catalog->zones, preview->name)
                         : cyp_names_find (&catalog->regions, preview->name);
  for (unsigned z = 0; z < preview->topology.zones; z++)
    {
      unsigned target = zone ? z : preview->topology.zone_region[z];
      if (!preview->topology.zone_declared[z] || target != number)
        continue;
      preview->topology.zone_drained[z] = true;
      preview->known = true;
    }
}

/* Requests per second of SERVICE that PLAN sends to ZONE.  */
static double
planned_rate (const struct cyp_plan *plan, unsigned service, unsigned zone,
              unsigned regions)
{
  double rate = 0;
  for (unsigned r = 0; r < regions; r++)
    {
      const double *weights = cyp_plan_weights (plan, service, r);
      if (weights != NULL)
        rate += weights[zone] * cyp_plan_demand (plan, service, r);
    }
  return rate;
}

static void
add_moves (struct preview *preview, json_t *moves,
           const struct cyp_plan *after, unsigned service)
{
  const struct cyx_planner *planner = preview->planner;
  for (unsigned z = 0; z < preview->topology.zones; z++)
    {
      unsigned regions = preview->topology.regions;
      double rate_before = planned_rate (planner->plan, service, z, regions);
      double rate_after = planned_rate (after, service, z, regions);
      if (fabs (rate_after - rate_before) < MOVED_RATE_MIN_PER_S)
        continue;
      json_t *move = json_object ();
      json_object_set_new (
          move, "service",
          json_string (cyp_names_get (&planner->catalog.services, service)));
      json_object_set_new (
          move, "zone",
          json_string (cyp_names_get (&planner->catalog.zones, z)));
      json_object_set_new (move, "requests_per_s_before",
                           json_real (round_rate (rate_before)));
      json_object_set_new (move, "requests_per_s_after",
                           json_real (round_rate (rate_after)));
      json_object_set_new (
          move, "room_per_s",
          json_real (round_rate (
              cyp_plan_zone_capacity (after, service, z).capacity_per_s)));
      json_array_append_new (moves, move);
    }
}

static double
rate_on_drained_zones (const struct preview *preview,
                       const struct cyp_plan *plan)
{
  double rate = 0;
  for (unsigned s = 0; s < preview->topology.services; s++)
    for (unsigned z = 0; z < preview->topology.zones; z++)
      if (preview->topology.zone_drained[z])
        rate += planned_rate (plan, s, z, preview->topology.regions);
  return rate;
}

static void
preview_zones (struct preview *preview)
{
  const struct cyx_planner *planner = preview->planner;
  mark_zones_drained (preview);
  struct cyp_plan *plan = cyp_plan_copy (planner->plan);
  struct cyp_simulation simulation = cyp_plan_simulate (
      plan, &preview->topology, cy_clock_now (planner->clock),
      CYX_PREVIEW_SPAN_MAX_NS);
  double to_move = rate_on_drained_zones (preview, planner->plan);
  double unplaced = rate_on_drained_zones (preview, plan);
  preview->fits = preview->known && unplaced < MOVED_RATE_MIN_PER_S;
  json_t *moves = json_array ();
  for (unsigned s = 0; s < preview->topology.services; s++)
    add_moves (preview, moves, plan, s);
  cyp_plan_destroy (plan);
  json_object_set_new (preview->json, "seconds",
                       json_integer (simulation.duration / CY_NS_PER_S));
  json_object_set_new (preview->json, "requests_per_s_to_move",
                       json_real (round_rate (to_move)));
  json_object_set_new (preview->json, "requests_per_s_without_room",
                       json_real (round_rate (unplaced)));
  json_object_set_new (preview->json, "moves", moves);
}

struct entry_count
{
  const struct preview *preview;
  const char *zone;   /* zone of the drained VM, NULL if not found */
  unsigned remaining; /* other entry VMs of that zone that serve */
};

static bool
find_entry (const Cy__Object *object, void *context)
{
  struct entry_count *count = context;
  if (object->body_case == CY__OBJECT__BODY_ENTRY
      && strcmp (object->entry->vm, count->preview->name) == 0)
    count->zone = object->entry->zone;
  return true;
}

static bool
count_remaining_entry (const Cy__Object *object, void *context)
{
  struct entry_count *count = context;
  if (object->body_case != CY__OBJECT__BODY_ENTRY)
    return true;
  const Cy__EntryStatus *entry = object->entry;
  if (strcmp (entry->zone, count->zone) == 0
      && strcmp (entry->vm, count->preview->name) != 0
      && strcmp (entry->state, "serving") == 0)
    count->remaining++;
  return true;
}

static void
preview_entry (struct preview *preview)
{
  struct entry_count count = { preview, NULL, 0 };
  cyt_soft_state_each (preview->soft, "entry/", find_entry, &count);
  preview->known = count.zone != NULL;
  if (preview->known)
    cyt_soft_state_each (preview->soft, "entry/", count_remaining_entry,
                         &count);
  preview->fits = count.remaining > 0;
  json_object_set_new (preview->json, "seconds",
                       json_integer (preview->topology.lookup_ttl_ms / 1000));
  if (preview->known)
    json_object_set_new (preview->json, "zone", json_string (count.zone));
  json_object_set_new (preview->json, "entry_vms_left",
                       json_integer (count.remaining));
}

struct backend_search
{
  const char *name; /* SERVICE/INSTANCE, or INSTANCE */
  const Cy__BackendStatus *found;
};

static bool
find_backend (const Cy__Object *object, void *context)
{
  struct backend_search *search = context;
  if (object->body_case != CY__OBJECT__BODY_BACKEND)
    return true;
  const Cy__BackendStatus *backend = object->backend;
  char *full = g_strconcat (backend->service, "/", backend->instance, NULL);
  if (strcmp (full, search->name) == 0
      || strcmp (backend->instance, search->name) == 0)
    search->found = backend;
  g_free (full);
  return true;
}

/* State, spare capacity and expected rate of SERVICE in each zone.  */
static json_t *
spare_capacity_json (const struct preview *preview, unsigned service)
{
  static const char *const states[]
      = { "unknown", "open", "held", "drained", "lost" };
  const struct cyx_planner *planner = preview->planner;
  json_t *capacities = json_array ();
  for (unsigned z = 0; z < preview->topology.zones; z++)
    {
      struct cyp_zone_capacity capacity
          = cyp_plan_zone_capacity (planner->plan, service, z);
      json_t *json = json_object ();
      json_object_set_new (
          json, "zone",
          json_string (cyp_names_get (&planner->catalog.zones, z)));
      json_object_set_new (json, "state",
                           json_string (states[capacity.state]));
      json_object_set_new (json, "room_per_s",
                           json_real (round_rate (capacity.capacity_per_s)));
      json_object_set_new (json, "requests_per_s",
                           json_real (round_rate (capacity.expected_per_s)));
      json_array_append_new (capacities, json);
    }
  return capacities;
}

/* For a backend server that is not in the soft state: the zone is unknown, so
   that the drain fits only if every zone of the service can lose one backend
   server.  */
static void
preview_backend_of_unknown_zone (struct preview *preview)
{
  const struct cyx_planner *planner = preview->planner;
  char **parts = g_strsplit (preview->name, "/", 2);
  unsigned service = cyp_names_find (&planner->catalog.services, parts[0]);
  if (parts[0] != NULL && parts[1] != NULL && service != CYP_NAME_NONE)
    preview->fits = cyp_plan_can_spare (planner->plan, service,
                                        preview->topology.headroom);
  json_object_set_new (preview->json, "zone", json_null ());
  if (service != CYP_NAME_NONE)
    json_object_set_new (preview->json, "rooms",
                         spare_capacity_json (preview, service));
  g_strfreev (parts);
}

static void
preview_backend (struct preview *preview)
{
  const struct cyx_planner *planner = preview->planner;
  struct backend_search search = { preview->name, NULL };
  cyt_soft_state_each (preview->soft, "backend/", find_backend, &search);
  preview->known = search.found != NULL;
  preview->fits = false;
  if (!preview->known)
    {
      preview_backend_of_unknown_zone (preview);
      return;
    }
  unsigned service
      = cyp_names_find (&planner->catalog.services, search.found->service);
  unsigned zone = cyp_names_find (&planner->catalog.zones, search.found->zone);
  if (service == CYP_NAME_NONE || zone == CYP_NAME_NONE)
    return;
  struct cyp_zone_capacity capacity
      = cyp_plan_zone_capacity (planner->plan, service, zone);
  double remaining_per_s = cyp_plan_capacity_without (
      planner->plan, service, zone, search.found->slots);
  double limit_per_s = (1 - preview->topology.headroom) * remaining_per_s;
  preview->fits = capacity.expected_per_s <= limit_per_s;
  json_object_set_new (preview->json, "zone",
                       json_string (search.found->zone));
  json_object_set_new (preview->json, "requests_per_s",
                       json_real (round_rate (capacity.expected_per_s)));
  json_object_set_new (preview->json, "room_per_s_left",
                       json_real (round_rate (remaining_per_s)));
}

char *
cyx_planner_preview (const struct cyx_planner *planner,
                     const struct cys_state *state,
                     const struct cyt_soft_state *soft, const char *kind,
                     const char *name, bool *fits)
{
  struct preview preview = { .planner = planner,
                             .state = state,
                             .soft = soft,
                             .kind = kind,
                             .name = name,
                             .topology = planner->topology,
                             .json = json_object () };
  json_object_set_new (preview.json, "kind", json_string (kind));
  json_object_set_new (preview.json, "name", json_string (name));
  if (strcmp (kind, "zone") == 0 || strcmp (kind, "region") == 0)
    preview_zones (&preview);
  else if (strcmp (kind, "entry") == 0)
    preview_entry (&preview);
  else if (strcmp (kind, "backend") == 0)
    preview_backend (&preview);
  json_object_set_new (preview.json, "known", json_boolean (preview.known));
  json_object_set_new (preview.json, "fits", json_boolean (preview.fits));
  char *text
      = json_dumps (preview.json, JSON_INDENT (2) | JSON_REAL_PRECISION (12));
  char *copy = g_strdup (text);
  free (text);
  json_decref (preview.json);
  *fits = preview.fits;
  return copy;
}
