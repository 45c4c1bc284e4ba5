#include "entry/cye_time_split.h"

#include <glib.h>
#include <string.h>

/* Upper bound of the first bucket.  */
#define CYE_HISTOGRAM_FIRST_NS (CY_NS_PER_MS / 8)

/* Sums of one service since the last report.  */
struct service_sums
{
  struct cye_times times;
  uint64_t requests;
  uint64_t connect_failed;
  uint64_t backend_failed;
  uint64_t refused_rate;
  uint64_t refused_room;
  uint64_t caller_left;
  uint64_t own_error;
  uint64_t histogram[CYE_HISTOGRAM_BUCKETS];
};

struct cye_time_split
{
  char *zone;
  GMutex lock;
  GHashTable *services; /* name -> struct service_sums */
  double rate;          /* requests per second in the last reported interval */
};

struct cye_time_split *
cye_time_split_create (const char *zone)
{
  struct cye_time_split *split = g_new0 (struct cye_time_split, 1);
  split->zone = g_strdup (zone);
  g_mutex_init (&split->lock);
  split->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return split;
}

void
cye_time_split_destroy (struct cye_time_split *split)
{
  if (split == NULL)
    return;
  g_hash_table_destroy (split->services);
  g_mutex_clear (&split->lock);
  g_free (split->zone);
  g_free (split);
}

/* ------------------------------------------------------------ counting */

static struct service_sums *
get_sums (struct cye_time_split *split, const char *service)
{
  struct service_sums *sums = g_hash_table_lookup (split->services, service);
  if (sums != NULL)
    return sums;
  sums = g_new0 (struct service_sums, 1);
  g_hash_table_insert (split->services, g_strdup (service), sums);
  return sums;
}

static unsigned
histogram_bucket (cy_time_ns total)
{
  unsigned bucket = 0;
  cy_time_ns bound = CYE_HISTOGRAM_FIRST_NS;
  while (total > bound && bucket < CYE_HISTOGRAM_BUCKETS - 1)
    {
      bound *= 2;
      bucket++;
    }
  return bucket;
}

void
cye_time_split_answered (struct cye_time_split *split, const char *service,
                         const struct cye_times *times)
{
  g_mutex_lock (&split->lock);
  struct service_sums *sums = get_sums (split, service);
  sums->requests++;
  sums->times.caller += times->caller;
  sums->times.waiting += times->waiting;
  sums->times.connect += times->connect;
  sums->times.link += times->link;
  sums->times.backend += times->backend;
  sums->histogram[histogram_bucket (times->total)]++;
  g_mutex_unlock (&split->lock);
}

void
cye_time_split_failed (struct cye_time_split *split, const char *service,
                       cy_result result, int connected)
{
  g_mutex_lock (&split->lock);
  struct service_sums *sums = get_sums (split, service);
  sums->requests++;
  if (result == CY_E_RATE_EXCEEDED || result == CY_E_QUOTA_UNKNOWN)
    sums->refused_rate++;
  else if (result == CY_E_NO_BACKEND || result == CY_E_NO_ROOM
           || result == CY_E_DEADLINE || result == CY_E_QUEUE_FULL)
    sums->refused_room++;
  else if (result == CY_E_BACKEND_FAILED || result == CY_E_TIMEOUT)
    {
      sums->backend_failed += connected ? 1 : 0;
      sums->connect_failed += connected ? 0 : 1;
    }
  else if (result == CY_E_INTERNAL || result == CY_E_STATE_STALE)
    sums->own_error++;
  g_mutex_unlock (&split->lock);
}

void
cye_time_split_caller_left (struct cye_time_split *split, const char *service)
{
  g_mutex_lock (&split->lock);
  get_sums (split, service)->caller_left++;
  g_mutex_unlock (&split->lock);
}

/* ------------------------------------------------------------ reporting */

static double
to_ms (cy_time_ns time)
{
  return (double)time / (double)CY_NS_PER_MS;
}

static void
copy_sums (Cy__Split *out, const struct service_sums *sums)
{
  out->requests = sums->requests;
  out->caller_ms = to_ms (sums->times.caller);
  out->waiting_ms = to_ms (sums->times.waiting);
  out->connect_ms = to_ms (sums->times.connect);
  out->link_ms = to_ms (sums->times.link);
  out->backend_ms = to_ms (sums->times.backend);
  out->connect_failed = sums->connect_failed;
  out->backend_failed = sums->backend_failed;
  out->refused_rate = sums->refused_rate;
  out->refused_room = sums->refused_room;
  out->caller_left = sums->caller_left;
  out->own_error = sums->own_error;
  out->n_total_histogram = CYE_HISTOGRAM_BUCKETS;
  out->total_histogram = g_memdup2 (sums->histogram, sizeof sums->histogram);
}

static Cy__ServiceLoad *
create_load (const char *service, const struct service_sums *sums,
             double seconds, struct cye_slots *slots)
{
  struct cye_service_load capacity;
  Cy__ServiceLoad *load = g_new (Cy__ServiceLoad, 1);
  cy__service_load__init (load);
  cye_slots_get_load (slots, service, &capacity);
  load->service = g_strdup (service);
  load->backends = capacity.backends;
  load->slots = capacity.slots;
  load->in_flight = capacity.in_flight + capacity.waiting;
  load->requests_per_s = (double)sums->requests / seconds;
  load->refused_per_s = (double)sums->refused_room / seconds;
  load->service_time_ms = capacity.answer_ms;
  return load;
}

Cy__Object *
cye_time_split_collect (struct cye_time_split *split, const char *vm,
                        int64_t unix_ms, uint32_t interval_ms,
                        struct cye_slots *slots)
{
  double seconds = interval_ms / 1000.0;
  uint64_t requests = 0;
  Cy__Object *object = g_new (Cy__Object, 1);
  Cy__ZoneStatus *status = g_new (Cy__ZoneStatus, 1);
  cy__object__init (object);
  cy__zone_status__init (status);
  object->key = g_strdup_printf ("split/%s", vm);
  object->body_case = CY__OBJECT__BODY_ZONE_STATUS;
  object->zone_status = status;
  status->zone = g_strdup (split->zone);
  status->vm = g_strdup (vm);
  g_mutex_lock (&split->lock);
  guint count = g_hash_table_size (split->services);
  status->services = g_new0 (Cy__ServiceLoad *, count + 1);
  status->splits = g_new0 (Cy__Split *, count + 1);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, split->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct service_sums *sums = value;
      Cy__Split *out = g_new (Cy__Split, 1);
      cy__split__init (out);
      out->service = g_strdup (name);
      out->zone = g_strdup (split->zone);
      out->unix_ms = unix_ms;
      out->interval_ms = interval_ms;
      copy_sums (out, sums);
      status->splits[status->n_splits++] = out;
      status->services[status->n_services++]
          = create_load (name, sums, seconds, slots);
      requests += sums->requests;
      memset (sums, 0, sizeof *sums);
    }
  split->rate = (double)requests / seconds;
  g_mutex_unlock (&split->lock);
  return object;
}

double
cye_time_split_rate (const struct cye_time_split *split)
{
  return split->rate;
}
