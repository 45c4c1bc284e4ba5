#include "entry/cye_access_view.h"

#include <ck_pr.h>
#include <glib.h>

struct cye_access_view
{
  struct cye_epoch *epoch;
  struct cya_access *access;
};

struct cye_access_view *
cye_access_view_create (void)
{
  struct cye_access_view *current = g_new0 (struct cye_access_view, 1);
  struct cys_state *empty = cys_state_create ();
  current->epoch = cye_epoch_create ();
  current->access = cya_access_create (empty);
  cys_state_destroy (empty);
  return current;
}

void
cye_access_view_destroy (struct cye_access_view *current)
{
  if (current == NULL)
    return;
  cye_epoch_destroy (current->epoch);
  cya_access_destroy (current->access);
  g_free (current);
}

static void
release_access (void *memory)
{
  cya_access_destroy (memory);
}

void
cye_access_view_replace (struct cye_access_view *current,
                         struct cya_access *access)
{
  struct cya_access *old = current->access;
  ck_pr_fence_store ();
  ck_pr_store_ptr (&current->access, access);
  cye_epoch_retire (current->epoch, old, release_access);
  cye_epoch_poll (current->epoch);
}

const struct cya_access *
cye_access_view_enter (struct cye_access_view *current,
                       struct cye_reader **reader)
{
  *reader = cye_epoch_enter (current->epoch);
  return ck_pr_load_ptr (&current->access);
}
