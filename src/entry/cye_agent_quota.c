/* Admission at the entry VM: tokens of the rate shares that the zone processes
   granted, the requests that wait for a token, and the messages that request
   and return shares.  One lock, held for short sections, guards shares and
   queues.  HTTP threads send no message while they hold the lock.  */

#include <string.h>

#include "base/cyu_metrics.h"
#include "entry/cye_agent_internal.h"

#define WAIT_TICK_MS       10    /* ms between checks while requests wait */
#define RETRY_AFTER_MAX_MS 60000 /* ms, longest Retry-After */
#define RETIRED_NODES_MAX  8     /* nodes kept of ended zone processes */

/* One zone process and the quota that it granted.  */
struct grantor
{
  char *name;            /* VM of the zone process */
  struct cyn_conn *conn; /* NULL: not connected */
  struct cyq_node *node;
  bool is_stopping; /* the zone process is stopping: return all quota */
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
  double rate;    /* declared, tokens/s */
  double burst;   /* declared, tokens; 0: undeclared, all are refused */
  GQueue waiters; /* struct waiter */
};

/* A waiter whose verdict is known.  The callback runs without the lock.  */
struct verdict
{
  struct waiter *waiter;
  cy_result result;
};

struct cye_quota
{
  struct cye_agent *agent;
  GMutex lock;         /* guards all fields below but the timer and metrics */
  GPtrArray *grantors; /* struct grantor */
  struct grantor *current; /* the current zone process, NULL: none */
  GPtrArray *retired;      /* struct cyq_node of ended incarnations */
  GHashTable *workspaces;  /* struct workspace by name */
  uint64_t incarnation;    /* of the newest node */
  guint waiting_count;     /* waiters of all workspaces */
  bool is_posted;          /* on_posted is queued in the loop */
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
take_token_from (const struct cye_quota *quota, struct cyq_node *node,
                 const char *workspace)
{
  if (!cyq_node_take_token (node, workspace, now_of (quota)))
    return false;
  /* The process may have been suspended since the first reading of the
     clock: check again that the lease has not ended.  */
  return now_of (quota) < cyq_node_lease_end (node);
}

static bool
take_token (const struct cye_quota *quota, const char *workspace)
{
  if (quota->current != NULL
      && take_token_from (quota, quota->current->node, workspace))
    return true;
  for (guint i = 0; i < quota->retired->len; i++)
    if (take_token_from (quota, g_ptr_array_index (quota->retired, i),
                         workspace))
      return true;
  for (guint i = 0; i < quota->grantors->len; i++)
    {
      struct grantor *grantor = g_ptr_array_index (quota->grantors, i);
      if (grantor != quota->current
          && take_token_from (quota, grantor->node, workspace))
        return true;
    }
  return false;
}

static double
held_rate (const struct cye_quota *quota, const char *workspace)
{
  double rate = 0;
  for (guint i = 0; i < quota->grantors->len; i++)
    {
      const struct grantor *grantor = g_ptr_array_index (quota->grantors, i);
      rate += (double)cyq_node_held (grantor->node, workspace).rate;
    }
  return rate / (double)CYQ_ONE_REQUEST;
}

/* Returns the expected milliseconds until COUNT requests have a token
   each.  */
static double
expected_wait_ms (const struct cye_quota *quota, const char *name,
                  const struct workspace *workspace, guint count)
{
  double rate = held_rate (quota, name);
  if (rate <= 0)
    rate = workspace->rate;
  if (rate <= 0)
    return RETRY_AFTER_MAX_MS;
  return MIN (1000.0 * count / rate, RETRY_AFTER_MAX_MS);
}

/* True when the queue is full, or when the whole rate is in use and the
   expected wait is longer than LEFT_NS nanoseconds.  */
static bool
would_miss_deadline (const struct cye_quota *quota, const char *name,
                     const struct workspace *workspace, cy_time_ns left_ns)
{
  guint length = g_queue_get_length ((GQueue *)&workspace->waiters);
  if (left_ns <= 0 || length >= CYE_WAITERS_MAX)
    return true;
  if (quota->current == NULL
      || !cyq_node_is_exhausted (quota->current->node, name))
    return false;
  return expected_wait_ms (quota, name, workspace, length + 1)
         > (double)left_ns / CY_NS_PER_MS;
}

/* ------------------------------------------------------------ messages */

static void
send_request (struct grantor *grantor, Cy__QuotaAsk *ask)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_QUOTA_ASK;
  envelope.quota_ask = ask;
  cyn_conn_send (grantor->conn, &envelope);
  cy__quota_ask__free_unpacked (ask, NULL);
}

/* Sends the quota requests that are due.  With the lock held, in the loop's
   thread.  */
static void
send_due_requests (struct cye_quota *quota)
{
  cy_time_ns now = now_of (quota);
  for (guint i = 0; i < quota->grantors->len; i++)
    {
      struct grantor *grantor = g_ptr_array_index (quota->grantors, i);
      if (grantor->conn == NULL)
        continue;
      if (grantor->is_stopping)
        cyq_node_return_all (grantor->node, now);
      Cy__QuotaAsk *ask = cyq_node_request (grantor->node, now);
      if (ask != NULL)
        send_request (grantor, ask);
    }
}

/* ------------------------------------------------------------ waiting */

/* Sets the count of waiting requests in the node of the current grantor.  */
static void
update_waiting (struct cye_quota *quota, const char *name,
                const struct workspace *workspace)
{
  if (quota->current != NULL)
    cyq_node_set_waiting (quota->current->node, name,
                          g_queue_get_length ((GQueue *)&workspace->waiters),
                          now_of (quota));
}

static void
resolve_waiters (struct cye_quota *quota, const char *name,
                 struct workspace *workspace, GArray *verdicts)
{
  cy_time_ns now = now_of (quota);
  GList *link = workspace->waiters.head;
  bool has_tokens = true;
  while (link != NULL)
    {
      struct waiter *waiter = link->data;
      GList *next = link->next;
      struct verdict verdict = { waiter, CY_E_RATE_EXCEEDED };
      bool is_late = waiter->deadline <= now;
      if (!is_late)
        has_tokens = has_tokens && take_token (quota, name);
      if (!is_late && has_tokens)
        verdict.result = CY_OK;
      if (is_late || has_tokens)
        {
          g_queue_delete_link (&workspace->waiters, link);
          g_array_append_val (verdicts, verdict);
          quota->waiting_count--;
        }
      link = next;
    }
  update_waiting (quota, name, workspace);
}

static void
invoke_callbacks (struct cye_quota *quota, GArray *verdicts)
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

/* Gives tokens to waiting requests, refuses overdue ones, and sends the quota
   requests that are due.  */
static void
process_quota (struct cye_quota *quota)
{
  GArray *verdicts = g_array_new (FALSE, FALSE, sizeof (struct verdict));
  g_mutex_lock (&quota->lock);
  quota->is_posted = false;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->workspaces);
  while (quota->waiting_count > 0
         && g_hash_table_iter_next (&iter, &name, &value))
    {
      struct workspace *workspace = value;
      if (!g_queue_is_empty (&workspace->waiters))
        resolve_waiters (quota, name, workspace, verdicts);
    }
  send_due_requests (quota);
  g_mutex_unlock (&quota->lock);
  invoke_callbacks (quota, verdicts);
}

static void
on_posted (void *context)
{
  struct cye_quota *quota = context;
  process_quota (quota);
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
  if (g_queue_is_empty (&workspace->waiters) && take_token (quota, name))
    {
      verdict = CYE_ADMITTED;
      goto unlock;
    }
  if (would_miss_deadline (quota, name, workspace, deadline - now_of (quota)))
    goto unlock;
  struct waiter *waiter = g_new (struct waiter, 1);
  *waiter = (struct waiter){ deadline, admitted, context };
  g_queue_push_tail (&workspace->waiters, waiter);
  quota->waiting_count++;
  update_waiting (quota, name, workspace);
  post = !quota->is_posted;
  quota->is_posted = true;
  verdict = CYE_WAITING;

unlock:
  g_mutex_unlock (&quota->lock);
  if (post)
    cyn_loop_post (quota->agent->options.loop, on_posted, quota);
  if (verdict != CYE_WAITING)
    cyu_metric_add (verdict == CYE_ADMITTED ? quota->admitted : quota->refused,
                    1);
  return verdict;
}

uint32_t
cye_quota_retry_after_ms (struct cye_quota *quota, const char *name)
{
  double wait_ms = RETRY_AFTER_MAX_MS;
  g_mutex_lock (&quota->lock);
  const struct workspace *workspace
      = g_hash_table_lookup (quota->workspaces, name);
  if (workspace != NULL)
    {
      guint length = g_queue_get_length ((GQueue *)&workspace->waiters);
      wait_ms = expected_wait_ms (quota, name, workspace, length + 1);
    }
  g_mutex_unlock (&quota->lock);
  return (uint32_t)MAX (wait_ms, 1);
}

/* ------------------------------------------------------------ grantors */

static struct cyq_node *
node_create (struct cye_quota *quota)
{
  struct cyq_options options = { .incarnation = ++quota->incarnation };
  return cyq_node_create (&options);
}

static struct grantor *
grantor_of (const struct cye_quota *quota, const struct cyn_conn *conn)
{
  for (guint i = 0; i < quota->grantors->len; i++)
    {
      struct grantor *grantor = g_ptr_array_index (quota->grantors, i);
      if (grantor->conn == conn)
        return grantor;
    }
  return NULL;
}

static void
grantor_free (gpointer data)
{
  struct grantor *grantor = data;
  cyq_node_destroy (grantor->node);
  g_free (grantor->name);
  g_free (grantor);
}

void
cye_quota_open (struct cye_quota *quota, struct cyn_conn *conn)
{
  const char *name = cyn_conn_peer (conn)->name;
  struct grantor *found = NULL;
  g_mutex_lock (&quota->lock);
  for (guint i = 0; i < quota->grantors->len; i++)
    {
      struct grantor *grantor = g_ptr_array_index (quota->grantors, i);
      if (strcmp (grantor->name, name) == 0)
        found = grantor;
    }
  if (found == NULL)
    {
      found = g_new0 (struct grantor, 1);
      found->name = g_strdup (name);
      found->node = node_create (quota);
      g_ptr_array_add (quota->grantors, found);
    }
  found->conn = conn;
  found->is_stopping = false;
  g_mutex_unlock (&quota->lock);
}

void
cye_quota_close (struct cye_quota *quota, struct cyn_conn *conn)
{
  g_mutex_lock (&quota->lock);
  struct grantor *grantor = grantor_of (quota, conn);
  if (grantor != NULL)
    grantor->conn = NULL;
  g_mutex_unlock (&quota->lock);
}

void
cye_quota_set_current (struct cye_quota *quota, struct cyn_conn *conn)
{
  g_mutex_lock (&quota->lock);
  if (conn != NULL)
    quota->current = grantor_of (quota, conn);
  g_mutex_unlock (&quota->lock);
  process_quota (quota);
}

void
cye_quota_return_all (struct cye_quota *quota, struct cyn_conn *conn)
{
  g_mutex_lock (&quota->lock);
  struct grantor *grantor = grantor_of (quota, conn);
  if (grantor != NULL)
    grantor->is_stopping = true;
  g_mutex_unlock (&quota->lock);
  process_quota (quota);
}

/* Gives GRANTOR a new node after the zone process restarted.  The quota of the
   ended incarnation stays usable until its lease ends.  */
static void
replace_node (struct cye_quota *quota, struct grantor *grantor)
{
  g_ptr_array_add (quota->retired, grantor->node);
  if (quota->retired->len > RETIRED_NODES_MAX)
    g_ptr_array_remove_index (quota->retired, 0);
  grantor->node = node_create (quota);
}

void
cye_quota_receive_answer (struct cye_quota *quota, struct cyn_conn *conn,
                          const Cy__QuotaAnswer *answer)
{
  g_mutex_lock (&quota->lock);
  struct grantor *grantor = grantor_of (quota, conn);
  if (grantor != NULL
      && cyq_node_receive_answer (grantor->node, answer, now_of (quota))
             == CY_E_LEASE_UNKNOWN)
    replace_node (quota, grantor);
  g_mutex_unlock (&quota->lock);
  process_quota (quota);
}

/* ------------------------------------------------------------ workspaces */

static bool
update_workspace (const Cy__Object *object, void *context)
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
cye_quota_update_workspaces (struct cye_quota *quota,
                             const struct cys_state *state)
{
  g_mutex_lock (&quota->lock);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->workspaces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct workspace *)value)->burst = 0; /* undeclared: refused */
  cys_state_each (state, "workspace/", update_workspace, quota->workspaces);
  g_mutex_unlock (&quota->lock);
}

/* ------------------------------------------------------------ timer */

static void
on_timer (void *context)
{
  struct cye_quota *quota = context;
  g_mutex_lock (&quota->lock);
  cy_time_ns now = now_of (quota);
  for (guint i = 0; i < quota->grantors->len; i++)
    cyq_node_tick (
        ((struct grantor *)g_ptr_array_index (quota->grantors, i))->node, now);
  for (guint i = quota->retired->len; i > 0; i--)
    {
      struct cyq_node *node = g_ptr_array_index (quota->retired, i - 1);
      cyq_node_tick (node, now);
      if (cyq_node_lease_end (node) == 0)
        g_ptr_array_remove_index (quota->retired, i - 1);
    }
  bool has_waiters = quota->waiting_count > 0;
  g_mutex_unlock (&quota->lock);
  process_quota (quota);
  cyn_timer_start (quota->timer, has_waiters ? WAIT_TICK_MS : CYQ_TICK_MS);
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
  quota->grantors = g_ptr_array_new_with_free_func (grantor_free);
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
  quota->timer = cyn_timer_create (agent->options.loop, on_timer, quota);
  cyn_timer_start (quota->timer, CYQ_TICK_MS);
  return quota;
}

void
cye_quota_destroy (struct cye_quota *quota)
{
  if (quota == NULL)
    return;
  cyn_timer_destroy (quota->timer);
  g_ptr_array_free (quota->grantors, TRUE);
  g_ptr_array_free (quota->retired, TRUE);
  g_hash_table_destroy (quota->workspaces);
  g_mutex_clear (&quota->lock);
  g_free (quota);
}
