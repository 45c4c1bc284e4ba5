/* Which objects each server has handled recently and probably has cached.  A
   server answers for a cached object in a fraction of the time.  It keeps a
   limited number of objects and evicts the least recently used one; the number
   is estimated from the answer times.  */

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "core/cym_internal.h"

/* Estimated number of objects that a server keeps cached, before the answer
   times show a better one, and the smallest estimate.  */
#define CACHE_SIZE_INITIAL 40.0
#define CACHE_SIZE_MIN     4.0

/* Part of the difference by which the estimate moves after a miss within the
   estimated size, and after a hit beyond it.  */
#define CACHE_SIZE_DOWN_WEIGHT 0.04
#define CACHE_SIZE_UP_WEIGHT   0.20

/* Hash bucket of OBJECT in the index of SERVER.  */
static uint8_t *
bucket_of (struct cym_server *server, uint64_t object)
{
  uint64_t hash = XXH64 (&object, sizeof object, 0);
  return &server->object_index[hash % CYM_OBJECT_BUCKETS];
}

/* Returns the entry of OBJECT, NULL if it is not stored for SERVER.  Runs for
   every server at every request: most calls end at the hash bucket, which is
   empty or holds the object.  */
static const struct cym_object *
find_object (const struct cym_server *server, uint64_t object)
{
  uint8_t bucket = *bucket_of ((struct cym_server *)server, object);
  if (bucket == 0)
    return NULL;
  if (server->objects[bucket - 1].key == object)
    return &server->objects[bucket - 1];
  for (unsigned i = 0; i < CYM_OBJECTS_MAX; i++)
    if (server->objects[i].key == object)
      return &server->objects[i];
  return NULL;
}

uint32_t
cym_affinity_lru_distance (const struct cym_server *server, uint64_t object)
{
  const struct cym_object *found
      = object == 0 ? NULL : find_object (server, object);
  uint32_t newer = 0;
  if (found == NULL)
    return CYM_OBJECTS_MAX;
  for (unsigned i = 0; i < CYM_OBJECTS_MAX; i++)
    newer += server->objects[i].sequence > found->sequence;
  return newer;
}

/* Estimated number of objects that a server of SERVICE keeps cached.  */
static double
cache_size_of (const struct cym_service *service)
{
  return service->cache_size > 0 ? service->cache_size : CACHE_SIZE_INITIAL;
}

bool
cym_is_cached (const struct cym_server *server, uint64_t object)
{
  const struct cym_object *found
      = object == 0 ? NULL : find_object (server, object);
  if (found == NULL)
    return false;
  /* Each object needs at least one request, so the distance is at most the
     difference of the sequence numbers; this avoids computing it.  */
  double cache_size = cache_size_of (server->service);
  return (double)(server->object_sequence - found->sequence) < cache_size
         || cym_affinity_lru_distance (server, object) < cache_size;
}

void
cym_affinity_record (struct cym_server *server, uint64_t object)
{
  struct cym_object *oldest = &server->objects[0];
  if (object == 0)
    return;
  server->object_sequence++;
  for (unsigned i = 0; i < CYM_OBJECTS_MAX; i++)
    {
      struct cym_object *candidate = &server->objects[i];
      if (candidate->key == object)
        {
          candidate->sequence = server->object_sequence;
          return;
        }
      if (candidate->sequence < oldest->sequence)
        oldest = candidate;
    }
  bool replaces = oldest->key != 0;
  oldest->key = object;
  oldest->sequence = server->object_sequence;
  if (!replaces)
    {
      *bucket_of (server, object) = (uint8_t)(oldest - server->objects + 1);
      return;
    }
  memset (server->object_index, 0, sizeof server->object_index);
  for (unsigned i = 0; i < CYM_OBJECTS_MAX; i++)
    if (server->objects[i].key != 0)
      *bucket_of (server, server->objects[i].key) = (uint8_t)(i + 1);
}

void
cym_affinity_update_size (struct cym_server *server,
                          const struct cym_request *request, double answer_ns)
{
  struct cym_service *service = server->service;
  const struct cym_route_stats *stats = request->route_stats;
  double distance = request->lru_distance;
  if (request->affinity == 0 || request->lru_distance >= CYM_OBJECTS_MAX
      || stats->cached_time_ns <= 0 || stats->service_time_ns <= 0
      || stats->cached_time_ns > 0.7 * stats->service_time_ns)
    return;
  bool is_hit = answer_ns < (stats->cached_time_ns + stats->service_time_ns)
                                / 2 * fmax (server->slowdown, 1);
  double cache_size = cache_size_of (service);
  if (is_hit && distance >= cache_size)
    cache_size += (distance - cache_size) * CACHE_SIZE_UP_WEIGHT + 1;
  else if (!is_hit && distance < cache_size)
    cache_size -= (cache_size - distance) * CACHE_SIZE_DOWN_WEIGHT;
  service->cache_size
      = fmin (fmax (cache_size, CACHE_SIZE_MIN), CYM_OBJECTS_MAX);
}

double
cym_affinity_order (const struct cym_server *server, uint64_t object)
{
  uint64_t hash = XXH64 (server->id, sizeof server->id, object);
  return (double)(hash >> 11) * 0x1p-53;
}
