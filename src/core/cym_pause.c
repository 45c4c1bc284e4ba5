/* Pauses that servers ask for: a server that turned a request away may want no
   further request of the same entry VM for a time.  */

#include "core/cym_internal.h"

void
cym_pause_set (struct cym_server *server, uint64_t entry_vm, cy_time_ns until,
               cy_time_ns now)
{
  struct cym_pause *pause = NULL;
  struct cym_pause *next = NULL;
  struct cym_pause *held = NULL;
  CK_LIST_FOREACH_SAFE (pause, &server->pauses, entry, next)
  {
    if (pause->entry_vm == entry_vm)
      held = pause;
    else if (pause->until <= now)
      {
        CK_LIST_REMOVE (pause, entry);
        g_free (pause);
      }
  }
  if (held == NULL)
    {
      held = g_new0 (struct cym_pause, 1);
      held->entry_vm = entry_vm;
      CK_LIST_INSERT_HEAD (&server->pauses, held, entry);
    }
  held->until = MAX (held->until, until);
}

cy_time_ns
cym_pause_left (const struct cym_server *server, uint64_t entry_vm,
                cy_time_ns now)
{
  const struct cym_pause *pause = NULL;
  CK_LIST_FOREACH (pause, &server->pauses, entry)
  {
    if (pause->entry_vm == entry_vm)
      return MAX (pause->until - now, 0);
  }
  return 0;
}

void
cym_pause_clear (struct cym_server *server)
{
  struct cym_pause *pause = NULL;
  struct cym_pause *next = NULL;
  CK_LIST_FOREACH_SAFE (pause, &server->pauses, entry, next)
  {
    CK_LIST_REMOVE (pause, entry);
    g_free (pause);
  }
}
