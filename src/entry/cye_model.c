#include "entry/cye_view.h"

#include <string.h>
#include <xxhash.h>

/* A zone is unreachable when more than this ratio of the probes to it is
   lost.  */
#define UNREACHABLE_LOSS_RATIO 0.5
/* Load of a VM divided by the mean load of its zone.  */
#define BUSY_LOAD_RATIO      1.25
#define VERY_BUSY_LOAD_RATIO 2.0

struct cye_model
{
  unsigned local_zone;
  unsigned local_region;
  struct cyp_catalog catalog;
  struct cyp_names sites;
  struct cyp_shift *shifts[CYP_SERVICES_MAX][CYP_REGIONS_MAX];
  struct cyp_topology topology; /* topology of the newest build */
};

/* One build in progress.  */
struct build
{
  struct cye_model *model;
  const struct cys_state *state;
  const struct cyt_soft_state *soft;
  cy_time_ns now;
  struct cye_view *view;
  GArray *vms; /* struct loaded_vm */
};

struct loaded_vm
{
  struct cye_vm vm;
  unsigned zone;
  double load; /* requests/s */
};

struct cye_model *
cye_model_create (const char *local_zone, const char *local_region)
{
  struct cye_model *model = g_new0 (struct cye_model, 1);
  cyp_catalog_start (&model->catalog);
  cyp_names_start (&model->sites, CYE_SITES_MAX);
  model->local_zone = cyp_names_add (&model->catalog.zones, local_zone);
  model->local_region = cyp_names_add (&model->catalog.regions, local_region);
  return model;
}

void
cye_model_destroy (struct cye_model *model)
{
  if (model == NULL)
    return;
  for (unsigned s = 0; s < CYP_SERVICES_MAX; s++)
    for (unsigned r = 0; r < CYP_REGIONS_MAX; r++)
      g_free (model->shifts[s][r]);
  cyp_catalog_clear (&model->catalog);
  cyp_names_clear (&model->sites);
  g_free (model);
}

unsigned
cye_model_site_number (struct cye_model *model, const char *site)
{
  return cyp_names_add (&model->sites, site);
}

static bool
entry_is_drained (const struct cys_state *state, const char *vm)
{
  char *key = g_strconcat ("drain/entry:", vm, NULL);
  bool drained = cys_state_get (state, key) != NULL;
  g_free (key);
  return drained;
}

static void
vm_init (struct build *build, struct loaded_vm *loaded,
         const Cy__EntryStatus *status)
{
  const struct cyp_names *regions = &build->model->catalog.regions;
  struct cye_choice *choice = &loaded->vm.choice;
  unsigned region = build->view->zones[loaded->zone].region;
  g_strlcpy (choice->vm, status->vm, sizeof choice->vm);
  g_strlcpy (choice->host, status->host, sizeof choice->host);
  choice->port = (uint16_t)status->http_port;
  g_strlcpy (choice->zone, status->zone, sizeof choice->zone);
  g_strlcpy (choice->region, cyp_names_get (regions, region),
             sizeof choice->region);
  loaded->vm.seed = XXH3_64bits (status->vm, strlen (status->vm));
  loaded->vm.weight = 1;
  loaded->load = status->requests_per_s;
}

static bool
add_entry (const Cy__Object *object, void *context)
{
  struct build *build = context;
  if (object->body_case != CY__OBJECT__BODY_ENTRY)
    return true;
  const Cy__EntryStatus *entry = object->entry;
  struct loaded_vm loaded = { 0 };
  loaded.zone = cyp_names_find (&build->model->catalog.zones, entry->zone);
  if (loaded.zone == CYP_NAME_NONE)
    return true;
  bool serves = strcmp (entry->state, "serving") == 0
                && !entry_is_drained (build->state, entry->vm);
  if (!serves)
    {
      build->view->zones[loaded.zone].has_planned_work = true;
      return true;
    }
  vm_init (build, &loaded, entry);
  g_array_append_val (build->vms, loaded);
  return true;
}

static gint
compare_vms (gconstpointer a, gconstpointer b)
{
  const struct loaded_vm *left = a;
  const struct loaded_vm *right = b;
  if (left->zone != right->zone)
    return left->zone < right->zone ? -1 : 1;
  return strcmp (left->vm.choice.vm, right->vm.choice.vm);
}

/* Lowers the weight of VMs with much more load than the mean of their zone.
   The weight has only three values, so that answers don't change with every
   measurement.  */
static void
reduce_busy_weights (struct build *build, const struct cye_zone_view *zone)
{
  double sum = 0;
  struct loaded_vm *vms = &g_array_index (build->vms, struct loaded_vm, 0);
  for (uint32_t i = zone->first_vm; i < zone->first_vm + zone->count; i++)
    sum += vms[i].load;
  double mean = sum / zone->count;
  for (uint32_t i = zone->first_vm; i < zone->first_vm + zone->count; i++)
    {
      if (vms[i].load > VERY_BUSY_LOAD_RATIO * mean)
        vms[i].vm.weight = 0.25;
      else if (vms[i].load > BUSY_LOAD_RATIO * mean)
        vms[i].vm.weight = 0.5;
    }
}

static void
collect_vms (struct build *build)
{
  struct cye_view *view = build->view;
  cyt_soft_state_each (build->soft, "entry/", add_entry, build);
  g_array_sort (build->vms, compare_vms);
  for (guint i = 0; i < build->vms->len; i++)
    {
      const struct loaded_vm *loaded
          = &g_array_index (build->vms, struct loaded_vm, i);
      struct cye_zone_view *zone = &view->zones[loaded->zone];
      if (zone->count == 0)
        zone->first_vm = i;
      zone->count++;
    }
  for (uint32_t z = 0; z < view->zone_count; z++)
    if (view->zones[z].count > 0)
      reduce_busy_weights (build, &view->zones[z]);
  view->vms = g_new (struct cye_vm, build->vms->len + 1);
  for (guint i = 0; i < build->vms->len; i++)
    view->vms[i] = g_array_index (build->vms, struct loaded_vm, i).vm;
}

static void
init_zones (struct build *build)
{
  const struct cye_model *model = build->model;
  const struct cyp_topology *topology = &model->topology;
  for (uint32_t z = 0; z < build->view->zone_count; z++)
    {
      const char *name = cyp_names_get (&model->catalog.zones, z);
      struct cye_zone_view *zone = &build->view->zones[z];
      zone->region = topology->zone_region[z];
      zone->drained = topology->zone_drained[z];
      zone->has_planned_work = topology->zone_drained[z];
      zone->seed = XXH3_64bits (name, strlen (name));
    }
}

/* Marks the zones to which most probes of the local zone are lost.  */
static void
mark_unreachable (struct build *build)
{
  const struct cyp_names *zones = &build->model->catalog.zones;
  const char *local_name = cyp_names_get (zones, build->model->local_zone);
  char *key = g_strconcat ("zone/", local_name, NULL);
  const Cy__Object *object = cyt_soft_state_get (build->soft, key);
  g_free (key);
  if (object == NULL || object->body_case != CY__OBJECT__BODY_ZONE_STATUS)
    return;
  const Cy__ZoneStatus *status = object->zone_status;
  for (size_t i = 0; i < status->n_probes; i++)
    {
      const Cy__Probe *probe = status->probes[i];
      unsigned zone = cyp_names_find (zones, probe->to_zone);
      bool is_lost = probe->sent > 0
                     && probe->lost > UNREACHABLE_LOSS_RATIO * probe->sent;
      if (zone != CYP_NAME_NONE && is_lost)
        build->view->zones[zone].unreachable = true;
    }
}

/* Returns the network distance of ZONE from callers of region ORIGIN in ms; -1
   for the local zone, which comes first for callers of the local region.  */
static double
distance_of (const struct build *build, unsigned origin, unsigned zone)
{
  const struct cyp_topology *topology = &build->model->topology;
  unsigned region = topology->zone_region[zone];
  if (zone == build->model->local_zone && origin == build->model->local_region)
    return -1;
  return topology->link_ms[origin][region];
}

static void
order_zones (struct build *build, unsigned origin, uint16_t *order)
{
  for (uint32_t z = 0; z < build->view->zone_count; z++)
    {
      uint32_t position = z;
      double distance = distance_of (build, origin, z);
      while (position > 0
             && distance_of (build, origin, order[position - 1]) > distance)
        {
          order[position] = order[position - 1];
          position--;
        }
      order[position] = (uint16_t)z;
    }
}

static bool
add_site (const Cy__Object *object, void *context)
{
  struct build *build = context;
  if (object->body_case != CY__OBJECT__BODY_BLOCKS)
    return true;
  struct cyp_names *regions = &build->model->catalog.regions;
  unsigned site = cyp_names_find (&build->model->sites, object->blocks->site);
  unsigned region = cyp_names_find (regions, object->blocks->region);
  if (site != CYP_NAME_NONE && region != CYP_NAME_NONE)
    build->view->site_region[site] = (uint16_t)region;
  return true;
}

/* Sets TARGET for a service without a plan: equal weights for the nearest
   zones that have entry VMs.  These are the local zone for callers of the
   local region, else the zones of the region ORIGIN, else those of the nearest
   region.  */
static void
set_default_target (const struct build *build, unsigned origin, double *target)
{
  const struct cye_view *view = build->view;
  const uint16_t *order = view->order + (size_t)origin * view->zone_count;
  double nearest = -2;
  unsigned count = 0;
  for (uint32_t i = 0; i < view->zone_count; i++)
    {
      const struct cye_zone_view *zone = &view->zones[order[i]];
      if (zone->count == 0 || zone->drained || zone->unreachable)
        continue;
      double distance = distance_of (build, origin, order[i]);
      if (count > 0 && distance > nearest)
        break;
      nearest = distance;
      target[order[i]] = 1;
      count++;
    }
  for (uint32_t z = 0; z < view->zone_count && count > 0; z++)
    target[z] /= count;
}

static bool
read_plan_target (const struct build *build, unsigned service, unsigned origin,
                  double *target)
{
  const struct cyp_catalog *catalog = &build->model->catalog;
  char *key
      = g_strconcat ("plan/", cyp_names_get (&catalog->services, service), "/",
                     cyp_names_get (&catalog->regions, origin), NULL);
  const Cy__Object *object = cyt_soft_state_get (build->soft, key);
  g_free (key);
  if (object == NULL || object->body_case != CY__OBJECT__BODY_PLAN)
    return false;
  const Cy__ServicePlan *plan = object->plan;
  for (size_t i = 0; i < plan->n_weights; i++)
    {
      unsigned zone = cyp_names_find (&catalog->zones, plan->weights[i]->zone);
      if (zone != CYP_NAME_NONE && plan->weights[i]->weight > 0)
        target[zone] += plan->weights[i]->weight;
    }
  return true;
}

static struct cye_distribution *
distribution_create (const struct cyp_shift *shift, const double *target,
                     uint32_t zones)
{
  uint16_t count = 0;
  for (uint32_t z = 0; z < zones; z++)
    count += shift->weight[z] > 0;
  struct cye_distribution *distribution = g_malloc0 (
      sizeof *distribution + count * sizeof distribution->shares[0]);
  for (uint32_t z = 0; z < zones; z++)
    {
      if (target[z] < shift->weight[z] - CYP_WEIGHT_MIN)
        distribution->in_transition = true;
      if (shift->weight[z] <= 0)
        continue;
      distribution->shares[distribution->count].zone = (uint16_t)z;
      distribution->shares[distribution->count].weight
          = (float)shift->weight[z];
      distribution->count++;
    }
  return distribution;
}

static struct cye_distribution *
distribution_build (struct build *build, unsigned service, unsigned origin)
{
  struct cye_model *model = build->model;
  uint32_t zones = build->view->zone_count;
  double target[CYP_ZONES_MAX] = { 0 };
  bool is_empty[CYP_ZONES_MAX] = { false };
  bool has_vms = false;
  for (uint32_t z = 0; z < zones; z++)
    {
      is_empty[z] = build->view->zones[z].count == 0;
      has_vms = has_vms || !is_empty[z];
    }
  if (!read_plan_target (build, service, origin, target))
    set_default_target (build, origin, target);
  struct cyp_shift **shift = &model->shifts[service][origin];
  if (*shift == NULL)
    *shift = g_new0 (struct cyp_shift, 1);
  if (!(*shift)->started && has_vms)
    cyp_shift_start (*shift, target, zones);
  if ((*shift)->started)
    cyp_shift_step (*shift, target, is_empty, zones,
                    &model->topology.cap[service], build->now);
  return distribution_create (*shift, target, zones);
}

static void
build_distributions (struct build *build)
{
  struct cye_view *view = build->view;
  const struct cye_model *model = build->model;
  size_t count = (size_t)view->service_count * view->region_count;
  view->distributions = g_new0 (struct cye_distribution *, count + 1);
  for (uint32_t s = 0; s < view->service_count; s++)
    {
      const char *name = cyp_names_get (&model->catalog.services, s);
      if (model->topology.service_declared[s])
        g_hash_table_insert (view->services, g_strdup (name),
                             GUINT_TO_POINTER (s + 1));
      for (uint32_t r = 0; r < view->region_count; r++)
        view->distributions[s * view->region_count + r]
            = distribution_build (build, s, r);
    }
}

static struct cye_view *
view_create (const struct cye_model *model)
{
  const struct cyp_topology *topology = &model->topology;
  struct cye_view *view = g_new0 (struct cye_view, 1);
  view->ttl_ms = topology->lookup_ttl_ms;
  view->local_zone = (uint16_t)model->local_zone;
  view->local_region = (uint16_t)model->local_region;
  view->zone_count = topology->zones;
  view->region_count = topology->regions;
  view->service_count = topology->services;
  view->site_count = cyp_names_count (&model->sites);
  view->zones = g_new0 (struct cye_zone_view, view->zone_count);
  view->order
      = g_new0 (uint16_t, (size_t)view->zone_count * view->region_count);
  view->site_region = g_new0 (uint16_t, view->site_count + 1);
  view->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return view;
}

struct cye_view *
cye_model_build (struct cye_model *model, const struct cys_state *state,
                 const struct cyt_soft_state *soft, cy_time_ns now)
{
  struct build build
      = { .model = model, .state = state, .soft = soft, .now = now };
  cyp_topology_read (&model->topology, &model->catalog, state);
  if (!model->topology.zone_declared[model->local_zone])
    model->topology.zone_region[model->local_zone]
        = (uint16_t)model->local_region;
  build.view = view_create (model);
  build.vms = g_array_new (FALSE, FALSE, sizeof (struct loaded_vm));
  init_zones (&build);
  collect_vms (&build);
  mark_unreachable (&build);
  cys_state_each (state, "blocks/", add_site, &build);
  for (uint32_t r = 0; r < build.view->region_count; r++)
    order_zones (&build, r,
                 build.view->order + (size_t)r * build.view->zone_count);
  build_distributions (&build);
  g_array_unref (build.vms);
  return build.view;
}
