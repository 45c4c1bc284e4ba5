/* The thread that writes departures: what it reports as durable is read back,
   and a full disk delays the report instead of losing the departure.  */

#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdatomic.h>
#include <string.h>

#include "base/cy_system.h"
#include "cy_test.h"
#include "hub/cyc_departure_writer.h"

#define NAME        "departures"
#define GIVE_UP_MS  20000
#define FULL_FOR_MS 600 /* longer than two attempts */

static struct cyd_files files;
static atomic_bool is_full;
static atomic_int refused_count;

static ssize_t
write_unless_full (void *context, int fd, const void *bytes, size_t length,
                   int64_t offset)
{
  if (!atomic_load (&is_full))
    return cyd_system_files ()->write (context, fd, bytes, length, offset);
  atomic_fetch_add (&refused_count, 1);
  errno = ENOSPC;
  return -1;
}

struct world
{
  struct cyn_loop *loop;
  struct cyc_departure_writer *writer;
  struct cyn_timer *timer;
  uint64_t awaited; /* ticket at which the loop stops */
  uint64_t written; /* newest ticket reported */
};

static void
on_written (uint64_t ticket, void *context)
{
  struct world *world = context;
  ck_assert_uint_ge (ticket, world->written);
  ck_assert_msg (!atomic_load (&is_full) || ticket < world->awaited,
                 "reported while the disk is full");
  world->written = ticket;
  if (ticket >= world->awaited)
    cyn_loop_stop (world->loop);
}

static void
on_give_up (void *context)
{
  (void)context;
  ck_abort_msg ("no report");
}

static void
on_space (void *context)
{
  (void)context;
  atomic_store (&is_full, false);
}

static uint64_t
put (struct world *world, const char *id)
{
  GBytes *record = g_bytes_new (id, strlen (id));
  uint64_t ticket = cyc_departure_writer_put (world->writer, id, record);
  g_bytes_unref (record);
  return ticket;
}

static void
count_record (const char *id, GBytes *record, void *context)
{
  ck_assert_uint_eq (g_bytes_get_size (record), strlen (id));
  ++*(unsigned *)context;
}

static struct cyd_journal *
open_journal (const char *folder)
{
  struct cyd_journal *journal = NULL;
  ck_assert_int_eq (cyd_journal_open (&files, folder, NAME, &journal), CY_OK);
  return journal;
}

static const struct
{
  const char *name;
  bool full;       /* for FULL_FOR_MS from the first put on */
  unsigned puts;   /* servers */
  bool waits;      /* for the report before the writer is destroyed */
  unsigned stored; /* records read back */
} rows[] = {
  { "one", false, 1, true, 1 },
  { "many share a write", false, 500, true, 500 },
  { "full disk", true, 3, true, 3 },
  { "ends before the report", false, 20, false, 20 },
};

START_TEST (test_write)
{
  struct world world = { 0 };
  char *folder = g_dir_make_tmp ("cy-departures-XXXXXX", NULL);
  ck_assert_ptr_nonnull (folder);
  files = *cyd_system_files ();
  files.write = write_unless_full;
  atomic_store (&is_full, rows[_i].full);
  atomic_store (&refused_count, 0);
  world.loop = cyn_loop_create (cy_system_clock ());
  world.timer = cyn_timer_create (
      world.loop, rows[_i].full ? on_space : on_give_up, &world);
  world.writer = cyc_departure_writer_create (
      world.loop, open_journal (folder), on_written, &world);
  for (unsigned i = 0; i < rows[_i].puts; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "i%u", i);
      world.awaited = put (&world, id);
    }
  cyn_timer_start (world.timer, rows[_i].full ? FULL_FOR_MS : GIVE_UP_MS);
  if (rows[_i].waits)
    cyn_loop_run (world.loop);
  cyc_departure_writer_destroy (world.writer);
  cyn_timer_destroy (world.timer);
  cyn_loop_destroy (world.loop);
  ck_assert_msg (!rows[_i].full || atomic_load (&refused_count) >= 2,
                 "%s: not tried again", rows[_i].name);
  unsigned count = 0;
  struct cyd_journal *journal = open_journal (folder);
  cyd_journal_each (journal, count_record, &count);
  cyd_journal_close (journal);
  ck_assert_msg (count == rows[_i].stored, "%s: %u records", rows[_i].name,
                 count);
  char *path = g_build_filename (folder, NAME, NULL);
  g_unlink (path);
  g_rmdir (folder);
  g_free (path);
  g_free (folder);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("departure_writer");
  TCase *all = tcase_create ("all");
  tcase_set_timeout (all, 30);
  tcase_add_loop_test (all, test_write, 0, G_N_ELEMENTS (rows));
  suite_add_tcase (suite, all);
  return cy_test_run (suite);
}
