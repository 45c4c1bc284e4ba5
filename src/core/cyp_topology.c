#include "core/cyp_topology.h"

#include <string.h>

struct topology_reader
{
  struct cyp_topology *topology;
  struct cyp_catalog *catalog;
};

void
cyp_catalog_start (struct cyp_catalog *catalog)
{
  cyp_names_start (&catalog->zones, CYP_ZONES_MAX);
  cyp_names_start (&catalog->regions, CYP_REGIONS_MAX);
  cyp_names_start (&catalog->services, CYP_SERVICES_MAX);
}

void
cyp_catalog_clear (struct cyp_catalog *catalog)
{
  cyp_names_clear (&catalog->zones);
  cyp_names_clear (&catalog->regions);
  cyp_names_clear (&catalog->services);
}

void
cyp_topology_clear (struct cyp_topology *topology)
{
  memset (topology, 0, sizeof *topology);
  topology->headroom = CYP_DEFAULT_HEADROOM;
  topology->lookup_ttl_ms = CYP_DEFAULT_LOOKUP_TTL_MS;
  for (unsigned s = 0; s < CYP_SERVICES_MAX; s++)
    topology->cap[s] = (struct cyp_cap){ CYP_DEFAULT_CAP_FRACTION,
                                         CYP_DEFAULT_CAP_WINDOW_NS };
  for (unsigned a = 0; a < CYP_REGIONS_MAX; a++)
    for (unsigned b = 0; b < CYP_REGIONS_MAX; b++)
      {
        topology->link_ms[a][b] = a == b ? 0 : CYP_DEFAULT_LINK_MS;
        topology->link_bits_per_s[a][b] = CYP_UNLIMITED_LINK_BITS_PER_S;
      }
}

static bool
read_zone (const Cy__Object *object, void *context)
{
  struct topology_reader *reader = context;
  if (object->body_case != CY__OBJECT__BODY_ZONE)
    return true;
  const Cy__Zone *from = object->zone;
  unsigned zone = cyp_names_add (&reader->catalog->zones, from->name);
  unsigned region = cyp_names_add (&reader->catalog->regions, from->region);
  if (zone == CYP_NAME_NONE || region == CYP_NAME_NONE)
    return true;
  reader->topology->zone_declared[zone] = true;
  reader->topology->zone_region[zone] = (uint16_t)region;
  return true;
}

static bool
read_service (const Cy__Object *object, void *context)
{
  struct topology_reader *reader = context;
  if (object->body_case != CY__OBJECT__BODY_SERVICE)
    return true;
  unsigned service
      = cyp_names_add (&reader->catalog->services, object->service->name);
  if (service != CYP_NAME_NONE)
    reader->topology->service_declared[service] = true;
  return true;
}

static bool
read_link (const Cy__Object *object, void *context)
{
  struct topology_reader *reader = context;
  if (object->body_case != CY__OBJECT__BODY_LINK)
    return true;
  const Cy__Link *from = object->link;
  unsigned a = cyp_names_add (&reader->catalog->regions, from->a);
  unsigned b = cyp_names_add (&reader->catalog->regions, from->b);
  if (a == CYP_NAME_NONE || b == CYP_NAME_NONE || a == b)
    return true;
  struct cyp_topology *topology = reader->topology;
  topology->link_ms[a][b] = from->latency_ms;
  topology->link_ms[b][a] = from->latency_ms;
  topology->link_bits_per_s[a][b] = from->bits_per_s;
  topology->link_bits_per_s[b][a] = from->bits_per_s;
  return true;
}

static bool
read_drain (const Cy__Object *object, void *context)
{
  struct topology_reader *reader = context;
  if (object->body_case != CY__OBJECT__BODY_DRAIN)
    return true;
  const Cy__Drain *drain = object->drain;
  struct cyp_topology *topology = reader->topology;
  if (strcmp (drain->kind, "zone") == 0)
    {
      unsigned zone = cyp_names_find (&reader->catalog->zones, drain->name);
      if (zone != CYP_NAME_NONE)
        topology->zone_drained[zone] = true;
    }
  if (strcmp (drain->kind, "region") == 0)
    {
      unsigned region
          = cyp_names_find (&reader->catalog->regions, drain->name);
      unsigned zones = cyp_names_count (&reader->catalog->zones);
      for (unsigned z = 0; z < zones; z++)
        if (topology->zone_declared[z] && topology->zone_region[z] == region)
          topology->zone_drained[z] = true;
    }
  return true;
}

static void
cap_apply (struct topology_reader *reader, const Cy__Cap *from,
           bool is_general)
{
  struct cyp_cap cap = { from->fraction, from->window_ms * CY_NS_PER_MS };
  if (cap.window == 0)
    cap.window = CYP_DEFAULT_CAP_WINDOW_NS;
  if (!is_general)
    {
      unsigned service
          = cyp_names_find (&reader->catalog->services, from->service);
      if (service != CYP_NAME_NONE)
        reader->topology->cap[service] = cap;
      return;
    }
  for (unsigned s = 0; s < CYP_SERVICES_MAX; s++)
    reader->topology->cap[s] = cap;
}

static bool
read_general_cap (const Cy__Object *object, void *context)
{
  if (object->body_case == CY__OBJECT__BODY_CAP
      && object->cap->service[0] == '\0')
    cap_apply (context, object->cap, true);
  return true;
}

static bool
read_service_cap (const Cy__Object *object, void *context)
{
  if (object->body_case == CY__OBJECT__BODY_CAP
      && object->cap->service[0] != '\0')
    cap_apply (context, object->cap, false);
  return true;
}

static void
read_limits (struct cyp_topology *topology, const struct cys_state *state)
{
  const Cy__Object *object = cys_state_get (state, "limits/fleet");
  if (object == NULL || object->body_case != CY__OBJECT__BODY_LIMITS)
    return;
  if (object->limits->headroom > 0)
    topology->headroom = object->limits->headroom;
  if (object->limits->lookup_ttl_ms > 0)
    topology->lookup_ttl_ms = object->limits->lookup_ttl_ms;
}

void
cyp_topology_read (struct cyp_topology *topology, struct cyp_catalog *catalog,
                   const struct cys_state *state)
{
  struct topology_reader reader = { topology, catalog };
  cyp_topology_clear (topology);
  cys_state_each (state, "zone/", read_zone, &reader);
  cys_state_each (state, "service/", read_service, &reader);
  cys_state_each (state, "link/", read_link, &reader);
  cys_state_each (state, "drain/", read_drain, &reader);
  cys_state_each (state, "cap/", read_general_cap, &reader);
  cys_state_each (state, "cap/", read_service_cap, &reader);
  read_limits (topology, state);
  topology->zones = cyp_names_count (&catalog->zones);
  topology->regions = cyp_names_count (&catalog->regions);
  topology->services = cyp_names_count (&catalog->services);
}
