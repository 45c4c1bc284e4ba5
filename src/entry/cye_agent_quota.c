/* Admission at the entry VM: tokens from the shares that the zone processes
   gave, requests that wait for one, and the messages that move shares.

   One short lock guards shares and queues; no message is sent under it by an
   HTTP thread.  */

#include <string.h>

#include "base/cyu_metrics.h"
#include "entry/cye_agent_internal.h"

#define WAIT_TICK_MS 10    /* ms between two looks while requests wait */
#define RETRY_MAX_MS 60000 /* ms, longest answer to a caller */
#define RETIRED_MAX  8     /* nodes of ended zone processes kept */

/* What one zone process gave.  */
struct giver
{
  char *name;
  struct cyn_conn *conn; /* NULL: not connected */
  struct cyq_node *node;
  bool leaving;
};

struct waiter
{
  cy_time_ns deadline;
  cye_admitted_fn admitted;
  void *context;
};

/* One declared workspace.  */
struct workspace
{
  double rate;
  double burst;
  GQueue waiters; /* struct waiter */
};

/* A waiter whose verdict is known, called back without the lock.  */
struct verdict
{
  struct waiter *waiter;
  cy_result result;
};

struct cye_quota
{
  struct cye_agent *agent;
  GMutex lock;       /* guards everything below but the timers */
  GPtrArray *givers; /* struct giver */
  struct giver *current;
  GPtrArray *retired;     /* struct cyq_node of earlier incarnations */
  GHashTable *workspaces; /* struct workspace by name */
  uint64_t incarnation;
  guint waiting;
  bool posted;
  struct cyn_timer *timer;
  struct cyu_metric *admitted;
  struct cyu_metric *refused;
};

static cy_time_ns
now_of (const struct cye_quota *quota)
{
  return cy_clock_now (quota->agent->clock);
}

/* ------------------------------------------------------------ tokens */

static bool
take_from (const struct cye_quota *quota, struct cyq_node *node,
           const char *workspace)
{
  if (!cyq_node_take_token (node, workspace, now_of (quota)))
    return false;
  /* The process may have been stopped in between: the lease must not have
     ended meanwhile.  */
  return now_of (quota) < cyq_node_lease_end (node);
}

static bool
take (const struct cye_quota *quota, const char *workspace)
{
  if (quota->current != NULL
      && take_from (quota, quota->current->node, workspace))
    return true;
  for (guint i = 0; i < quota->retired->len; i++)
    if (take_from (quota, g_ptr_array_index (quota->retired, i), workspace))
      return true;
  for (guint i = 0; i < quota->givers->len; i++)
    {
      struct giver *giver = g_ptr_array_index (quota->givers, i);
      if (giver != quota->current && take_from (quota, giver->node, workspace))
        return true;
    }
  return false;
}

static double
held_rate (const struct cye_quota *quota, const char *workspace)
{
  double rate = 0;
  for (guint i = 0; i < quota->givers->len; i++)
    {
      const struct giver *giver = g_ptr_array_index (quota->givers, i);
      rate += (double)cyq_node_held (giver->node, workspace).rate;
    }
  return rate / (double)CYQ_ONE;
}

/* Milliseconds until COUNT requests may have got a token each.  */
static double
expected_ms (const struct cye_quota *quota, const char *name,
             const struct workspace *workspace, guint count)
{
  double rate = held_rate (quota, name);
  if (rate <= 0)
    rate = workspace->rate;
  if (rate <= 0)
    return RETRY_MAX_MS;
  return MIN (1000.0 * count / rate, RETRY_MAX_MS);
}

/* True when the whole rate is in demand and the queue too long for
   DEADLINE.  */
static bool
is_hopeless (const struct cye_quota *quota, const char *name,
             const struct workspace *workspace, cy_time_ns left)
{
  guint length = g_queue_get_length ((GQueue *)&workspace->waiters);
  if (left <= 0 || length >= CYE_WAITERS_MAX)
    return true;
  if (quota->current == NULL
      || !cyq_node_is_exhausted (quota->current->node, name))
    return false;
  return expected_ms (quota, name, workspace, length + 1)
         > (double)left / CY_NS_PER_MS;
}

/* ------------------------------------------------------------ messages */

static void
send_ask (struct giver *giver, Cy__QuotaAsk *ask)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_QUOTA_ASK;
  envelope.quota_ask = ask;
  cyn_conn_send (giver->conn, &envelope);
  cy__quota_ask__free_unpacked (ask, NULL);
}

/* Sends what is due.  With the lock, in the loop's thread.  */
static void
send_asks (struct cye_quota *quota)
{
  cy_time_ns now = now_of (quota);
  for (guint i = 0; i < quota->givers->len; i++)
    {
      struct giver *giver = g_ptr_array_index (quota->givers, i);
      if (giver->conn == NULL)
        continue;
      if (giver->leaving)
        cyq_node_return_all (giver->node, now);
      Cy__QuotaAsk *ask = cyq_node_request (giver->node, now);
      if (ask != NULL)
        send_ask (giver, ask);
    }
}

/* ------------------------------------------------------------ waiting */

/* Tells the node of the current giver how many requests wait.  */
static void
note_waiting (struct cye_quota *quota, const char *name,
              const struct workspace *workspace)
{
  if (quota->current != NULL)
    cyq_node_set_waiting (quota->current->node, name,
                          g_queue_get_length ((GQueue *)&workspace->waiters),
                          now_of (quota));
}

static void
settle_workspace (struct cye_quota *quota, const char *name,
                  struct workspace *workspace, GArray *verdicts)
{
  cy_time_ns now = now_of (quota);
  GList *link = workspace->waiters.head;
  bool more = true;
  while (link != NULL)
    {
      struct waiter *waiter = link->data;
      GList *next = link->next;
      struct verdict verdict = { waiter, CY_E_RATE_EXCEEDED };
      bool late = waiter->deadline <= now;
      if (!late)
        more = more && take (quota, name);
      if (!late && more)
        verdict.result = CY_OK;
      if (late || more)
        {
          g_queue_delete_link (&workspace->waiters, link);
          g_array_append_val (verdicts, verdict);
          quota->waiting--;
        }
      link = next;
    }
  note_waiting (quota, name, workspace);
}

static void
call_back (struct cye_quota *quota, GArray *verdicts)
{
  for (guint i = 0; i < verdicts->len; i++)
    {
      struct verdict *verdict = &g_array_index (verdicts, struct verdict, i);
      cyu_metric_add (
          verdict->result == CY_OK ? quota->admitted : quota->refused, 1);
      verdict->waiter->admitted (verdict->result, verdict->waiter->context);
      g_free (verdict->waiter);
    }
  g_array_free (verdicts, TRUE);
}

/* Hands out tokens to requests that wait, then sends what is due.  */
static void
settle (struct cye_quota *quota)
{
  GArray *verdicts = g_array_new (FALSE, FALSE, sizeof (struct verdict));
  g_mutex_lock (&quota->lock);
  quota->posted = false;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->workspaces);
  while (quota->waiting > 0 && g_hash_table_iter_next (&iter, &name, &value))
    {
      struct workspace *workspace = value;
      if (!g_queue_is_empty (&workspace->waiters))
        settle_workspace (quota, name, workspace, verdicts);
    }
  send_asks (quota);
  g_mutex_unlock (&quota->lock);
  call_back (quota, verdicts);
}

static void
settle_posted (void *context)
{
  struct cye_quota *quota = context;
  settle (quota);
  cyn_timer_start (quota->timer, WAIT_TICK_MS);
}

enum cye_admission
cye_quota_admit (struct cye_quota *quota, const char *name,
                 cy_time_ns deadline, cye_admitted_fn admitted, void *context)
{
  enum cye_admission verdict = CYE_REFUSED;
  bool post = false;
  g_mutex_lock (&quota->lock);
  struct workspace *workspace = g_hash_table_lookup (quota->workspaces, name);
  if (workspace == NULL || workspace->burst < 1)
    goto unlock;
  if (quota->current != NULL)
    cyq_node_record_arrival (quota->current->node, name);
  if (g_queue_is_empty (&workspace->waiters) && take (quota, name))
    {
      verdict = CYE_ADMITTED;
      goto unlock;
    }
  if (is_hopeless (quota, name, workspace, deadline - now_of (quota)))
    goto unlock;
  struct waiter *waiter = g_new (struct waiter, 1);
  *waiter = (struct waiter){ deadline, admitted, context };
  g_queue_push_tail (&workspace->waiters, waiter);
  quota->waiting++;
  note_waiting (quota, name, workspace);
  post = !quota->posted;
  quota->posted = true;
  verdict = CYE_WAITING;

unlock:
  g_mutex_unlock (&quota->lock);
  if (post)
    cyn_loop_post (quota->agent->options.loop, settle_posted, quota);
  if (verdict != CYE_WAITING)
    cyu_metric_add (verdict == CYE_ADMITTED ? quota->admitted : quota->refused,
                    1);
  return verdict;
}

uint32_t
cye_quota_retry_after_ms (struct cye_quota *quota, const char *name)
{
  double wait_ms = RETRY_MAX_MS;
  g_mutex_lock (&quota->lock);
  const struct workspace *workspace
      = g_hash_table_lookup (quota->workspaces, name);
  if (workspace != NULL)
    {
      guint length = g_queue_get_length ((GQueue *)&workspace->waiters);
      wait_ms = expected_ms (quota, name, workspace, length + 1);
    }
  g_mutex_unlock (&quota->lock);
  return (uint32_t)MAX (wait_ms, 1);
}

/* ------------------------------------------------------------ givers */

static struct cyq_node *
node_create (struct cye_quota *quota)
{
  struct cyq_options options = { .incarnation = ++quota->incarnation };
  return cyq_node_create (&options);
}

static struct giver *
giver_of (const struct cye_quota *quota, const struct cyn_conn *conn)
{
  for (guint i = 0; i < quota->givers->len; i++)
    {
      struct giver *giver = g_ptr_array_index (quota->givers, i);
      if (giver->conn == conn)
        return giver;
    }
  return NULL;
}

static void
giver_free (gpointer data)
{
  struct giver *giver = data;
  cyq_node_destroy (giver->node);
  g_free (giver->name);
  g_free (giver);
}

void
cye_quota_open (struct cye_quota *quota, struct cyn_conn *conn)
{
  const char *name = cyn_conn_peer (conn)->name;
  struct giver *found = NULL;
  g_mutex_lock (&quota->lock);
  for (guint i = 0; i < quota->givers->len; i++)
    {
      struct giver *giver = g_ptr_array_index (quota->givers, i);
      if (strcmp (giver->name, name) == 0)
        found = giver;
    }
  if (found == NULL)
    {
      found = g_new0 (struct giver, 1);
      found->name = g_strdup (name);
      found->node = node_create (quota);
      g_ptr_array_add (quota->givers, found);
    }
  found->conn = conn;
  found->leaving = false;
  g_mutex_unlock (&quota->lock);
}

void
cye_quota_close (struct cye_quota *quota, struct cyn_conn *conn)
{
  g_mutex_lock (&quota->lock);
  struct giver *giver = giver_of (quota, conn);
  if (giver != NULL)
    giver->conn = NULL;
  g_mutex_unlock (&quota->lock);
}

void
cye_quota_current (struct cye_quota *quota, struct cyn_conn *conn)
{
  g_mutex_lock (&quota->lock);
  if (conn != NULL)
    quota->current = giver_of (quota, conn);
  g_mutex_unlock (&quota->lock);
  settle (quota);
}

void
cye_quota_leave (struct cye_quota *quota, struct cyn_conn *conn)
{
  g_mutex_lock (&quota->lock);
  struct giver *giver = giver_of (quota, conn);
  if (giver != NULL)
    giver->leaving = true;
  g_mutex_unlock (&quota->lock);
  settle (quota);
}

/* Keeps what GIVER's earlier incarnation gave until its lease ends and starts
   anew with the one that answers now.  */
static void
giver_restarted (struct cye_quota *quota, struct giver *giver)
{
  g_ptr_array_add (quota->retired, giver->node);
  if (quota->retired->len > RETIRED_MAX)
    g_ptr_array_remove_index (quota->retired, 0);
  giver->node = node_create (quota);
}

void
cye_quota_answer (struct cye_quota *quota, struct cyn_conn *conn,
                  const Cy__QuotaAnswer *answer)
{
  g_mutex_lock (&quota->lock);
  struct giver *giver = giver_of (quota, conn);
  if (giver != NULL
      && cyq_node_receive_answer (giver->node, answer, now_of (quota))
             == CY_E_LEASE_UNKNOWN)
    giver_restarted (quota, giver);
  g_mutex_unlock (&quota->lock);
  settle (quota);
}

/* ------------------------------------------------------------ workspaces */

static bool
declare (const Cy__Object *object, void *context)
{
  GHashTable *workspaces = context;
  if (object->body_case != CY__OBJECT__BODY_WORKSPACE)
    return true;
  const Cy__Workspace *declared = object->workspace;
  struct workspace *workspace
      = g_hash_table_lookup (workspaces, declared->name);
  if (workspace == NULL)
    {
      workspace = g_new0 (struct workspace, 1);
      g_queue_init (&workspace->waiters);
      g_hash_table_insert (workspaces, g_strdup (declared->name), workspace);
    }
  workspace->rate = declared->rate;
  workspace->burst = declared->burst;
  return true;
}

void
cye_quota_declare (struct cye_quota *quota, const struct cys_state *state)
{
  g_mutex_lock (&quota->lock);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->workspaces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct workspace *)value)->burst = 0; /* undeclared: refused */
  cys_state_each (state, "workspace/", declare, quota->workspaces);
  g_mutex_unlock (&quota->lock);
}

/* ------------------------------------------------------------ time */

static void
tick (void *context)
{
  struct cye_quota *quota = context;
  g_mutex_lock (&quota->lock);
  cy_time_ns now = now_of (quota);
  for (guint i = 0; i < quota->givers->len; i++)
    cyq_node_tick (
        ((struct giver *)g_ptr_array_index (quota->givers, i))->node, now);
  for (guint i = quota->retired->len; i > 0; i--)
    {
      struct cyq_node *node = g_ptr_array_index (quota->retired, i - 1);
      cyq_node_tick (node, now);
      if (cyq_node_lease_end (node) == 0)
        g_ptr_array_remove_index (quota->retired, i - 1);
    }
  bool waits = quota->waiting > 0;
  g_mutex_unlock (&quota->lock);
  settle (quota);
  cyn_timer_start (quota->timer, waits ? WAIT_TICK_MS : CYQ_TICK_MS);
}

static void
workspace_free (gpointer data)
{
  struct workspace *workspace = data;
  g_queue_clear_full (&workspace->waiters, g_free);
  g_free (workspace);
}

struct cye_quota *
cye_quota_create (struct cye_agent *agent)
{
  struct cye_quota *quota = g_new0 (struct cye_quota, 1);
  quota->agent = agent;
  g_mutex_init (&quota->lock);
  quota->givers = g_ptr_array_new_with_free_func (giver_free);
  quota->retired
      = g_ptr_array_new_with_free_func ((GDestroyNotify)cyq_node_destroy);
  quota->workspaces = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             workspace_free);
  quota->incarnation = agent->options.identity->incarnation << 16;
  quota->admitted
      = cyu_counter ("cy_quota_requests_total", "verdict=\"admitted\"",
                     "Requests by the verdict of the quota.");
  quota->refused
      = cyu_counter ("cy_quota_requests_total", "verdict=\"refused\"",
                     "Requests by the verdict of the quota.");
  quota->timer = cyn_timer_create (agent->options.loop, tick, quota);
  cyn_timer_start (quota->timer, CYQ_TICK_MS);
  return quota;
}

void
cye_quota_destroy (struct cye_quota *quota)
{
  if (quota == NULL)
    return;
  cyn_timer_destroy (quota->timer);
  g_ptr_array_free (quota->givers, TRUE);
  g_ptr_array_free (quota->retired, TRUE);
  g_hash_table_destroy (quota->workspaces);
  g_mutex_clear (&quota->lock);
  g_free (quota);
}
