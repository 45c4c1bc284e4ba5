/* When an entry VM is sent a declaration, as a table of stories.  */

#include "core/cyi_send_schedule.h"
#include "cy_test.h"

#define N(array) (sizeof (array) / sizeof ((array)[0]))

enum act
{
  REPORT, /* it reports that it holds NUMBER */
  WAITS,  /* declaration NUMBER is the newest and not to be sent now */
  DUE,    /* it is to be sent */
  SENT,   /* the newest is to be sent, and is */
  ATTACH, /* NUMBER 1: its requests are placed here; 0: elsewhere */
  END
};

struct step
{
  int at; /* ms */
  enum act act;
  unsigned number;
};

#define STEPS 14

static const struct
{
  const char *story;
  struct step steps[STEPS];
} rows[] = {
  { "the placer sends at once, and not again with each report",
    { { 0, REPORT, 6 },
      { 0, ATTACH, 1 },
      { 1, SENT, 7 },
      { 150, REPORT, 6 },
      { 150, WAITS, 7 },
      { 1200, WAITS, 7 },
      { 1202, DUE, 7 },
      { 1300, REPORT, 7 },
      { 1300, WAITS, 7 },
      { 9000, END, 0 } } },
  { "others wait whether the placer does",
    { { 0, REPORT, 6 },
      { 1, WAITS, 7 },
      { 300, REPORT, 7 },
      { 5000, WAITS, 7 },
      { 9000, END, 0 } } },
  { "and send when it does not",
    { { 0, REPORT, 6 },
      { 1, WAITS, 7 },
      { 1201, WAITS, 7 },
      { 1202, SENT, 7 },
      { 9000, END, 0 } } },
  { "changes in quick succession do not begin the wait anew",
    { { 0, REPORT, 6 },
      { 1, WAITS, 7 },
      { 700, WAITS, 8 },
      { 1202, SENT, 8 },
      { 1300, REPORT, 8 },
      { 1700, SENT, 9 },
      { 2100, REPORT, 9 },
      { 2400, SENT, 10 },
      { 9000, END, 0 } } },
  { "a new connection of nobody's",
    { { 0, REPORT, 0 },
      { 1, WAITS, 7 },
      { 1202, SENT, 7 },
      { 9000, END, 0 } } },
  { "another one came meanwhile: what is on its way cannot be used",
    { { 0, REPORT, 4 },
      { 0, ATTACH, 1 },
      { 1, SENT, 7 },
      { 100, REPORT, 5 },
      { 101, DUE, 7 },
      { 9000, END, 0 } } },
  { "it holds a newer one than there is here",
    { { 0, REPORT, 8 },
      { 0, ATTACH, 1 },
      { 9000, WAITS, 7 },
      { 9000, END, 0 } } },
};

START_TEST (test_stories)
{
  struct cyi_send_schedule to = { 0 };
  for (const struct step *step = rows[_i].steps; step->act != END; step++)
    {
      cy_time_ns now = 1000 * CY_NS_PER_S + step->at * CY_NS_PER_MS;
      switch (step->act)
        {
        case REPORT:
          cyi_send_schedule_record_held (&to, step->number);
          break;
        case ATTACH:
          to.attached = step->number == 1;
          break;
        case WAITS:
          ck_assert_msg (!cyi_send_schedule_is_due (&to, step->number, now),
                         "%s: at %d ms", rows[_i].story, step->at);
          break;
        case DUE:
        case SENT:
          ck_assert_msg (cyi_send_schedule_is_due (&to, step->number, now),
                         "%s: at %d ms", rows[_i].story, step->at);
          if (step->act == SENT)
            cyi_send_schedule_record_sent (&to, step->number, now);
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
  tcase_add_loop_test (tcase, test_stories, 0, N (rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
