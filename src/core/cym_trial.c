/* What the ends of requests tell the table of poison requests, and what the
   table lets the matcher do with a request; see cym_poison.h.  */

#include "core/cym_internal.h"

/* ------------------------------------------------------------ trials */

void
cym_trial_start (struct cym_match *match, struct cym_request *request,
                 cy_time_ns now)
{
  request->is_trial
      = cym_poison_start_trial (match->poison, request->fingerprint, now);
  request->server->trial_count += request->is_trial;
}

bool
cym_trial_is_suspended (const struct cym_match *match,
                        const struct cym_request *request, cy_time_ns now)
{
  return cym_poison_check (match->poison, request->fingerprint, now)
         != CYM_POISON_PLACE;
}

cy_result
cym_trial_refuse (struct cym_match *match, struct cym_request *request,
                  cy_time_ns now)
{
  cy_time_ns blocked_time
      = cym_poison_blocked_time (match->poison, request->fingerprint, now);
  request->retry_after_ms
      = blocked_time > 0 ? (uint32_t)(blocked_time / CY_NS_PER_MS) + 1
                         : cym_queue_retry_after_ms (match, request, now);
  return CY_E_POISON_REQUEST;
}

/* ------------------------------------------------------------ ends */

static void
mark_ended (struct cym_server *server, cy_time_ns now)
{
  if (server->first_ended_at == 0)
    server->first_ended_at = now;
  server->ended_at = now;
}

/* Records that SERVER answered REQUEST after ANSWER_TIME, and so has not ended
   before it got the request or sent the first byte of the answer.  An adopted
   request shows neither, as its placed_at is 0.  */
static void
record_alive (struct cym_match *match, struct cym_server *server,
              const struct cym_request *request, cy_time_ns answer_time,
              cy_time_ns now)
{
  cy_time_ns way = CYM_POISON_WAY_MS * CY_NS_PER_MS;
  cy_time_ns alive_at = request->placed_at + MAX (answer_time - way, 0);
  if (server->first_ended_at == 0 || request->placed_at == 0
      || alive_at <= server->first_ended_at)
    return;
  cym_poison_clear_server (match->poison, server->id, server->incarnation,
                           alive_at, request, now);
  server->first_ended_at = server->ended_at < alive_at ? 0 : alive_at;
}

void
cym_trial_record (struct cym_match *match, struct cym_server *server,
                  struct cym_request *request, enum cym_outcome outcome,
                  cy_time_ns answer_time, cy_time_ns now)
{
  bool answered = outcome == CYM_ANSWERED || outcome == CYM_ERROR
                  || outcome == CYM_NOT_RUN;
  bool was_trial = request->is_trial;
  if (was_trial)
    {
      cym_poison_end_trial (match->poison, request->fingerprint);
      server->trial_count--;
    }
  request->is_trial = false;
  /* A server that had ended before it got the request, and has not answered
     since, shows nothing about the request.  */
  bool was_alive = server->ended_at == 0 || request->placed_at == 0
                   || request->placed_at <= server->ended_at;
  if (request->reset && request->fingerprint != 0 && was_alive)
    {
      const struct cym_poison_end end = { .fingerprint = request->fingerprint,
                                          .id = server->id,
                                          .incarnation = server->incarnation,
                                          .trial = was_trial,
                                          .at = now };
      cym_poison_record (match->poison, &end, request, now);
      mark_ended (server, now);
    }
  if (outcome == CYM_ANSWERED)
    cym_poison_clear (match->poison, request->fingerprint, request, now);
  if (answered)
    record_alive (match, server, request, answer_time, now);
}

void
cym_match_merge_poison (struct cym_match *match,
                        const struct cym_poison_end *end, cy_time_ns now)
{
  struct cym_server *server = cym_match_find (match, end->id);
  bool is_new = cym_poison_merge (match->poison, end, NULL, now);
  if (is_new && !end->cleared && server != NULL
      && server->incarnation == end->incarnation)
    mark_ended (server, now);
}

struct cym_poison *
cym_match_poison (struct cym_match *match)
{
  return match->poison;
}
