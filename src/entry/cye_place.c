/* Requests a slot at a backend server: from the zone's slots in the tree
   layout, from the placer in the hub layout.  */

#include <string.h>
#include <xxhash.h>

#include "entry/cye_request_internal.h"

/* Runs in any thread, with the slots' lock held.  */
static void
on_slot_answer (struct cye_ticket *ticket, cy_result result)
{
  struct cye_request *request = ticket->owner;
  request->has_slot = result == CY_OK;
  cye_admit_slot_answered (request, result);
}

static cy_result
acquire_slot (struct cye_request *request)
{
  struct cye_ticket *ticket = &request->ticket;
  ticket->service = request->target.service;
  ticket->workspace = request->workspace;
  ticket->weight = request->weight;
  ticket->deadline = request->deadline;
  ticket->avoid_instance
      = request->avoid_instance[0] != '\0' ? request->avoid_instance : NULL;
  ticket->on_answer = on_slot_answer;
  ticket->owner = request;
  return cye_slots_acquire (request->shared->slots, ticket);
}

/* ------------------------------------------------------------ hub */

static void
copy_placement (struct cye_request *request)
{
  const struct cye_place *place = &request->place;
  struct cye_ticket *ticket = &request->ticket;
  g_strlcpy (ticket->instance, place->instance, sizeof ticket->instance);
  g_strlcpy (ticket->host, place->host, sizeof ticket->host);
  ticket->port = place->port;
  ticket->keep_connection = true;
  ticket->suspect_before = place->suspect_before;
  ticket->expected_answer_ns = place->expected_ns;
  ticket->link_ns = 0;
  ticket->waited = place->waited;
}

static void
on_hub_answer (struct cye_place *place, cy_result result)
{
  struct cye_request *request = place->owner;
  request->ticket.waited = place->waited;
  request->has_slot = result == CY_OK;
  if (result == CY_OK)
    copy_placement (request);
  cye_admit_slot_answered (request, result);
}

/* Sets the fingerprint of REQUEST, the same for all attempts.  None when the
   body is not at hand as a whole: different bodies would share one.  */
static void
set_fingerprint (struct cye_request *request)
{
  const struct cye_buffer *body = &request->upload;
  const char *host = request->host == NULL ? "" : request->host;
  if (!body->complete || body->consumed > 0
      || body->array->len != request->body_received)
    return;
  uint64_t hash = XXH3_64bits (request->method, strlen (request->method));
  hash = XXH3_64bits_withSeed (host, strlen (host), hash);
  hash = XXH3_64bits_withSeed (request->target.raw,
                               strlen (request->target.raw), hash);
  if (body->array->len > 0)
    hash = XXH3_64bits_withSeed (body->array->data, body->array->len, hash);
  request->place.fingerprint = hash == 0 ? 1 : hash;
}

static cy_result
acquire_at_hub (struct cye_request *request)
{
  struct cye_place *place = &request->place;
  if (place->fingerprint == 0)
    set_fingerprint (request);
  g_strlcpy (place->avoid_instance, request->avoid_instance,
             sizeof place->avoid_instance);
  place->request_id = request->request_id;
  place->is_retry = request->reached_server;
  place->metered = !request->open_route && request->attempt_count == 0;
  place->deadline_at = request->deadline;
  place->on_answer = on_hub_answer;
  place->owner = request;
  cy_result result = cye_hub_acquire (request->shared->hub, place);
  if (result == CY_OK)
    copy_placement (request);
  return result;
}

/* ------------------------------------------------------------ public */

cy_result
cye_place_acquire (struct cye_request *request)
{
  cy_result result = CY_E_INTERNAL;
  switch (request->shared->layout)
    {
    case CYE_TREE:
      result = acquire_slot (request);
      break;
    case CYE_HUB:
      result = acquire_at_hub (request);
      break;
    }
  if (result != CY_E_AGAIN)
    request->has_slot = result == CY_OK;
  return result;
}

bool
cye_place_cancel (struct cye_request *request)
{
  switch (request->shared->layout)
    {
    case CYE_TREE:
      return cye_slots_cancel (request->shared->slots, &request->ticket);
    case CYE_HUB:
      if (request->place.placer == CYE_PLACER_NONE || request->place.placed)
        return false;
      cye_hub_cancel (request->shared->hub, &request->place);
      return true;
    }
  return false;
}

void
cye_place_notice (struct cye_request *request)
{
  const struct cym_load *load = &request->load;
  if (!request->has_slot)
    return;
  switch (request->shared->layout)
    {
    case CYE_TREE:
      cye_slots_notice (request->shared->slots, &request->ticket, load,
                        cye_call_sent_at (request->call));
      break;
    case CYE_HUB:
      cye_hub_notice (request->shared->hub, &request->place, load,
                      cye_call_sent_at (request->call));
      break;
    }
}

bool
cye_place_may_send (const struct cye_request *request)
{
  switch (request->shared->layout)
    {
    case CYE_TREE:
      return cye_slots_may_send (request->shared->slots, &request->ticket);
    case CYE_HUB:
      return cye_hub_may_send (request->shared->hub, &request->place);
    }
  return true;
}

/* Maps ENDING to the ending that the zone's slots count.  */
static enum cyb_outcome
slot_ending (enum cym_outcome ending)
{
  switch (ending)
    {
    case CYM_ANSWERED:
    case CYM_ERROR:
      return CYB_ANSWERED;
    case CYM_NOT_RUN:
    case CYM_WRONG_SERVER:
      return CYB_REFUSED;
    case CYM_UNREACHABLE:
    case CYM_BROKEN:
    case CYM_TIMED_OUT:
      return CYB_FAILED;
    case CYM_CANCELLED:
      break;
    }
  return CYB_CANCELLED;
}

void
cye_place_release (struct cye_request *request, enum cym_outcome ending,
                   cy_time_ns answer_ns, bool timed_out, bool interrupted)
{
  if (!request->has_slot)
    return;
  request->has_slot = false;
  switch (request->shared->layout)
    {
    case CYE_TREE:
      cye_slots_release (request->shared->slots, &request->ticket,
                         slot_ending (ending), answer_ns, timed_out,
                         interrupted);
      break;
    case CYE_HUB:
      cye_hub_release (request->shared->hub, &request->place, ending,
                       answer_ns, &request->load, timed_out);
      break;
    }
}
