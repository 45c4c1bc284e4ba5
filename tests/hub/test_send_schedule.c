/* Schedule of the declarations that a control VM sends to an entry VM.  Guards
   against sending one again while it is in transit, and against all control
   VMs sending it at once, which fills a slow link for seconds.  */

#include "core/cyi_send_schedule.h"
#include "cy_test.h"

#define N(array) (sizeof (array) / sizeof ((array)[0]))

enum step_kind
{
  REPORT,  /* the entry VM reports that it holds NUMBER */
  NOT_DUE, /* NUMBER is the newest declaration and must not be sent now */
  DUE,     /* NUMBER is the newest declaration and must be sent now */
  SENT,    /* like DUE, and it is sent */
  ATTACH,  /* NUMBER 1: the requests of the entry VM are placed here; 0: not */
  END
};

struct step
{
  int at_ms;
  enum step_kind kind;
  unsigned number;
};

#define STEPS 14

static const struct
{
  const char *name;
  struct step steps[STEPS];
} rows[] = {
  { "the placer sends at once, and not again after each report",
    { { 0, REPORT, 6 },
      { 0, ATTACH, 1 },
      { 1, SENT, 7 },
      { 150, REPORT, 6 },
      { 150, NOT_DUE, 7 },
      { 1200, NOT_DUE, 7 },
      { 1202, DUE, 7 },
      { 1300, REPORT, 7 },
      { 1300, NOT_DUE, 7 },
      { 9000, END, 0 } } },
  { "other control VMs wait for the placer to send",
    { { 0, REPORT, 6 },
      { 1, NOT_DUE, 7 },
      { 300, REPORT, 7 },
      { 5000, NOT_DUE, 7 },
      { 9000, END, 0 } } },
  { "other control VMs send when the placer does not",
    { { 0, REPORT, 6 },
      { 1, NOT_DUE, 7 },
      { 1201, NOT_DUE, 7 },
      { 1202, SENT, 7 },
      { 9000, END, 0 } } },
  { "frequent changes do not restart the wait",
    { { 0, REPORT, 6 },
      { 1, NOT_DUE, 7 },
      { 700, NOT_DUE, 8 },
      { 1202, SENT, 8 },
      { 1300, REPORT, 8 },
      { 1700, SENT, 9 },
      { 2100, REPORT, 9 },
      { 2400, SENT, 10 },
      { 9000, END, 0 } } },
  { "new connection of an entry VM without a placer",
    { { 0, REPORT, 0 },
      { 1, NOT_DUE, 7 },
      { 1202, SENT, 7 },
      { 9000, END, 0 } } },
  { "a newer held number makes the delta in transit useless",
    { { 0, REPORT, 4 },
      { 0, ATTACH, 1 },
      { 1, SENT, 7 },
      { 100, REPORT, 5 },
      { 101, DUE, 7 },
      { 9000, END, 0 } } },
  { "the entry VM holds a newer declaration",
    { { 0, REPORT, 8 },
      { 0, ATTACH, 1 },
      { 9000, NOT_DUE, 7 },
      { 9000, END, 0 } } },
};

START_TEST (test_schedule)
{
  struct cyi_send_schedule schedule = { 0 };
  for (const struct step *step = rows[_i].steps; step->kind != END; step++)
    {
      cy_time_ns now = 1000 * CY_NS_PER_S + step->at_ms * CY_NS_PER_MS;
      switch (step->kind)
        {
        case REPORT:
          cyi_send_schedule_record_held (&schedule, step->number);
          break;
        case ATTACH:
          schedule.attached = step->number == 1;
          break;
        case NOT_DUE:
          ck_assert_msg (
              !cyi_send_schedule_is_due (&schedule, step->number, now),
              "%s: at %d ms", rows[_i].name, step->at_ms);
          break;
        case DUE:
        case SENT:
          ck_assert_msg (
              cyi_send_schedule_is_due (&schedule, step->number, now),
              "%s: at %d ms", rows[_i].name, step->at_ms);
          if (step->kind == SENT)
            cyi_send_schedule_record_sent (&schedule, step->number, now);
          break;
        case END:
          break;
        }
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sending");
  TCase *tcase = tcase_create ("sending");
  tcase_add_loop_test (tcase, test_schedule, 0, N (rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
