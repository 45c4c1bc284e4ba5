/* What regions want of each other's servers, and how fast requests may move
   between them.  */

#include <math.h>

#include "core/cym_internal.h"

#define MEASURE_S   1.0 /* s over which wanted slots are averaged */
#define WORK_MS     100 /* ms that an unknown request is taken to work */
#define SPILL_S     1.0 /* s over which the share that runs elsewhere is taken */
#define SPILL_STEP  0.05 /* by which that share may grow in that time */
#define SPILL_BURST 4.0  /* requests that may move at once */
#define SPILL_IDLE_S                                                          \
  2.0 /* s without a request after which no share is known; the span over     \
         which a shift is judged */
#define SPILL_FREE_MS 1000 /* ms from then on in which the share forms */

/* ------------------------------------------------------------ demand */

static void
move_average (double *average, double value, double kept)
{
  *average = *average * kept + value * (1 - kept);
}

void
cym_demand_measure (struct cym_service *service, cy_time_ns now)
{
  double passed = (double)(now - service->measured) / (double)CY_NS_PER_S;
  if (passed <= 0)
    return;
  const struct cym_server *server = NULL;
  double kept = exp (-passed / MEASURE_S);
  double in_flight = 0;
  bool stays = false;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, service->homes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cym_home *home = value;
      home->lent = 0;
      home->others = 0;
    }
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    in_flight += server->in_flight;
    stays = stays || (server->own && cym_is_usable (server, now));
    if (server->own)
      continue;
    server->home->lent += server->listed ? server->lent : 0;
    server->home->others += server->in_flight;
  }
  g_hash_table_iter_init (&iter, service->homes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cym_home *home = value;
      home->others -= MIN (home->others, home->in_flight);
      in_flight -= home->in_flight;
      move_average (&home->busy, home->in_flight, kept);
      home->refused *= kept;
    }
  move_average (&service->busy, in_flight, kept);
  service->refused *= kept;
  service->stays = stays;
  service->measured = now;
}

struct cym_home *
cym_home_get (struct cym_service *service, const char *region)
{
  struct cym_home *home = g_hash_table_lookup (service->homes, region);
  if (home == NULL)
    {
      home = g_new0 (struct cym_home, 1);
      g_hash_table_insert (service->homes, g_strdup (region), home);
    }
  return home;
}

static struct cym_home *
home_of (struct cym_request *ask)
{
  return cym_home_get (ask->at, ask->homes[0]);
}

void
cym_demand_refused (struct cym_request *ask)
{
  double work = ask->class_of->work_ns;
  if (work <= 0)
    work = ask->at->work_ns > 0 ? ask->at->work_ns : WORK_MS * CY_NS_PER_MS;
  double slots = work / (double)CY_NS_PER_S / MEASURE_S;
  if (ask->away)
    home_of (ask)->refused += slots;
  else
    ask->at->refused += slots;
}

void
cym_demand_away (struct cym_request *ask, int change)
{
  home_of (ask)->in_flight += (uint32_t)change;
}

/* ------------------------------------------------------------ spill */

/* True when HOME lends more than the requests want that may run only there and
   than the others have of it.  */
static bool
has_spare (const struct cym_home *home)
{
  double wanted = home->busy + home->refused;
  return home->others + 1 <= home->lent - fmin (wanted, home->lent);
}

bool
cym_spill_may (const struct cym_match *match, const struct cym_request *ask,
               const struct cym_server *server, cy_time_ns now)
{
  if (!ask->away && !has_spare (server->home))
    return false;
  /* Without a server in the own region nothing shifts: it all has to go.  Nor
     does anything while there is no share yet that could change.  */
  return ask->away || !ask->at->stays || match->spill_tokens >= 1
         || now - match->spill_begun < SPILL_FREE_MS * CY_NS_PER_MS;
}

/* Starts anew: no share is known.  */
static void
spill_begin (struct cym_match *match, cy_time_ns now)
{
  match->spill_begun = now;
  match->spill_at = now;
  match->spilled = 0;
  match->slice_placed = 0;
  match->slice_spilled = 0;
}

/* Takes the slice that ends NOW, after PASSED s, into the share: into the mean
   of all while it forms, into a moving average from then on.  */
static void
end_slice (struct cym_match *match, double passed, cy_time_ns now)
{
  double all = (double)(now - match->spill_begun) / (double)CY_NS_PER_S;
  double kept = all * 1000 < SPILL_FREE_MS ? 1 - passed / all
                                           : exp (-passed / SPILL_S);
  if (match->slice_placed > 0)
    move_average (&match->spilled, match->slice_spilled / match->slice_placed,
                  kept);
  match->slice_placed = 0;
  match->slice_spilled = 0;
  match->spill_at = now;
}

void
cym_spill_note (struct cym_match *match, const struct cym_request *ask,
                bool away, cy_time_ns now)
{
  if (ask->away)
    return;
  double passed = (double)(now - match->spill_at) / (double)CY_NS_PER_S;
  if (passed >= SPILL_IDLE_S)
    spill_begin (match, now);
  else if (passed >= SPILL_S / 20)
    end_slice (match, passed, now);
  match->slice_placed += 1;
  match->slice_spilled += away;
  match->spill_tokens
      = fmin (match->spill_tokens + match->spilled + SPILL_STEP, SPILL_BURST);
  match->spill_tokens = fmax (match->spill_tokens - away, 0);
}
