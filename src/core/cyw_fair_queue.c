#include "core/cyw_fair_queue.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Time constant of the measured service rate, ns.  */
#define CYW_RATE_WINDOW_NS CY_NS_PER_S

/* Requests that must have been popped before the rate is used, and that must
   be waiting before a request is refused because of the rate.  */
#define CYW_RATE_SAMPLES 16

/* Stored workspaces above which those without waiting requests are removed. */
#define CYW_FLOWS_IDLE_MAX 1024

TAILQ_HEAD (cyw_items, cyw_item);

/* The waiting requests of one workspace.  */
struct cyw_flow
{
  TAILQ_ENTRY (cyw_flow) entry; /* in the list of active flows */
  struct cyw_items items;
  size_t length;     /* waiting requests */
  double weight;     /* share of the slots, relative to other workspaces */
  double start_tag;  /* virtual time at which the first request may start */
  double finish_tag; /* virtual finish time of the request popped last */
  bool active;       /* requests are waiting */
  char name[CYW_NAME_MAX];
};

TAILQ_HEAD (cyw_flows, cyw_flow);

struct cyw_fair_queue
{
  GHashTable *flows;       /* workspace to struct cyw_flow */
  struct cyw_flows active; /* flows with waiting requests */
  size_t length;           /* waiting requests of all flows */
  double virtual_time;
  /* Measured service rate: number of pops, and ns during which requests waited
     and slots existed; both with exponential decay.  */
  double pops;
  double busy_ns;
  uint64_t popped;         /* pops so far, without decay */
  cy_time_ns updated_at;   /* time of the latest update of the rate */
  double slot_rate_per_ns; /* service rate that the existing slots allow */
  bool stalled;            /* there is no slot at all */
};

struct cyw_fair_queue *
cyw_fair_queue_create (void)
{
  struct cyw_fair_queue *queue = g_new0 (struct cyw_fair_queue, 1);
  queue->flows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  TAILQ_INIT (&queue->active);
  return queue;
}

void
cyw_fair_queue_destroy (struct cyw_fair_queue *queue)
{
  if (queue == NULL)
    return;
  g_hash_table_destroy (queue->flows);
  g_free (queue);
}

size_t
cyw_fair_queue_length (const struct cyw_fair_queue *queue)
{
  return queue->length;
}

/* ------------------------------------------------------------ service rate */

/* Updates the measured service rate to NOW.  Time counts only while requests
   wait and slots exist.  */
static void
update_service_rate (struct cyw_fair_queue *queue, cy_time_ns now)
{
  cy_time_ns elapsed_ns = now - queue->updated_at;
  queue->updated_at = now;
  if (queue->length == 0 || queue->stalled || elapsed_ns <= 0)
    return;
  double decay = exp (-(double)elapsed_ns / (double)CYW_RATE_WINDOW_NS);
  queue->pops *= decay;
  queue->busy_ns = queue->busy_ns * decay + (double)elapsed_ns;
}

/* Service rate in requests/ns, 0 if not known.  */
static double
service_rate_per_ns (const struct cyw_fair_queue *queue)
{
  if (queue->popped < CYW_RATE_SAMPLES || queue->busy_ns <= 0)
    return 0;
  return MAX (queue->pops / queue->busy_ns, queue->slot_rate_per_ns);
}

void
cyw_fair_queue_set_rate (struct cyw_fair_queue *queue, double per_s)
{
  queue->slot_rate_per_ns = per_s / (double)CY_NS_PER_S;
}

void
cyw_fair_queue_set_stalled (struct cyw_fair_queue *queue, bool stalled,
                            cy_time_ns now)
{
  update_service_rate (queue, now);
  queue->stalled = stalled;
}

cy_time_ns
cyw_fair_queue_estimate (const struct cyw_fair_queue *queue,
                         const char *workspace, double weight)
{
  double rate_per_ns = service_rate_per_ns (queue);
  if (rate_per_ns <= 0 || queue->length < CYW_RATE_SAMPLES)
    return 0;
  const struct cyw_flow *own_flow
      = g_hash_table_lookup (queue->flows, workspace);
  double own_length = own_flow == NULL ? 0 : (double)own_flow->length;
  double ahead = own_length;
  const struct cyw_flow *flow = NULL;
  TAILQ_FOREACH (flow, &queue->active, entry)
  {
    if (flow == own_flow)
      continue;
    double served_before = (own_length + 1) * flow->weight / weight;
    ahead += MIN ((double)flow->length, served_before);
  }
  return (cy_time_ns)(ahead / rate_per_ns);
}

/* ------------------------------------------------------------ flows */

static gboolean
is_idle (gpointer name, gpointer value, gpointer unused)
{
  (void)name;
  (void)unused;
  return !((struct cyw_flow *)value)->active;
}

static struct cyw_flow *
flow_get (struct cyw_fair_queue *queue, const char *workspace)
{
  struct cyw_flow *flow = g_hash_table_lookup (queue->flows, workspace);
  if (flow != NULL)
    return flow;
  if (g_hash_table_size (queue->flows) >= CYW_FLOWS_IDLE_MAX)
    g_hash_table_foreach_remove (queue->flows, is_idle, NULL);
  flow = g_new0 (struct cyw_flow, 1);
  TAILQ_INIT (&flow->items);
  g_strlcpy (flow->name, workspace, sizeof flow->name);
  g_hash_table_insert (queue->flows, flow->name, flow);
  return flow;
}

static void
flow_activate (struct cyw_fair_queue *queue, struct cyw_flow *flow)
{
  if (flow->active)
    return;
  flow->active = true;
  flow->start_tag = MAX (queue->virtual_time, flow->finish_tag);
  TAILQ_INSERT_TAIL (&queue->active, flow, entry);
}

static void
flow_unlink (struct cyw_fair_queue *queue, struct cyw_flow *flow,
             struct cyw_item *item)
{
  TAILQ_REMOVE (&flow->items, item, entry);
  item->flow = NULL;
  flow->length--;
  queue->length--;
  if (flow->length > 0)
    return;
  flow->active = false;
  TAILQ_REMOVE (&queue->active, flow, entry);
}

/* ------------------------------------------------------------ waiting */

cy_result
cyw_fair_queue_push (struct cyw_fair_queue *queue, struct cyw_item *item,
                     const char *workspace, double weight, cy_time_ns now,
                     cy_time_ns deadline, cy_time_ns service_ns)
{
  update_service_rate (queue, now);
  struct cyw_flow *flow = flow_get (queue, workspace);
  if (flow->length >= CYW_WORKSPACE_MAX)
    return CY_E_QUEUE_FULL;
  if (now + cyw_fair_queue_estimate (queue, workspace, weight) + service_ns
      >= deadline)
    return CY_E_DEADLINE;
  flow->weight = weight;
  flow_activate (queue, flow);
  item->flow = flow;
  item->queued_at = now;
  item->deadline = deadline;
  TAILQ_INSERT_TAIL (&flow->items, item, entry);
  flow->length++;
  queue->length++;
  return CY_OK;
}

static struct cyw_flow *
flow_next (const struct cyw_fair_queue *queue)
{
  struct cyw_flow *best = NULL;
  struct cyw_flow *flow = NULL;
  TAILQ_FOREACH (flow, &queue->active, entry)
  {
    if (best == NULL || flow->start_tag < best->start_tag)
      best = flow;
  }
  return best;
}

struct cyw_item *
cyw_fair_queue_pop (struct cyw_fair_queue *queue, cy_time_ns now)
{
  struct cyw_flow *flow = flow_next (queue);
  if (flow == NULL)
    return NULL;
  update_service_rate (queue, now);
  struct cyw_item *item = TAILQ_FIRST (&flow->items);
  flow_unlink (queue, flow, item);
  queue->virtual_time = flow->start_tag;
  flow->finish_tag = flow->start_tag + 1 / flow->weight;
  flow->start_tag = flow->finish_tag;
  queue->pops += 1;
  queue->popped++;
  return item;
}

static struct cyw_item *
flow_expired (const struct cyw_flow *flow, cy_time_ns now)
{
  struct cyw_item *item = NULL;
  TAILQ_FOREACH (item, &flow->items, entry)
  {
    if (item->deadline <= now)
      return item;
  }
  return NULL;
}

struct cyw_item *
cyw_fair_queue_expire (struct cyw_fair_queue *queue, cy_time_ns now)
{
  struct cyw_flow *flow = NULL;
  TAILQ_FOREACH (flow, &queue->active, entry)
  {
    struct cyw_item *item = flow_expired (flow, now);
    if (item != NULL)
      {
        cyw_fair_queue_remove (queue, item);
        return item;
      }
  }
  return NULL;
}

void
cyw_fair_queue_remove (struct cyw_fair_queue *queue, struct cyw_item *item)
{
  flow_unlink (queue, item->flow, item);
}
