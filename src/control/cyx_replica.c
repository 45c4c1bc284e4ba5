#include "control/cyx_replica.h"

#include <inttypes.h>
#include <string.h>

#include "base/cyu_log.h"
#include "control/cyx_replica_private.h"
#include "store/cyd_record.h"

/* ------------------------------------------------------------ requests */

static void
request_free (struct cyx_request *request)
{
  if (request->data != NULL)
    g_bytes_unref (request->data);
  g_free (request);
}

static void
propose_change (struct cyx_replica *replica, struct cyx_request *request)
{
  gsize length;
  const uint8_t *data = g_bytes_get_data (request->data, &length);
  uint64_t record_bytes = cyd_record_size (length);
  uint64_t free_bytes
      = cyd_store_free_bytes (cyx_writer_store (replica->writer));
  if (cyr_core_role (replica->core) == CYR_LEADER
      && replica->queued_bytes + replica->accepted_bytes + record_bytes
             > free_bytes)
    {
      cyu_metric_add (replica->full_count, 1);
      request->done (CY_E_STORE_FULL, 0, request->context);
      return;
    }
  struct cyr_event event
      = { .kind = CYR_PROPOSE, .now = cyx_replica_now (replica) };
  event.propose.data = data;
  event.propose.length = length;
  event.propose.token = request;
  replica->accepted_bytes += record_bytes;
  cyx_replica_run (replica, &event);
}

static void
change_members (struct cyx_replica *replica, struct cyx_request *request)
{
  struct cyr_event event
      = { .kind = request->kind, .now = cyx_replica_now (replica) };
  if (request->kind == CYR_REMOVE_MEMBER)
    {
      event.remove.id = request->removed;
      event.remove.successor = request->successor;
      event.remove.token = request;
      cyx_replica_run (replica, &event);
      return;
    }
  gsize length;
  const uint8_t *data = g_bytes_get_data (request->data, &length);
  Cy__Member *member = cy__member__unpack (NULL, length, data);
  event.add.member = member;
  event.add.replaced = request->removed;
  event.add.token = request;
  cyx_replica_run (replica, &event);
  cy__member__free_unpacked (member, NULL);
}

static void
transfer_leadership (struct cyx_replica *replica)
{
  struct cyr_event event
      = { .kind = CYR_TRANSFER, .now = cyx_replica_now (replica) };
  cyx_replica_run (replica, &event);
}

static void
tick_core (void *context)
{
  struct cyx_replica *replica = context;
  struct cyr_event event
      = { .kind = CYR_TICK, .now = cyx_replica_now (replica) };
  cyx_replica_run (replica, &event);
}

/* Passes all queued requests to the core, then lets the core send and write
   them as one batch.  */
static void
flush_requests (void *context)
{
  struct cyx_replica *replica = context;
  struct cyx_request *request;
  replica->flush_posted = false;
  if (replica->destroyed)
    {
      g_free (replica);
      return;
    }
  replica->accepted_bytes = 0;
  while ((request = g_queue_pop_head (&replica->requests)) != NULL)
    {
      if (request->kind == CYR_PROPOSE)
        propose_change (replica, request);
      else if (request->kind == CYR_TRANSFER)
        transfer_leadership (replica);
      else
        change_members (replica, request);
      request_free (request);
    }
  tick_core (replica);
}

static void
add_request (struct cyx_replica *replica, const struct cyx_request *request)
{
  g_queue_push_tail (&replica->requests, g_memdup2 (request, sizeof *request));
  if (replica->flush_posted)
    return;
  replica->flush_posted = true;
  cyn_loop_post (replica->options.loop, flush_requests, replica);
}

void
cyx_replica_propose (struct cyx_replica *replica, const uint8_t *data,
                     size_t length, cyx_proposed_fn done, void *context)
{
  struct cyx_request request = { .kind = CYR_PROPOSE,
                                 .data = g_bytes_new (data, length),
                                 .done = done,
                                 .context = context };
  add_request (replica, &request);
}

void
cyx_replica_add_member (struct cyx_replica *replica, const Cy__Member *member,
                        uint64_t replaced, cyx_proposed_fn done, void *context)
{
  size_t length = cy__member__get_packed_size (member);
  uint8_t *bytes = g_malloc (length + 1);
  cy__member__pack (member, bytes);
  struct cyx_request request = { .kind = CYR_ADD_MEMBER,
                                 .data = g_bytes_new_take (bytes, length),
                                 .removed = replaced,
                                 .done = done,
                                 .context = context };
  add_request (replica, &request);
}

void
cyx_replica_remove_member (struct cyx_replica *replica, uint64_t id,
                           uint64_t successor, cyx_proposed_fn done,
                           void *context)
{
  struct cyx_request request = { .kind = CYR_REMOVE_MEMBER,
                                 .removed = id,
                                 .successor = successor,
                                 .done = done,
                                 .context = context };
  add_request (replica, &request);
}

void
cyx_replica_transfer_leadership (struct cyx_replica *replica)
{
  struct cyx_request request = { .kind = CYR_TRANSFER };
  add_request (replica, &request);
}

/* ------------------------------------------------------------ messages */

/* Number of leading records of APPEND that fit on the disk.  */
static size_t
count_records_that_fit (const struct cyx_replica *replica,
                        const Cy__RaftAppend *append)
{
  uint64_t free_bytes
      = cyd_store_free_bytes (cyx_writer_store (replica->writer));
  uint64_t needed_bytes = replica->queued_bytes;
  for (size_t i = 0; i < append->n_records; i++)
    {
      needed_bytes += cyd_record_size (append->records[i]->data.len);
      if (needed_bytes > free_bytes)
        return i;
    }
  return append->n_records;
}

static void
receive_append (struct cyx_replica *replica, const Cy__RaftMessage *message)
{
  Cy__RaftAppend append = *message->append;
  Cy__RaftMessage limited = *message;
  append.n_records = count_records_that_fit (replica, &append);
  if (append.n_records < message->append->n_records)
    cyu_metric_add (replica->full_count, 1);
  limited.append = &append;
  struct cyr_event event = { .kind = CYR_MESSAGE,
                             .now = cyx_replica_now (replica),
                             .message = &limited };
  cyx_replica_run (replica, &event);
}

void
cyx_replica_receive (struct cyx_replica *replica,
                     const Cy__RaftMessage *message)
{
  if (message->from == replica->options.member_id)
    return;
  cyx_peers_receive (replica->peers, message);
  cyx_peers_set_address (replica->peers, message->from, message->from_host,
                         (uint16_t)message->from_port);
  if (message->body_case == CY__RAFT_MESSAGE__BODY_FOUNDING)
    {
      cyx_replica_founding_receive (replica, message);
      return;
    }
  if (message->body_case == CY__RAFT_MESSAGE__BODY_APPEND)
    {
      receive_append (replica, message);
      return;
    }
  struct cyr_event event = { .kind = CYR_MESSAGE,
                             .now = cyx_replica_now (replica),
                             .message = message };
  cyx_replica_run (replica, &event);
}

/* ------------------------------------------------------------ queries */

bool
cyx_replica_is_leader (const struct cyx_replica *replica)
{
  cy_time_ns age = cyx_replica_confirmation_age (replica);
  return age >= 0 && age < CYR_ELECTION_TIMEOUT_MS * CY_NS_PER_MS;
}

bool
cyx_replica_is_ready (const struct cyx_replica *replica)
{
  return cyx_replica_is_leader (replica) && cyr_core_is_ready (replica->core);
}

bool
cyx_replica_is_removed (const struct cyx_replica *replica)
{
  return cyr_core_is_removed (replica->core);
}

uint64_t
cyx_replica_term (const struct cyx_replica *replica)
{
  return cyr_core_term (replica->core);
}

uint64_t
cyx_replica_leader (const struct cyx_replica *replica)
{
  return cyr_core_leader (replica->core);
}

const Cy__MemberSet *
cyx_replica_members (const struct cyx_replica *replica)
{
  struct cyr_members *members = cyr_core_members (replica->core);
  return members == NULL ? &replica->no_members : cyr_members_set (members);
}

uint64_t
cyx_replica_match (const struct cyx_replica *replica, uint64_t id)
{
  return cyr_core_match_index (replica->core, id);
}

uint64_t
cyx_replica_committed (const struct cyx_replica *replica)
{
  return cyr_core_commit_index (replica->core);
}

uint64_t
cyx_replica_applied (const struct cyx_replica *replica)
{
  return cyr_core_applied_index (replica->core);
}

cy_time_ns
cyx_replica_confirmation_age (const struct cyx_replica *replica)
{
  return cyr_core_confirmation_age (replica->core, cyx_replica_now (replica));
}

/* ------------------------------------------------------------ lifetime */

static void
maintain (void *context)
{
  struct cyx_replica *replica = context;
  cyx_replica_founding_tick (replica);
  bool founding = replica->founding != NULL;
  cyn_timer_start (replica->maintenance_timer,
                   founding ? CYX_FOUNDING_INTERVAL_MS
                            : CYX_MAINTENANCE_INTERVAL_MS);
  struct cyx_job job = { .kind = CYX_JOB_PREPARE };
  if (cyd_store_free_bytes (cyx_writer_store (replica->writer))
      < CYR_RECORD_BYTES_MAX)
    cyx_writer_add (replica->writer, &job);
}

static Cy__MemberSet *
copy_set (const Cy__MemberSet *set)
{
  if (set == NULL)
    return NULL;
  size_t length = cy__member_set__get_packed_size (set);
  uint8_t *bytes = g_malloc (length + 1);
  cy__member_set__pack (set, bytes);
  Cy__MemberSet *copy = cy__member_set__unpack (NULL, length, bytes);
  g_free (bytes);
  return copy;
}

static struct cyr_members *
unpack_members (const GByteArray *bytes)
{
  return bytes == NULL ? NULL : cyr_members_unpack (bytes->data, bytes->len);
}

/* Creates the core from the recovered log and loads the recovered snapshot
   into the state machine.  */
static cy_result
restore_from_disk (struct cyx_replica *replica,
                   const struct cyd_recovered *recovered)
{
  const struct cyx_state_machine *machine = &replica->options.machine;
  cy_result result = CY_OK;
  if (recovered->state != NULL)
    result = machine->load (recovered->state->data, recovered->state->len,
                            machine->context);
  if (result != CY_OK)
    return result;
  struct cyr_options options = { .member_id = replica->options.member_id,
                                 .folder_id = recovered->folder_id,
                                 .random = replica->options.random };
  struct cyr_initial initial
      = { .term = recovered->term,
          .vote = recovered->vote,
          .commit_index = recovered->commit_index,
          .snapshot_index = recovered->snapshot_index,
          .snapshot_term = recovered->snapshot_term,
          .members = unpack_members (recovered->members),
          .records = (struct cyr_record **)recovered->records->pdata,
          .record_count = recovered->records->len };
  replica->folder_id = recovered->folder_id;
  replica->written_commit = recovered->commit_index;
  replica->accepted_set = unpack_members (recovered->founding);
  replica->core
      = cyr_core_create (&options, &initial, cyx_replica_now (replica));
  cyr_members_unref (initial.members);
  return CY_OK;
}

static void
create_metrics (struct cyx_replica *replica)
{
  replica->full_count
      = cyu_counter ("cy_replica_disk_full_total", "",
                     "Proposals and appends refused because the disk is full");
  replica->term_gauge = cyu_gauge ("cy_replica_term", "", "Term");
  replica->commit_gauge
      = cyu_gauge ("cy_replica_committed", "", "Highest committed record");
  replica->foreign_gauge
      = cyu_gauge ("cy_replica_foreign_messages", "",
                   "Messages of another data folder or cluster, not taken in");
}

cy_result
cyx_replica_create (const struct cyx_replica_options *options,
                    struct cyx_replica **replica)
{
  struct cyx_replica *created = g_new0 (struct cyx_replica, 1);
  struct cyd_store_options store_options
      = { .files
          = options->files != NULL ? options->files : cyd_system_files (),
          .path = options->data_folder,
          .cluster = options->identity->cluster,
          .member = options->member_id,
          .random = options->random };
  struct cyd_recovered recovered;
  struct cyd_store *store = NULL;
  created->options = *options;
  created->clock = cyn_loop_clock (options->loop);
  cy__member_set__init (&created->no_members);
  cy_result result = cyd_store_open (&store_options, &recovered, &store);
  if (result != CY_OK)
    goto free_created;
  result = restore_from_disk (created, &recovered);
  cyd_recovered_clear (&recovered);
  if (result != CY_OK)
    goto close_store;
  create_metrics (created);
  created->bootstrap = copy_set (options->bootstrap);
  created->options.bootstrap = NULL;
  created->writer
      = cyx_writer_create (options->loop, store, cyx_replica_written, created);
  created->peers = cyx_peers_create (options->loop, options->identity);
  created->core_timer = cyn_timer_create (options->loop, tick_core, created);
  created->maintenance_timer
      = cyn_timer_create (options->loop, maintain, created);
  cyn_timer_start (created->maintenance_timer, CYX_MAINTENANCE_INTERVAL_MS);
  *replica = created;
  tick_core (created);
  cyx_replica_founding_start (created);
  return CY_OK;

close_store:
  cyd_store_close (store);
free_created:
  g_free (created);
  return result;
}

void
cyx_replica_destroy (struct cyx_replica *replica)
{
  struct cyx_request *request;
  if (replica == NULL)
    return;
  replica->destroyed = true;
  cyx_replica_fail_pending (replica, CY_E_OUTCOME_UNKNOWN);
  while ((request = g_queue_pop_head (&replica->requests)) != NULL)
    {
      if (request->done != NULL)
        request->done (CY_E_NOT_LEADER, 0, request->context);
      request_free (request);
    }
  cyx_replica_write_commit (replica, true);
  cyx_writer_destroy (replica->writer);
  cyx_peers_destroy (replica->peers);
  cyn_timer_destroy (replica->core_timer);
  cyn_timer_destroy (replica->maintenance_timer);
  cyd_snapshot_close (replica->snapshot);
  cyr_founding_destroy (replica->founding);
  cyr_members_unref (replica->accepted_set);
  cyr_members_unref (replica->view.members);
  if (replica->bootstrap != NULL)
    cy__member_set__free_unpacked (replica->bootstrap, NULL);
  cyr_core_destroy (replica->core);
  if (!replica->flush_posted)
    g_free (replica);
}
