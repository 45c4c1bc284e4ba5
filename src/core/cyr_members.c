#include "core/cyr_members.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct cyr_members
{
  uint32_t references;
  uint8_t *bytes;
  size_t length;
  Cy__MemberSet *set;
};

struct cyr_members *
cyr_members_unpack (const uint8_t *data, size_t length)
{
  Cy__MemberSet *set = cy__member_set__unpack (NULL, length, data);
  if (set == NULL)
    return NULL;
  if (set->n_members > CYR_MEMBERS_MAX)
    {
      cy__member_set__free_unpacked (set, NULL);
      return NULL;
    }
  struct cyr_members *members = g_new0 (struct cyr_members, 1);
  members->references = 1;
  members->set = set;
  members->bytes = g_memdup2 (data, length);
  members->length = length;
  return members;
}

struct cyr_members *
cyr_members_ref (struct cyr_members *members)
{
  members->references++;
  return members;
}

void
cyr_members_unref (struct cyr_members *members)
{
  if (members == NULL || --members->references > 0)
    return;
  cy__member_set__free_unpacked (members->set, NULL);
  g_free (members->bytes);
  g_free (members);
}

const uint8_t *
cyr_members_bytes (const struct cyr_members *members, size_t *length)
{
  *length = members->length;
  return members->bytes;
}

const Cy__MemberSet *
cyr_members_set (const struct cyr_members *members)
{
  return members->set;
}

const Cy__Member *
cyr_members_find (const struct cyr_members *members, uint64_t id)
{
  if (members == NULL)
    return NULL;
  for (size_t i = 0; i < members->set->n_members; i++)
    if (members->set->members[i]->id == id)
      return members->set->members[i];
  return NULL;
}

bool
cyr_members_is_voter (const struct cyr_members *members, uint64_t id)
{
  const Cy__Member *member = cyr_members_find (members, id);
  return member != NULL && member->voter;
}

bool
cyr_members_is_retired (const struct cyr_members *members, uint64_t id)
{
  if (members == NULL)
    return false;
  for (size_t i = 0; i < members->set->n_retired; i++)
    if (members->set->retired[i] == id)
      return true;
  return false;
}

uint64_t
cyr_members_cluster (const struct cyr_members *members)
{
  return members == NULL ? 0 : members->set->cluster_id;
}

size_t
cyr_members_count (const struct cyr_members *members)
{
  return members == NULL ? 0 : members->set->n_members;
}

size_t
cyr_members_voters (const struct cyr_members *members)
{
  size_t voters = 0;
  for (size_t i = 0; i < cyr_members_count (members); i++)
    voters += members->set->members[i]->voter;
  return voters;
}

size_t
cyr_members_quorum (const struct cyr_members *members)
{
  return cyr_members_voters (members) / 2 + 1;
}

/* ------------------------------------------------------------ new sets */

static void
sort_members (Cy__Member **members, size_t count)
{
  for (size_t i = 1; i < count; i++)
    {
      Cy__Member *moved = members[i];
      size_t position = i;
      for (; position > 0 && members[position - 1]->id > moved->id; position--)
        members[position] = members[position - 1];
      members[position] = moved;
    }
}

static struct cyr_members *
pack_set (const Cy__MemberSet *set)
{
  sort_members (set->members, set->n_members);
  size_t length = cy__member_set__get_packed_size (set);
  uint8_t *bytes = g_malloc (length + 1);
  cy__member_set__pack (set, bytes);
  struct cyr_members *members = cyr_members_unpack (bytes, length);
  g_free (bytes);
  return members;
}

struct cyr_members *
cyr_members_create_first (const Cy__MemberSet *set, const uint64_t *folders)
{
  Cy__MemberSet first = CY__MEMBER_SET__INIT;
  Cy__Member copies[CYR_MEMBERS_MAX];
  Cy__Member *members[CYR_MEMBERS_MAX];
  uint64_t sum = 0;
  first.n_members = MIN (set->n_members, CYR_MEMBERS_MAX);
  first.members = members;
  for (size_t i = 0; i < first.n_members; i++)
    {
      copies[i] = *set->members[i];
      copies[i].voter = true;
      copies[i].folder = folders[i];
      members[i] = &copies[i];
      uint64_t pair[2] = { copies[i].id, copies[i].folder };
      sum ^= XXH64 (pair, sizeof pair, 0);
    }
  first.cluster_id = sum == 0 ? 1 : sum;
  return pack_set (&first);
}

/* Makes COPY a copy of SET whose member pointers are in NEW_MEMBERS, an array
   with one free entry more than SET has members.  */
static void
copy_set (const Cy__MemberSet *set, Cy__MemberSet *copy,
          Cy__Member **new_members)
{
  *copy = *set;
  copy->members = new_members;
  for (size_t i = 0; i < set->n_members; i++)
    new_members[i] = set->members[i];
}

struct cyr_members *
cyr_members_promote (const struct cyr_members *members, uint64_t id,
                     uint64_t folder)
{
  Cy__MemberSet copy;
  Cy__Member *new_members[CYR_MEMBERS_MAX + 1] = { NULL };
  Cy__Member voter;
  copy_set (members->set, &copy, new_members);
  for (size_t i = 0; i < copy.n_members; i++)
    {
      if (members->set->members[i]->id != id)
        continue;
      voter = *members->set->members[i];
      voter.voter = true;
      voter.folder = folder;
      new_members[i] = &voter;
    }
  return pack_set (&copy);
}

struct cyr_members *
cyr_members_remove (const struct cyr_members *members, uint64_t id,
                    uint64_t successor)
{
  const Cy__Member *removed = cyr_members_find (members, id);
  Cy__MemberSet copy;
  Cy__Member *new_members[CYR_MEMBERS_MAX + 1] = { NULL };
  Cy__Member heir;
  copy_set (members->set, &copy, new_members);
  size_t kept_count = 0;
  for (size_t i = 0; i < copy.n_members; i++)
    {
      Cy__Member *member = members->set->members[i];
      if (member->id == id)
        continue;
      if (member->id == successor)
        {
          heir = *member;
          heir.newcomer = removed->newcomer;
          member = &heir;
        }
      new_members[kept_count++] = member;
    }
  copy.n_members = kept_count;
  uint64_t *retired = g_new (uint64_t, copy.n_retired + 1);
  if (copy.n_retired > 0)
    memcpy (retired, copy.retired, copy.n_retired * sizeof *retired);
  retired[copy.n_retired++] = id;
  copy.retired = retired;
  struct cyr_members *result = pack_set (&copy);
  g_free (retired);
  return result;
}

static struct cyr_members *
add_learner (const struct cyr_members *members, const Cy__Member *member)
{
  Cy__MemberSet copy;
  Cy__Member *new_members[CYR_MEMBERS_MAX + 1] = { NULL };
  Cy__Member learner = *member;
  copy_set (members->set, &copy, new_members);
  learner.voter = false;
  learner.folder = 0;
  new_members[copy.n_members++] = &learner;
  return pack_set (&copy);
}

struct cyr_members *
cyr_members_add_learner (const struct cyr_members *members,
                         const Cy__Member *member, uint64_t replaced)
{
  const Cy__Member *gone = cyr_members_find (members, replaced);
  if (gone == NULL)
    return add_learner (members, member);
  Cy__Member heir = *member;
  heir.newcomer = gone->newcomer;
  struct cyr_members *without = cyr_members_remove (members, replaced, 0);
  struct cyr_members *result = add_learner (without, &heir);
  cyr_members_unref (without);
  return result;
}
