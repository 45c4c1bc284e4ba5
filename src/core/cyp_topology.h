/* Zones, links, caps and drains that operators declared, as arrays for the
   steering core.  The planner of a control VM and the lookup of an entry VM
   read them from the declared state.  Not thread-safe.  */

#ifndef CYP_TOPOLOGY_H
#define CYP_TOPOLOGY_H

#include "core/cyp_names.h"
#include "core/cyp_shift.h"
#include "core/cys_state.h"

#define CYP_REGIONS_MAX  32 /* maximum number of regions */
#define CYP_SERVICES_MAX 64 /* maximum number of services */

/* Share of the traffic that may move in a window without a declared cap.  */
#define CYP_DEFAULT_CAP_FRACTION 0.2
/* Window in ns without a declared cap.  */
#define CYP_DEFAULT_CAP_WINDOW_NS (10 * CY_NS_PER_S)
/* Share of capacity kept free without a declared limit.  */
#define CYP_DEFAULT_HEADROOM 0.1
/* Lifetime in ms of a lookup's answer without a declared limit.  */
#define CYP_DEFAULT_LOOKUP_TTL_MS 5000
/* Latency in ms between regions without a declared link.  */
#define CYP_DEFAULT_LINK_MS 1000
/* Bandwidth in bits a second between regions without a declared link.  */
#define CYP_UNLIMITED_LINK_BITS_PER_S 1e15

/* Numbers of the declared names.  The owner keeps them across calls of
   cyp_topology_read, so that numbers stay the same.  */
struct cyp_catalog
{
  struct cyp_names zones;
  struct cyp_names regions;
  struct cyp_names services;
};

void cyp_catalog_start (struct cyp_catalog *catalog);
void cyp_catalog_clear (struct cyp_catalog *catalog);

struct cyp_topology
{
  unsigned zones;    /* number of zones in the catalog */
  unsigned regions;  /* number of regions in the catalog */
  unsigned services; /* number of services in the catalog */
  bool zone_declared[CYP_ZONES_MAX];
  bool zone_drained[CYP_ZONES_MAX]; /* the zone or its region is drained */
  /* The zone is unreachable; the topology's owner sets it from probes.  */
  bool zone_lost[CYP_ZONES_MAX];
  uint16_t zone_region[CYP_ZONES_MAX];
  bool service_declared[CYP_SERVICES_MAX];
  struct cyp_cap cap[CYP_SERVICES_MAX];
  double headroom;        /* share of a zone's capacity that is kept free */
  uint32_t lookup_ttl_ms; /* lifetime of a lookup's answer */
  /* Latency and bandwidth between two regions.  */
  double link_ms[CYP_REGIONS_MAX][CYP_REGIONS_MAX];
  double link_bits_per_s[CYP_REGIONS_MAX][CYP_REGIONS_MAX];
};

/* Sets TOPOLOGY to the defaults, without zones.  */
void cyp_topology_clear (struct cyp_topology *topology);

/* Fills TOPOLOGY from STATE; names missing in CATALOG are added to it.  */
void cyp_topology_read (struct cyp_topology *topology,
                        struct cyp_catalog *catalog,
                        const struct cys_state *state);

#endif /* CYP_TOPOLOGY_H */
