/* Selects the entry VMs that a caller should use: the ready ones of its zone
   if there are at least ZONE_ENTRIES_MIN, else those of its region, else
   all.  */

#include <string.h>

#include "hub/cyc_internal.h"

/* A zone with at least this many ready entry VMs serves its own callers.  */
#define ZONE_ENTRIES_MIN 2

enum scope
{
  SAME_ZONE,
  SAME_REGION,
  ANYWHERE
};

static bool
is_within (const Cy__EntryVm *vm, enum scope scope, const char *region,
           const char *zone)
{
  switch (scope)
    {
    case SAME_ZONE:
      return strcmp (vm->zone, zone) == 0;
    case SAME_REGION:
      return strcmp (vm->region, region) == 0;
    case ANYWHERE:
      return true;
    }
  return false;
}

static size_t
collect_entries (struct cyc_hub *hub, enum scope scope, const char *region,
                 const char *zone, const Cy__EntryVm *entries[CYC_RESOLVE_MAX])
{
  const struct cyc_entry *vm = NULL;
  cy_time_ns now = cyc_now (hub);
  size_t count = 0;
  CK_LIST_FOREACH (vm, cyc_register_entries (hub->reg), entry)
  {
    bool live = now - vm->last_received < CYC_ENTRY_TIMEOUT_MS * CY_NS_PER_MS;
    if (count < CYC_RESOLVE_MAX && live && vm->info->ready
        && is_within (vm->info, scope, region, zone))
      entries[count++] = vm->info;
  }
  return count;
}

size_t
cyc_hub_resolve (struct cyc_hub *hub, const char *region, const char *zone,
                 const Cy__EntryVm *entries[CYC_RESOLVE_MAX])
{
  const char *zone_region = cyc_topology_region (hub->options.topology, zone);
  if (zone_region != NULL)
    region = zone_region;
  size_t count = collect_entries (hub, SAME_ZONE, region, zone, entries);
  if (count < ZONE_ENTRIES_MIN)
    count = collect_entries (hub, SAME_REGION, region, zone, entries);
  if (count == 0)
    count = collect_entries (hub, ANYWHERE, region, zone, entries);
  return count;
}
