#include "control/cyx_planner.h"

#include <glib.h>

#include "control/cyx_steer.h"

struct cyx_planner *
cyx_planner_create (const struct cy_clock *clock)
{
  struct cyx_planner *planner = g_new0 (struct cyx_planner, 1);
  planner->clock = clock;
  cyp_catalog_start (&planner->catalog);
  cyp_topology_clear (&planner->topology);
  planner->plan = cyp_plan_create ();
  planner->series = cyv_series_create ();
  return planner;
}

void
cyx_planner_destroy (struct cyx_planner *planner)
{
  if (planner == NULL)
    return;
  cyp_catalog_clear (&planner->catalog);
  cyp_plan_destroy (planner->plan);
  cyv_series_destroy (planner->series);
  g_free (planner);
}

void
cyx_planner_observe (struct cyx_planner *planner,
                     const struct cys_state *state,
                     const struct cyt_soft_state *soft)
{
  cyp_topology_read (&planner->topology, &planner->catalog, state);
  cyx_measure_apply (planner, soft);
}

/* Adopts a plan object that another leader published.  */
static bool
adopt_plan (const Cy__Object *object, void *context)
{
  struct cyx_planner *planner = context;
  if (object->body_case != CY__OBJECT__BODY_PLAN)
    return true;
  const Cy__ServicePlan *from = object->plan;
  unsigned service = cyp_names_add (&planner->catalog.services, from->service);
  unsigned origin = cyp_names_add (&planner->catalog.regions, from->origin);
  if (service == CYP_NAME_NONE || origin == CYP_NAME_NONE
      || from->number <= planner->published_number[service][origin])
    return true;
  double weights[CYP_ZONES_MAX] = { 0 };
  for (size_t i = 0; i < from->n_weights; i++)
    {
      unsigned zone
          = cyp_names_add (&planner->catalog.zones, from->weights[i]->zone);
      if (zone != CYP_NAME_NONE)
        weights[zone] = from->weights[i]->weight;
    }
  cyp_plan_adopt (planner->plan, service, origin, weights, CYP_ZONES_MAX,
                  &planner->topology.cap[service],
                  cy_clock_now (planner->clock));
  planner->published_number[service][origin] = from->number;
  planner->last_number = MAX (planner->last_number, from->number);
  return true;
}

static void
publish_plan (struct cyx_planner *planner, struct cyt_soft_state *soft,
              unsigned service, unsigned origin, const double *weights)
{
  Cy__Weight entries[CYP_ZONES_MAX];
  Cy__Weight *pointers[CYP_ZONES_MAX];
  Cy__ServicePlan plan = CY__SERVICE_PLAN__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  plan.service = (char *)cyp_names_get (&planner->catalog.services, service);
  plan.origin = (char *)cyp_names_get (&planner->catalog.regions, origin);
  plan.weights = pointers;
  for (unsigned z = 0; z < planner->topology.zones; z++)
    {
      if (weights[z] <= 0)
        continue;
      Cy__Weight *entry = &entries[plan.n_weights];
      cy__weight__init (entry);
      entry->zone = (char *)cyp_names_get (&planner->catalog.zones, z);
      entry->weight = weights[z];
      pointers[plan.n_weights++] = entry;
    }
  object.key = g_strconcat ("plan/", plan.service, "/", plan.origin, NULL);
  object.body_case = CY__OBJECT__BODY_PLAN;
  object.plan = &plan;
  const Cy__Object *before = cyt_soft_state_get (soft, object.key);
  plan.number = planner->published_number[service][origin];
  bool same = before != NULL && before->body_case == CY__OBJECT__BODY_PLAN
              && before->plan->n_weights == plan.n_weights;
  for (size_t i = 0; same && i < plan.n_weights; i++)
    same = g_str_equal (before->plan->weights[i]->zone, entries[i].zone)
           && before->plan->weights[i]->weight == entries[i].weight;
  if (!same)
    {
      plan.number = planner->last_number;
      planner->published_number[service][origin] = plan.number;
      cyt_soft_state_put (soft, &object, 0);
    }
  g_free (object.key);
}

static void
publish_plans (struct cyx_planner *planner, struct cyt_soft_state *soft)
{
  /* The time in ms makes the numbers of a later leader higher, also when that
     leader has received no plan of the former one.  */
  uint64_t now_ms = (uint64_t)cy_clock_unix_ms (planner->clock);
  planner->last_number = MAX (planner->last_number + 1, now_ms);
  for (unsigned s = 0; s < planner->topology.services; s++)
    for (unsigned r = 0; r < planner->topology.regions; r++)
      {
        const double *weights = cyp_plan_weights (planner->plan, s, r);
        if (weights != NULL && planner->topology.service_declared[s])
          publish_plan (planner, soft, s, r, weights);
      }
}

void
cyx_planner_plan (struct cyx_planner *planner, const struct cys_state *state,
                  struct cyt_soft_state *soft)
{
  cy_time_ns now = cy_clock_now (planner->clock);
  if (planner->first_plan_at == 0)
    planner->first_plan_at = now;
  cyx_planner_observe (planner, state, soft);
  cyt_soft_state_each (soft, "plan/", adopt_plan, planner);
  if (now - planner->first_plan_at < CYX_PLAN_ADOPTION_MS * CY_NS_PER_MS)
    return;
  cyp_topology_read (&planner->topology, &planner->catalog, state);
  cyx_measure_mark_lost (planner);
  cyp_plan_run (planner->plan, &planner->topology, now);
  publish_plans (planner, soft);
}
