/* Decides whether entry VMs may use the declaration that a control VM holds.

   A control VM that has held everything that a leader had committed continues
   to serve its declaration, isolated or not.  After a restart it holds the
   declaration of its disk, which may be outdated.  It serves that one while it
   reaches a majority of the control VMs and none of them is a leader, as after
   a loss of power at all VMs.

   In both cases it stops when its peers report changes that do not reach it:
   its member was removed, or its disk keeps nothing.  */

#ifndef CYC_SERVING_H
#define CYC_SERVING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"

/* Time for which a control VM continues to serve from the disk once there is a
   leader, until it has received what the leader has, ms: a heartbeat interval
   of 250 ms and two transits between regions, twice in case a message is
   lost.  */
#define CYC_SERVE_FROM_DISK_MS 1500

/* Time for which a change may be committed elsewhere before a control VM that
   has not applied it stops serving, ms.  An election takes at most as long;
   a drained zone has to be empty within 5 s.  */
#define CYC_LAG_MAX_MS 2000

/* A log index that peers have committed, and the time of their first report of
   it.  */
struct cyc_serving_report
{
  uint64_t committed;
  cy_time_ns at;
};

/* Reports that are kept, at most one each CYC_REPORT_INTERVAL_MS.  */
#define CYC_REPORTS_MAX        24
#define CYC_REPORT_INTERVAL_MS 100

struct cyc_serving
{
  bool caught_up; /* has held all that a leader had committed, since the
                     start */
  cy_time_ns disk_allowed_until; /* end of serving from the disk, 0: never */
  bool lags; /* lacks a change for CYC_LAG_MAX_MS or longer */
  size_t report_count;
  struct cyc_serving_report reports[CYC_REPORTS_MAX]; /* not applied here yet,
                                                         the oldest first */
};

struct cyc_serving_input
{
  bool has_declaration;
  bool isolated;   /* the VM reaches no majority of the control VMs */
  bool has_leader; /* a reachable control VM is the leader and ready */
};

/* Applies INPUT at NOW.  Returns true when serving from the disk starts.  */
bool cyc_serving_update (struct cyc_serving *serving,
                         const struct cyc_serving_input *input,
                         cy_time_ns now);

/* Compares the log index that this VM has APPLIED with the highest one that
   its peers have COMMITTED.  Returns true when the VM stops serving because it
   lacks changes; it serves again once it has caught up.  */
bool cyc_serving_follow (struct cyc_serving *serving, uint64_t applied,
                         uint64_t committed, cy_time_ns now);

/* The VM holds all that a leader had committed.  */
void cyc_serving_catch_up (struct cyc_serving *serving);

/* True when entry VMs may use the declaration.  */
bool cyc_serving_is_allowed (const struct cyc_serving *serving,
                             cy_time_ns now);

#endif /* CYC_SERVING_H */
