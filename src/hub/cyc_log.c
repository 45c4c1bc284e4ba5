/* Replicated state of the hub, the numbered declaration and the drained zones,
   and the calls that change or confirm it.  */

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/cyu_log.h"
#include "core/cyi_pack.h"
#include "hub/cyc_internal.h"
#include "store/cyd_identity.h"
#include "store/cyd_store.h"

#define DRAIN_PREFIX "drain/zone:"
#define OPERATOR     "operator"

/* ----------------------------------------------------------- applied state */

static bool
add_drained (const Cy__Object *object, void *context)
{
  struct cyc_hub *hub = context;
  g_ptr_array_add (hub->drained, g_strdup (object->drain->name));
  return true;
}

/* Records the end of the drain for zones of BEFORE that are no longer
   drained.  */
static void
record_undrained (struct cyc_hub *hub, const GPtrArray *before)
{
  for (guint i = 0; i < before->len; i++)
    {
      const char *zone = g_ptr_array_index (before, i);
      if (cyc_log_is_drained (hub, zone))
        continue;
      cy_time_ns *undrained_at = g_new (cy_time_ns, 1);
      *undrained_at = cyc_now (hub);
      g_hash_table_replace (hub->undrained_at, g_strdup (zone), undrained_at);
      cyu_log (G_LOG_LEVEL_INFO, "zone %s is no longer drained", zone);
    }
}

static void
update_drains (struct cyc_hub *hub)
{
  GPtrArray *before = hub->drained;
  hub->drained = g_ptr_array_new_with_free_func (g_free);
  cys_state_each (hub->state, DRAIN_PREFIX, add_drained, hub);
  record_undrained (hub, before);
  g_ptr_array_unref (before);
}

/* Ends the ownership of the proposed declaration.  */
static void
forget_proposed (struct cyc_hub *hub)
{
  free (hub->proposed_text);
  hub->proposed_text = NULL;
  hub->proposed = NULL;
}

static void
warn_of_homeless (const struct cyi_document *document)
{
  const struct cyi_route *route = NULL;
  const struct cyi_workspace *workspace = NULL;
  size_t count = cyi_document_count_homeless (document, &route, &workspace);
  if (count > 0)
    cyu_log (G_LOG_LEVEL_WARNING,
             "declaration %" PRIu64 ": no region may serve requests of "
             "workspace %s on route %s, whose homes have none in common; "
             "pairs: %zu",
             document->number, workspace->name, route->name, count);
}

static void
update_document (struct cyc_hub *hub)
{
  const Cy__Document *held = cyc_hub_document (hub);
  struct cyj_error error = { "", "" };
  struct cyi_document *updated = NULL;
  if (held == NULL
      || (hub->document != NULL && hub->document->number == held->number))
    return;
  cy_result result = CY_OK;
  if (g_strcmp0 (hub->proposed_text, held->text) == 0)
    {
      updated = hub->proposed;
      forget_proposed (hub);
    }
  else
    result = cyi_document_read (held->text, strlen (held->text), &updated,
                                &error);
  if (result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "declaration %" PRIu64 " cannot be read: %s %s", held->number,
               error.path, error.detail);
      return;
    }
  warn_of_homeless (updated);
  cyi_document_destroy (hub->document);
  hub->document = updated;
  cyc_children_set_document (hub, held);
  cym_quota_declare (hub->quota, updated, false, cyc_now (hub));
  cyu_event (CYU_CHANGE, "declaration_adopted", "{sI si si si si}",
             "declaration", (json_int_t)updated->number, "routes",
             (int)updated->routes->len, "services",
             (int)updated->services->len, "workspaces",
             (int)updated->workspaces->len, "bytes", (int)strlen (held->text));
}

static void
state_due (void *context)
{
  struct cyc_hub *hub = context;
  update_document (hub);
  update_drains (hub);
  cyc_dispatch_update_servers (hub);
  cyc_hub_schedule_flush (hub);
}

bool
cyc_log_is_drained (const struct cyc_hub *hub, const char *zone)
{
  for (guint i = 0; i < hub->drained->len; i++)
    if (strcmp (g_ptr_array_index (hub->drained, i), zone) == 0)
      return true;
  return false;
}

cy_time_ns
cyc_log_cold_until (const struct cyc_hub *hub, const char *zone)
{
  const cy_time_ns *undrained_at
      = g_hash_table_lookup (hub->undrained_at, zone);
  uint32_t cold_ms = 0;
  for (guint i = 0; hub->document != NULL && i < hub->document->services->len;
       i++)
    {
      const struct cyi_service *service
          = g_ptr_array_index (hub->document->services, i);
      cold_ms = MAX (cold_ms, service->cold_ms);
    }
  return undrained_at == NULL ? 0 : *undrained_at + cold_ms * CY_NS_PER_MS;
}

const Cy__Document *
cyc_hub_document (const struct cyc_hub *hub)
{
  const Cy__Object *object = cys_state_get (hub->state, CYS_DOCUMENT_KEY);
  return object == NULL ? NULL : object->document;
}

/* ----------------------------------------------------------- state machine */

/* Inflates the declaration of CHANGE, which is deflated in the log.  */
static cy_result
inflate_document (Cy__Change *change)
{
  for (size_t i = 0; i < change->n_objects; i++)
    {
      Cy__Object *object = change->objects[i];
      Cy__Document *document = NULL;
      if (object->body_case != CY__OBJECT__BODY_DOCUMENT
          || object->document->packed.len == 0)
        continue;
      cy_result result = cyi_unpack (object->document, &document);
      if (result != CY_OK)
        return result;
      cy__document__free_unpacked (object->document, NULL);
      object->document = document;
    }
  return CY_OK;
}

static void
machine_apply (uint64_t index, const uint8_t *data, size_t length,
               void *context)
{
  struct cyc_hub *hub = context;
  Cy__Change *change = cy__change__unpack (NULL, length, data);
  if (change == NULL || inflate_document (change) != CY_OK)
    g_error ("log record %" PRIu64 " holds no change", index);
  uint64_t before = cys_state_version (hub->state);
  cys_state_apply (hub->state, change);
  cy__change__free_unpacked (change, NULL);
  if (cys_state_version (hub->state) != before)
    cyn_timer_start (hub->state_timer, 0);
}

static cy_result
machine_save (uint8_t **bytes, size_t *length, void *context)
{
  struct cyc_hub *hub = context;
  return cys_state_save (hub->state, bytes, length);
}

static cy_result
machine_load (const uint8_t *bytes, size_t length, void *context)
{
  struct cyc_hub *hub = context;
  cy_result result = cys_state_load (hub->state, bytes, length);
  if (result == CY_OK)
    cyn_timer_start (hub->state_timer, 0);
  return result;
}

static void
machine_changed (void *context)
{
  cyc_hub_schedule_flush (context);
}

/* ------------------------------------------------------------ lifecycle */

static bool
is_seed (const struct cyc_hub *hub)
{
  char *address
      = g_strdup_printf ("%s:%u", hub->options.host, hub->options.http_port);
  char **seeds = g_strsplit (hub->options.seeds, ",", -1);
  bool found = g_strv_contains ((const char *const *)seeds, address);
  g_strfreev (seeds);
  g_free (address);
  return found;
}

/* Returns the member id of a seed at bootstrap: a hash of its address, so that
   all seeds form the same member set.  Other members draw a random id.  */
static uint64_t
bootstrap_member_id (const char *host)
{
  return (XXH64 (host, strlen (host), 0) >> 2) | 1;
}

static uint64_t
choose_member (struct cyc_hub *hub, bool is_bootstrap_member)
{
  uint64_t member = 0;
  if (cyd_identity_member (cyd_system_files (), hub->options.data_folder,
                           &member)
      == CY_OK)
    return member;
  hub->fresh = !hub->options.bootstrap && hub->member == 0;
  if (is_bootstrap_member)
    return bootstrap_member_id (hub->options.host);
  return (cy_random_next (hub->options.random) >> 2) | (UINT64_C (1) << 40);
}

/* Returns the first member set of the cluster: the seeds.  */
static Cy__MemberSet *
make_bootstrap_set (const struct cyc_hub *hub)
{
  char **seeds = g_strsplit (hub->options.seeds, ",", -1);
  Cy__MemberSet *set = g_new (Cy__MemberSet, 1);
  cy__member_set__init (set);
  set->members = g_new0 (Cy__Member *, g_strv_length (seeds) + 1);
  for (char **seed = seeds; *seed != NULL; seed++)
    {
      char *colon = strrchr (*seed, ':');
      Cy__Member *member = g_new (Cy__Member, 1);
      cy__member__init (member);
      member->host = g_strndup (*seed, (gsize)(colon - *seed));
      member->id = bootstrap_member_id (member->host);
      member->port = hub->options.port;
      member->http_port = (uint32_t)g_ascii_strtoull (colon + 1, NULL, 10);
      member->voter = true;
      set->members[set->n_members++] = member;
    }
  g_strfreev (seeds);
  return set;
}

static cy_result
open_replica (struct cyc_hub *hub, const Cy__MemberSet *bootstrap_set)
{
  struct cyx_replica_options options = {
    .loop = hub->options.loop,
    .identity = hub->options.identity,
    .random = hub->options.random,
    .data_folder = hub->options.data_folder,
    .member_id = hub->member,
    .bootstrap = bootstrap_set,
    .machine
    = { machine_apply, machine_save, machine_load, machine_changed, hub },
  };
  return cyx_replica_create (&options, &hub->replica);
}

cy_result
cyc_log_create (struct cyc_hub *hub)
{
  bool is_bootstrap_member = hub->options.bootstrap && is_seed (hub);
  Cy__MemberSet *bootstrap_set
      = is_bootstrap_member ? make_bootstrap_set (hub) : NULL;
  hub->member = choose_member (hub, is_bootstrap_member);
  /* A restart applies many records at once; only the state after the last one
     is used.  */
  hub->state_timer = cyn_timer_create (hub->options.loop, state_due, hub);
  cy_result result = open_replica (hub, bootstrap_set);
  if (bootstrap_set != NULL)
    cy__member_set__free_unpacked (bootstrap_set, NULL);
  return result;
}

void
cyc_log_rejoin (struct cyc_hub *hub)
{
  uint64_t removed = hub->member;
  cy_result result
      = cyd_store_discard (cyd_system_files (), hub->options.data_folder);
  if (result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_WARNING,
               "removed member %" PRIu64 " cannot join again yet: %s", removed,
               cy_result_text (result));
      return;
    }
  cyx_replica_destroy (hub->replica);
  hub->replica = NULL;
  cys_state_destroy (hub->state);
  hub->state = cys_state_create ();
  hub->serving = (struct cyc_serving){ 0 };
  hub->member = choose_member (hub, false);
  hub->fresh = true;
  result = open_replica (hub, NULL);
  if (result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "data folder cannot be used again, stopping: %s",
               cy_result_text (result));
      cyu_log_stop (CYU_LOG_STOP_MS);
      abort ();
    }
  cyu_log (G_LOG_LEVEL_WARNING,
           "member %" PRIu64 " was removed, joins again as %" PRIu64, removed,
           hub->member);
}

void
cyc_log_destroy (struct cyc_hub *hub)
{
  if (hub->replica != NULL)
    cyx_replica_destroy (hub->replica);
  hub->replica = NULL;
  cyn_timer_destroy (hub->state_timer);
  hub->state_timer = NULL;
}

size_t
cyc_log_majority (const struct cyc_hub *hub)
{
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  size_t voters = 0;
  for (size_t i = 0; i < set->n_members; i++)
    voters += set->members[i]->voter;
  return voters / 2 + 1;
}

bool
cyc_log_is_voter (const struct cyc_hub *hub, uint64_t member)
{
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  for (size_t i = 0; i < set->n_members; i++)
    if (set->members[i]->id == member)
      return set->members[i]->voter;
  return false;
}

/* ------------------------------------------------------------ calls */

/* Change that was proposed and is not committed yet.  */
struct pending_change
{
  struct cyc_hub *hub;
  char *request_id;
  cyc_done_fn done;
  void *context;
};

static void
change_finish (struct pending_change *pending, cy_result result)
{
  pending->done (result, pending->context);
  g_free (pending->request_id);
  g_free (pending);
}

static void
change_proposed (cy_result result, uint64_t index, void *context)
{
  struct pending_change *pending = context;
  (void)index;
  if (result == CY_OK)
    {
      const Cy__ChangeResult *outcome
          = cys_state_result (pending->hub->state, pending->request_id);
      result = outcome == NULL ? CY_E_OUTCOME_UNKNOWN
                               : (cy_result)outcome->result;
    }
  change_finish (pending, result);
}

/* True when a majority of the voters is larger than the number of disks that
   may fail.  */
static bool
has_enough_disks (const struct cyc_hub *hub)
{
  return cyc_log_majority (hub) > hub->options.spare_disks;
}

static void
propose_change (struct cyc_hub *hub, Cy__Change *change, cyc_done_fn done,
                void *context)
{
  if (!cyx_replica_is_ready (hub->replica))
    {
      const char *host;
      uint16_t port;
      done (cyc_hub_leader (hub, &host, &port) ? CY_E_NOT_LEADER
                                               : CY_E_NO_QUORUM,
            context);
      return;
    }
  if (!has_enough_disks (hub))
    {
      done (CY_E_NO_QUORUM, context);
      return;
    }
  struct pending_change *pending = g_new0 (struct pending_change, 1);
  pending->hub = hub;
  pending->done = done;
  pending->context = context;
  pending->request_id = g_strdup_printf ("%s.%" PRIx64 ".%" PRIu64,
                                         hub->options.identity->name,
                                         hub->epoch, ++hub->change_count);
  change->request_id = pending->request_id;
  change->who = (char *)OPERATOR;
  change->unix_ms = cy_clock_unix_ms (hub->clock);
  size_t length = cy__change__get_packed_size (change);
  uint8_t *bytes = g_malloc (length + 1);
  cy__change__pack (change, bytes);
  cyx_replica_propose (hub->replica, bytes, length, change_proposed, pending);
  g_free (bytes);
}

/* Reads TEXT, the declaration as it goes into the log, back.  One that could
   not be read would be acknowledged and never be in force.  */
static cy_result
check_proposed (struct cyc_hub *hub, const char *text)
{
  struct cyj_error error = { "", "" };
  if (g_strcmp0 (hub->proposed_text, text) == 0)
    return CY_OK;
  cyi_document_destroy (hub->proposed);
  forget_proposed (hub);
  cy_result result
      = cyi_document_read (text, strlen (text), &hub->proposed, &error);
  if (result == CY_OK)
    hub->proposed_text = strdup (text);
  else
    cyu_log (G_LOG_LEVEL_CRITICAL,
             "declaration refused, as it could not be read back: %s %s",
             error.path, error.detail);
  return result;
}

void
cyc_hub_declare (struct cyc_hub *hub, const struct cyi_document *document,
                 const void *source, size_t length, uint64_t digest,
                 cyc_done_fn done, void *context)
{
  Cy__Change change = CY__CHANGE__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  Cy__Object *objects[] = { &object };
  Cy__Document body = CY__DOCUMENT__INIT;
  Cy__Document packed = CY__DOCUMENT__INIT;
  char *text = cyi_document_print (document);
  cy_result result = check_proposed (hub, text);
  if (result != CY_OK)
    {
      free (text);
      done (result, context);
      return;
    }
  body.number = document->number;
  body.text = text;
  body.source.data = (uint8_t *)source;
  body.source.len = length;
  body.digest = digest;
  object.key = (char *)CYS_DOCUMENT_KEY;
  object.body_case = CY__OBJECT__BODY_DOCUMENT;
  /* An append of a large declaration would hold up the leader's heartbeats on
     slow links for longer than the election timeout.  */
  object.document = cyi_pack (&body, &packed) ? &packed : &body;
  change.action = (char *)"declare";
  change.number = document->number;
  change.n_objects = 1;
  change.objects = objects;
  propose_change (hub, &change, done, context);
  cyi_pack_clear (&packed);
  free (text);
}

void
cyc_hub_confirm (struct cyc_hub *hub, cyc_done_fn done, void *context)
{
  Cy__Change change = CY__CHANGE__INIT;
  change.action = (char *)"read";
  propose_change (hub, &change, done, context);
}

void
cyc_hub_drain (struct cyc_hub *hub, const char *zone, bool drained,
               cyc_done_fn done, void *context)
{
  Cy__Change change = CY__CHANGE__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  Cy__Object *objects[] = { &object };
  Cy__Drain drain = CY__DRAIN__INIT;
  if (cyc_topology_region (hub->options.topology, zone) == NULL)
    {
      done (CY_E_ARGUMENT, context);
      return;
    }
  char *key = g_strconcat (DRAIN_PREFIX, zone, NULL);
  drain.kind = (char *)"zone";
  drain.name = (char *)zone;
  object.key = key;
  object.deleted = !drained;
  if (drained)
    {
      object.body_case = CY__OBJECT__BODY_DRAIN;
      object.drain = &drain;
    }
  change.action = (char *)(drained ? "drain" : "undrain");
  change.n_objects = 1;
  change.objects = objects;
  propose_change (hub, &change, done, context);
  g_free (key);
}

bool
cyc_hub_leader (const struct cyc_hub *hub, const char **host, uint16_t *port)
{
  uint64_t leader = cyx_replica_leader (hub->replica);
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  if (leader == 0 || leader == hub->member)
    return false;
  for (size_t i = 0; i < set->n_members; i++)
    if (set->members[i]->id == leader)
      {
        *host = set->members[i]->host;
        *port = (uint16_t)set->members[i]->http_port;
        return *port != 0;
      }
  return false;
}
