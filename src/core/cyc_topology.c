#include "core/cyc_topology.h"

#include <glib.h>
#include <string.h>

struct cyc_topology
{
  GHashTable *regions; /* zone to region */
  size_t region_count;
};

static size_t
count_regions (GHashTable *regions)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer region;
  g_hash_table_iter_init (&iter, regions);
  while (g_hash_table_iter_next (&iter, NULL, &region))
    g_hash_table_add (names, region);
  size_t count = g_hash_table_size (names);
  g_hash_table_destroy (names);
  return count;
}

cy_result
cyc_topology_read (const char *text, struct cyc_topology **out)
{
  struct cyc_topology *topology = g_new0 (struct cyc_topology, 1);
  cy_result result = CY_OK;
  topology->regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char **pairs = g_strsplit (text, ",", -1);
  for (char **pair = pairs; *pair != NULL && result == CY_OK; pair++)
    {
      char *equal = strchr (*pair, '=');
      if (equal == NULL || equal == *pair || equal[1] == '\0')
        result = CY_E_SETTING_INVALID;
      else
        g_hash_table_insert (topology->regions,
                             g_strndup (*pair, (gsize)(equal - *pair)),
                             g_strdup (equal + 1));
    }
  if (pairs[0] == NULL)
    result = CY_E_SETTING_INVALID;
  g_strfreev (pairs);
  topology->region_count = count_regions (topology->regions);
  if (result == CY_OK)
    *out = topology;
  else
    cyc_topology_destroy (topology);
  return result;
}

void
cyc_topology_destroy (struct cyc_topology *topology)
{
  if (topology == NULL)
    return;
  g_hash_table_destroy (topology->regions);
  g_free (topology);
}

const char *
cyc_topology_region (const struct cyc_topology *topology, const char *zone)
{
  return g_hash_table_lookup (topology->regions, zone);
}

size_t
cyc_topology_region_count (const struct cyc_topology *topology)
{
  return topology->region_count;
}
