/* Who gives a request its place at a backend server: the slots of the zone, or
   the placer of a hub.  */

#include <string.h>

#include "entry/cye_request_internal.h"

/* In any thread, with the slots' lock held.  */
static void
slot_answered (struct cye_ticket *ticket, cy_result result)
{
  struct cye_request *request = ticket->owner;
  request->has_slot = result == CY_OK;
  cye_admit_placed (request, result);
}

static cy_result
take_slot (struct cye_request *request)
{
  struct cye_ticket *ticket = &request->ticket;
  ticket->service = request->target.service;
  ticket->workspace = request->workspace;
  ticket->weight = request->weight;
  ticket->deadline = request->deadline;
  ticket->avoid = request->avoid[0] != '\0' ? request->avoid : NULL;
  ticket->answered = slot_answered;
  ticket->owner = request;
  return cye_slots_take (request->shared->slots, ticket);
}

/* ------------------------------------------------------------ hub */

static void
take_over (struct cye_request *request)
{
  const struct cye_place *place = &request->place;
  struct cye_ticket *ticket = &request->ticket;
  g_strlcpy (ticket->instance, place->instance, sizeof ticket->instance);
  g_strlcpy (ticket->host, place->host, sizeof ticket->host);
  ticket->port = place->port;
  ticket->keep = true;
  ticket->suspect = place->suspect;
  ticket->answer_ns = place->usual;
  ticket->link_ns = 0;
  ticket->waited = place->waited;
}

static void
hub_answered (struct cye_place *place, cy_result result)
{
  struct cye_request *request = place->owner;
  request->ticket.waited = place->waited;
  request->has_slot = result == CY_OK;
  if (result == CY_OK)
    take_over (request);
  cye_admit_placed (request, result);
}

static cy_result
take_at_hub (struct cye_request *request)
{
  struct cye_place *place = &request->place;
  g_strlcpy (place->avoid, request->avoid, sizeof place->avoid);
  place->request_id = request->request_id;
  place->again = request->arrived;
  place->metered = !request->open && request->attempts == 0;
  place->deadline_at = request->deadline;
  place->answered = hub_answered;
  place->owner = request;
  cy_result result = cye_hub_take (request->shared->hub, place);
  if (result == CY_OK)
    take_over (request);
  return result;
}

/* ------------------------------------------------------------ public */

cy_result
cye_place_take (struct cye_request *request)
{
  cy_result result = CY_E_INTERNAL;
  switch (request->shared->layout)
    {
    case CYE_TREE:
      result = take_slot (request);
      break;
    case CYE_HUB:
      result = take_at_hub (request);
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
      if (request->place.placer == CYE_NOBODY || request->place.placed)
        return false;
      cye_hub_cancel (request->shared->hub, &request->place);
      return true;
    }
  return false;
}

/* How the tree's slots see an ending.  */
static enum cyb_ending
slot_ending (enum cym_outcome ending)
{
  switch (ending)
    {
    case CYM_ANSWERED:
    case CYM_ERROR:
      return CYB_ANSWERED;
    case CYM_NOT_RUN:
    case CYM_WRONG:
      return CYB_REFUSED;
    case CYM_UNREACHABLE:
    case CYM_BROKEN:
    case CYM_SILENT:
      return CYB_FAILED;
    case CYM_CANCELLED:
      break;
    }
  return CYB_CANCELLED;
}

void
cye_place_give (struct cye_request *request, enum cym_outcome ending,
                cy_time_ns answer, bool silent, bool sent)
{
  if (!request->has_slot)
    return;
  request->has_slot = false;
  switch (request->shared->layout)
    {
    case CYE_TREE:
      cye_slots_give (request->shared->slots, &request->ticket,
                      slot_ending (ending), answer, silent, sent);
      break;
    case CYE_HUB:
      cye_hub_give (request->shared->hub, &request->place, ending, answer,
                    &request->load, silent);
      break;
    }
}
