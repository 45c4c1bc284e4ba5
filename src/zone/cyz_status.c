#include "zone/cyz_status.h"

#include "zone/cyz_internal.h"

/* Sums over the entry VMs and backend servers, for one service.  */
struct service_sum
{
  Cy__ServiceLoad load;
  Cy__Split split;
  double time_weight; /* requests/s, the weights in load.service_time_ms */
  bool has_split;
};

static struct service_sum *
sum_get (GHashTable *sums, const char *service)
{
  struct service_sum *sum = g_hash_table_lookup (sums, service);
  if (sum != NULL)
    return sum;
  sum = g_new0 (struct service_sum, 1);
  cy__service_load__init (&sum->load);
  cy__split__init (&sum->split);
  sum->load.service = (char *)service;
  sum->split.service = (char *)service;
  g_hash_table_insert (sums, (char *)service, sum);
  return sum;
}

static void
sum_free (gpointer data)
{
  struct service_sum *sum = data;
  g_free (sum->split.total_histogram);
  g_free (sum);
}

static bool
add_backend (const Cy__Object *object, void *context)
{
  if (object->body_case != CY__OBJECT__BODY_BACKEND
      || object->backend->draining)
    return true;
  struct service_sum *sum = sum_get (context, object->backend->service);
  sum->load.backends++;
  sum->load.slots += object->backend->slots;
  return true;
}

static void
add_load (struct service_sum *sum, const Cy__ServiceLoad *load)
{
  sum->load.in_flight += load->in_flight;
  sum->load.requests_per_s += load->requests_per_s;
  sum->load.refused_per_s += load->refused_per_s;
  sum->load.service_time_ms += load->service_time_ms * load->requests_per_s;
  sum->time_weight += load->requests_per_s;
}

static void
add_histogram (Cy__Split *sum, const Cy__Split *split)
{
  if (split->n_total_histogram > sum->n_total_histogram)
    {
      size_t count = split->n_total_histogram;
      sum->total_histogram = g_renew (uint64_t, sum->total_histogram, count);
      for (size_t i = sum->n_total_histogram; i < count; i++)
        sum->total_histogram[i] = 0;
      sum->n_total_histogram = count;
    }
  for (size_t i = 0; i < split->n_total_histogram; i++)
    sum->total_histogram[i] += split->total_histogram[i];
}

static void
add_split (struct service_sum *sum, const Cy__Split *split)
{
  Cy__Split *total = &sum->split;
  sum->has_split = true;
  total->interval_ms = MAX (total->interval_ms, split->interval_ms);
  total->unix_ms = MAX (total->unix_ms, split->unix_ms);
  total->requests += split->requests;
  total->caller_ms += split->caller_ms;
  total->waiting_ms += split->waiting_ms;
  total->connect_ms += split->connect_ms;
  total->link_ms += split->link_ms;
  total->backend_ms += split->backend_ms;
  total->connect_failed += split->connect_failed;
  total->backend_failed += split->backend_failed;
  total->refused_rate += split->refused_rate;
  total->refused_room += split->refused_room;
  total->caller_left += split->caller_left;
  total->own_error += split->own_error;
  add_histogram (total, split);
}

static bool
add_entry_split (const Cy__Object *object, void *context)
{
  if (object->body_case != CY__OBJECT__BODY_ZONE_STATUS)
    return true;
  const Cy__ZoneStatus *status = object->zone_status;
  for (size_t i = 0; i < status->n_services; i++)
    add_load (sum_get (context, status->services[i]->service),
              status->services[i]);
  for (size_t i = 0; i < status->n_splits; i++)
    add_split (sum_get (context, status->splits[i]->service),
               status->splits[i]);
  return true;
}

/* Stores pointers to the sums in STATUS, ordered by service name.  */
static void
write_services (struct cyz_zone *zone, GHashTable *sums,
                Cy__ZoneStatus *status)
{
  GList *names
      = g_list_sort (g_hash_table_get_keys (sums), (GCompareFunc)g_strcmp0);
  guint count = g_list_length (names);
  status->services = g_new0 (Cy__ServiceLoad *, count + 1);
  status->splits = g_new0 (Cy__Split *, count + 1);
  for (GList *name = names; name != NULL; name = name->next)
    {
      struct service_sum *sum = g_hash_table_lookup (sums, name->data);
      if (sum->time_weight > 0)
        sum->load.service_time_ms /= sum->time_weight;
      status->services[status->n_services++] = &sum->load;
      sum->split.zone = (char *)zone->options.identity->zone;
      if (sum->has_split)
        status->splits[status->n_splits++] = &sum->split;
    }
  g_list_free (names);
}

void
cyz_status_update (struct cyz_zone *zone)
{
  GHashTable *sums
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, sum_free);
  cyt_soft_state_each (zone->view, "backend/", add_backend, sums);
  cyt_soft_state_each (zone->splits, "split/", add_entry_split, sums);
  Cy__ZoneStatus status = CY__ZONE_STATUS__INIT;
  status.zone = (char *)zone->options.identity->zone;
  status.region = (char *)zone->options.region;
  status.vm = (char *)zone->options.identity->name;
  status.host = (char *)zone->options.host;
  status.port = cyn_listener_port (zone->listener);
  write_services (zone, sums, &status);
  cyz_probes_take_results (zone->probes, &status);
  Cy__Object object = CY__OBJECT__INIT;
  char *key = g_strconcat ("zone/", status.zone, NULL);
  object.key = key;
  object.body_case = CY__OBJECT__BODY_ZONE_STATUS;
  object.zone_status = &status;
  cyt_soft_state_put (zone->upstream, &object, 0);
  for (size_t i = 0; i < status.n_probes; i++)
    g_free (status.probes[i]);
  g_free (status.probes);
  g_free (status.services);
  g_free (status.splits);
  g_free (key);
  g_hash_table_destroy (sums);
}
