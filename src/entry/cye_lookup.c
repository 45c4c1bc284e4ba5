#include "entry/cye_lookup.h"

#include <ck_pr.h>

#include "entry/cye_blocks.h"
#include "entry/cye_epoch.h"
#include "entry/cye_view.h"

/* Bits of an address that the callers of one client block have in common.  */
#define BLOCK_BITS_V4 24
#define BLOCK_BITS_V6 48

struct cye_lookup
{
  const struct cy_clock *clock;
  struct cye_epoch *epoch;
  struct cye_model *model;
  struct cyl_table *blocks;        /* client block to site */
  struct cye_blocks *block_loader; /* updates the table */
  struct cye_view *view;           /* in force, NULL before the first update */
};

static void
retire_block_memory (void *memory, void *context)
{
  struct cye_lookup *lookup = context;
  cye_epoch_retire (lookup->epoch, memory, g_free);
}

static unsigned
site_number (void *context, const char *site)
{
  return cye_model_site_number (context, site);
}

static void
release_view (void *memory)
{
  cye_view_destroy (memory);
}

struct cye_lookup *
cye_lookup_create (const char *local_zone, const char *local_region,
                   const struct cy_clock *clock,
                   const struct cy_random *random)
{
  (void)random;
  struct cye_lookup *lookup = g_new0 (struct cye_lookup, 1);
  lookup->clock = clock;
  lookup->epoch = cye_epoch_create ();
  lookup->model = cye_model_create (local_zone, local_region);
  struct cyl_reclaim reclaim = { retire_block_memory, lookup };
  lookup->blocks = cyl_table_create (&reclaim);
  lookup->block_loader
      = cye_blocks_create (lookup->blocks, site_number, lookup->model);
  return lookup;
}

void
cye_lookup_destroy (struct cye_lookup *lookup)
{
  if (lookup == NULL)
    return;
  cye_view_destroy (lookup->view);
  cye_blocks_destroy (lookup->block_loader);
  cyl_table_destroy (lookup->blocks);
  cye_epoch_destroy (lookup->epoch);
  cye_model_destroy (lookup->model);
  g_free (lookup);
}

void
cye_lookup_update (struct cye_lookup *lookup, const struct cys_state *state,
                   const struct cyt_soft_state *soft)
{
  cye_blocks_update (lookup->block_loader, state);
  struct cye_view *view = cye_model_build (lookup->model, state, soft,
                                           cy_clock_now (lookup->clock));
  struct cye_view *old = lookup->view;
  ck_pr_fence_store ();
  ck_pr_store_ptr (&lookup->view, view);
  if (old != NULL)
    cye_epoch_retire (lookup->epoch, old, release_view);
  cye_epoch_poll (lookup->epoch);
}

/* Returns the hash of the client block of ADDRESS: all callers of one block
   get the same zone and VMs.  */
static uint64_t
block_seed (const struct cyl_address *address)
{
  unsigned bits = address->v6 ? BLOCK_BITS_V6 : BLOCK_BITS_V4;
  uint64_t block = address->high >> (64 - bits);
  return (block + 1) * UINT64_C (0x9e3779b97f4a7c15);
}

cy_result
cye_lookup_answer (struct cye_lookup *lookup, const char *client,
                   const char *service, struct cye_answer *answer)
{
  struct cyl_address address = { 0, 0, false };
  bool known = cyl_address_parse (client, &address) == CY_OK;
  struct cye_reader *reader = cye_epoch_enter (lookup->epoch);
  const struct cye_view *view = ck_pr_load_ptr (&lookup->view);
  answer->count = 0;
  cy_result result = CY_E_NO_ROOM;
  if (view != NULL)
    {
      uint16_t site = CYL_SITE_NONE;
      if (known)
        site = cyl_table_find (lookup->blocks, &address);
      unsigned origin = view->local_region;
      if (site < view->site_count)
        origin = view->site_region[site];
      result = cye_view_choose (view, service, origin, block_seed (&address),
                                answer);
    }
  cye_epoch_leave (reader);
  return result;
}

void
cye_lookup_other_zones (struct cye_lookup *lookup, const char *service,
                        struct cye_answer *answer)
{
  (void)service;
  answer->count = 0;
  answer->ttl_ms = CYE_TTL_SHORT_MS;
  struct cye_reader *reader = cye_epoch_enter (lookup->epoch);
  const struct cye_view *view = ck_pr_load_ptr (&lookup->view);
  if (view != NULL)
    cye_view_other_zones (view, answer);
  cye_epoch_leave (reader);
}
