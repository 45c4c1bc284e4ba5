/* Which objects a server has handled lately.  It answers for these in a
   fraction of the time, and keeps only so many, least recently used first
   out.  How many is learned from the times of its answers.  */

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "core/cym_internal.h"

#define KEEPS_FIRST 40.0 /* objects, until answers tell */
#define KEEPS_LEAST 4.0
#define KEEPS_DOWN  0.04 /* of the way down at a wrong guess */
#define KEEPS_UP    0.20 /* of the way up */

static uint8_t *
place_of (struct cym_server *server, uint64_t object)
{
  uint64_t hash = XXH64 (&object, sizeof object, 0);
  return &server->places[hash % CYM_PLACES];
}

/* A placer asks this of every server for every request, so most are told by
   one look: no object of this hash, or the one that was noted last.  */
static const struct cym_object *
find (const struct cym_server *server, uint64_t object)
{
  uint8_t place = *place_of ((struct cym_server *)server, object);
  if (place == 0)
    return NULL;
  if (server->objects[place - 1].key == object)
    return &server->objects[place - 1];
  for (unsigned i = 0; i < CYM_WARM_MAX; i++)
    if (server->objects[i].key == object)
      return &server->objects[i];
  return NULL;
}

uint32_t
cym_warm_rank (const struct cym_server *server, uint64_t object)
{
  const struct cym_object *found = object == 0 ? NULL : find (server, object);
  uint32_t later = 0;
  if (found == NULL)
    return CYM_WARM_MAX;
  for (unsigned i = 0; i < CYM_WARM_MAX; i++)
    later += server->objects[i].turn > found->turn;
  return later;
}

static double
keeps_of (const struct cym_service *service)
{
  return service->keeps > 0 ? service->keeps : KEEPS_FIRST;
}

bool
cym_is_warm (const struct cym_server *server, uint64_t object)
{
  const struct cym_object *found = object == 0 ? NULL : find (server, object);
  if (found == NULL)
    return false;
  /* No more objects came later than requests.  */
  double keeps = keeps_of (server->service);
  return (double)(server->turn - found->turn) < keeps
         || cym_warm_rank (server, object) < keeps;
}

void
cym_warm_note (struct cym_server *server, uint64_t object)
{
  struct cym_object *oldest = &server->objects[0];
  if (object == 0)
    return;
  server->turn++;
  for (unsigned i = 0; i < CYM_WARM_MAX; i++)
    {
      struct cym_object *one = &server->objects[i];
      if (one->key == object)
        {
          one->turn = server->turn;
          return;
        }
      if (one->turn < oldest->turn)
        oldest = one;
    }
  bool forgets = oldest->key != 0;
  oldest->key = object;
  oldest->turn = server->turn;
  if (!forgets)
    {
      *place_of (server, object) = (uint8_t)(oldest - server->objects + 1);
      return;
    }
  memset (server->places, 0, sizeof server->places);
  for (unsigned i = 0; i < CYM_WARM_MAX; i++)
    if (server->objects[i].key != 0)
      *place_of (server, server->objects[i].key) = (uint8_t)(i + 1);
}

void
cym_warm_learn (struct cym_server *server, const struct cym_request *ask,
                double took)
{
  struct cym_service *service = server->service;
  const struct cym_class *class_of = ask->class_of;
  double rank = ask->rank_at;
  if (ask->affinity == 0 || ask->rank_at >= CYM_WARM_MAX
      || class_of->warm_ns <= 0 || class_of->work_ns <= 0
      || class_of->warm_ns > 0.7 * class_of->work_ns)
    return;
  bool fast = took < (class_of->warm_ns + class_of->work_ns) / 2
                         * fmax (server->speed, 1);
  double keeps = keeps_of (service);
  if (fast && rank >= keeps)
    keeps += (rank - keeps) * KEEPS_UP + 1;
  else if (!fast && rank < keeps)
    keeps -= (keeps - rank) * KEEPS_DOWN;
  service->keeps = fmin (fmax (keeps, KEEPS_LEAST), CYM_WARM_MAX);
}

double
cym_warm_order (const struct cym_server *server, uint64_t object)
{
  uint64_t hash = XXH64 (server->id, sizeof server->id, object);
  return (double)(hash >> 11) * 0x1p-53;
}
