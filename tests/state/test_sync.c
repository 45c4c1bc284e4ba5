/* Tests of syncing a child and a grandchild when answers are lost, delayed and
   repeated.  They guard against a child that reports a version without holding
   exactly the objects of that version, and against replicas or snapshots that
   differ in a byte.  The environment variable SEED replays a run.  */

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "core/cys_state.h"
#include "cy_test.h"
#include "state_changes.h"

#define SEEDS   6    /* runs of the tree test */
#define CHANGES 2500 /* rounds of one run */
/* Changes of the root, more than the versions for which tombstones stay.  */
#define LONG_RUN    (CYS_TOMBSTONE_VERSIONS + 3000)
#define NAMES       40    /* names of objects among which changes choose */
#define DELAYED_MAX 8     /* answers stored for a delayed delivery */
#define CHUNK_BYTES 200   /* size limit of a small chunk */
#define ROUNDS_MAX  10000 /* requests until a child must be current */

/* One hop of the tree: a parent, a child and the answers in transit.  */
struct hop
{
  struct cys_state *parent;
  struct cys_state *child;
  /* Cursor of the full state that the child is receiving, NULL if none.  */
  char *cursor;
  /* GBytes of packed answers that may be delivered again.  */
  GPtrArray *delayed;
};

/* A root, its child and its grandchild.  */
struct tree
{
  struct cy_random random;
  struct cys_state *root;
  struct hop hops[2];
  GArray *digests;      /* of uint64_t: digest of the root by version */
  unsigned changes;     /* changes created so far */
  unsigned chunk_count; /* answers so far that were followed by a chunk */
};

/* ---------------------------------------------------------------- digests */

static bool
digest_object (const Cy__Object *object, void *context)
{
  XXH64_state_t *hash = context;
  size_t size = cy__object__get_packed_size (object);
  uint8_t *bytes = g_malloc (size);
  cy__object__pack (object, bytes);
  XXH64_update (hash, bytes, size);
  g_free (bytes);
  return true;
}

static uint64_t
digest_state (const struct cys_state *state)
{
  XXH64_state_t *hash = XXH64_createState ();
  XXH64_reset (hash, 0);
  cys_state_each (state, "", digest_object, hash);
  uint64_t digest = XXH64_digest (hash);
  XXH64_freeState (hash);
  return digest;
}

/* ---------------------------------------------------------------- changes */

static Cy__Change *
random_change (struct tree *tree)
{
  char name[16], request[24];
  uint64_t kind = cy_random_below (&tree->random, 10);
  Cy__Object *object;
  g_snprintf (name, sizeof name, "n%u",
              (unsigned)cy_random_below (&tree->random, NAMES));
  g_snprintf (request, sizeof request, "r%u", tree->changes++);
  if (kind < 5)
    object = object_workspace (name,
                               (double)cy_random_below (&tree->random, 100));
  else if (kind < 8)
    object = object_deleted ("workspace", name);
  else
    object = object_key (name, 1, kind == 9);
  bool alice = cy_random_below (&tree->random, 2) == 0;
  bool compared = cy_random_below (&tree->random, 4) == 0;
  uint64_t version = cys_state_version (tree->root);
  uint64_t base = version > 0 ? version - kind % 2 : 0;
  return change_new (request, alice ? "alice" : "bob",
                     compared ? (int64_t)base : -1, object);
}

static void
apply_root (struct tree *tree, Cy__Change *change)
{
  uint64_t before = cys_state_version (tree->root);
  cys_state_apply (tree->root, change);
  cy__change__free_unpacked (change, NULL);
  if (cys_state_version (tree->root) > before)
    {
      uint64_t digest = digest_state (tree->root);
      g_array_append_val (tree->digests, digest);
    }
}

static void
change_root (struct tree *tree)
{
  apply_root (tree, random_change (tree));
}

/* ---------------------------------------------------------------- syncing */

static GBytes *
request_delta_from (struct tree *tree, struct hop *hop, uint64_t version,
                    size_t max_bytes)
{
  Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
  ck_assert_int_eq (cys_state_make_delta (hop->parent, version, hop->cursor,
                                          max_bytes, &answer),
                    CY_OK);
  g_free (hop->cursor);
  hop->cursor = answer.more ? g_strdup (answer.cursor) : NULL;
  tree->chunk_count += answer.more;
  size_t size = cy__sync_answer__get_packed_size (&answer);
  uint8_t *bytes = g_malloc (size + 1);
  cy__sync_answer__pack (&answer, bytes);
  cys_state_answer_clear (&answer);
  return g_bytes_new_take (bytes, size);
}

static GBytes *
request_delta (struct tree *tree, struct hop *hop, size_t max_bytes)
{
  return request_delta_from (tree, hop, cys_state_version (hop->child),
                             max_bytes);
}

static void
deliver (struct tree *tree, struct hop *hop, GBytes *bytes)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  Cy__SyncAnswer *answer = cy__sync_answer__unpack (NULL, size, data);
  uint64_t before = cys_state_version (hop->child);
  cy_result result = cys_state_apply_answer (hop->child, answer);
  uint64_t after = cys_state_version (hop->child);
  ck_assert (result == CY_OK || result == CY_E_AGAIN);
  ck_assert_msg (after >= before, "version decreased");
  if (after > 0)
    ck_assert_msg (digest_state (hop->child)
                       == g_array_index (tree->digests, uint64_t, after),
                   "version %u differs", (unsigned)after);
  cy__sync_answer__free_unpacked (answer, NULL);
}

static void
run_hop_step (struct tree *tree, struct hop *hop)
{
  uint64_t kind = cy_random_below (&tree->random, 10);
  size_t max_bytes
      = cy_random_below (&tree->random, 2) == 0 ? CHUNK_BYTES : 1u << 20;
  if (kind == 0 && hop->delayed->len > 0)
    {
      guint i = (guint)cy_random_below (&tree->random, hop->delayed->len);
      deliver (tree, hop, g_ptr_array_index (hop->delayed, i));
      return;
    }
  if (kind == 1)
    {
      g_free (hop->cursor); /* the connection was closed */
      hop->cursor = NULL;
    }
  uint64_t from = cys_state_version (hop->child);
  if (kind == 3) /* a push that follows on a lost one */
    from
        = cy_random_below (&tree->random, cys_state_version (hop->parent) + 1);
  GBytes *bytes = request_delta_from (tree, hop, from, max_bytes);
  if (kind != 2)
    deliver (tree, hop, bytes);
  if (hop->delayed->len == DELAYED_MAX)
    g_ptr_array_remove_index (hop->delayed, 0);
  g_ptr_array_add (hop->delayed, bytes);
}

static void
catch_up (struct tree *tree, struct hop *hop)
{
  for (int i = 0; i < ROUNDS_MAX; i++)
    {
      if (cys_state_version (hop->child) == cys_state_version (hop->parent))
        return;
      GBytes *bytes = request_delta (tree, hop, CHUNK_BYTES);
      deliver (tree, hop, bytes);
      g_bytes_unref (bytes);
    }
  ck_abort_msg ("the child stays outdated");
}

/* -------------------------------------------------------------------- tree */

static void
tree_init (struct tree *tree, uint64_t *seed)
{
  memset (tree, 0, sizeof *tree);
  tree->random = cy_seeded_random (seed);
  tree->root = cys_state_create ();
  tree->digests = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  g_array_set_size (tree->digests, 1);
  tree->hops[0].parent = tree->root;
  tree->hops[0].child = cys_state_create ();
  tree->hops[1].parent = tree->hops[0].child;
  tree->hops[1].child = cys_state_create ();
  for (int i = 0; i < 2; i++)
    tree->hops[i].delayed
        = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
}

static void
tree_clear (struct tree *tree)
{
  for (int i = 0; i < 2; i++)
    {
      g_ptr_array_free (tree->hops[i].delayed, TRUE);
      g_free (tree->hops[i].cursor);
      cys_state_destroy (tree->hops[i].child);
    }
  cys_state_destroy (tree->root);
  g_array_free (tree->digests, TRUE);
}

static uint64_t
get_first_seed (void)
{
  const char *text = g_getenv ("SEED");
  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 1;
}

/* ------------------------------------------------------------------- tests */

START_TEST (test_lossy_tree)
{
  uint64_t seed = get_first_seed () + (uint64_t)_i;
  struct tree tree;
  printf ("seed %u\n", (unsigned)seed);
  tree_init (&tree, &seed);
  for (int i = 0; i < CHANGES; i++)
    {
      bool disconnected = cy_random_below (&tree.random, 20) == 0;
      uint64_t burst = cy_random_below (&tree.random, disconnected ? 40 : 4);
      for (uint64_t j = 0; j < burst; j++)
        change_root (&tree);
      run_hop_step (&tree, &tree.hops[0]);
      run_hop_step (&tree, &tree.hops[1]);
    }
  catch_up (&tree, &tree.hops[0]);
  catch_up (&tree, &tree.hops[1]);
  ck_assert_uint_gt (tree.chunk_count, 100);
  tree_clear (&tree);
}
END_TEST

/* Tombstones are removed after CYS_TOMBSTONE_VERSIONS versions.  A child that
   was disconnected for longer must get the full state and must not keep an
   object that was deleted in the meantime.  */
START_TEST (test_long_disconnect)
{
  uint64_t seed = get_first_seed ();
  struct tree tree;
  tree_init (&tree, &seed);
  apply_root (&tree,
              change_new ("put", "alice", -1, object_workspace ("gone", 1)));
  catch_up (&tree, &tree.hops[0]);
  apply_root (&tree, change_new ("delete", "alice", -1,
                                 object_deleted ("workspace", "gone")));
  Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
  while (cys_state_version (tree.root) < LONG_RUN)
    change_root (&tree);
  cys_state_make_delta (tree.root, cys_state_version (tree.hops[0].child),
                        NULL, 1u << 20, &answer);
  ck_assert_uint_eq (answer.from_version, 0);
  cys_state_answer_clear (&answer);
  cys_state_make_delta (tree.root, LONG_RUN - 100, NULL, 1u << 20, &answer);
  ck_assert_uint_eq (answer.from_version, LONG_RUN - 100);
  cys_state_answer_clear (&answer);
  catch_up (&tree, &tree.hops[0]);
  ck_assert_ptr_null (cys_state_get (tree.hops[0].child, "workspace/gone"));
  tree_clear (&tree);
}
END_TEST

static void
assert_equal (const struct cys_state *a, const struct cys_state *b)
{
  uint8_t *bytes_a, *bytes_b;
  size_t size_a, size_b;
  ck_assert_int_eq (cys_state_save (a, &bytes_a, &size_a), CY_OK);
  ck_assert_int_eq (cys_state_save (b, &bytes_b, &size_b), CY_OK);
  ck_assert_uint_eq (size_a, size_b);
  ck_assert_int_eq (memcmp (bytes_a, bytes_b, size_a), 0);
  g_free (bytes_a);
  g_free (bytes_b);
}

static void
save_and_load (struct cys_state *state)
{
  uint8_t *bytes;
  size_t size;
  cys_state_save (state, &bytes, &size);
  ck_assert_int_eq (cys_state_load (state, bytes, size), CY_OK);
  g_free (bytes);
}

/* Two replicas that apply the same changes, resends included, must stay equal;
   one is saved and loaded after every 100 changes.  */
START_TEST (test_replicas)
{
  uint64_t seed = get_first_seed () + 100;
  struct tree tree;
  tree_init (&tree, &seed);
  struct cys_state *other = cys_state_create ();
  GPtrArray *changes = g_ptr_array_new ();
  for (int i = 0; i < CHANGES; i++)
    {
      bool resend = changes->len > 0 && cy_random_below (&tree.random, 5) == 0;
      Cy__Change *change
          = resend ? g_ptr_array_index (
                changes, cy_random_below (&tree.random, changes->len))
                   : random_change (&tree);
      const Cy__ChangeResult *a = cys_state_apply (tree.root, change);
      const Cy__ChangeResult *b = cys_state_apply (other, change);
      ck_assert_uint_eq (a->result, b->result);
      ck_assert_uint_eq (a->version, b->version);
      ck_assert_str_eq (a->conflict_who, b->conflict_who);
      if (!resend)
        g_ptr_array_add (changes, change);
      if (i % 100 == 0)
        {
          save_and_load (other);
          assert_equal (tree.root, other);
        }
    }
  assert_equal (tree.root, other);
  for (guint i = 0; i < changes->len; i++)
    cy__change__free_unpacked (g_ptr_array_index (changes, i), NULL);
  g_ptr_array_free (changes, TRUE);
  cys_state_destroy (other);
  tree_clear (&tree);
}
END_TEST

/* Loading a damaged snapshot must not crash, and a refused one must leave the
   state unchanged.  Damage within an object's body is not detected, so that
   some damaged snapshots load.  */
START_TEST (test_damaged_snapshot)
{
  uint64_t seed = get_first_seed () + 200;
  struct tree tree;
  uint8_t *bytes;
  size_t size;
  unsigned refused = 0;
  tree_init (&tree, &seed);
  for (int i = 0; i < 100; i++)
    change_root (&tree);
  cys_state_save (tree.root, &bytes, &size);
  for (int i = 0; i < 5000; i++)
    {
      uint8_t *copy = g_memdup2 (bytes, size);
      struct cys_state *state = cys_state_create ();
      copy[cy_random_below (&tree.random, size)]
          ^= (uint8_t)(1 + cy_random_below (&tree.random, 255));
      if (cys_state_load (state, copy, size) != CY_OK)
        {
          ck_assert_uint_eq (cys_state_version (state), 0);
          refused++;
        }
      cys_state_destroy (state);
      g_free (copy);
    }
  for (size_t length = 1; length < size; length += 97)
    {
      struct cys_state *state = cys_state_create ();
      cys_state_load (state, bytes, length);
      cys_state_destroy (state);
    }
  ck_assert_uint_gt (refused, 2000);
  g_free (bytes);
  tree_clear (&tree);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sync");
  TCase *tcase = tcase_create ("sync");
  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, test_lossy_tree, 0, SEEDS);
  tcase_add_test (tcase, test_long_disconnect);
  tcase_add_test (tcase, test_replicas);
  tcase_add_test (tcase, test_damaged_snapshot);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
