#include "zone/cyz_child.h"

static void
set_age (const struct cyz_source *source, Cy__SyncAnswer *answer)
{
  int64_t age_ms = (source->age + CY_NS_PER_MS - 1) / CY_NS_PER_MS;
  if (source->age < 0 || age_ms > UINT32_MAX)
    return;
  answer->confirmed = true;
  answer->age_ms = (uint32_t)age_ms;
}

/* Writes the content that CHILD lacks to ANSWER and records it as sent.
   CURSOR: see cys_state_make_delta.  */
static void
write_content (struct cyz_child *child, const struct cyz_source *source,
               const char *cursor, Cy__SyncAnswer *answer)
{
  answer->from_version = child->version;
  answer->to_version = child->version;
  if (child->version < cys_state_version (source->state))
    cys_state_make_delta (source->state, child->version, cursor,
                          CYZ_CHUNK_MAX_BYTES, answer);
  cyt_soft_state_delta (source->soft, child->soft_epoch, child->soft_sequence,
                        NULL, NULL, answer);
  if (!answer->more)
    child->version = answer->to_version;
  child->soft_epoch = answer->soft_epoch;
  child->soft_sequence = answer->soft_to;
}

static void
send_answer (struct cyz_child *child, uint64_t request, Cy__SyncAnswer *answer)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.request = request;
  envelope.body_case = CY__ENVELOPE__BODY_SYNC_ANSWER;
  envelope.sync_answer = answer;
  cyn_conn_send (child->conn, &envelope);
}

void
cyz_child_answer (struct cyz_child *child, const struct cyz_source *source,
                  uint64_t request, const Cy__SyncAsk *ask)
{
  Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
  set_age (source, &answer);
  child->gets_pushes = !ask->standby;
  if (ask->standby)
    {
      answer.from_version = cys_state_version (source->state);
      answer.to_version = answer.from_version;
      send_answer (child, request, &answer);
      return;
    }
  child->version = ask->version;
  child->soft_epoch = ask->soft_epoch;
  child->soft_sequence = ask->soft_sequence;
  write_content (child, source, ask->cursor, &answer);
  send_answer (child, request, &answer);
  cys_state_answer_clear (&answer);
  cyt_soft_state_answer_clear (&answer);
}

void
cyz_child_push (struct cyz_child *child, const struct cyz_source *source)
{
  if (!child->gets_pushes
      || (child->version >= cys_state_version (source->state)
          && child->soft_epoch == cyt_soft_state_epoch (source->soft)
          && child->soft_sequence == cyt_soft_state_sequence (source->soft)))
    return;
  Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
  answer.pushed = true;
  write_content (child, source, NULL, &answer);
  send_answer (child, 0, &answer);
  cys_state_answer_clear (&answer);
  cyt_soft_state_answer_clear (&answer);
}
