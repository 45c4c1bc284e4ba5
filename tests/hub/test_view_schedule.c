/* Guards against control traffic that grows with entry VMs times control VMs:
   every control VM used to send every entry VM all servers and the list of all
   control VMs again and again.  */

#include <glib.h>

#include "core/cyc_view_schedule.h"
#include "cy_test.h"

#define LINKS   7   /* control VMs that one entry VM is connected to */
#define SERVERS 480 /* of its region */

/* What happens between two views on all links.  */
enum step
{
  STEP_NONE,     /* a heartbeat */
  STEP_SERVER,   /* one server changes */
  STEP_CONTROL,  /* a control VM joins */
  STEP_STANDBY,  /* the standby becomes the placer, the next link standby */
  STEP_STRANGER, /* a link without the register becomes the placer */
  STEP_CUT_OFF   /* no control VM places any more */
};

static const struct
{
  const char *pattern;
  enum step step;
  unsigned repeats;
  unsigned servers;  /* entries in all views after the first ones, at most */
  unsigned controls; /* views with the list of control VMs, at most */
} rows[] = {
  { "an idle fleet, ten minutes", STEP_NONE, 1200, 0, 0 },
  { "servers are added", STEP_SERVER, 144, 2 * 144, 0 },
  { "a control VM joins", STEP_CONTROL, 1, 0, LINKS },
  { "the standby takes over", STEP_STANDBY, 1, SERVERS, 0 },
  { "a control VM that was no standby takes over", STEP_STRANGER, 1, SERVERS,
    0 },
  { "the entry VM is cut off from its region", STEP_CUT_OFF, 1,
    (LINKS - 2) * SERVERS, 0 },
};

struct fleet
{
  struct cyc_view_schedule links[LINKS]; /* the placer, the standby, others */
  uint64_t changed_at[SERVERS];          /* sequence of the latest change */
  uint64_t sequence;
  uint64_t controls;
  unsigned listed_servers;
  unsigned listed_controls;
};

static void
send_views (struct fleet *fleet)
{
  for (unsigned i = 0; i < LINKS; i++)
    {
      struct cyc_view_schedule *link = &fleet->links[i];
      for (unsigned s = 0; s < SERVERS; s++)
        fleet->listed_servers
            += cyc_view_schedule_has_server (link, fleet->changed_at[s]);
      fleet->listed_controls
          += cyc_view_schedule_has_controls (link, fleet->controls);
      cyc_view_schedule_record_sent (link, fleet->sequence, fleet->controls);
    }
}

static void
apply (struct fleet *fleet, enum step step, unsigned repeat)
{
  switch (step)
    {
    case STEP_NONE:
      break;
    case STEP_SERVER:
      fleet->changed_at[repeat % SERVERS] = ++fleet->sequence;
      break;
    case STEP_CONTROL:
      fleet->controls++;
      break;
    case STEP_STANDBY:
      fleet->links[0].wants_servers = false;
      fleet->links[2].wants_servers = true;
      break;
    case STEP_STRANGER:
      fleet->links[0].wants_servers = false;
      fleet->links[LINKS - 1].wants_servers = true;
      break;
    case STEP_CUT_OFF:
      for (unsigned i = 0; i < LINKS; i++)
        fleet->links[i].wants_servers = true;
      break;
    }
}

START_TEST (test_traffic)
{
  struct fleet fleet = { .controls = 18 };
  for (unsigned s = 0; s < SERVERS; s++)
    fleet.changed_at[s] = ++fleet.sequence;
  fleet.links[0].wants_servers = true;
  fleet.links[1].wants_servers = true;
  send_views (&fleet);
  ck_assert_uint_eq (fleet.listed_servers, 2 * SERVERS);
  ck_assert_uint_eq (fleet.listed_controls, LINKS);
  fleet.listed_servers = fleet.listed_controls = 0;
  for (unsigned i = 0; i < rows[_i].repeats; i++)
    {
      apply (&fleet, rows[_i].step, i);
      send_views (&fleet);
    }
  ck_assert_msg (fleet.listed_servers <= rows[_i].servers
                     && fleet.listed_controls <= rows[_i].controls,
                 "%s: %u servers, %u lists", rows[_i].pattern,
                 fleet.listed_servers, fleet.listed_controls);
}
END_TEST

/* Whoever places knows every change: nothing is left out for it.  */
START_TEST (test_placer_is_complete)
{
  struct fleet fleet = { .controls = 18 };
  unsigned placer = 1;
  fleet.links[0].wants_servers = true;
  for (unsigned i = 0; i < 200; i++)
    {
      apply (&fleet, STEP_SERVER, i * 7);
      if (i % 13 == 0)
        {
          for (unsigned l = 0; l < LINKS; l++)
            fleet.links[l].wants_servers = l == placer;
          placer = (placer + 3) % LINKS;
        }
      for (unsigned l = 0; l < LINKS; l++)
        ck_assert (
            !fleet.links[l].wants_servers
            || cyc_view_schedule_is_due (&fleet.links[l], fleet.sequence));
      send_views (&fleet);
      for (unsigned l = 0; l < LINKS; l++)
        if (fleet.links[l].wants_servers)
          ck_assert_uint_eq (fleet.links[l].sent_sequence, fleet.sequence);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("view_schedule");
  TCase *tcase = tcase_create ("view_schedule");
  tcase_add_loop_test (tcase, test_traffic, 0, G_N_ELEMENTS (rows));
  tcase_add_test (tcase, test_placer_is_complete);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
