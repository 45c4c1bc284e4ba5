/* Benchmark of the declared state at three sizes: bytes and time of one
   change, memory of an object, and changes applied per second.  The time of a
   delta must not grow with the number of objects, as it would if a delta
   scanned all of them.  */

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/cys_state.h"

#define SITES   140  /* sites among which the address blocks are divided */
#define CHANGES 2000 /* changes measured at each size */
/* Bounds of the ratio of times at the largest and at the smallest size: to
   make the delta of one change, and to apply one change.  */
#define DELTA_RATIO_MAX  4.0
#define APPLY_RATIO_MAX  8.0
#define CHANGES_PER_DAY  1200.0
#define SECONDS_PER_DAY  86400.0
#define BYTES_PER_S_MAX  5000.0 /* budget of a node for deltas */
#define MEMORY_BYTES_MAX 128e6  /* budget of a node for memory */

/* Number of objects in the state.  */
struct state_size
{
  unsigned blocks; /* address blocks of all sites */
  unsigned keys;   /* keys of callers */
};

static const struct state_size sizes[]
    = { { 11250, 500 }, { 45000, 2000 }, { 180000, 8000 } };

/* Results at one size.  */
struct measurement
{
  double memory;      /* bytes of the state on the heap */
  double load_s;      /* time to put all objects */
  double apply_us;    /* time to apply one change of a workspace */
  double delta_us;    /* time to make the delta of one change */
  double sync_us;     /* time to apply the delta of one change at a child */
  double delta_bytes; /* packed bytes of the delta of one change */
  double image_bytes; /* bytes of a snapshot */
  double image_s;     /* time to make a snapshot */
};

static double
now_s (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return (double)info.uordblks + (double)info.hblkhd;
}

/* ---------------------------------------------------------------- contents */

static void
apply_object (struct cys_state *state, const char *request, Cy__Object *object)
{
  Cy__Change change = CY__CHANGE__INIT;
  change.request_id = (char *)request;
  change.who = "bench";
  change.action = "submit";
  change.n_objects = 1;
  change.objects = &object;
  if (cys_state_apply (state, &change)->result != CY_OK)
    abort ();
}

static void
put_site (struct cys_state *state, unsigned site, unsigned blocks)
{
  char key[32], name[24], request[32];
  Cy__ClientBlocks body = CY__CLIENT_BLOCKS__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  char **prefixes = g_new (char *, blocks + 1);
  for (unsigned i = 0; i < blocks; i++)
    prefixes[i]
        = g_strdup_printf ("%u.%u.%u.0/24", 10 + site, i >> 8 & 255, i & 255);
  g_snprintf (name, sizeof name, "site-%u", site);
  g_snprintf (key, sizeof key, "blocks/%s", name);
  g_snprintf (request, sizeof request, "blocks-%u", site);
  body.site = name;
  body.region = "r1";
  body.n_prefixes = blocks;
  body.prefixes = prefixes;
  object.key = key;
  object.body_case = CY__OBJECT__BODY_BLOCKS;
  object.blocks = &body;
  apply_object (state, request, &object);
  for (unsigned i = 0; i < blocks; i++)
    g_free (prefixes[i]);
  g_free (prefixes);
}

static void
put_key (struct cys_state *state, unsigned number)
{
  char key[32], id[24], request[32];
  uint8_t digest[32] = { 0 };
  Cy__Key body = CY__KEY__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  g_snprintf (id, sizeof id, "%012x", number);
  g_snprintf (key, sizeof key, "key/%s", id);
  g_snprintf (request, sizeof request, "key-%u", number);
  body.id = id;
  body.workspace = "workspace-1";
  body.digest.data = digest;
  body.digest.len = sizeof digest;
  object.key = key;
  object.body_case = CY__OBJECT__BODY_ACCESS_KEY;
  object.access_key = &body;
  apply_object (state, request, &object);
}

static void
put_workspace (struct cys_state *state, unsigned number)
{
  char request[32];
  Cy__Workspace body = CY__WORKSPACE__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  g_snprintf (request, sizeof request, "workspace-%u", number);
  body.name = "workspace-1";
  body.rate = 1 + number;
  body.burst = 10;
  body.weight = 1;
  object.key = "workspace/workspace-1";
  object.body_case = CY__OBJECT__BODY_WORKSPACE;
  object.workspace = &body;
  apply_object (state, request, &object);
}

/* --------------------------------------------------------------- measuring */

static struct cys_state *
create_filled_state (const struct state_size *size,
                     struct measurement *measurement)
{
  double heap = heap_bytes ();
  double start = now_s ();
  struct cys_state *state = cys_state_create ();
  for (unsigned i = 0; i < SITES; i++)
    put_site (state, i, size->blocks / SITES);
  for (unsigned i = 0; i < size->keys; i++)
    put_key (state, i);
  measurement->load_s = now_s () - start;
  measurement->memory = heap_bytes () - heap;
  return state;
}

static struct cys_state *
make_child (const struct cys_state *state)
{
  struct cys_state *child = cys_state_create ();
  char *cursor = NULL;
  bool more = true;
  while (more)
    {
      Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
      cys_state_make_delta (state, 0, cursor, 1u << 18, &answer);
      g_free (cursor);
      cursor = g_strdup (answer.cursor);
      more = answer.more;
      if (cys_state_apply_answer (child, &answer) != CY_OK)
        abort ();
      cys_state_answer_clear (&answer);
    }
  g_free (cursor);
  return child;
}

static void
measure_changes (struct cys_state *state, struct cys_state *child,
                 struct measurement *measurement)
{
  double apply = 0, delta = 0, sync = 0;
  for (unsigned i = 0; i < CHANGES; i++)
    {
      Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
      double start = now_s ();
      put_workspace (state, i);
      double applied = now_s ();
      cys_state_make_delta (state, cys_state_version (child), NULL, 1u << 18,
                            &answer);
      double made = now_s ();
      measurement->delta_bytes
          = (double)cy__sync_answer__get_packed_size (&answer);
      double sized = now_s ();
      if (cys_state_apply_answer (child, &answer) != CY_OK)
        abort ();
      sync += now_s () - sized;
      cys_state_answer_clear (&answer);
      apply += applied - start;
      delta += made - applied;
    }
  measurement->apply_us = apply / CHANGES * 1e6;
  measurement->delta_us = delta / CHANGES * 1e6;
  measurement->sync_us = sync / CHANGES * 1e6;
}

static void
measure_size (const struct state_size *size, struct measurement *measurement)
{
  uint8_t *bytes;
  size_t length;
  struct cys_state *state = create_filled_state (size, measurement);
  double start = now_s ();
  cys_state_save (state, &bytes, &length);
  measurement->image_s = now_s () - start;
  measurement->image_bytes = (double)length;
  g_free (bytes);
  struct cys_state *child = make_child (state);
  measure_changes (state, child, measurement);
  cys_state_destroy (child);
  cys_state_destroy (state);
}

/* Returns the bytes on the heap of results, audit lines and undo records, all
   of them at their maximum.  */
static double
measure_records (void)
{
  double heap = heap_bytes ();
  struct cys_state *state = cys_state_create ();
  for (unsigned i = 0; i < CYS_RESULTS_MAX + CYS_UNDO_VERSIONS; i++)
    put_workspace (state, i);
  double bytes = heap_bytes () - heap;
  cys_state_destroy (state);
  return bytes;
}

/* --------------------------------------------------------------- reporting */

static bool
check_bound (const char *what, double value, double bound)
{
  bool within_bound = value <= bound;
  printf ("%s: %.3g, bound %.3g: %s\n", what, value, bound,
          within_bound ? "ok" : "BROKEN");
  return within_bound;
}

int
main (void)
{
  struct measurement all[G_N_ELEMENTS (sizes)] = { { 0 } };
  const struct measurement *first = &all[0];
  const struct measurement *last = &all[G_N_ELEMENTS (sizes) - 1];
  const struct state_size *largest = &sizes[G_N_ELEMENTS (sizes) - 1];
  printf ("%8s %6s %9s %8s %9s %9s %9s %9s %9s %8s\n", "blocks", "keys",
          "memory MB", "load s", "apply us", "delta us", "sync us", "delta B",
          "image MB", "image s");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      measure_size (&sizes[i], &all[i]);
      printf ("%8u %6u %9.2f %8.3f %9.2f %9.2f %9.2f %9.0f %9.2f %8.3f\n",
              sizes[i].blocks, sizes[i].keys, all[i].memory / 1e6,
              all[i].load_s, all[i].apply_us, all[i].delta_us, all[i].sync_us,
              all[i].delta_bytes, all[i].image_bytes / 1e6, all[i].image_s);
    }
  printf ("bytes of memory for a block or key: %.0f\n",
          (last->memory - first->memory)
              / (largest->blocks + largest->keys - sizes[0].blocks
                 - sizes[0].keys));
  printf ("changes applied a second: %.0f\n", 1e6 / last->apply_us);
  double records = measure_records ();
  printf ("memory of %d results and %d audit lines: %.2f MB\n",
          CYS_RESULTS_MAX, CYS_AUDIT_MAX, records / 1e6);
  bool within_bounds
      = check_bound ("delta of one change, largest to smallest size",
                     last->delta_us / first->delta_us, DELTA_RATIO_MAX);
  within_bounds
      = check_bound ("apply of one change, largest to smallest size",
                     last->apply_us / first->apply_us, APPLY_RATIO_MAX)
        && within_bounds;
  within_bounds
      = check_bound ("bytes a second at 1200 changes a day",
                     last->delta_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY,
                     BYTES_PER_S_MAX)
        && within_bounds;
  within_bounds = check_bound ("bytes of memory at the size to design for",
                               last->memory + records, MEMORY_BYTES_MAX / 2)
                  && within_bounds;
  return within_bounds ? EXIT_SUCCESS : EXIT_FAILURE;
}
