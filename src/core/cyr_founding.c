#include "core/cyr_founding.h"

#include <glib.h>
#include <string.h>

struct peer
{
  uint64_t folder_id; /* id of the data folder, 0: no message received yet */

  /* The peer reported the set that is accepted here, and the set binds the
     peer to the folder that the report came from.  */
  bool has_accepted_set;
};

struct cyr_founding
{
  uint64_t self;
  uint64_t folder_id;
  Cy__MemberSet *set;
  struct peer peers[CYR_MEMBERS_MAX]; /* in the order of the set's members */
  struct cyr_members *accepted;
  bool stored;  /* the accepted set is durable */
  bool founded; /* a peer reports that this set has been bootstrapped */
  bool exists_with_folder;
  bool bound_to_other_folder;
};

static bool
is_accepted_set (const struct cyr_founding *founding,
                 const ProtobufCBinaryData *set)
{
  size_t length;
  if (founding->accepted == NULL || set->len == 0)
    return false;
  const uint8_t *bytes = cyr_members_bytes (founding->accepted, &length);
  return length == set->len && memcmp (bytes, set->data, length) == 0;
}

/* Accepts the set once the folder of every peer is known.  */
static void
accept_set_if_complete (struct cyr_founding *founding)
{
  uint64_t folders[CYR_MEMBERS_MAX];
  if (founding->accepted != NULL || founding->exists_with_folder
      || founding->bound_to_other_folder
      || founding->set->n_members > CYR_MEMBERS_MAX)
    return;
  for (size_t i = 0; i < founding->set->n_members; i++)
    {
      bool self = founding->set->members[i]->id == founding->self;
      folders[i] = self ? founding->folder_id : founding->peers[i].folder_id;
      if (folders[i] == 0)
        return;
    }
  founding->accepted = cyr_members_create_first (founding->set, folders);
}

struct cyr_founding *
cyr_founding_create (uint64_t self, uint64_t folder, const Cy__MemberSet *set,
                     struct cyr_members *accepted)
{
  struct cyr_founding *founding = g_new0 (struct cyr_founding, 1);
  size_t length = cy__member_set__get_packed_size (set);
  uint8_t *bytes = g_malloc (length + 1);
  cy__member_set__pack (set, bytes);
  founding->set = cy__member_set__unpack (NULL, length, bytes);
  g_free (bytes);
  founding->self = self;
  founding->folder_id = folder;
  founding->accepted = accepted == NULL ? NULL : cyr_members_ref (accepted);
  founding->stored = accepted != NULL;
  accept_set_if_complete (founding);
  return founding;
}

void
cyr_founding_destroy (struct cyr_founding *founding)
{
  if (founding == NULL)
    return;
  cy__member_set__free_unpacked (founding->set, NULL);
  cyr_members_unref (founding->accepted);
  g_free (founding);
}

void
cyr_founding_receive (struct cyr_founding *founding,
                      const Cy__RaftMessage *message)
{
  const Cy__RaftFounding *body = message->founding;
  size_t position = 0;
  while (position < founding->set->n_members
         && founding->set->members[position]->id != message->from)
    position++;
  if (position == founding->set->n_members || position >= CYR_MEMBERS_MAX
      || message->from == founding->self)
    return;
  founding->peers[position].folder_id = message->from_folder;
  if (!body->founded)
    accept_set_if_complete (founding);
  const Cy__Member *bound
      = cyr_members_find (founding->accepted, message->from);
  founding->peers[position].has_accepted_set
      = is_accepted_set (founding, &body->accepted) && bound != NULL
        && bound->folder == message->from_folder;
  if (!body->founded)
    return;
  founding->founded |= founding->peers[position].has_accepted_set;
  founding->exists_with_folder |= body->bound == founding->folder_id;
  founding->bound_to_other_folder |= body->bound != founding->folder_id;
}

enum cyr_founding_state
cyr_founding_state (const struct cyr_founding *founding)
{

  if (founding->accepted != NULL && !founding->stored)
    return CYR_FOUNDING_AGREED;
  bool all_accepted = founding->accepted != NULL;
  for (size_t i = 0; i < founding->set->n_members && i < CYR_MEMBERS_MAX; i++)
    all_accepted = all_accepted
                   && (founding->peers[i].has_accepted_set
                       || founding->set->members[i]->id == founding->self);
  if (all_accepted || founding->founded)
    return CYR_FOUNDING_DONE;
  if (founding->bound_to_other_folder)
    return CYR_FOUNDING_OTHER_FOLDER;
  return founding->exists_with_folder ? CYR_FOUNDING_EXISTS
                                      : CYR_FOUNDING_WAITING;
}

struct cyr_members *
cyr_founding_accepted (const struct cyr_founding *founding)
{
  return founding->accepted;
}

void
cyr_founding_mark_stored (struct cyr_founding *founding)
{
  founding->stored = true;
}

void
cyr_founding_fill_report (const struct cyr_founding *founding,
                          Cy__RaftFounding *body)
{
  size_t length = 0;
  cy__raft_founding__init (body);
  if (founding->accepted == NULL || !founding->stored)
    return;
  body->accepted.data
      = (uint8_t *)cyr_members_bytes (founding->accepted, &length);
  body->accepted.len = length;
}

void
cyr_founding_fill_answer (struct cyr_members *accepted,
                          struct cyr_members *members, uint64_t from,
                          Cy__RaftFounding *body)
{
  const Cy__Member *bound = cyr_members_find (members, from);
  size_t length = 0;
  cy__raft_founding__init (body);
  body->answer = true;
  body->founded = true;
  body->bound = bound == NULL ? 0 : bound->folder;
  if (accepted == NULL)
    return;
  body->accepted.data = (uint8_t *)cyr_members_bytes (accepted, &length);
  body->accepted.len = length;
}
