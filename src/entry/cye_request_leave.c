/* Requests in a planned stop: judged again before each attempt, and answered
   before the process ends.  */

#include <ck_pr.h>

#include "entry/cye_leave.h"
#include "entry/cye_request_internal.h"

static cy_time_ns
answers_at (const struct cye_request *request)
{
  return (cy_time_ns)ck_pr_load_64 (
      (const uint64_t *)&request->shared->leave_answers_at);
}

static bool
leaves_time (const struct cye_request *request, cy_time_ns answer_ns)
{
  cy_time_ns now = cye_request_now (request);
  cy_time_ns end = answers_at (request);
  struct cye_leave_request known
      = { .deadline = request->deadline, .answer_ns = answer_ns };
  if (end == 0)
    return true;
  if (!request->upload.complete)
    known.body_ns
        = cye_leave_body_ns (request->body_length, request->body_received,
                             now - request->started_at);
  return cye_leave_may_pass_on (end, &known, now);
}

bool
cye_request_may_pass_on (const struct cye_request *request)
{
  cy_time_ns expected = request->ticket.expected_answer_ns;
  return leaves_time (request, expected > 0 ? expected : CYE_LEAVE_UNKNOWN);
}

bool
cye_request_may_wait (const struct cye_request *request)
{
  return leaves_time (request, 0);
}

static void
refuse (struct cye_request *request)
{
  cye_request_refuse (request, CY_E_STOPPING,
                      request->may_have_run ? CYE_UNKNOWN : CYE_NOT_RUN);
}

/* Ends a request that waits for a slot.  A slot that is in transit is judged
   when it arrives.  */
static void
refuse_waiting (struct cye_request *request)
{
  if (!cye_place_cancel (request))
    return;
  request->pending_callbacks--;
  refuse (request);
}

/* Ends the attempt of a request for whose answer no time is left.  */
static void
end_attempt (struct cye_request *request)
{
  struct cye_call *call = request->call;
  if (call == NULL || cye_call_ended (call) || cye_call_head (call)->complete)
    return;
  request->may_have_run = request->may_have_run || cye_call_sent (call);
  cye_forward_cancel (request);
  if (request->may_have_run)
    cye_request_refuse (request, CY_E_TIMEOUT, CYE_UNKNOWN);
  else
    refuse (request);
}

void
cye_request_check_leave (struct cye_request *request, cy_time_ns now)
{
  cy_time_ns end = answers_at (request);
  bool is_over = now >= end;
  if (end == 0 || request->is_local)
    return;
  switch (request->stage)
    {
    case CYE_READING:
    case CYE_ADMITTING:
      if (is_over)
        refuse (request);
      break;
    case CYE_QUEUED:
      if (is_over || !cye_request_may_wait (request))
        refuse_waiting (request);
      break;
    case CYE_CALLING:
      if (is_over)
        end_attempt (request);
      break;
    case CYE_READY:
    case CYE_ANSWERING:
      break;
    }
  bool refused = request->stage == CYE_READY && request->refusal != CY_OK;
  if (refused && !request->body_read
      && (is_over || request->refusal == CY_E_STOPPING))
    cye_reply_send_early (request);
}
