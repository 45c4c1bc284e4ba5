/* Start of a control VM with a full disk: it must retry until there is space,
   and stop on a signal, instead of exiting.  */

#include <glib.h>
#include <signal.h>

#include "cy_test.h"
#include "hub/cyc_start.h"

struct fake_disk
{
  int full_calls; /* calls that find the disk full */
  int calls;
  cy_result later_result;
};

static cy_result
fake_open (void *context)
{
  struct fake_disk *disk = context;
  disk->calls++;
  return disk->calls <= disk->full_calls ? CY_E_STORE_FULL
                                         : disk->later_result;
}

static const struct
{
  int full;
  cy_result later;
  bool signal_pending; /* SIGTERM, before the start */
  int calls;
  cy_result result;
} rows[] = {
  { 0, CY_OK, false, 1, CY_OK },
  { 3, CY_OK, false, 4, CY_OK },
  { 2, CY_E_STORE_CORRUPT, false, 3, CY_E_STORE_CORRUPT },
  { 0, CY_OK, true, 1, CY_OK },
  { 9, CY_OK, true, 1, CY_E_STOPPING },
};

START_TEST (test_full_disk)
{
  struct fake_disk disk
      = { .full_calls = rows[_i].full, .later_result = rows[_i].later };
  sigset_t all;
  sigfillset (&all);
  sigprocmask (SIG_BLOCK, &all, NULL);
  if (rows[_i].signal_pending)
    raise (SIGTERM);
  ck_assert_int_eq (cyc_start_wait_for_space (fake_open, &disk, 1),
                    rows[_i].result);
  ck_assert_int_eq (disk.calls, rows[_i].calls);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("start");
  TCase *tcase = tcase_create ("start");
  tcase_add_loop_test (tcase, test_full_disk, 0, G_N_ELEMENTS (rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
